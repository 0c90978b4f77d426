package httpframing

import (
	"bytes"
	"fmt"
	"strconv"
)

// maxHeadBytes is the largest number of bytes of a response's head or trailer.
const maxHeadBytes = 32 << 10

// MalformedError means that bytes from a server are no response by the grammar of HTTP/1.1.
type MalformedError struct {
	// Detail names the part that is malformed, for a log line.
	Detail string
}

// Error implements error.
func (e *MalformedError) Error() string { return "malformed response: " + e.Detail }

func malformed(format string, args ...any) error {
	return &MalformedError{fmt.Sprintf(format, args...)}
}

// noLength is the length of a response that states none.
const noLength = -1

// Status codes that decide about a body.
const (
	statusSwitchingProtocols = 101
	statusNoContent          = 204
	statusNotModified        = 304
)

// responseHead is the part of a response's head that decides where the response ends.
type responseHead struct {
	status int
	// http10 is set for HTTP/1.0.
	http10 bool
	// length is the stated length of the body in bytes, or noLength.
	length  int64
	chunked bool
}

// isInterim reports whether another response to the same request follows.
func (h *responseHead) isInterim() bool { return h.status < 200 }

// hasNoBody reports whether no body follows, whatever the fields state.
func (h *responseHead) hasNoBody() bool {
	return h.status == statusNoContent || h.status == statusNotModified
}

// parseResponseHead parses a complete head as net/http does.
func parseResponseHead(head []byte) (responseHead, error) {
	h := responseHead{length: noLength}
	line, rest := cutLine(head)
	h.parseStatusLine(line)
	return h, eachField(rest, h.applyField)
}

// cutLine cuts a line off, without its line break.
func cutLine(b []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(b, []byte{'\n'})
	return bytes.TrimSuffix(line, []byte{'\r'}), rest
}

// parseStatusLine parses the first line: version, status and reason.
func (h *responseHead) parseStatusLine(line []byte) {
	version, rest, _ := bytes.Cut(line, []byte{' '})
	status, _, _ := bytes.Cut(rest, []byte{' '})
	h.status, _ = strconv.Atoi(string(status)) // net/http refuses what is no number
	h.http10 = string(version) == "HTTP/1.0"
}

// eachField calls apply with the name and value of each field, and returns the first error.
func eachField(fields []byte, apply func(name, value []byte) error) error {
	for len(fields) > 0 {
		var line []byte
		line, fields = cutLine(fields)
		name, value, _ := bytes.Cut(line, []byte{':'})
		if err := apply(name, value); err != nil {
			return err
		}
	}
	return nil
}

// applyField applies a field that frames the body.
func (h *responseHead) applyField(name, value []byte) error {
	switch {
	case bytes.EqualFold(name, []byte("content-length")):
		length, ok := parseLength(value)
		if !ok || h.length != noLength && h.length != length {
			return malformed("length %.32q", value)
		}
		h.length = length
	case bytes.EqualFold(name, []byte("transfer-encoding")):
		if h.http10 {
			return nil
		}
		if h.chunked || !bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked")) {
			return malformed("transfer coding %.32q", value)
		}
		h.chunked = true
	}
	return nil
}
