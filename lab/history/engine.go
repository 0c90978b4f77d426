package history

import (
	"fmt"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/invariant"
	"github.com/damaskrudder/damaskrudder/internal/request"
)

const (
	frames       = 6
	frameEvery   = 40 * time.Millisecond
	silenceLimit = time.Second
)

// engine runs requests and streams frames that survive a connection.
type engine struct {
	w    *World
	id   int
	runs map[string]*run
	// unloaded names a version that is refused.
	unloaded string
	// silent lets connections carry two frames and then nothing.
	silent bool
	// scramble repeats, crosses and reorders frames.
	scramble bool
	life     int
}

type run struct {
	id     string
	frames []request.Frame
	done   bool
	life   int
}

// start begins a run unless the version is unloaded; a repeated start of a run
// that exists attaches to it.
func (e *engine) start(id string, ev invariant.Event, refuse func(), connect func(*run)) {
	e.w.clock.After(hop, func() {
		if ev.Version == e.unloaded {
			refuse()
			return
		}
		if r := e.runs[id]; r != nil {
			connect(r)
			return
		}
		ev.Kind, ev.Server = invariant.ExecutionStarted, fmt.Sprint("s", e.id)
		e.w.event(ev)
		r := &run{id: id, life: e.life}
		e.runs[id] = r
		e.produce(r, ev.Request)
		connect(r)
	})
}

func (e *engine) produce(r *run, requestID string) {
	e.w.clock.After(frameEvery, func() {
		if e.life != r.life {
			return
		}
		n := len(r.frames) + 1
		f := request.Frame{Run: r.id, Offset: n, Delta: fmt.Sprintf("%s:%d ", r.id, n), End: n == frames}
		r.frames = append(r.frames, f)
		if n < frames {
			e.produce(r, requestID)
			return
		}
		r.done = true
		text := ""
		for _, f := range r.frames {
			text += f.Delta
		}
		e.w.event(invariant.Event{Kind: invariant.ExecutionFinished, Request: requestID, Answer: text})
	})
}

// stream sends the frames after an offset on one connection. Broken is called
// when the daemon finds the connection dead.
func (e *engine) stream(d *node, r *run, after int, frame func(request.Frame) bool, broken func()) {
	sent, began := after, e.w.clock.Elapsed()
	last := began
	var pump func()
	pump = func() {
		if e.life != r.life {
			broken()
			return
		}
		for sent < len(r.frames) && (!e.silent || sent < after+2) {
			f := r.frames[sent]
			sent++
			last = e.w.clock.Elapsed()
			for _, g := range e.deliveries(f, r) {
				if !frame(g) {
					return
				}
			}
		}
		if e.w.clock.Elapsed()-last > silenceLimit {
			broken()
			return
		}
		d.after(frameEvery/2, pump)
	}
	d.after(hop, pump)
}

// deliveries is what arrives for one frame: usually itself.
func (e *engine) deliveries(f request.Frame, r *run) []request.Frame {
	if !e.scramble {
		return []request.Frame{f}
	}
	foreign := f
	foreign.Run, foreign.Delta = "other", "wrong "
	switch e.w.rng.IntN(4) {
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
	e.life++
	e.runs = map[string]*run{}
}
