package relay

import (
	"context"
	"errors"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/flowcontrol"
	"github.com/damaskrudder/damaskrudder/internal/logs"
)

const (
	// DefaultMemoryBudget is the number of bytes that a daemon without a stated limit may hold for
	// requests.
	DefaultMemoryBudget = 256 << 20
	// flowCheckInterval is the interval between checks for stalled clients, and between wake-ups of
	// responses that are paused although their clients have read all that they were offered.
	flowCheckInterval = time.Second
	// minStallTimeout is the least time in which a client must take some bytes.
	minStallTimeout = 5 * time.Second
	// writeChunkBytes is the largest part of a response that is written at a time. A client that
	// takes less than this in its stall timeout has stalled.
	writeChunkBytes = 16 << 10
	// maxKeptBuffer is the largest buffer that a response keeps for its next bytes.
	maxKeptBuffer = 16 << 10
	// firstReadBytes is the size of the first read of a body of unknown length.
	firstReadBytes = 4 << 10
)

var (
	errClientStalled = errors.New("the client has not read the response for too long")
	errMemoryBudget  = errors.New("the response was cut to keep within the memory budget")
)

// interrupter is a ResponseWriter whose blocked and further writes can be made to fail.
type interrupter interface{ Interrupt() }

// flowControl accounts for the bytes held for requests and carries out the ledger's decisions.
type flowControl struct {
	log     *log.Logger
	metrics *Metrics
	started time.Time

	mu       sync.Mutex
	ledger   *flowcontrol.Ledger
	requests map[flowcontrol.ID]*HeldRequest
	// paused holds the responses that wait for room.
	paused map[*pacedWriter]bool
}

func newFlowControl(budget int64, m *Metrics, l *log.Logger) *flowControl {
	if budget <= 0 {
		budget = DefaultMemoryBudget
	}
	return &flowControl{log: l, metrics: m, started: time.Now(), ledger: flowcontrol.NewLedger(budget), requests: map[flowcontrol.ID]*HeldRequest{}, paused: map[*pacedWriter]bool{}}
}

func (f *flowControl) now() time.Duration { return time.Since(f.started) }

// HeldRequest is the memory held for one request.
type HeldRequest struct {
	flow *flowControl
	id   flowcontrol.ID

	mu sync.Mutex
	// call is the ID of the request's call; empty until that is known.
	call string
	// onCut ends the response; nil unless it is being delivered. interrupted is the reason for which
	// it was ended, or is to be as soon as it is delivered.
	onCut       func(reason error)
	interrupted error
}

// Hold opens the account of a request, which the caller must release.
func (r *Relay) Hold() *HeldRequest { return r.flow.open() }

func (f *flowControl) open() *HeldRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := &HeldRequest{flow: f, id: f.ledger.Open(f.now())}
	f.requests[h.id] = h
	return h
}

// Release ends the account. Further calls have no effect.
func (h *HeldRequest) Release() {
	h.mu.Lock()
	h.onCut = nil
	h.mu.Unlock()
	f := h.flow
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ledger.Close(h.id)
	delete(f.requests, h.id)
}

// ReadBody reads a request's body, of a length in bytes or -1. It refuses a body for which there is
// no memory before it is read.
func (h *HeldRequest) ReadBody(body io.Reader, length int64) ([]byte, error) {
	return readGrowing(body, length, h.growBody)
}

// readGrowing reads to the end, of a length in bytes or -1. It calls grow with the number of bytes
// before it allocates them, and returns what was read before an error.
func readGrowing(r io.Reader, length int64, grow func(n int64) error) ([]byte, error) {
	if length >= 0 {
		return readSized(r, length, grow)
	}
	var out []byte
	for {
		if len(out) == cap(out) {
			more := max(firstReadBytes, len(out))
			if err := grow(int64(more)); err != nil {
				return out, err
			}
			out = append(make([]byte, 0, len(out)+more), out...)
		}
		n, err := r.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]
		if err == io.EOF {
			return out, nil
		}
		if err != nil {
			return out, err
		}
	}
}

func readSized(r io.Reader, length int64, grow func(n int64) error) ([]byte, error) {
	if length == 0 {
		return nil, nil
	}
	if err := grow(length); err != nil {
		return nil, err
	}
	out := make([]byte, length)
	n, err := io.ReadFull(r, out)
	return out[:n], err
}

// growBody accounts for n bytes of the body, or returns the refusal.
func (h *HeldRequest) growBody(n int64) error {
	refusal := h.flow.grow("body", n, func(now time.Duration) (bool, []flowcontrol.Cut) { return h.flow.ledger.GrowBody(h.id, n, now) })
	if refusal != nil {
		return refusal
	}
	return nil
}

// grow asks the ledger for room for something of n bytes, carries out its decision, and returns the refusal
// if there is none.
func (f *flowControl) grow(what string, n int64, ask func(now time.Duration) (granted bool, cuts []flowcontrol.Cut)) *fault.Error {
	f.mu.Lock()
	granted, cuts := ask(f.now())
	held := f.ledger.Held()
	f.mu.Unlock()
	f.cut(cuts, errMemoryBudget)
	if granted {
		return nil
	}
	f.metrics.RefusedForMemory.Inc(1)
	return fault.New(fault.Overloaded, "a %s that takes %d bytes does not fit beside the %d bytes that are held", what, n, held)
}

// releaseBody ends the account of the body.
func (h *HeldRequest) releaseBody() {
	h.flow.mu.Lock()
	h.flow.ledger.ReleaseBody(h.id)
	h.flow.mu.Unlock()
}

// growResponse accounts for n bytes of the response.
func (h *HeldRequest) growResponse(n int64) flowcontrol.Verdict {
	f := h.flow
	f.mu.Lock()
	verdict, cuts := f.ledger.GrowResponse(h.id, n, f.now())
	f.mu.Unlock()
	f.cut(cuts, errMemoryBudget)
	return verdict
}

// deliver records that the client is offered the response. onCut is called if it must be cut.
func (h *HeldRequest) deliver(call string, stallTimeout time.Duration, onCut func(reason error)) {
	h.flow.mu.Lock()
	h.flow.ledger.Deliver(h.id, max(stallTimeout, minStallTimeout), h.flow.now())
	h.flow.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.call, h.onCut = call, onCut
	if h.interrupted != nil {
		onCut(h.interrupted)
	}
}

// interrupt ends the response, as soon as it is being delivered.
func (h *HeldRequest) interrupt(reason error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.interrupted = reason
	if h.onCut != nil {
		h.onCut(reason)
	}
}

func (h *HeldRequest) callID() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.call
}

// read records that the client has taken bytes, of which n are no longer held.
func (h *HeldRequest) read(n int) {
	h.flow.mu.Lock()
	h.flow.ledger.Read(h.id, int64(n), h.flow.now())
	h.flow.mu.Unlock()
}

// cut ends responses. The caller must hold no lock.
func (f *flowControl) cut(cuts []flowcontrol.Cut, reason error) {
	for _, c := range cuts {
		f.mu.Lock()
		h := f.requests[c.ID]
		held := f.ledger.Held()
		f.mu.Unlock()
		if h == nil {
			continue
		}
		h.interrupt(reason)
		f.log.Warn("response cut", "request", logs.Bounded(h.callID()), "why", reason, "bytes", c.Bytes, "age_ms", c.Age.Milliseconds(), "unread_ms", c.Unread.Milliseconds(), "held", held)
		f.countCut(reason)
	}
}

func (f *flowControl) countCut(reason error) {
	if errors.Is(reason, errClientStalled) {
		f.metrics.ClientsStalled.Inc(1)
		return
	}
	f.metrics.ResponsesCutForMemory.Inc(1)
}

// check cuts the responses of stalled clients and wakes paused ones.
func (f *flowControl) check(context.Context, time.Time) {
	f.mu.Lock()
	cuts := f.ledger.CutStalled(f.now())
	f.metrics.BytesHeld.Update(float64(f.ledger.Held()))
	f.metrics.SlowReaders.Update(float64(f.ledger.SlowReaders(f.now())))
	paused := slices.Collect(maps.Keys(f.paused))
	f.mu.Unlock()
	f.cut(cuts, errClientStalled)
	for _, w := range paused {
		w.wake()
	}
}

func (f *flowControl) addPaused(w *pacedWriter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.paused[w] = true
}

func (f *flowControl) removePaused(w *pacedWriter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.paused, w)
}

func interrupt(out ResponseWriter) {
	if i, ok := out.(interrupter); ok {
		i.Interrupt()
	}
}

// stallTimeout is how long the client may take no bytes of its response.
func (x *exchange) stallTimeout() time.Duration { return x.deadline.Sub(x.call.Received) }

// releaseBody drops the request's body, which is not sent again.
func (x *exchange) releaseBody() {
	x.call.Body = nil
	x.held.releaseBody()
}

// begin starts the response to the client with the part of the body that has been read.
func (x *exchange) begin(header responseHeader, prefix []byte) {
	x.headerSent = true
	if !x.retryState.Repeatable || x.retryState.RemainingRuns() <= 0 {
		x.releaseBody()
	}
	x.paced = &pacedWriter{out: x.out, held: x.held, header: header, unread: prefix, onFail: x.cancel, onPause: x.recordPause, onPanic: x.reportPanic, done: make(chan struct{})}
	x.paced.changed.L = &x.paced.mu
	x.held.deliver(x.call.ID, x.stallTimeout(), x.paced.interrupt)
	x.paced.start()
}

// interruptOnEnd makes the response fail when ctx ends. The returned function undoes that.
func (x *exchange) interruptOnEnd(ctx context.Context) (undo func()) {
	stop := context.AfterFunc(ctx, func() { x.held.interrupt(context.Cause(ctx)) })
	return func() { stop() }
}

func (x *exchange) recordPause(unread int) {
	x.relay.Metrics.ResponsesPaused.Inc(1)
	x.logEvent("response paused", nil, "unread", unread, "last_event", x.lastEvent)
}

// finish waits until the client has the response, if one was started. A response that is incomplete
// is aborted.
func (x *exchange) finish(ctx context.Context) {
	if x.paced == nil {
		return
	}
	x.releaseBody()
	err := x.paced.finish()
	if err != nil && ctx.Err() == nil {
		x.logEvent("response not read", nil, "err", err)
	}
	if err != nil || x.aborted {
		x.out.Abort()
	}
}

// deliverComplete delivers the complete response, if there is one.
func (x *exchange) deliverComplete() {
	if x.complete != nil {
		x.deliver(x.complete)
	}
}

// deliver forwards a complete response. Its server is no longer involved.
func (x *exchange) deliver(r *bufferedResponse) {
	x.releaseBody()
	x.held.deliver(x.call.ID, x.stallTimeout(), func(error) { interrupt(x.out) })
	x.out.WriteHeader(r.status, r.header, int64(len(r.body)))
	for chunk := range slices.Chunk(r.body, writeChunkBytes) {
		if err := x.out.WriteBody(chunk); err != nil {
			x.logEvent("response not read", nil, "err", err, "bytes", len(r.body))
			return
		}
		x.held.read(0)
	}
}

// errNotBuffered means that a response is too long to be buffered, or that there is no room for it.
var errNotBuffered = errors.New("no room to buffer the response")

// readResponse reads a response of a length in bytes, or -1. It returns what it has read and
// errNotBuffered if the response must not be buffered.
func (x *exchange) readResponse(body io.Reader, length int64) ([]byte, error) {
	if b, ok := body.(*readBody); ok {
		return b.read, b.err
	}
	size := int64(0)
	return readGrowing(body, length, func(n int64) error {
		size += n
		if size > maxBufferedBody || x.held.growResponse(n) != flowcontrol.Granted {
			return errNotBuffered
		}
		return nil
	})
}
