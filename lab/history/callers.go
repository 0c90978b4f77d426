package history

import (
	"fmt"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/invariant"
	"github.com/damaskrudder/damaskrudder/internal/session"
)

const (
	sessionCount = 4
	// keyedShare is one in how many requests that may not be repeated.
	keyedShare = 3
	// callerTries bounds the retries of a key.
	callerTries = 3
	// callerPatience is when a caller takes a silent daemon for lost.
	callerPatience = 12 * time.Second
)

// arrivals sends requests of a few sessions, one after the other each, and
// payments with keys, some of them at two daemons at once.
func (w *World) arrivals() {
	for s := range sessionCount {
		w.clock.After(w.duration(time.Second), func() {
			w.sessionTurn(fmt.Sprint("session-", s), session.Pin{Workspace: workspace, Name: fmt.Sprint("session-", s)})
		})
	}
	var pay func(n int)
	pay = func(n int) {
		if w.clock.Elapsed() >= length {
			return
		}
		key := fmt.Sprint("key-", n)
		w.pay(key, callerTries)
		if w.rng.IntN(keyedShare) == 0 {
			w.pay(key, callerTries)
		}
		w.clock.After(requestEvery*2, func() { pay(n + 1) })
	}
	pay(0)
}

func (w *World) ask(key, sessionName string, pin session.Pin, done func(answered bool, err *fault.Error, pin session.Pin)) {
	w.next++
	id := fmt.Sprint("r", w.next)
	d := w.daemons[w.rng.IntN(daemonCount)]
	w.stats.Asked++
	w.event(invariant.Event{Kind: invariant.RequestSent, Request: id, IdempotencyKey: key, NonRepeatable: key != "", Session: sessionName})
	settled := false
	result := func(answered bool, err *fault.Error, pin session.Pin) {
		if settled {
			return
		}
		settled = true
		switch {
		case answered:
			w.stats.Answered++
		case err != nil && err.ExecutionState() == fault.NotRun:
			w.stats.RefusedNotRun++
			w.event(invariant.Event{Kind: invariant.RefusedNotRun, Request: id})
		case err != nil:
			w.stats.Unknown++
		}
		done(answered, err, pin)
	}
	if d.alive {
		waits := func() bool { return !settled }
		d.after(hop, func() { d.serve(&call{id: id, key: key, session: sessionName, pin: pin, waits: waits, done: result}) })
	}
	w.clock.After(callerPatience, func() {
		if !settled {
			settled = true
			w.stats.Lost++
			done(false, fault.New(fault.EngineFailed, "connection lost"), pin)
		}
	})
}

func (w *World) sessionTurn(name string, pin session.Pin) {
	if w.clock.Elapsed() >= length {
		return
	}
	w.ask("", name, pin, func(answered bool, _ *fault.Error, next session.Pin) {
		if answered {
			pin = next
		}
		w.clock.After(requestEvery+w.duration(requestEvery), func() { w.sessionTurn(name, pin) })
	})
}

// pay sends a payment and repeats it with the same key while it is in doubt.
func (w *World) pay(key string, tries int) {
	w.ask(key, "", session.Pin{Workspace: workspace, Name: key}, func(answered bool, err *fault.Error, _ session.Pin) {
		if answered || err == nil || tries == 1 || w.clock.Elapsed() >= length {
			return
		}
		w.clock.After(w.duration(2*time.Second), func() { w.pay(key, tries-1) })
	})
}
