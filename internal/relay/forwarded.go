package relay

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/flowcontrol"
	"github.com/damaskrudder/damaskrudder/internal/logs"
)

const (
	// maxForwardedCalls bounds the requests served for other daemons at a time, and thus their
	// memory. Each occupies a connection.
	maxForwardedCalls = 256
	// maxForwardBody is the largest body of a frame in bytes.
	maxForwardBody = 256 << 10
	// maxElapsed bounds the time since the arrival that another daemon states for a call.
	maxElapsed = time.Minute
)

// ServeForwarded serves a call of another daemon, which cannot reach the servers, and passes the
// response to send.
func (r *Relay) ServeForwarded(ctx context.Context, from string, f ForwardedCall, send func(ForwardFrame) error) {
	out := &forwardWriter{send: send}
	call := f.Call
	call.minConfigVersion = f.ConfigVersion
	call.Received = time.Now()
	call.Timeout = time.Duration(f.RemainingMillis) * time.Millisecond
	r.log.Info("forwarded request received", "request", logs.Bounded(call.ID), "from", from, "remaining_ms", f.RemainingMillis)
	r.Metrics.ForwardedRequests.Inc(1)
	if !r.beginForwarded() {
		r.Refuse(&call, out, fault.New(fault.HelperUnable, "%d requests of other daemons are being served", maxForwardedCalls))
		return
	}
	defer r.endForwarded()
	headCost := headerCost(call.Header)
	if refusal := r.GrowHeads(0, headCost); refusal != nil {
		r.Refuse(&call, out, fault.New(fault.HelperUnable, "%v", refusal))
		return
	}
	defer r.ReleaseHeads(headCost)
	call.Held = r.Hold()
	defer call.Held.Release()
	if err := call.Held.growBody(int64(len(call.Body))); err != nil {
		r.Refuse(&call, out, fault.New(fault.HelperUnable, "%v", err))
		return
	}
	if send(ForwardFrame{}) != nil {
		return
	}
	r.serve(ctx, &call, out, func(x *exchange) *fault.Error { return x.prepareForwarded(f, out) })
}

// headerCost returns what the header of a request takes.
func headerCost(h http.Header) int64 {
	size, lines := 0, 0
	for name, values := range h {
		for _, value := range values {
			size, lines = size+len(name)+len(value), lines+1
		}
	}
	return flowcontrol.HeadCost(size, lines)
}

func (r *Relay) beginForwarded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.forwardedCalls >= maxForwardedCalls {
		return false
	}
	r.forwardedCalls++
	return true
}

func (r *Relay) endForwarded() {
	r.mu.Lock()
	r.forwardedCalls--
	r.mu.Unlock()
}

// prepareForwarded applies the state of a forwarded call. It refuses one that this daemon cannot
// serve either.
func (x *exchange) prepareForwarded(f ForwardedCall, out *forwardWriter) *fault.Error {
	if x.relay.State.outOfReach(x.service.Name) {
		return fault.New(fault.HelperUnable, "the servers of %s are out of reach here as well", x.service.Name)
	}
	x.forwarded = true
	elapsed := min(max(f.ElapsedMillis, 0), maxElapsed.Milliseconds())
	x.call.Received = x.call.Received.Add(-time.Duration(elapsed) * time.Millisecond)
	x.sentToServer = f.Resent
	x.reportRuns = out.reportRuns
	out.setArrived(x.arrived.Load)
	x.modelIndex = min(max(0, f.Model), max(0, len(x.route.Models)-1))
	x.retryState.MaxRuns = min(max(1, f.MaxRuns), max(1, x.retryState.MaxRuns))
	return nil
}

// forwardWriter sends a response to another daemon. It implements ResponseWriter.
type forwardWriter struct {
	send func(ForwardFrame) error

	// mu guards the fields below: runs are reported while another goroutine writes the response.
	mu   sync.Mutex
	runs int
	// arrived reports whether the call has reached a server; nil until it is being served.
	arrived func() bool
	err     error
}

func (w *forwardWriter) setArrived(arrived func() bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrived = arrived
}

func (w *forwardWriter) write(f ForwardFrame) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.writeLocked(f)
}

// writeLocked sends a frame, unless an earlier one failed. Callers hold mu.
func (w *forwardWriter) writeLocked(f ForwardFrame) error {
	if w.err == nil {
		f.Runs = w.runs
		f.Arrived = w.arrived != nil && w.arrived()
		w.err = w.send(f)
	}
	return w.err
}

// reportRuns reports the number of servers that have run the call or may have.
func (w *forwardWriter) reportRuns(runs int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if runs == w.runs {
		return
	}
	w.runs = runs
	_ = w.writeLocked(ForwardFrame{}) // the next write of the response reports the error
}

// Refuse implements ResponseWriter.
func (w *forwardWriter) Refuse(e *fault.Error) {
	_ = w.write(ForwardFrame{Refusal: e.Encode()}) // fails only if the other daemon is gone
}

// WriteHeader implements ResponseWriter.
func (w *forwardWriter) WriteHeader(status int, h http.Header, length int64) {
	_ = w.write(ForwardFrame{Status: status, Header: h, Length: length}) // the write of the body reports the error
}

// WriteBody implements ResponseWriter.
func (w *forwardWriter) WriteBody(p []byte) error {
	for len(p) > 0 {
		n := min(len(p), maxForwardBody)
		if err := w.write(ForwardFrame{Body: p[:n]}); err != nil {
			return err
		}
		p = p[n:]
	}
	return nil
}

// Abort implements ResponseWriter.
func (w *forwardWriter) Abort() {
	_ = w.write(ForwardFrame{Aborted: true}) // fails only if the other daemon is gone
}
