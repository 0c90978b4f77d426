package relay

import (
	"bytes"
	"errors"
	"strconv"
)

// maxEventBytes is the largest size of one event in bytes.
const maxEventBytes = 1 << 20

var errEventTooLong = errors.New("event exceeds the size limit")

// event is one complete event of a stream, as the server sent it.
type event struct {
	raw []byte
	// id is the event's number, or NoEvent.
	id int64
}

// follows reports whether the event is forwarded after the one with a number. An earlier event is
// skipped, and one with a gap before it is an error.
func (e event) follows(last int64) (bool, error) {
	switch {
	case e.id == NoEvent || last == NoEvent || e.id == last+1:
		return true, nil
	case e.id <= last:
		return false, nil
	}
	return false, errMissingEvent
}

// eventReader splits a stream into events. An incomplete event at the end is not
// returned, as it would be joined with the first event of the next server.
type eventReader struct {
	buf     []byte
	scanned int
}

// feed appends bytes to the buffer.
func (e *eventReader) feed(p []byte) error {
	e.buf = append(e.buf, p...)
	if len(e.buf) > maxEventBytes {
		return errEventTooLong
	}
	return nil
}

// partial reports whether the buffer holds an incomplete event.
func (e *eventReader) partial() bool { return len(bytes.TrimSpace(e.buf)) > 0 }

// next returns the next complete event. Its bytes are valid until the next feed.
func (e *eventReader) next() (event, bool) {
	end := blankLineEnd(e.buf[e.scanned:])
	if end < 0 {
		e.scanned = max(0, len(e.buf)-len("\r\n\r"))
		return event{}, false
	}
	end += e.scanned
	raw := e.buf[:end]
	e.buf, e.scanned = e.buf[end:], 0
	return event{raw: raw, id: eventID(raw)}, true
}

// blankLineEnd returns the index after the first blank line, or -1.
func blankLineEnd(b []byte) int {
	lf := bytes.Index(b, []byte("\n\n"))
	crlf := bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case crlf >= 0 && (lf < 0 || crlf < lf):
		return crlf + len("\r\n\r\n")
	case lf >= 0:
		return lf + len("\n\n")
	}
	return -1
}

func eventID(raw []byte) int64 {
	for line := range bytes.Lines(raw) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		if n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil && n >= 0 {
			return n
		}
	}
	return NoEvent
}
