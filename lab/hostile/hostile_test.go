package hostile

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
)

const (
	// headCrowd is the number of clients whose heads do not end.
	headCrowd = 200
	// requestCrowd is the number of clients with requests inside the limits.
	requestCrowd = 300
	// silentCrowd is more than there are descriptors.
	silentCrowd = 1000
	// pipelined is the number of requests that a client sends at once.
	pipelined = 4
)

// listeners are the listeners of a daemon of the users' platform.
var listeners = map[string]func(d *platformDaemon) string{
	"callers":   func(d *platformDaemon) string { return d.callers },
	"directory": func(d *platformDaemon) string { return d.directory },
	"readiness": func(d *platformDaemon) string { return d.ready },
	"control":   func(d *platformDaemon) string { return d.control },
	"metrics":   func(d *platformDaemon) string { return d.metrics },
}

func atEachListener(t *testing.T, count int, send client) {
	for name, address := range listeners {
		t.Run(name, func(t *testing.T) {
			d := startPlatformDaemon(t)
			playBeside(t, d, address(d), count, send)
		})
	}
}

// unfinishedHead is the start of a head.
func unfinishedHead(number int) string { return requestHead(http.MethodGet, "/look/1", number) }

// Guards against heads over the limit, of many lines, that end the process for lack of memory.
func TestHeadsOfShortLinesOverTheLimit(t *testing.T) {
	atEachListener(t, headCrowd, endless(unfinishedHead, shortLines(chunkBytes)))
}

// Guards against a line without end that is kept.
func TestLineWithoutEnd(t *testing.T) {
	atEachListener(t, headCrowd, endless(func(n int) string { return unfinishedHead(n) + "A: " }, "x"))
}

// Guards against empty lines before a request that are read without end.
func TestEmptyLinesWithoutEnd(t *testing.T) {
	atEachListener(t, headCrowd, endless(nothing, "\r\n"))
}

// Guards against requests inside the limits that take many times their bytes, while their bodies are due.
func TestLegalHeadsOfShortLinesWithoutTheirBody(t *testing.T) {
	d := startPlatformDaemon(t)
	playBeside(t, d, d.callers, requestCrowd, func(c net.Conn, n int) {
		write(c, legalHead(http.MethodPost, "/look/1", n, "Content-Length: 100\r\n"))
	})
}

// Guards against such requests while their responses are not read.
func TestLegalHeadsOfShortLinesOfUnreadStreams(t *testing.T) {
	d := startPlatformDaemon(t)
	playBeside(t, d, d.callers, requestCrowd, func(c net.Conn, n int) {
		write(c, legalHead(http.MethodGet, "/talk/1", n, ""))
	})
}

// Guards against such requests that are sent one after the other, with responses that are not read.
func TestLegalHeadsOfShortLinesPipelined(t *testing.T) {
	d := startPlatformDaemon(t)
	playBeside(t, d, d.callers, requestCrowd, func(c net.Conn, n int) {
		for i := range pipelined {
			if !write(c, legalHead(http.MethodGet, "/talk/1", pipelined*n+i, "")) {
				return
			}
		}
	})
}

// Guards against responses that are not read and shut callers out.
func TestUnreadStreams(t *testing.T) {
	d := startPlatformDaemon(t)
	playBeside(t, d, d.callers, requestCrowd, func(c net.Conn, n int) {
		write(c, requestHead(http.MethodGet, "/talk/1", n)+"\r\n")
	})
}

// Guards against bodies inside the limits of which the end is due.
func TestLegalBodiesOutstanding(t *testing.T) {
	d := startPlatformDaemon(t)
	body := strings.Repeat("x", bodyBytes/8)
	playBeside(t, d, d.callers, requestCrowd, func(c net.Conn, n int) {
		write(c, requestHead(http.MethodPost, "/look/1", n)+fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes)+body)
	})
}

// Guards against extensions of a chunk without end.
func TestChunkExtensionWithoutEnd(t *testing.T) {
	d := startPlatformDaemon(t)
	playBeside(t, d, d.callers, headCrowd, endless(func(n int) string {
		return requestHead(http.MethodPost, "/look/1", n) + "Transfer-Encoding: chunked\r\n\r\n4;"
	}, "x"))
}

// Guards against trailers without end.
func TestTrailersWithoutEnd(t *testing.T) {
	d := startPlatformDaemon(t)
	playBeside(t, d, d.callers, headCrowd, endless(func(n int) string {
		return requestHead(http.MethodPost, "/look/1", n) + "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n"
	}, shortLines(chunkBytes)))
}

// Guards against silent connections that shut callers out or use up the descriptors.
func TestSilentConnections(t *testing.T) { atEachListener(t, silentCrowd, silent) }

// Guards against heads of which a byte comes at a time, that shut callers out.
func TestHeadsOfWhichOneByteComes(t *testing.T) {
	atEachListener(t, silentCrowd, func(c net.Conn, _ int) { write(c, "G") })
}

// Guards against limits that refuse a request inside the limits although nothing else is held.
func TestSingleLegalHeadOfShortLinesIsServed(t *testing.T) {
	d := startPlatformDaemon(t)
	for i := range 3 {
		c, err := net.Dial("tcp4", d.callers)
		if err != nil {
			t.Fatal(err)
		}
		write(c, legalHead(http.MethodGet, "/look/1", i, "Connection: close\r\n"))
		if got := readAll(c); !strings.HasPrefix(got, "HTTP/1.1 200 ") || !strings.HasSuffix(got, fmt.Sprint("answer to r", i)) {
			t.Errorf("request %d got %q", i, got)
		}
	}
	d.check()
}
