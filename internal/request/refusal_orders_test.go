package request

import (
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fault"
)

// serverEvent is what happens to one send at a server.
type serverEvent int

const (
	refusesUnrun serverEvent = iota
	refusesConnection
	answers
	answersFailure
	losesRequest      // the connection breaks before the request arrives
	losesAnswer       // the request runs, and the connection breaks
	losesAndRunsLater // the connection breaks, and the request runs afterwards
	serverEvents
)

// runs reports whether the request runs at the server, at once or later.
func (e serverEvent) runs() bool { return e >= answers && e != losesRequest }

// observed returns what a daemon knows of the send; false means that it has an answer to deliver.
func (e serverEvent) observed() (SendOutcome, bool) {
	switch e {
	case refusesUnrun, refusesConnection:
		return NotStarted, true
	case answers:
		return 0, false
	case answersFailure:
		return ErrorResponse, true
	}
	return ResponseLost, true
}

// misjudged is the fault that the check must find: a send whose connection breaks counts as not
// started.
func (e serverEvent) misjudged() (SendOutcome, bool) {
	if e >= losesRequest {
		return NotStarted, true
	}
	return e.observed()
}

// refusalViolations plays all orders of events of a request that may run once only. A caller whose
// request is refused as not run sends it again by another daemon. It returns how many orders break
// a promise, and how many run the request twice.
func refusalViolations(observe func(serverEvent) (SendOutcome, bool)) (promises, runsTwice int) {
	const sends, daemons = 4, 2
	orders := 1
	for range sends {
		orders *= int(serverEvents)
	}
	for order := range orders {
		left, runs := order, 0
		next := func() (e serverEvent, any bool) {
			if left < 0 {
				return 0, false
			}
			e = serverEvent(left % int(serverEvents))
			if left /= int(serverEvents); left == 0 {
				left = -1
			}
			return e, true
		}
		for range daemons {
			runsHere, refusal := playAttempt(next, observe)
			runs += runsHere
			if refusal == nil || refusal.ExecutionState() != fault.NotRun {
				break
			}
			if runsHere > 0 {
				promises++
			}
		}
		if runs > 1 {
			runsTwice++
		}
	}
	return promises, runsTwice
}

// playAttempt plays the sends of one daemon until it answers or refuses.
func playAttempt(next func() (serverEvent, bool), observe func(serverEvent) (SendOutcome, bool)) (runs int, refusal *fault.Error) {
	now := time.Unix(0, 0)
	state := ProxyRetryState{MaxRuns: 3, Deadline: now.Add(time.Second)}
	for {
		event, any := next()
		if !any {
			return runs, state.Fail(fault.NoServer, "no server is left")
		}
		state.RecordSend()
		if event.runs() {
			runs++
		}
		outcome, failed := observe(event)
		if !failed {
			return runs, nil
		}
		if err := state.Next(outcome, now, func() bool { return true }); err != nil {
			return runs, err
		}
	}
}

// Guards against a refusal that states not_run for a request that has run or runs later, and
// against a second run after the caller has sent it again by another daemon.
func TestRefusalsAreTrueInAllOrdersOfEvents(t *testing.T) {
	if promises, twice := refusalViolations(serverEvent.observed); promises > 0 || twice > 0 {
		t.Errorf("%d broken promises, %d requests ran twice", promises, twice)
	}
	if promises, twice := refusalViolations(serverEvent.misjudged); promises == 0 || twice == 0 {
		t.Errorf("the planted fault is not found: %d broken promises, %d requests ran twice", promises, twice)
	}
}
