package hostile

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// chunkBytes is the size of a write of a client.
	chunkBytes = 16 << 10
	// unfinishedBytes is how much a client sends of something without end.
	unfinishedBytes = 1 << 20
	// receiveBuffer is the socket buffer of a client that does not read, in bytes.
	receiveBuffer = 4 << 10
	// writeLimit bounds the wait for a daemon that does not read.
	writeLimit = 8 * time.Second
	// callTries is the number of times that an ordinary caller sends its request, which it repeats after
	// callPause if it is refused or its connection is closed.
	callTries = 20
	callPause = 300 * time.Millisecond
)

// client sends what it has to send on a connection and reads nothing. It returns when it has sent all,
// or nothing more is taken.
type client func(c net.Conn, number int)

// crowd is a number of clients whose connections stay open.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// play runs a number of clients at an address, and returns when each has sent what it could.
func play(address string, count int, send client) *crowd {
	var all sync.WaitGroup
	r := &crowd{}
	for i := range count {
		all.Go(func() {
			c, err := net.DialTimeout("tcp4", address, writeLimit)
			if err != nil {
				return // the daemon takes no more connections
			}
			_ = c.(*net.TCPConn).SetReadBuffer(receiveBuffer) // fails only on a closed connection
			r.mu.Lock()
			r.conns = append(r.conns, c)
			r.mu.Unlock()
			send(c, i)
		})
	}
	all.Wait()
	return r
}

// playAccepted plays a crowd and returns when the daemon has accepted all connections that it accepts.
func playAccepted(t *testing.T, address string, count int, send client) *crowd {
	t.Helper()
	r := play(address, count, send)
	c, err := net.DialTimeout("tcp4", address, writeLimit)
	if err != nil {
		return r // the daemon takes no more connections
	}
	defer func() { _ = c.Close() }() // what it gets does not matter
	write(c, "GET /-/none HTTP/1.1\r\nHost: h.example\r\n\r\n")
	_ = c.SetReadDeadline(time.Now().Add(waitLimit)) // fails only on a closed connection
	_, _ = c.Read(make([]byte, 1))                   // connections are accepted in their order
	return r
}

// leave closes the connections.
func (r *crowd) leave() {
	for _, c := range r.conns {
		_ = c.Close() // may be closed by the daemon
	}
}

// write writes text, and reports whether the daemon took it.
func write(c net.Conn, text string) bool {
	_ = c.SetWriteDeadline(time.Now().Add(writeLimit)) // fails only on a closed connection
	_, err := io.WriteString(c, text)
	return err == nil
}

// silent sends nothing.
func silent(net.Conn, int) {}

// endless sends a start, and then a text again and again.
func endless(start func(number int) string, repeated string) client {
	chunk := strings.Repeat(repeated, chunkBytes/len(repeated))
	return func(c net.Conn, number int) {
		if !write(c, start(number)) {
			return
		}
		for sent := 0; sent < unfinishedBytes; sent += len(chunk) {
			if !write(c, chunk) {
				return
			}
		}
	}
}

// nothing is an empty start.
func nothing(int) string { return "" }

// shortLines returns header lines of four bytes and different names, which fill a head of a size with
// what else is in it.
func shortLines(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
	var out strings.Builder
	for i := 0; out.Len()+8 <= size; i++ {
		name := letters[i%len(letters):][:1]
		if i >= len(letters) {
			name += strconv.Itoa(i / len(letters))
		}
		out.WriteString(name + ":\r\n")
	}
	return out.String()
}

// legalHead returns a head inside the limits made of as many lines as there is room for.
func legalHead(method, path string, id int, more string) string {
	start := requestHead(method, path, id) + more
	return start + shortLines(headBytes-len(start)-2) + "\r\n"
}

// call sends an ordinary request and repeats it as callers do, and returns the response.
func call(address, id string) (status int, body string, err error) {
	for range callTries {
		status, body, err = callOnce(address, id)
		if err == nil && status != http.StatusServiceUnavailable {
			break
		}
		time.Sleep(callPause)
	}
	return status, body, err
}

// callOnce sends an ordinary request on a new connection.
func callOnce(address, id string) (status int, body string, err error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/look/1", nil)
	if err != nil {
		return 0, "", err
	}
	req.Host = "h.example"
	req.Header.Set("X-Damaskrudder-Attempt-Id", id)
	req.Header.Set("X-Damaskrudder-Deadline-Ms", "9000")
	req.Header.Set("Authorization", "Bearer k1")
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport, Timeout: waitLimit}).Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }() // read to its end
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// expectAnswer reports an ordinary request that is not answered.
func expectAnswer(t *testing.T, address, when string) {
	t.Helper()
	id := strings.ReplaceAll(when, " ", "-")
	status, body, err := call(address, id)
	if err != nil || status != http.StatusOK || body != fmt.Sprint("answer to ", id) {
		t.Errorf("%s: an ordinary request got %d %q, %v", when, status, body, err)
	}
}

// playBeside plays a crowd at one listener of a daemon, with an ordinary request beside it and one
// afterwards, and checks the daemon.
func playBeside(t *testing.T, d *platformDaemon, address string, count int, send client) {
	t.Helper()
	expectAnswer(t, d.callers, "before the crowd")
	r := playAccepted(t, address, count, send)
	d.look()
	expectAnswer(t, d.callers, "beside the crowd")
	r.leave()
	expectAnswer(t, d.callers, "after the crowd")
	d.check()
}

// readAll reads until the daemon closes the connection, and closes it.
func readAll(c net.Conn) string {
	_ = c.SetReadDeadline(time.Now().Add(waitLimit)) // fails only on a closed connection
	data, _ := io.ReadAll(c)                         // what was read tells
	_ = c.Close()                                    // nothing is written
	return string(data)
}
