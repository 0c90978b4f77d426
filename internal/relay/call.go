// Package relay serves opaque requests: it finds the route and workspace of a
// request, has a server chosen, sends it, and passes the answer on whole. The
// decisions are made by the pure packages; relay carries them out.
package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/fault"
)

// AnyModel as a request's model lets the route's models be chosen from.
const AnyModel = "*"

// NoEvent is the LastEvent of a stream that begins at its first event.
const NoEvent int64 = -1

// Call is one request of a caller. Its meaning is in these fields; method,
// target, header and body are passed on as they are.
type Call struct {
	// ID is the caller's name for this attempt; every attempt has its own.
	ID     string
	Host   string
	Method string
	// Target is the path and query as sent; Path is the path alone.
	Target string
	Path   string
	// Header holds what is passed on to servers.
	Header http.Header
	Body   []byte
	// Key is the API key, empty if none was sent.
	Key string
	// Model is the model asked for, AnyModel, or empty for plain services.
	Model  string
	Prompt Prompt
	// LastEvent is the number of the last event that the caller has, or NoEvent.
	LastEvent int64
	// Session names requests that belong together; may be empty.
	Session string
	// Timeout is how long the caller waits from Received on; zero is unbounded.
	Timeout  time.Duration
	Received time.Time
}

// Prompt describes what an engine has to read and make.
type Prompt struct {
	// Tokens is the prompt's length and AnswerTokens the most to be generated.
	Tokens          int
	MaxAnswerTokens int
	// AnswerTokensHint is the caller's estimate of the answer's length, right at the
	// median and often far off; zero is none.
	AnswerTokensHint int
	// Parts are the prompt's parts in order; requests share leading ones.
	Parts []PromptPart
}

// ExpectedAnswerTokens returns the expected length of the answer in tokens.
func (p Prompt) ExpectedAnswerTokens() int {
	if p.AnswerTokensHint <= 0 {
		return p.MaxAnswerTokens
	}
	if p.MaxAnswerTokens <= 0 {
		return p.AnswerTokensHint
	}
	return min(p.AnswerTokensHint, p.MaxAnswerTokens)
}

// PromptPart is one part of a prompt.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// BackendRequest is one sending of a call to a server.
type BackendRequest struct {
	Call      *Call
	Server    backend.Server
	Workspace string
	// Model replaces the call's model if it is not empty.
	Model string
	// LastEvent is the number of the event after which to begin, or NoEvent.
	LastEvent int64
	// Timeout is how long the answer is of use.
	Timeout time.Duration
	// Priority goes from 0, first, to 9.
	Priority int
	// MaxConnections bounds the connections to the server; zero is unbounded.
	MaxConnections int
}

// BackendResponse is the head of a server's answer and its body. Closing the body before
// its end cancels the run.
type BackendResponse struct {
	Status int
	// Header holds what is passed on to the caller.
	Header http.Header
	Body   io.ReadCloser
	// NotRun is the server's word that it did not run the request.
	NotRun bool
	// Authenticated answers bear the proof that a server made them.
	Authenticated bool
	// Confidence is the model's own opinion of its answer, 0 to 100; negative
	// if none is stated.
	Confidence float64
	// ContentLength is the body's length in bytes, or -1.
	ContentLength int64
}

// Backend sends to backend servers. Its errors are *upstream.Error.
type Backend interface {
	Send(ctx context.Context, s BackendRequest) (*BackendResponse, error)
	// Alive asks whether a server answers at all, not whether it is well.
	Alive(ctx context.Context, s backend.Server, engine bool) error
	// Refuses reports whether the VM at an address refuses connections: what listened there
	// has ended.
	Refuses(ctx context.Context, address string) bool
	// Forget closes the idle connections to an address.
	Forget(address string)
}

// Caller takes the answer.
type Caller interface {
	// Refuse ends the request with a refusal. Nothing has been passed on yet.
	Refuse(e *fault.Error)
	// Head passes on the head of an answer.
	Head(status int, h http.Header, length int64)
	// Pass passes bytes on at once.
	Pass(p []byte) error
	// Cut ends an answer that has begun so that it does not look complete.
	Cut()
}
