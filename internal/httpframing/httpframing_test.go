package httpframing

import (
	"bytes"
	"strings"
	"testing"
)

// scanRequest returns the length of the request at the start of data that comes in parts of a size, and
// the lines of its head; -1 if its end is not found.
func scanRequest(data []byte, partSize int) (length, lines int) {
	var h Head
	pos, done := 0, false
	for pos < len(data) && !done {
		n, ended := h.Scan(data[pos:min(len(data), pos+partSize)])
		pos, done = pos+n, ended
	}
	if !done {
		return -1, h.Lines
	}
	b := ParseBody(data[:pos])
	for pos < len(data) && !b.Done() {
		pos += b.Scan(data[pos:min(len(data), pos+partSize)])
	}
	if !b.Done() || !b.Known() {
		return -1, h.Lines
	}
	return pos, h.Lines
}

func TestRequestsAreFramed(t *testing.T) {
	const next = "GET /next HTTP/1.1\r\n"
	for _, tt := range []struct {
		name, request string
		lines         int
	}{
		{"no body", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 2},
		{"bare line feeds", "GET / HTTP/1.1\nHost: h\n\n", 2},
		{"empty line before", "\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", 2},
		{"length", "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab\n\r\n", 2},
		{"length in any case, twice", "POST / HTTP/1.1\r\ncontent-length: 5\r\nCONTENT-LENGTH:5\r\n\r\nabcde", 3},
		{"no length", "POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 2},
		{"a line that goes on", "GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", 3},
		{"short lines", "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 1000) + "\r\n", 1001},
		{"chunks", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nA\r\n0123456789\r\n0\r\n\r\n", 2},
		{"chunks and a length", "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: Chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", 3},
		{"chunk extensions and trailers", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nabcde\r\n0 ;c\r\nA: b\r\nC: d\r\n\r\n", 2},
		{"chunks that look like heads", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n\r\n\r\n\r\n0\r\n\r\n", 2},
		{"chunks in HTTP/1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\nab", 3},
	} {
		for _, partSize := range []int{1, 2, 3, 7, 4096} {
			if got, lines := scanRequest([]byte(tt.request+next), partSize); got != len(tt.request) || lines != tt.lines {
				t.Errorf("%s, parts of %d bytes: length %d, %d lines, want %d, %d", tt.name, partSize, got, lines, len(tt.request), tt.lines)
			}
		}
	}
}

// Guards against an end of a request where net/http finds another one or none.
func TestBodiesWithoutAKnownEnd(t *testing.T) {
	for name, fields := range map[string]string{
		"lengths that differ":         "Content-Length: 5\r\nContent-Length: 6",
		"no number":                   "Content-Length: 5x",
		"negative length":             "Content-Length: -5",
		"signed length":               "Content-Length: +5",
		"length that goes on":         "Content-Length: 5\r\n 6",
		"other encoding":              "Transfer-Encoding: gzip, chunked",
		"encoding twice":              "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
		"encoding that goes on":       "Transfer-Encoding:\r\n chunked",
		"length beyond all bounds":    "Content-Length: 99999999999999999999",
		"encoding with another after": "Transfer-Encoding: chunked, chunked",
	} {
		if b := ParseBody([]byte("POST / HTTP/1.1\r\n" + fields + "\r\n\r\n")); b.Known() {
			t.Errorf("%s: %+v", name, b)
		}
	}
	for name, chunks := range map[string]string{
		"size that is no number":   "x\r\n",
		"no size":                  "\r\n",
		"size of too many digits":  "00000000000000001\r\n",
		"size beyond all bounds":   "ffffffffffffffff\r\n",
		"data without its end":     "1\r\nabc",
		"data with half its end":   "1\r\na\r0\r\n",
		"data with a bare newline": "1\r\na\n0\r\n",
	} {
		b := ParseBody([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"))
		if n := b.Scan([]byte(chunks)); b.Known() || n != len(chunks) {
			t.Errorf("%s: %d of %d bytes, %+v", name, n, len(chunks), b)
		}
	}
}

func TestEmptyLinesBeforeARequestAreCounted(t *testing.T) {
	var h Head
	if n, done := h.Scan(bytes.Repeat([]byte("\r\n"), 50)); n != 100 || done || h.EmptyLines != 50 || h.Bytes != 100 {
		t.Errorf("%d bytes, done %v, %+v", n, done, h)
	}
}

func TestRemainingOfABodyWithALength(t *testing.T) {
	b := ParseBody([]byte("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n"))
	if b.Scan([]byte("abc")); b.Remaining() != 2 {
		t.Errorf("remaining %d", b.Remaining())
	}
}
