package clientconns

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/listenqueue"
)

// pipes is a listener of connections in memory, whose writes wait for the reader.
type pipes struct {
	accepted chan net.Conn
	closed   context.Context
	close    context.CancelFunc
}

func (p pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.accepted:
		return c, nil
	case <-p.closed.Done():
		return nil, net.ErrClosed
	}
}

func (p pipes) Close() error {
	p.close()
	return nil
}

func (pipes) Addr() net.Addr { return &net.TCPAddr{} }

// fixture is a tracked server in memory. Its handler reads the body and waits for release.
type fixture struct {
	*Tracker
	lines   bytes.Buffer
	release chan struct{}
	dial    func() (net.Conn, *bufio.Reader)
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{release: make(chan struct{})}
	f.Tracker = New(tally.NoopScope, log.New(&f.lines), func(r *http.Request) string { return r.Header.Get("Id") })
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			w.WriteHeader(http.StatusRequestTimeout)
			return
		}
		<-f.release
	})}
	f.Track(server)
	closed, closeListener := context.WithCancel(t.Context())
	l := pipes{make(chan net.Conn), closed, closeListener}
	go func() { _ = server.Serve(f.Listen(l)) }() // ends when the server is closed
	t.Cleanup(func() { _ = server.Close() })
	f.dial = func() (net.Conn, *bufio.Reader) {
		client, accepted := net.Pipe()
		t.Cleanup(func() { _ = client.Close() })
		l.accepted <- accepted
		return client, bufio.NewReader(client)
	}
	return f
}

// sendPart sends a request with 4 of the 8 bytes of its body.
func sendPart(c net.Conn) {
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nId: r1\r\nContent-Length: 8\r\n\r\nabcd") // a failure shows in the state
}

// Guards against requests on a connection that a drain or an operator takes for idle.
func TestStateFollowsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		expect := func(step string, want State) {
			t.Helper()
			synctest.Wait()
			var counts Counts
			counts[want] = 1
			if got := f.Counts(); got != counts {
				t.Fatalf("%s: %v, want %v", step, got, counts)
			}
		}
		client, reader := f.dial()
		expect("connected", Accepted)
		for range 2 {
			_, _ = io.WriteString(client, "POST / HT") // a failure shows in the state
			expect("part of the header", Reading)
			_, _ = io.WriteString(client, "TP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\nabcd")
			expect("part of the body", Reading)
			_, _ = io.WriteString(client, "efgh")
			expect("whole body", Serving)
			f.release <- struct{}{}
			expect("answer not taken", Flushing)
			if _, err := http.ReadResponse(reader, nil); err != nil {
				t.Fatal(err)
			}
			expect("answered", Idle)
		}
		_ = client.Close() // ends the connection
		synctest.Wait()
		if got := f.Counts(); got != (Counts{}) {
			t.Errorf("after the close: %v", got)
		}
	})
}

// Guards against requests that end with neither an answer nor a log line.
func TestCutRequestIsLogged(t *testing.T) {
	for _, state := range []State{Idle, Reading, Serving} {
		t.Run(state.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				client, _ := f.dial()
				if state >= Reading {
					sendPart(client)
				}
				if state == Serving {
					_, _ = io.WriteString(client, "efgh") // a failure shows in the line
				}
				synctest.Wait()
				f.Cut("test")
				close(f.release)
				synctest.Wait()
				want := 0
				if state != Idle {
					want = 1
				}
				if line := fmt.Sprintf("request=r1 state=%s", state); strings.Count(f.lines.String(), line) != want || strings.Count(f.lines.String(), "\n") != want {
					t.Errorf("want %d lines with %q:\n%s", want, line, f.lines.String())
				}
			})
		})
	}
}

// Guards against closes that take a request with them of which something has been read, and against
// drains that wait for idle connections.
func TestCloseIdleKeepsRequestsBeingRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		close(f.release)
		client, reader := f.dial()
		_, idle := f.dial()
		_, _ = io.WriteString(client, "P") // a failure shows in the answer
		synctest.Wait()
		f.CloseIdle()
		if _, err := idle.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("idle connection: %v", err)
		}
		_, _ = io.WriteString(client, "OST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n") // a failure shows in the answer
		if _, err := http.ReadResponse(reader, nil); err != nil {
			t.Errorf("request being read: %v", err)
		}
		if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("after the answer: %v", err)
		}
		synctest.Wait()
		if got := f.Counts(); got != (Counts{}) || f.lines.Len() > 0 {
			t.Errorf("left %v, lines:\n%s", got, f.lines.String())
		}
	})
}

// Guards against closes of connections that were accepted just before, whose clients are about to write,
// and against drains that wait for silent clients.
func TestCloseIdleAwaitsFirstRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		close(f.release)
		client, reader := f.dial()
		_, silent := f.dial()
		start := time.Now()
		f.CloseIdle()
		late, lateReader := f.dial()
		time.Sleep(firstByteTime - 1)
		if got := f.Counts(); got.Pending() != 3 {
			t.Errorf("a drain would not wait: %v", got)
		}
		_, _ = io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") // a failure shows in the answer
		_, _ = io.WriteString(late, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		for _, r := range []*bufio.Reader{reader, lateReader} {
			if _, err := http.ReadResponse(r, nil); err != nil {
				t.Errorf("first request: %v", err)
			}
		}
		if _, err := silent.ReadByte(); !errors.Is(err, io.EOF) || time.Since(start) != firstByteTime {
			t.Errorf("silent connection: %v after %s", err, time.Since(start))
		}
	})
}

// socketPair is a client and its tracked connection, which is idle and has bytes that the server has not read.
func socketPair(t *testing.T, tracker *Tracker) *conn {
	l, err := listenqueue.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := tracker.add(accepted)
	t.Cleanup(func() { _ = accepted.Close() })
	tracker.observe(c, http.StateIdle)
	if _, err := io.WriteString(client, "GET"); err != nil {
		t.Fatal(err)
	}
	for !c.readable() {
		runtime.Gosched()
	}
	return c
}

// Guards against requests that wait in the socket of a kept connection when it is closed as idle.
func TestCloseIdleReadsWhatWaits(t *testing.T) {
	f := newFixture(t)
	c := socketPair(t, f.Tracker)
	f.CloseIdle()
	if n, err := c.Read(make([]byte, 8)); n != 3 || f.Counts()[Reading] != 1 {
		t.Errorf("read %d bytes: %v, %v", n, err, f.Counts())
	}
}

// interruptedConn calls a function after each read, before the reader knows of it.
type interruptedConn struct {
	net.Conn
	afterRead func()
}

func (c *interruptedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.afterRead()
	return n, err
}

// Guards against a request that is not read to its end because idle connections are closed just as its first
// bytes have been read.
func TestCloseIdleDuringReadKeepsRequest(t *testing.T) {
	for _, state := range []State{Accepted, Idle} {
		t.Run(state.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				client, accepted := net.Pipe()
				defer client.Close()
				c := f.add(&interruptedConn{accepted, func() {
					f.CloseIdle()
					time.Sleep(2 * firstByteTime)
				}})
				if state == Idle {
					f.observe(c, http.StateIdle)
				}
				go func() { _, _ = io.WriteString(client, "GE") }() // a failure shows in the reads
				for i := range 2 {
					if n, err := c.Read(make([]byte, 1)); n != 1 {
						t.Fatalf("read %d: %v", i+1, err)
					}
				}
			})
		})
	}
}

// Guards against closes under the bytes of a request that leave no line.
func TestCrossedCloseIsLogged(t *testing.T) {
	for name, end := range map[string]func(*Tracker, *conn){
		"by the server": func(_ *Tracker, c *conn) { _ = c.Close() },
		"by the drain":  func(tracker *Tracker, _ *conn) { tracker.Cut("test") },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			end(f.Tracker, socketPair(t, f.Tracker))
			if lines := f.lines.String(); strings.Count(lines, "state=idle") != 1 || !strings.Contains(lines, reasonCrossed) {
				t.Errorf("lines:\n%s", lines)
			}
		})
	}
}

// Guards against a close with unread bytes, whose reset drops the answer on its way.
func TestAnswerBeforeEndOfRequestIsNotReset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		client, reader := f.dial()
		sendPart(client)
		synctest.Wait()
		f.StopReading()
		if response, err := http.ReadResponse(reader, nil); err != nil || response.StatusCode != http.StatusRequestTimeout {
			t.Fatalf("no refusal: %v", err)
		}
		if _, err := io.WriteString(client, "efgh"); err != nil {
			t.Errorf("closed with the rest of the request on its way: %v", err)
		}
		if got := f.Counts(); got.Pending() != 1 {
			t.Errorf("a drain would not wait: %v", got)
		}
		_ = client.Close() // ends the connection
		synctest.Wait()
		if got := f.Counts(); got != (Counts{}) {
			t.Errorf("left %v", got)
		}
	})
}
