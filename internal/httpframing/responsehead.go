package httpframing

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
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

// parseResponseHead parses a complete head by the grammar of RFC 9112, sections 2 to 6.
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

// checkTrailer checks a complete trailer, whose fields frame nothing.
func checkTrailer(trailer []byte) error {
	return eachField(trailer, func(_, _ []byte) error { return nil })
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

// eachField calls apply with the name and value of each field, and returns the first error. A line that
// goes on with a value must not follow a field that frames the body, since recipients differ in joining them.
func eachField(fields []byte, apply func(name, value []byte) error) error {
	name, line := []byte(nil), []byte(nil)
	for len(fields) > 0 {
		line, fields = cutLine(fields)
		switch {
		case len(line) == 0:
			return nil
		case line[0] == ' ' || line[0] == '\t':
			if name == nil || framesBody(name) || !isFieldValue(line) {
				return malformed("a line %.32q that goes on", line)
			}
			continue
		}
		var value []byte
		var found bool
		name, value, found = bytes.Cut(line, []byte{':'})
		switch {
		case !found || !isToken(name):
			return malformed("field name %.32q", name)
		case !isFieldValue(value):
			return malformed("value of field %.32q", name)
		}
		if err := apply(name, value); err != nil {
			return err
		}
	}
	return nil
}

func framesBody(name []byte) bool {
	return bytes.EqualFold(name, []byte("content-length")) || bytes.EqualFold(name, []byte("transfer-encoding"))
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
		if h.chunked || !bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked")) {
			return malformed("transfer coding %.32q", value)
		}
		h.chunked = true
	}
	return nil
}

// checkFraming checks that the end of the body is stated once, and only where there may be one (RFC 9112,
// section 6).
func (h *responseHead) checkFraming() error {
	switch {
	case h.chunked && (h.length != noLength || h.http10):
		return malformed("chunks beside a length, or in HTTP/1.0")
	case (h.isInterim() || h.status == statusNoContent) && (h.chunked || h.length > 0):
		return malformed("a body of a response with status %d", h.status)
	}
	return nil
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isToken reports whether a name is a token (RFC 9110, section 5.6.2).
func isToken(name []byte) bool {
	for _, c := range name {
		if !isDigit(c) && (c|0x20 < 'a' || c|0x20 > 'z') && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(name) > 0
}

// isFieldValue reports whether a value has no control bytes except tabs (RFC 9110, section 5.5).
func isFieldValue(value []byte) bool {
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
