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

// engine runs requests and streams frames that survive a connection.
type engine struct {
	sim  *Simulation
	id   int
	runs map[string]*run
	// unloadedVersion names a version that is refused.
	unloadedVersion string
	// stalled lets connections carry two frames and then nothing.
	stalled bool
	// scrambled repeats, crosses and reorders frames.
	scrambled   bool
	incarnation int
}

type run struct {
	id          string
	frames      []request.Frame
	done        bool
	incarnation int
}

// start begins a run unless the version is unloaded; a repeated start of a run
// that exists attaches to it.
func (e *engine) start(id string, ev invariant.Event, refuse func(), connect func(*run)) {
	e.sim.clock.After(networkDelay, func() {
		if ev.Version == e.unloadedVersion {
			refuse()
			return
		}
		if r := e.runs[id]; r != nil {
			connect(r)
			return
		}
		ev.Kind, ev.Server = invariant.Started, fmt.Sprint("s", e.id)
		e.sim.recordEvent(ev)
		r := &run{id: id, incarnation: e.incarnation}
		e.runs[id] = r
		e.produce(r, ev.Request)
		connect(r)
	})
}

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
		e.sim.recordEvent(invariant.Event{Kind: invariant.Produced, Request: requestID, Text: text})
	})
}

// stream sends the frames after an offset on one connection. Broken is called
// when the daemon finds the connection dead.
func (e *engine) stream(d *node, r *run, after int, frame func(request.Frame) bool, broken func()) {
	sent, start := after, e.sim.clock.Elapsed()
	last := start
	var sendFrames func()
	sendFrames = func() {
		if e.incarnation != r.incarnation {
			broken()
			return
		}
		for sent < len(r.frames) && (!e.stalled || sent < after+2) {
			f := r.frames[sent]
			sent++
			last = e.sim.clock.Elapsed()
			for _, g := range e.deliveries(f, r) {
				if !frame(g) {
					return
				}
			}
		}
		if e.sim.clock.Elapsed()-last > idleTimeout {
			broken()
			return
		}
		d.after(frameInterval/2, sendFrames)
	}
	d.after(networkDelay, sendFrames)
}

// deliveries is what arrives for one frame: usually itself.
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

// restart loses every run.
func (e *engine) restart() {
	e.incarnation++
	e.runs = map[string]*run{}
}
