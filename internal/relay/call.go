// Package relay forwards opaque requests: it matches the route and workspace of a
// request, selects a backend server, sends the request and forwards the response.
// Decisions are made by side-effect-free packages; relay executes them.
package relay

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/quarantine"
	"github.com/damaskrudder/damaskrudder/internal/serverstatus"
)

// AnyModel as a call's model selects among the models of the route.
const AnyModel = "*"

// NoEvent is the LastEvent of a stream that begins at its first event.
const NoEvent int64 = -1

// Call is one request of a client. Method, target, header and body are forwarded
// unchanged.
type Call struct {
	// ID is the client's identifier of this attempt; every attempt has its own.
	ID     string
	Host   string
	Method string
	// Target is the path and query as received; Path is the path alone.
	Target string
	Path   string
	// Header holds the fields forwarded to servers.
	Header http.Header
	Body   []byte
	// Key is the API key, empty if none was sent.
	Key string
	// Model is the requested model, AnyModel, or empty for plain services.
	Model  string
	Prompt Prompt
	// LastEvent is the number of the last event the client has received, or NoEvent.
	LastEvent int64
	// Session groups related requests; may be empty.
	Session string
	// Timeout is how long the client waits, counted from Received; zero is unbounded.
	Timeout  time.Duration
	Received time.Time
	// Held accounts for the memory of the call.
	Held *HeldRequest `cbor:"-"`
	// minConfigVersion is the oldest version of the configuration that may decide the call.
	minConfigVersion int64
}

// Prompt describes the input and output sizes of an engine request.
type Prompt struct {
	// Tokens is the prompt's length, MaxCompletionTokens the limit on generated tokens.
	Tokens              int
	MaxCompletionTokens int
	// CompletionTokensHint is the client's rough estimate of the answer's length; zero
	// means none.
	CompletionTokensHint int
	// Parts are the prompt's parts in order; requests share leading parts.
	Parts []PromptPart
}

// ExpectedCompletionTokens returns the expected length of the answer in tokens.
func (p Prompt) ExpectedCompletionTokens() int {
	if p.CompletionTokensHint <= 0 {
		return p.MaxCompletionTokens
	}
	if p.MaxCompletionTokens <= 0 {
		return p.CompletionTokensHint
	}
	return min(p.CompletionTokensHint, p.MaxCompletionTokens)
}

// PromptPart is one part of a prompt, identified by a hash.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// partFingerprints returns the fingerprints of the parts that other requests may share.
func (p Prompt) partFingerprints(service string) []quarantine.Fingerprint {
	parts := make([][]byte, len(p.Parts))
	for i, part := range p.Parts {
		parts[i] = binary.BigEndian.AppendUint64(nil, part.ID)
	}
	return quarantine.PartFingerprints(service, parts)
}

// BackendRequest is one attempt to run a call on a server.
type BackendRequest struct {
	Call      *Call
	Server    backend.Server
	Workspace string
	// Model overrides the call's model if it is not empty.
	Model string
	// LastEvent is the number of the event to resume after, or NoEvent.
	LastEvent int64
	// FetchFrom is the address of the server from which to fetch the KV cache of leading parts of
	// the prompt; empty for none.
	FetchFrom string
	// Timeout is the remaining time in which a response is useful.
	Timeout time.Duration
	// Priority ranges from 0, the highest, to 9.
	Priority int
	// MaxConnections limits the connections to the server; zero is unlimited.
	MaxConnections int
	// ReuseOnly sends the request on an open connection or not at all.
	ReuseOnly bool
	// Admit reports whether the request may still be sent, once a connection is open.
	Admit func() bool
	// GrowHead is called with the number of bytes by which a long head grows, before they are read.
	// Its error fails the send.
	GrowHead func(n int) error
}

// BackendResponse is a server's response header and body. Closing the body before
// its end cancels the request on the server.
type BackendResponse struct {
	Status int
	// Header holds the fields forwarded to the client.
	Header http.Header
	Body   io.ReadCloser
	// NotRun is set if the server states that it did not run the request.
	NotRun bool
	// Misdirected is set if another server than the expected one has responded.
	Misdirected bool
	// Authenticated is set if the response carries the proof that a server made it.
	Authenticated bool
	// Confidence is the model's own rating of its answer, 0 to 100; negative if
	// none is given.
	Confidence float64
	// ContentLength is the body's length in bytes, or -1.
	ContentLength int64
	// Statements is what the response says about the server.
	serverstatus.Statements
}

// ErrRestarted means that a later incarnation has replaced the probed one.
var ErrRestarted = errors.New("server has restarted")

// Backend sends requests to backend servers. Its errors are *upstream.Error.
type Backend interface {
	Send(ctx context.Context, s BackendRequest) (*BackendResponse, error)
	// Probe checks that a server responds at all; it does not check its health.
	Probe(ctx context.Context, s backend.Server, engine bool) error
	// RefusesConnections reports whether the VM at an address refuses connections,
	// which means that the process that listened there has ended.
	RefusesConnections(ctx context.Context, address string) bool
	// CloseIdleConnections closes the idle connections to an address.
	CloseIdleConnections(address string)
}

// ResponseWriter sends the response to the client.
type ResponseWriter interface {
	// Refuse ends the request with an error. Nothing has been written before.
	Refuse(e *fault.Error)
	// WriteHeader sends the response header; length is in bytes, or -1.
	WriteHeader(status int, h http.Header, length int64)
	// WriteBody sends bytes without buffering them.
	WriteBody(p []byte) error
	// Abort ends a started response in a way that the client recognizes as incomplete.
	Abort()
}
