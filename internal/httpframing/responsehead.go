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

// parseResponseHead parses a complete head. Its status line is checked by the grammar of RFC 9112, section 4.
func parseResponseHead(head []byte) (responseHead, error) {
	h := responseHead{length: noLength}
	line, rest := cutLine(head)
	if err := h.parseStatusLine(line); err != nil {
		return h, err
	}
	if err := eachField(rest, h.applyField); err != nil {
		return h, err
	}
	return h, h.checkFraming()
}

// cutLine cuts a line off, without its line break.
func cutLine(b []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(b, []byte{'\n'})
	return bytes.TrimSuffix(line, []byte{'\r'}), rest
}

// parseStatusLine parses the first line: version, status and reason, which may be missing with the blank
// before it.
func (h *responseHead) parseStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte{' '})
	status, reason, _ := bytes.Cut(rest, []byte{' '})
	minor, isHTTP1 := bytes.CutPrefix(version, []byte("HTTP/1."))
	switch {
	case !isHTTP1 || len(minor) != 1 || !isDigit(minor[0]):
		return malformed("version %.16q", version)
	case len(status) != 3 || status[0] < '1' || status[0] > '5' || !isDigit(status[1]) || !isDigit(status[2]):
		return malformed("status %.16q", status)
	case !isFieldValue(reason):
		return malformed("reason %.32q", reason)
	}
	h.status, _ = strconv.Atoi(string(status)) // three digits
	h.http10 = minor[0] == '0'
	return nil
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

// checkFraming checks that a response that has no body states none (RFC 9112, section 6).
func (h *responseHead) checkFraming() error {
	if (h.isInterim() || h.status == statusNoContent) && (h.chunked || h.length > 0) {
		return malformed("a body of a response with status %d", h.status)
	}
	return nil
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isFieldValue reports whether a value has no control bytes except tabs (RFC 9110, section 5.5).
func isFieldValue(value []byte) bool {
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
