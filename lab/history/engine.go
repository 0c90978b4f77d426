package history

import (
	"fmt"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/invariant"
	"github.com/damaskrudder/damaskrudder/internal/request"
)

const (
	framesPerRun  = 6
	frameInterval = 40 * time.Millisecond
	idleTimeout   = time.Second
)

// engine runs requests and keeps their frames, so that a stream can be resumed on another
// connection.
type engine struct {
	sim  *Simulation
	id   int
	runs map[string]*run
	// unloadedVersion is a model version that the engine refuses.
	unloadedVersion string
	// stalled makes each connection stop after two frames.
	stalled bool
	// scrambled makes connections repeat and reorder frames, and add frames of other runs.
	scrambled   bool
	incarnation int
}

type run struct {
	id          string
	frames      []request.Frame
	done        bool
	incarnation int
}

// start begins a run, or attaches to an existing run with the same id. It calls onRefused
// if the version is unloaded, and onConnected otherwise.
func (e *engine) start(id string, ev invariant.Event, onRefused func(), onConnected func(*run)) {
	e.sim.clock.After(networkDelay, func() {
		if ev.Version == e.unloadedVersion {
			onRefused()
			return
		}
		if r := e.runs[id]; r != nil {
			onConnected(r)
			return
		}
		ev.Kind, ev.Server = invariant.ExecutionStarted, fmt.Sprint("s", e.id)
		e.sim.recordEvent(ev)
		r := &run{id: id, incarnation: e.incarnation}
		e.runs[id] = r
		e.produce(r, ev.Request)
		onConnected(r)
	})
}

// produce adds a frame to a run every frameInterval until it is complete or the engine
// restarts.
func (e *engine) produce(r *run, requestID string) {
	e.sim.clock.After(frameInterval, func() {
		if e.incarnation != r.incarnation {
			return
		}
		n := len(r.frames) + 1
		f := request.Frame{Run: r.id, Offset: n, Delta: fmt.Sprintf("%s:%d ", r.id, n), End: n == framesPerRun}
		r.frames = append(r.frames, f)
		if n < framesPerRun {
			e.produce(r, requestID)
			return
		}
		r.done = true
		text := ""
		for _, f := range r.frames {
			text += f.Delta
		}
		e.sim.recordEvent(invariant.Event{Kind: invariant.ExecutionFinished, Request: requestID, Answer: text})
	})
}

// stream passes the frames after offset to onFrame until it returns false. It calls
// onBroken when the engine has restarted or no frame was sent for idleTimeout.
func (e *engine) stream(d *daemon, r *run, offset int, onFrame func(request.Frame) bool, onBroken func()) {
	sent, start := offset, e.sim.clock.Elapsed()
	lastSent := start
	var sendFrames func()
	sendFrames = func() {
		if e.incarnation != r.incarnation {
			onBroken()
			return
		}
		for sent < len(r.frames) && (!e.stalled || sent < offset+2) {
			f := r.frames[sent]
			sent++
			lastSent = e.sim.clock.Elapsed()
			for _, delivered := range e.deliveries(f, r) {
				if !onFrame(delivered) {
					return
				}
			}
		}
		if e.sim.clock.Elapsed()-lastSent > idleTimeout {
			onBroken()
			return
		}
		d.after(frameInterval/2, sendFrames)
	}
	d.after(networkDelay, sendFrames)
}

// deliveries returns the frames that the daemon receives when f is sent.
func (e *engine) deliveries(f request.Frame, r *run) []request.Frame {
	if !e.scrambled {
		return []request.Frame{f}
	}
	foreign := f
	foreign.Run, foreign.Delta = "other", "wrong "
	switch e.sim.rng.IntN(4) {
	case 0:
		return []request.Frame{f, f}
	case 1:
		return []request.Frame{foreign, f}
	case 2:
		return []request.Frame{r.frames[0], f}
	}
	return []request.Frame{f, foreign}
}

// restart discards all runs.
func (e *engine) restart() {
	e.incarnation++
	e.runs = map[string]*run{}
}
