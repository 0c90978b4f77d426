package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/request"
	"github.com/damaskrudder/damaskrudder/internal/route"
)

const (
	// maxUnreachedSends is the number of servers that a request may fail to reach before it is
	// forwarded to another daemon.
	maxUnreachedSends = 2
	// maxOverflows is the number of daemons to which a request may be forwarded because this daemon's
	// share of the servers is in use.
	maxOverflows = 3
	// maxForwards is the number of daemons to which one request may be forwarded.
	maxForwards = 4
	// forwardOpenTimeout bounds the wait for a connection to another daemon.
	forwardOpenTimeout = 400 * time.Millisecond
	// forwardAcceptTimeout is how long another daemon may take to accept a call that may be repeated
	// before that is offered to others.
	forwardAcceptTimeout = 500 * time.Millisecond
	// maxForwardedBody is the largest body of a call that is forwarded, in bytes. A message between
	// daemons has room for it and the header.
	maxForwardedBody = 6 << 20
	// forwardDeadlineMargin is the part of the remaining time that is kept for the way back.
	forwardDeadlineMargin = 10 * time.Millisecond
)

// ForwardedCall is a call that a daemon forwards to another one, as it does not reach the servers.
// The other daemon selects the server and must not forward the call again.
type ForwardedCall struct {
	Call Call `cbor:"1,keyasint"`
	// RemainingMillis is the time until the deadline.
	RemainingMillis int64 `cbor:"2,keyasint"`
	// MaxRuns is the number of servers that may still run the call.
	MaxRuns int `cbor:"3,keyasint"`
	// Resent is set if the call may have been sent to a server before. The forwarding daemon then
	// accounts for it in its retry budget.
	Resent bool `cbor:"4,keyasint,omitempty"`
	// Model is the index of the current model in the route's models.
	Model int `cbor:"5,keyasint,omitempty"`
	// ConfigVersion is the forwarding daemon's version of the configuration. An older one must not
	// be applied.
	ConfigVersion int64 `cbor:"6,keyasint"`
	// ElapsedMillis is the time since the call's arrival, which counts towards its latency target.
	ElapsedMillis int64 `cbor:"7,keyasint,omitempty"`
}

// ForwardFrame is a part of the response to a forwarded call. The first one is empty and states
// that the call was accepted.
type ForwardFrame struct {
	// Refusal ends the response.
	Refusal *fault.Encoded `cbor:"1,keyasint,omitempty"`
	// Status and Header begin the response; Length is that of the body in bytes, or -1.
	Status int         `cbor:"2,keyasint,omitempty"`
	Header http.Header `cbor:"3,keyasint,omitempty"`
	Length int64       `cbor:"4,keyasint,omitempty"`
	Body   []byte      `cbor:"5,keyasint,omitempty"`
	// Aborted is set if the response ends before it is complete.
	Aborted bool `cbor:"6,keyasint,omitempty"`
	// Runs is the number of servers that have run the call so far or may have.
	Runs int `cbor:"7,keyasint,omitempty"`
	// Arrived is set once the call has reached a server, even if that did not run it.
	Arrived bool `cbor:"8,keyasint,omitempty"`
}

// ForwardStream is the response to a forwarded call.
type ForwardStream interface {
	// Receive returns the next frame, or io.EOF after the last one.
	Receive(ctx context.Context) (ForwardFrame, error)
	// Close ends the stream. An incomplete call is canceled.
	Close()
}

// Forwarder sends calls to other daemons.
type Forwarder interface {
	// Targets returns the addresses of the daemons that may reach the servers.
	Targets() []string
	// DoubtfulTargets returns the addresses of further daemons that may reach the servers, but have
	// not responded lately or state that they are not ready.
	DoubtfulTargets() []string
	// Forward sends a call to a daemon. If sent is false, the daemon has not received it.
	Forward(ctx context.Context, address string, call ForwardedCall) (stream ForwardStream, sent bool, err error)
}

// mayForward reports whether the call may be forwarded at all.
func (x *exchange) mayForward() bool {
	return x.relay.Forwarder != nil && !x.forwarded && len(x.call.Body) <= maxForwardedBody
}

// needsHelper reports whether the call should be forwarded.
func (x *exchange) needsHelper() bool {
	return x.mayForward() && len(x.forwards) < maxForwards && (x.unreached >= maxUnreachedSends || x.relay.State.outOfReach(x.service.Name))
}

// pickHelper returns the daemon to forward the call to, if it should be forwarded.
func (x *exchange) pickHelper() (address string, found bool) {
	if !x.needsHelper() {
		return "", false
	}
	r := x.relay
	lost := r.State.outOfReach(x.service.Name)
	targets, doubtful := r.Forwarder.Targets(), r.Forwarder.DoubtfulTargets()
	address, found = r.State.pickOrTryHelper(targets, doubtful, x.forwards)
	if !found && !x.withoutHelper {
		x.withoutHelper = true
		x.logEvent("no daemon to forward to", nil, "out_of_reach", lost, "unreached", x.unreached, "daemons", len(targets), "doubtful", len(doubtful), "tried", len(x.forwards), "refused_lately", r.State.refusedHelpers(targets))
	}
	return address, found
}

// pickOverflow returns a daemon to forward the call to because of a refusal, if others may have a
// share left of the servers that tolerate few rejections.
func (x *exchange) pickOverflow(refusal *fault.Error) (address string, found bool) {
	r := x.relay
	if refusal.Kind != fault.ServerSaturated || !x.mayForward() || len(x.forwards) >= maxOverflows {
		return "", false
	}
	return r.State.pickHelper(r.Forwarder.Targets(), x.forwards)
}

// forward sends the call through another daemon. It returns true if the client has the final
// response.
func (x *exchange) forward(ctx context.Context, address string) (outcome request.SendOutcome, done bool) {
	f := x.startForward(ctx, address) // if a panic ends it, releaseSends waits for the search first
	f.open()
	outcome, failed := f.recordResponse()
	if !failed {
		outcome, done = f.deliver()
	}
	f.recordEnd(outcome)
	f.end()
	if x.next = f.next; x.next != nil {
		x.movedOff = append(x.movedOff, f.address)
	}
	return outcome, done
}

// startForward prepares to forward the call.
func (x *exchange) startForward(ctx context.Context, address string) *forwardAttempt {
	x.retryState.RecordSend()
	x.forwards = append(x.forwards, address)
	x.forwardRefusal = nil
	x.relay.Metrics.Forwards.Inc(1)
	x.logEvent("forwarded", nil, "daemon", address, "out_of_reach", x.relay.State.outOfReach(x.service.Name), "unreached", x.unreached, "sends", x.retryState.Sends(), "waits_at", x.waitsAt)
	f := &forwardAttempt{x: x, address: address, call: x.forwardedCall(), counted: 1, parent: ctx, offers: x.offers}
	ctx, f.cancel = context.WithCancelCause(ctx)
	f.ctx, f.stop = context.WithDeadline(ctx, x.deadline)
	x.open[f] = true
	return f
}

func (x *exchange) forwardedCall() ForwardedCall {
	call := *x.call
	call.LastEvent = x.lastEvent
	version := int64(0)
	if t := x.relay.State.Table(); t != nil {
		version = t.Version
	}
	// The retry state counts the forwarding as a run, which it may become.
	return ForwardedCall{
		Call: call, RemainingMillis: (time.Until(x.deadline) - forwardDeadlineMargin).Milliseconds(), MaxRuns: x.retryState.RemainingRuns() + 1,
		Resent: x.isRepeat(), Model: x.modelIndex, ConfigVersion: version, ElapsedMillis: time.Since(x.call.Received).Milliseconds(),
	}
}

// forwardAttempt is the forwarding of a call to a daemon.
type forwardAttempt struct {
	holder
	x *exchange
	// parent is the context of the call. ctx ends with the forwarding, and at the deadline.
	parent, ctx context.Context
	cancel      context.CancelCauseFunc
	stop        context.CancelFunc
	address     string
	call        ForwardedCall
	// offers are those that the forwarding is one of; nil if it holds the call.
	offers *offers
	// accepted is set once the daemon has accepted the call, or has responded otherwise, and silence is
	// the timer of its silence before that.
	accepted bool
	silence  *time.Timer
	// stream is nil until the daemon has received the call.
	stream ForwardStream
	// sent is set unless the daemon has not received the call. err is the error before the header of
	// the response, refusal the daemon's refusal, and reply the response.
	sent    bool
	err     error
	refusal *fault.Error
	reply   *BackendResponse
	// awaitErr is the error of awaiting the response, and failure is the body of a server's failure.
	awaitErr error
	failure  *bufferedResponse
	// runs is the number of servers that the other daemon has reported to have run the call, and
	// counted the part of it in the call's retry state, of which the forwarding itself is one.
	runs, counted int
	// arrived is set once the call has reached a server, as the other daemon reports.
	arrived bool
	// rest is the received part of the body that has not been read.
	rest []byte
}

var errForwardAborted = errors.New("the other daemon aborted the response")

// open sends the call to the daemon and waits for the header of the response or a refusal.
func (f *forwardAttempt) open() {
	ctx, cancel := context.WithTimeout(f.ctx, forwardOpenTimeout)
	f.stream, f.sent, f.err = f.x.relay.Forwarder.Forward(ctx, f.address, f.call)
	cancel()
	if f.err != nil {
		return
	}
	f.sent = true
	header, err := f.receiveHeader()
	switch {
	case err != nil:
		f.err = err
	case header.Refusal != nil:
		f.refusal = header.Refusal.Decode()
	default:
		f.reply = &BackendResponse{Status: header.Status, Header: header.Header, Body: f, ContentLength: header.Length, Authenticated: true, Confidence: -1}
	}
}

// recordResponse records the result of open, and reports whether it is none that can be delivered.
func (f *forwardAttempt) recordResponse() (outcome request.SendOutcome, failed bool) {
	f.countRuns()
	switch {
	case f.err != nil:
		return f.recordError(f.err), true
	case f.refusal != nil:
		return f.refused(f.refusal), true
	}
	f.x.relay.State.recordHelper(f.address, true)
	return outcome, false
}

// recordEnd records whether the call may have reached a server.
func (f *forwardAttempt) recordEnd(outcome request.SendOutcome) {
	f.countRuns()
	f.x.withoutArrival = outcome == request.NotStarted && !f.arrived
	f.x.sentToServer = f.x.sentToServer || !f.x.withoutArrival
}

// end ends the forwarding. An incomplete response is cancelled.
func (f *forwardAttempt) end() {
	if !f.x.open[f] {
		return
	}
	delete(f.x.open, f)
	if f.stream != nil {
		f.stream.Close()
	}
	f.stop()
	f.cancel(nil)
	f.x.relay.State.endTrial(f.address)
}

// deliver forwards the response to the client.
func (f *forwardAttempt) deliver() (request.SendOutcome, bool) {
	ok := f.reply.Status >= http.StatusOK && f.reply.Status < http.StatusMultipleChoices
	if ok && f.x.route.Kind == route.Stream {
		return f.deliverStream(f.reply)
	}
	return f.deliverBuffered(f.reply, ok)
}

// recordError records an error of the daemon or of the link to it. The daemon is not at fault if the
// call has ended.
func (f *forwardAttempt) recordError(err error) request.SendOutcome {
	if f.ctx.Err() == nil {
		f.x.relay.State.recordHelper(f.address, false)
	}
	f.x.logEvent("forwarding failed", nil, "daemon", f.address, "sent", f.sent, "err", err)
	if f.sent {
		return request.ResponseLost
	}
	return request.NotStarted
}

// countRuns adds the reported runs to the call's retry state.
func (f *forwardAttempt) countRuns() {
	if more := f.runs - f.counted; more > 0 {
		f.counted += more
		f.x.retryState.AddRuns(more)
	}
}

// receiveHeader returns the first frame with a response or a refusal. A call that may be repeated is
// offered to others while the daemon does not accept it.
func (f *forwardAttempt) receiveHeader() (ForwardFrame, error) {
	if f.x.retryState.Repeatable {
		defer f.watchSilence().Stop()
	}
	for {
		f.wait()
		frame, err := f.receive(f.ctx)
		f.recordAccepted()
		if err == nil && frame.Refusal == nil && frame.Status == 0 {
			continue // it has accepted the call or reports runs; it may still refuse
		}
		if !f.proceed(err == nil && frame.Refusal == nil) {
			return frame, errRerouted
		}
		return frame, err
	}
}

func (f *forwardAttempt) receive(ctx context.Context) (ForwardFrame, error) {
	frame, err := f.stream.Receive(ctx)
	if err == nil {
		f.runs = max(f.runs, frame.Runs)
		f.arrived = f.arrived || frame.Arrived
	}
	return frame, err
}

// refused records a refusal by another daemon.
func (f *forwardAttempt) refused(e *fault.Error) request.SendOutcome {
	x := f.x
	x.logEvent("forwarded call refused", nil, "daemon", f.address, "kind", e.Kind, "ran", e.ExecutionState(), "why", e.Detail)
	x.forwardRefusal = e
	if e.Kind != fault.ServerSaturated {
		x.relay.State.recordHelper(f.address, !helperAtFault(e.Kind))
	}
	if e.ExecutionState() == fault.NotRun {
		return request.NotStarted
	}
	return request.ResponseLost
}

// helperAtFault reports whether a refusal is due to the state of the daemon that refuses, so that
// another daemon may serve the call.
func helperAtFault(kind fault.Kind) bool {
	switch kind {
	case fault.ConfigurationStale, fault.ShuttingDown, fault.EngineRefused, fault.NoServer, fault.HelperUnable, fault.ServerSaturated:
		return true
	}
	return false
}

// finalForwardRefusal returns the refusal of another daemon that would also be that of this one.
func (x *exchange) finalForwardRefusal() *fault.Error {
	e := x.forwardRefusal
	if e == nil || helperAtFault(e.Kind) && e.ExecutionState() == fault.NotRun {
		return nil
	}
	return x.retryState.Fail(e.Kind, e.Detail).WithRetryAfter(e.RetryAfter)
}

// Read implements io.Reader for the body of the response.
func (f *forwardAttempt) Read(p []byte) (int, error) {
	for len(f.rest) == 0 {
		frame, err := f.receive(f.ctx)
		switch {
		case err != nil:
			return 0, err
		case frame.Aborted || frame.Refusal != nil:
			return 0, errForwardAborted
		}
		f.rest = frame.Body
	}
	n := copy(p, f.rest)
	f.rest = f.rest[n:]
	return n, nil
}

// Close implements io.Closer.
func (f *forwardAttempt) Close() error { return nil }

// deliverBuffered forwards a response that is not a stream.
func (f *forwardAttempt) deliverBuffered(reply *BackendResponse, ok bool) (request.SendOutcome, bool) {
	x := f.x
	if x.headerSent {
		return request.ErrorResponse, false
	}
	body, err := x.readResponse(reply.Body, reply.ContentLength)
	if errors.Is(err, errNotBuffered) {
		return x.forwardUnbuffered(nil, reply, body)
	}
	if err != nil {
		return f.recordError(err), false
	}
	x.succeeded = ok
	x.relay.Metrics.Responses(ok).Inc(1)
	x.relay.Metrics.ResponseLatency.RecordDuration(time.Since(x.call.Received))
	x.logEvent("answered", nil, "daemon", f.address, "status", reply.Status, "bytes", len(body))
	x.complete = &bufferedResponse{reply.Status, reply.Header, body}
	return request.ErrorResponse, true
}

// deliverStream forwards the events of a stream.
func (f *forwardAttempt) deliverStream(reply *BackendResponse) (request.SendOutcome, bool) {
	x := f.x
	s := &streamForwarder{x: x, reply: reply, sentAt: time.Now(), observer: forwardedStream{}, reserved: reservation{held: x.held}}
	err := s.copy()
	f.countRuns()
	switch {
	case err == nil:
		x.succeeded = true
		x.relay.Metrics.Responses(true).Inc(1)
		x.logEvent("streamed", nil, "daemon", f.address, "last_event", x.lastEvent, "events", s.events)
		return request.ErrorResponse, true
	case errors.Is(err, errClientDisconnected):
		return request.ResponseLost, false
	}
	if f.ctx.Err() == nil {
		x.relay.State.recordHelper(f.address, false)
	}
	x.logEvent("forwarded stream interrupted", nil, "daemon", f.address, "last_event", x.lastEvent, "err", err, "cause", context.Cause(f.ctx))
	return request.Truncated, false
}
