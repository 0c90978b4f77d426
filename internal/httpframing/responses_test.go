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
		if _, err = r.Scan(part, to); err != nil {
			break
		}
	}
	return r, err
}

var partSizes = []int{1, 2, 7, 4096}

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
		}
	}
}

// Guards against heads, chunks and trailers outside the grammar that are taken for those of a response.
func TestMalformedResponsesAreFound(t *testing.T) {
	const head, chunks = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, response := range map[string]string{
		"head without end":       head + "A: " + strings.Repeat("b", maxHeadBytes),
		"lengths that differ":    head + "Content-Length: 1\r\nContent-Length: 0\r\n\r\n",
		"chunk size":             chunks + "x\r\n",
		"chunk longer than said": chunks + "1\r\nab\r\n",
		"trailer without end":    chunks + "0\r\nA: " + strings.Repeat("b", maxHeadBytes),
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
			read, err := r.step(data[n:], Request{})
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
