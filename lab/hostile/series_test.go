package hostile

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/api"
)

const (
	// seriesCrowd is the number of clients that send requests one after the other, and seriesLength
	// the number of each one's requests.
	seriesCrowd, seriesLength = 40, 250
	// longValue is the size of a value that fills a head inside the limits.
	longValue = 15 << 10
	// seriesReceiveBuffer is the socket buffer of a client that reads, in bytes.
	seriesReceiveBuffer = 256 << 10
)

// series sends requests one after the other, each after the answer to the one before.
func series(request func(id int) string) client {
	return func(c net.Conn, number int) {
		defer func() { _ = c.Close() }()                        // all has been read
		_ = c.(*net.TCPConn).SetReadBuffer(seriesReceiveBuffer) // fails only on a closed connection
		in := bufio.NewReader(c)
		for i := range seriesLength {
			if !write(c, request(number*seriesLength+i)) {
				return
			}
			_ = c.SetReadDeadline(time.Now().Add(waitLimit)) // fails only on a closed connection
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				return
			}
			_, err = io.Copy(io.Discard, resp.Body)
			if err != nil || resp.Close {
				return
			}
		}
	}
}

// unique returns a long text that no other number has.
func unique(id int) string { return strings.Repeat(fmt.Sprintf("%08x", id), longValue/8) }

// promptParts returns as many parts of a prompt as a head has room for, which no other number has.
func promptParts(id int) string {
	var out strings.Builder
	for i := 0; out.Len() < longValue-16; i++ {
		fmt.Fprintf(&out, "%x:1,", id<<12+i)
	}
	return strings.TrimSuffix(out.String(), ",")
}

// Guards against what is kept of requests after their answers, by values that clients choose.
func TestSeriesOfRequestsOfWhichEachHasAnotherValue(t *testing.T) {
	head := func(path string, id int) string { return requestHead(http.MethodGet, path, id) }
	for name, request := range map[string]func(id int) string{
		"sessions": func(id int) string {
			return head("/ask/1", id) + "X-Damaskrudder-Model: small\r\nX-Damaskrudder-Token-Count: 10,10\r\nSession: " + unique(id) + "\r\n\r\n"
		},
		"prompt parts": func(id int) string {
			return head("/ask/1", id) + "X-Damaskrudder-Model: small\r\nX-Damaskrudder-Token-Count: 10,10\r\nX-Damaskrudder-Prompt-Prefix: " + promptParts(id) + "\r\n\r\n"
		},
		"models": func(id int) string {
			return head("/ask/1", id) + "X-Damaskrudder-Token-Count: 10,10\r\nX-Damaskrudder-Model: " + unique(id) + "\r\n\r\n"
		},
		"IDs": func(id int) string {
			return "GET /look/1 HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\nX-Damaskrudder-Attempt-Id: " + unique(id) + "\r\n\r\n"
		},
		"keys": func(id int) string {
			return "GET /look/1 HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer " + unique(id) + "\r\nX-Damaskrudder-Attempt-Id: r\r\n\r\n"
		},
		"paths": func(id int) string { return head("/look/"+unique(id), id) + "\r\n" },
		"hosts": func(id int) string {
			return "GET /look/1 HTTP/1.1\r\nHost: " + unique(id) + "\r\nAuthorization: Bearer k1\r\nX-Damaskrudder-Attempt-Id: r\r\n\r\n"
		},
		"short lines": func(id int) string { return legalHead(http.MethodGet, "/look/1", id, "") },
	} {
		t.Run(name, func(t *testing.T) {
			d := startPlatformDaemon(t)
			playBeside(t, d, d.callers, seriesCrowd, series(request))
		})
	}
}

// Guards against what the own interface keeps of requests after their answers, by values that clients choose.
func TestSeriesAtTheOwnInterfaceOfWhichEachHasAnotherValue(t *testing.T) {
	const body = `{"model":"desk","max_tokens":8,"messages":[{"role":"user","content":"status"}]}`
	request := func(more string) string {
		return ownHead(http.MethodPost, "/v1/chat/completions") + more + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	for name, send := range map[string]func(id int) string{
		"classes":  func(id int) string { return request(api.HeaderRequestClass + ": " + unique(id) + "\r\n") },
		"sessions": func(id int) string { return request(api.HeaderSessionID + ": " + unique(id) + "\r\n") },
		"paths": func(id int) string {
			return ownHead(http.MethodGet, "/v1/models/"+unique(id)) + "\r\n"
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := startOwnDaemon(t, nil)
			d.playBeside(d.settings.ListenAddress, seriesCrowd, series(send))
		})
	}
}
