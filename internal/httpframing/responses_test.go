package httpframing

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
)

// scanResponses scans data in parts of a size, and returns the responses' state and the first error.
func scanResponses(data string, partSize int, to Request) (r Responses, err error) {
	for part := range slices.Chunk([]byte(data), partSize) {
		for n := 0; n < len(part); {
			read, err := r.Next(part[n:], to)
			if err != nil {
				return r, err
			}
			n += read
		}
	}
	return r, nil
}

var partSizes = []int{1, 2, 7, 4096}

// malformedHead is the head of a response that is found malformed where a head is due.
const malformedHead = "HTTP/1.1 000 OK\r\n\r\n"

func TestSoundResponsesAreFramed(t *testing.T) {
	for name, tt := range map[string]struct {
		response string
		to       Request
		position position
	}{
		"length":              {response: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab\n\r\n"},
		"length twice":        {response: "HTTP/1.1 200 OK\r\ncontent-length:2\r\nContent-Length: 2 \r\n\r\nab"},
		"no body":             {response: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
		"no reason":           {response: "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n"},
		"other minor version": {response: "HTTP/1.9 599 \xe9\r\nContent-Length: 0\r\n\r\n"},
		"names and values":    {response: "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~0aZ:\t\"\xff\" \r\nEmpty:\r\nContent-Length: 0\r\n\r\n"},
		"value that goes on":  {response: "HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 0\r\n\r\n"},
		"bare line feeds":     {response: "HTTP/1.1 200 OK\nContent-Length: 1\n\na"},
		"chunks":              {response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nab\r\nc\r\n0\r\nA: b\r\n\r\n"},
		"interim":             {response: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"},
		"no content":          {response: "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n"},
		"not modified":        {response: "HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n"},
		"HEAD":                {response: "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n", to: Request{Head: true}},
		"until the end":       {response: "HTTP/1.1 200 OK\r\n\r\nab", position: untilEnd},
		"HTTP/1.0":            {response: "HTTP/1.0 200 OK\r\n\r\nab", position: untilEnd},
		"upgrade":             {response: "HTTP/1.1 101 Switching Protocols\r\n\r\nab", to: Request{Upgrade: true}, position: switched},
		"tunnel":              {response: "HTTP/1.1 200 OK\r\n\r\nab", to: Request{Connect: true}, position: switched},
	} {
		for _, size := range partSizes {
			r, err := scanResponses(tt.response, size, tt.to)
			if err != nil || r.position != tt.position || !r.section.empty() {
				t.Errorf("%s, parts of %d bytes: %+v, %v", name, size, r, err)
			}
			if _, err := scanResponses(tt.response+malformedHead, size, tt.to); (err == nil) != (tt.position != inHead) {
				t.Errorf("%s, parts of %d bytes, and another head: %v", name, size, err)
			}
		}
	}
}

// Guards against heads, chunks and trailers outside the grammar that are taken for those of a response.
func TestMalformedResponsesAreFound(t *testing.T) {
	const head, length, chunks = "HTTP/1.1 200 OK\r\n", "Content-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, response := range map[string]string{
		"status 000":                 "HTTP/1.1 000 OK\r\n\r\n",
		"status 099":                 "HTTP/1.1 099 OK\r\n\r\n",
		"status 600":                 "HTTP/1.1 600 OK\r\n" + length,
		"status of four digits":      "HTTP/1.1 2000 OK\r\n" + length,
		"status that is no number":   "HTTP/1.1 2x0 OK\r\n" + length,
		"two blanks before status":   "HTTP/1.1  200 OK\r\n" + length,
		"version 2":                  "HTTP/2.0 200 OK\r\n" + length,
		"version 1":                  "HTTP/1 200 OK\r\n" + length,
		"version in lower case":      "http/1.1 200 OK\r\n" + length,
		"other protocol":             "SSH-2.0-x\r\n\r\n",
		"empty line first":           "\r\n" + head + length,
		"control byte in the reason": "HTTP/1.1 200 O\x00K\r\n" + length,
		"blank in a name":            head + "A B: c\r\n" + length,
		"blank before a colon":       head + "A : c\r\n" + length,
		"control byte in a name":     head + "A\x01: c\r\n" + length,
		"DEL in a name":              head + "A\x7f: c\r\n" + length,
		"high byte in a name":        head + "A\xe9: c\r\n" + length,
		"no name":                    head + ": c\r\n" + length,
		"no colon":                   head + "A\r\n" + length,
		"NUL in a value":             head + "A: \x00\r\n" + length,
		"bare CR in a value":         head + "A: b\rc\r\n" + length,
		"first field goes on":        head + " A: b\r\n" + length,
		"length that goes on":        head + "Content-Length: 0\r\n 1\r\n\r\n",
		"coding that goes on":        head + "Transfer-Encoding:\r\n chunked\r\n\r\n",
		"blank in the length's name": head + "Content-Length : 0\r\n\r\n",
		"lengths that differ":        head + "Content-Length: 1\r\n" + length,
		"signed length":              head + "Content-Length: +1\r\n\r\n",
		"no length":                  head + "Content-Length:\r\n\r\n",
		"length beyond all bounds":   head + "Content-Length: 9223372036854775808\r\n\r\n",
		"length beside chunks":       head + "Transfer-Encoding: chunked\r\n" + length,
		"other coding":               head + "Transfer-Encoding: gzip, chunked\r\n\r\n",
		"coding twice":               head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
		"chunks in HTTP/1.0":         "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"interim with a length":      "HTTP/1.1 100 Continue\r\nContent-Length: 1\r\n\r\n",
		"no content with a length":   "HTTP/1.1 204 No Content\r\nContent-Length: 1\r\n\r\n",
		"no content with chunks":     "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n",
		"upgrade without a request":  "HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"head without end":           head + "A: " + strings.Repeat("b", maxHeadBytes),
		"chunk size":                 chunks + "x\r\n",
		"chunk longer than said":     chunks + "1\r\nab\r\n",
		"blank in a trailer's name":  chunks + "0\r\nA B: c\r\n\r\n",
		"trailer without end":        chunks + "0\r\nA: " + strings.Repeat("b", maxHeadBytes),
	} {
		for _, size := range partSizes {
			if _, err := scanResponses(response, size, Request{}); err == nil {
				t.Errorf("%s, parts of %d bytes: no error", name, size)
			}
		}
	}
}

// Guards against an end of a response where net/http finds another one.
func FuzzResponses(f *testing.F) {
	for _, seed := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabc", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nA: b\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\nab", "HTTP/1.1 100 C\r\n\r\n", "HTTP/1.1 204 N\nA: b\n c\n\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		source := bytes.NewReader(data)
		buffered := bufio.NewReader(source)
		resp, err := http.ReadResponse(buffered, nil)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return
		}
		want := len(data) - source.Len() - buffered.Buffered()
		var r Responses
		for n := 0; n < want; {
			read, err := r.Next(data[n:], Request{})
			if err != nil {
				return
			}
			if n += read; n > want {
				t.Fatalf("ends after %d bytes, net/http's after %d", n, want)
			}
		}
		if r.position == inBody || r.position == inTrailer || !r.section.empty() {
			t.Fatalf("net/http's ends after %d bytes: %+v", want, r)
		}
	})
}
