package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/damaskrudder/damaskrudder/internal/request"
	"github.com/damaskrudder/damaskrudder/internal/route"
)

// taker is a party to which a call is offered while another one holds it: a server, or a daemon that
// serves the call for this one.
type taker interface {
	// await waits until the party has taken the call or failed. A stream is taken with the event that
	// follows the last one forwarded, and any other response once it is read. It does not change the
	// exchange.
	await()
	// settle records the result of await, and reports whether the party has taken the call. If not,
	// it ends the offer.
	settle() (outcome request.SendOutcome, taken bool)
	// succeed makes the party, which has taken the call, the next holder of it.
	succeed()
	// finish delivers the response of the holder. It returns true if the client has it.
	finish() (outcome request.SendOutcome, done bool)
	// abandon makes await return.
	abandon(cause error)
	// drop ends the work of a party that has taken the call too late.
	drop()
	// release ends the work of a party of which nothing more is known.
	release(ctx context.Context)
	// name identifies the party in logs.
	name() string
}

// awaitTaken reads a response until its sender has taken the call. What was read can be read again.
func (x *exchange) awaitTaken(reply *BackendResponse, progress func()) error {
	if x.isStream(reply) {
		return x.awaitEvent(reply, progress)
	}
	return x.awaitBody(reply)
}

// isStream reports whether a response that may be forwarded is a stream of events.
func (x *exchange) isStream(reply *BackendResponse) bool {
	return x.route.Kind == route.Stream && reply.Status < http.StatusMultipleChoices
}

// interruptedOutcome returns the outcome of a send whose response broke off.
func (x *exchange) interruptedOutcome(reply *BackendResponse) request.SendOutcome {
	if x.isStream(reply) {
		return request.Truncated
	}
	return request.ResponseLost
}

// awaitEvent reads a stream up to the event that follows the last one forwarded, or to its proper
// end. Earlier events are dropped.
func (x *exchange) awaitEvent(reply *BackendResponse, progress func()) error {
	var reader eventReader
	body, buf := reply.Body, make([]byte, streamBufferSize)
	for {
		n, err := body.Read(buf)
		if e := reader.feed(buf[:n]); e != nil {
			return e
		}
		found, e := reader.skipTo(x.lastEvent)
		switch ended := err == io.EOF && !reader.partial(); {
		case e != nil:
			return e
		case found != nil, ended && x.headerSent:
			reply.Body = struct {
				io.Reader
				io.Closer
			}{io.MultiReader(bytes.NewReader(append(found, reader.buf...)), body), body}
			return nil
		case err == io.EOF:
			return errEmptyStream
		case err != nil:
			return err
		}
		progress()
	}
}

// skipTo returns a copy of the event that follows a number, or nil if it has not been read. Earlier events
// are dropped.
func (e *eventReader) skipTo(last int64) (found []byte, err error) {
	for {
		next, ok := e.next()
		if !ok {
			return nil, nil
		}
		follows, err := next.follows(last)
		if err != nil {
			return nil, err
		}
		if follows {
			return bytes.Clone(next.raw), nil
		}
	}
}

// readBody is a body of which a part, or all of it, has been read.
type readBody struct {
	io.ReadCloser
	read []byte
	// err is errNotBuffered if there is more.
	err error
}

// awaitBody reads a response that is to be buffered.
func (x *exchange) awaitBody(reply *BackendResponse) error {
	read, err := x.readWhole(reply)
	if err != nil && !errors.Is(err, errNotBuffered) {
		return err
	}
	reply.Body = &readBody{reply.Body, read, err}
	return nil
}

// readWhole reads a body and checks its length.
func (x *exchange) readWhole(reply *BackendResponse) ([]byte, error) {
	read, err := x.readResponse(reply.Body, reply.ContentLength)
	if err == nil && reply.ContentLength >= 0 && int64(len(read)) != reply.ContentLength {
		err = io.ErrUnexpectedEOF
	}
	return read, err
}

// readFailure reads the response of a server that failed. It returns nil if that is not to be
// forwarded or not complete.
func (x *exchange) readFailure(reply *BackendResponse) *bufferedResponse {
	defer func() { _ = reply.Body.Close() }() // an unfinished response has no effect on the call
	if reply.Status < http.StatusInternalServerError || x.headerSent {
		return nil
	}
	body, err := x.readWhole(reply)
	if err != nil {
		return nil
	}
	return &bufferedResponse{reply.Status, reply.Header, body}
}

// keepFailure keeps a failure that was read, to be forwarded if nobody answers.
func (x *exchange) keepFailure(reply *BackendResponse, read *bufferedResponse) request.SendOutcome {
	if reply.Status < http.StatusInternalServerError || x.headerSent {
		return request.ErrorResponse
	}
	if read == nil {
		return request.ResponseLost
	}
	x.serverFailure = read
	return request.ErrorResponse
}
