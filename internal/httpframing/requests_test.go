package httpframing

import (
	"slices"
	"testing"
)

func TestRequestsAreFollowed(t *testing.T) {
	for name, tt := range map[string]struct {
		written  string
		last     Request
		complete bool
	}{
		"none":                {complete: true},
		"without a body":      {"HEAD / HTTP/1.1\r\nHost: h\r\n\r\n", Request{Head: true}, true},
		"part of a head":      {"GET / HTTP/1.1\r\nHost: h\r\n", Request{}, false},
		"with a body":         {"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nab", Request{}, true},
		"part of a body":      {"HEAD / HTTP/1.1\r\nContent-Length: 2\r\n\r\na", Request{Head: true}, false},
		"chunks":              {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", Request{}, true},
		"chunks without last": {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n", Request{}, false},
		"one after another":   {"HEAD / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\nUpgrade: websocket\r\n\r\n", Request{Upgrade: true}, true},
		"tunnel":              {"CONNECT h:1 HTTP/1.1\r\n\r\n", Request{Connect: true}, true},
	} {
		for _, size := range partSizes {
			var r Requests
			for part := range slices.Chunk([]byte(tt.written), size) {
				r.Scan(part)
			}
			if r.Last() != tt.last || r.Complete() != tt.complete {
				t.Errorf("%s, parts of %d bytes: %+v, complete %t", name, size, r.Last(), r.Complete())
			}
		}
	}
}
