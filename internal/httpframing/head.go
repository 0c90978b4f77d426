// Package httpframing finds where the messages on an HTTP/1 connection begin and end. Of a server's
// connection it follows the requests, so that their size is known before memory is spent on them; what it
// cannot frame there, net/http rejects. Of a client's connection it follows the requests and the responses.
package httpframing

import "bytes"

// Head follows the head of a request through the bytes of a connection. The zero value is at its start.
type Head struct {
	// Bytes is the number of bytes so far, Lines that of lines that are not empty, and EmptyLines that
	// of empty lines before the request line.
	Bytes, Lines, EmptyLines int
	// lineBytes is the number of bytes of the present line, and carriageReturn is set if they are one
	// carriage return.
	lineBytes      int
	carriageReturn bool
}

// Scan returns the number of bytes of p that belong to the head, and whether it ends with them.
func (h *Head) Scan(p []byte) (n int, done bool) {
	for n < len(p) && !done {
		line, _, ended := bytes.Cut(p[n:], []byte{'\n'})
		n += len(line)
		h.add(line)
		if ended {
			n++
			done = h.endLine()
		}
	}
	h.Bytes += n
	return n, done
}

// add adds bytes to the present line.
func (h *Head) add(line []byte) {
	h.carriageReturn = h.lineBytes == 0 && len(line) == 1 && line[0] == '\r' || h.carriageReturn && len(line) == 0
	h.lineBytes += len(line)
}

// endLine ends the present line, and reports whether the head ends with it.
func (h *Head) endLine() bool {
	empty := h.lineBytes == 0 || h.carriageReturn
	h.lineBytes, h.carriageReturn = 0, false
	switch {
	case !empty:
		h.Lines++
	case h.Lines == 0:
		h.EmptyLines++
	default:
		return true
	}
	return false
}
