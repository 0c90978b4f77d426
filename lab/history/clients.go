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
	// duplicateOneIn is the inverse fraction of payments that are sent twice concurrently.
	duplicateOneIn = 3
	// maxClientAttempts bounds the attempts with one idempotency key.
	maxClientAttempts = 3
	// clientTimeout is the time after which a client gives up on a request.
	clientTimeout = 12 * time.Second
)

// startClients starts sessions that send requests sequentially, and payments with
// idempotency keys, some of which are sent to two daemons concurrently.
func (s *Simulation) startClients() {
	for n := range sessionCount {
		s.clock.After(s.randomDuration(time.Second), func() {
			s.sendSessionRequest(fmt.Sprint("session-", n), session.Pin{Workspace: workspace, Name: fmt.Sprint("session-", n)})
		})
	}
	var sendNext func(n int)
	sendNext = func(n int) {
		if s.clock.Elapsed() >= trafficDuration {
			return
		}
		key := fmt.Sprint("key-", n)
		s.sendPayment(key, maxClientAttempts)
		if s.rng.IntN(duplicateOneIn) == 0 {
			s.sendPayment(key, maxClientAttempts)
		}
		s.clock.After(requestInterval*2, func() { sendNext(n + 1) })
	}
	sendNext(0)
}

// sendRequest sends a request to a random daemon and calls done exactly once, with the
// outcome or after clientTimeout.
func (s *Simulation) sendRequest(key, sessionName string, pin session.Pin, done func(answered bool, err *fault.Error, pin session.Pin)) {
	s.lastRequest++
	id := fmt.Sprint("r", s.lastRequest)
	d := s.daemons[s.rng.IntN(daemonCount)]
	s.stats.Requests++
	s.recordEvent(invariant.Event{Kind: invariant.RequestSent, Request: id, IdempotencyKey: key, NonRepeatable: key != "", Session: sessionName})
	finished := false
	finish := func(answered bool, err *fault.Error, pin session.Pin) {
		if finished {
			return
		}
		finished = true
		switch {
		case answered:
			s.stats.Answered++
		case err != nil && err.ExecutionState() == fault.NotRun:
			s.stats.RefusedNotRun++
			s.recordEvent(invariant.Event{Kind: invariant.RefusedNotRun, Request: id})
		case err != nil:
			s.stats.UnknownOutcome++
		}
		done(answered, err, pin)
	}
	if d.alive {
		connected := func() bool { return !finished }
		d.after(networkDelay, func() {
			d.serve(&call{id: id, key: key, session: sessionName, pin: pin, connected: connected, done: finish})
		})
	}
	s.clock.After(clientTimeout, func() {
		if !finished {
			finished = true
			s.stats.TimedOut++
			done(false, fault.New(fault.EngineFailed, "connection lost"), pin)
		}
	})
}

func (s *Simulation) sendSessionRequest(name string, pin session.Pin) {
	if s.clock.Elapsed() >= trafficDuration {
		return
	}
	s.sendRequest("", name, pin, func(answered bool, _ *fault.Error, next session.Pin) {
		if answered {
			pin = next
		}
		s.clock.After(requestInterval+s.randomDuration(requestInterval), func() { s.sendSessionRequest(name, pin) })
	})
}

// sendPayment sends a payment and retries it with the same key while it fails.
func (s *Simulation) sendPayment(key string, attemptsLeft int) {
	s.sendRequest(key, "", session.Pin{Workspace: workspace, Name: key}, func(answered bool, err *fault.Error, _ session.Pin) {
		if answered || err == nil || attemptsLeft == 1 || s.clock.Elapsed() >= trafficDuration {
			return
		}
		s.clock.After(s.randomDuration(2*time.Second), func() { s.sendPayment(key, attemptsLeft-1) })
	})
}
