package upstream

import (
	"cmp"
	"fmt"
	"net/http"
)

// maxHeadBytes is the largest number of bytes that one call reads of heads of responses: status
// lines and fields, those of interim responses and of responses to other requests included.
const maxHeadBytes = 32 << 10

// HeadTooLongError means that the heads of the responses to a call have more than Limit bytes.
type HeadTooLongError struct {
	// Limit is in bytes.
	Limit int
}

// Error implements error.
func (e *HeadTooLongError) Error() string {
	return fmt.Sprintf("the response has a head of more than %d bytes", e.Limit)
}

// headLimit bounds the bytes that a connection reads while a head is read.
type headLimit struct {
	// reading is set while a head is read; other bytes are not bounded.
	reading bool
	// taken is the number of bytes that were read, and granted that of those that may be.
	taken, granted int
	// grow is called before granted grows; nil always permits it.
	grow func(n int) error
	// err is set once no more may be read.
	err error
}

// readHead reads the head of a response. All heads of a call share one limit.
func (c *conn) readHead(r *http.Request) (*http.Response, error) {
	c.head.reading = true
	defer func() { c.head.reading = false }()
	resp, err := http.ReadResponse(c.reader, r)
	if err != nil {
		// The parser takes what precedes an error for a whole line, and reports that line.
		return nil, cmp.Or(c.head.err, c.Err(), err)
	}
	return resp, nil
}

// allow returns how many of n bytes may be read.
func (l *headLimit) allow(n int) (int, error) {
	if !l.reading {
		return n, nil
	}
	if l.taken == l.granted {
		if l.err = l.extend(); l.err != nil {
			return 0, l.err
		}
	}
	return min(n, l.granted-l.taken), nil
}

// extend grants the bytes of one more buffer.
func (l *headLimit) extend() error {
	if l.granted >= maxHeadBytes {
		return &HeadTooLongError{maxHeadBytes}
	}
	if l.grow != nil && l.granted > 0 {
		if err := l.grow(readBufferBytes); err != nil {
			return err
		}
	}
	l.granted += readBufferBytes
	return nil
}

// record counts n bytes that were read.
func (l *headLimit) record(n int) {
	if l.reading {
		l.taken += n
	}
}
