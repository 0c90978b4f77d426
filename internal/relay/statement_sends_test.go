package relay

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/freshness"
	"github.com/damaskrudder/damaskrudder/internal/quarantine"
	"github.com/damaskrudder/damaskrudder/internal/serverstatus"
	"github.com/damaskrudder/damaskrudder/internal/slowstart"
	"github.com/damaskrudder/damaskrudder/internal/upstream"
)

type responder func(BackendRequest) (*BackendResponse, error)

// sendKinds are the kinds of sends that the gate decides on, by the response that leads to them.
var sendKinds = map[string]struct {
	path    string
	respond responder
	// prepare is called before each request.
	prepare func(h *harness)
}{
	"plain":            {path: "/p/x", respond: respond(200, "ok")},
	"retry of failure": {path: "/l/x", respond: respond(500, "bad")},
	"retry of refusal": {path: "/l/x", respond: respondNotRun},
	"retry after loss": {path: "/l/x", respond: alternate(respond(200, "ok"), failSend(upstream.ConnectionLost, true))},
	"stream":           {path: "/s/x", respond: respondStream(99, nil, 0, 1)},
	"escalation":       {path: "/s/x", respond: respondStream(1, nil, 0, 1)},
	"resumed stream":   {path: "/s/x", respond: respondStream(99, errors.New("reset"), 0)},
	"suspect request":  {path: "/s/x", respond: respondStream(1, nil, 0, 1), prepare: suspectRequest},
	"others suspect":   {path: "/l/x", respond: respond(200, "ok"), prepare: suspectServers},
	"entry rewritten":  {path: "/l/x", respond: respond(200, "ok"), prepare: rewriteEntries},
}

// suspectRequest makes the request suspected of a crash, so that it goes to one server.
func suspectRequest(h *harness) {
	h.relay.Guard.Merge(quarantine.Update{Crashes: []quarantine.Crash{{Incarnation: 1, Suspects: []quarantine.Fingerprint{fingerprintOf("/s/x", "")}}}})
}

// suspectServers marks the servers other than the first as unreachable.
func suspectServers(h *harness) {
	for _, name := range []string{"a1", "a2"} {
		h.relay.State.recordUnreachable(&target{server: backend.Server{ID: name}, service: "app"})
	}
}

// rewriteEntries writes the entries of all servers again, which say that they are ready.
func rewriteEntries(h *harness) {
	h.relay.State.UpdateServers(func(r *backend.Registry, _ time.Duration) {
		for i := range 3 {
			_, _ = r.Put(backend.Server{Incarnation: backend.Incarnation{Name: fmt.Sprint("a", i)}, Service: "app", Address: fmt.Sprintf("10.0.1.%d:1", i), Slots: 4, Version: "v1"})
		}
	})
}

// isFirst reports whether a server is the first of its service.
func isFirst(r BackendRequest) bool {
	return r.Server.Incarnation.Name == "a0" || r.Server.Incarnation.Name == "e0"
}

// sendTimes returns when the requests of a constant load reached the servers that match, on the
// harness' clock, and the refusals.
func (h *harness) sendTimes(period time.Duration, path string, prepare func(h *harness), match func(BackendRequest) bool) (times []time.Duration, refusals []*fault.Error) {
	const interval = 10 * time.Millisecond
	for end := h.clock.now + period; h.clock.now < end; h.clock.now += interval {
		h.relay.State.Confirm(freshness.Configuration, freshness.Confirmation{At: h.clock.now, Source: freshness.FromStore})
		if prepare != nil {
			prepare(h)
		}
		before := len(h.backend.sends)
		if out := h.call(path); out.refusal != nil {
			refusals = append(refusals, out.refusal)
		}
		for _, send := range h.backend.sends[before:] {
			if match(send) {
				times = append(times, h.clock.now)
			}
		}
	}
	return times, refusals
}

// newStatingHarness is a harness whose servers respond with what states returns for the time since
// the start.
func newStatingHarness(t *testing.T, respond responder, states func(r BackendRequest, elapsed time.Duration, sends int) *serverstatus.Statements) *harness {
	t.Helper()
	h := newHarness(t, nil)
	start, sends := h.clock.now, map[string]int{}
	h.backend.script = []func(BackendRequest) (*BackendResponse, error){func(r BackendRequest) (*BackendResponse, error) {
		sends[r.Server.Incarnation.Name]++
		statements := states(r, h.clock.now-start, sends[r.Server.Incarnation.Name])
		respond := respond
		if statements != nil && statements.Pause.Kind != serverstatus.None {
			respond = respondNotRun
		}
		resp, err := respond(r)
		if err == nil && statements != nil {
			resp.Statements = *statements
		}
		return resp, err
	}}
	h.relay.State.SetSlowStartView(slowstart.View{Self: 1, Trusted: true})
	return h
}

// drainLimit is the time after which a server that has said that it leaves must get nothing.
const drainLimit = 2 * time.Second

// Guards against sends of any kind to a server whose response has said that it leaves.
func TestServerThatLeavesGetsNoRequests(t *testing.T) {
	leaving := &serverstatus.Statements{Leaving: serverstatus.Stated}
	for kind, tt := range sendKinds {
		for style, states := range map[string]func(r BackendRequest, elapsed time.Duration, sends int) *serverstatus.Statements{
			"in all responses":         func(BackendRequest, time.Duration, int) *serverstatus.Statements { return leaving },
			"in the first response":    func(_ BackendRequest, _ time.Duration, n int) *serverstatus.Statements { return only(leaving, n == 1) },
			"unreadable in later ones": func(_ BackendRequest, _ time.Duration, n int) *serverstatus.Statements { return firstThenUnreadable(n) },
		} {
			t.Run(kind+", "+style, func(t *testing.T) {
				h := newStatingHarness(t, tt.respond, func(r BackendRequest, elapsed time.Duration, sends int) *serverstatus.Statements {
					if !isFirst(r) {
						return nil
					}
					return states(r, elapsed, sends)
				})
				times, _ := h.sendTimes(10*time.Second, tt.path, tt.prepare, isFirst)
				late := 0
				for _, at := range times {
					if at-times[0] > drainLimit {
						late++
					}
				}
				if len(times) == 0 || late > 0 {
					t.Errorf("%d of %d requests came later than %s after the first response", late, len(times), drainLimit)
				}
			})
		}
	}
}

// only returns the statements if a condition holds, else nil.
func only(s *serverstatus.Statements, condition bool) *serverstatus.Statements {
	if condition {
		return s
	}
	return nil
}

func firstThenUnreadable(n int) *serverstatus.Statements {
	if n == 1 {
		return &serverstatus.Statements{Leaving: serverstatus.Stated}
	}
	return &serverstatus.Statements{Leaving: serverstatus.Unreadable}
}

func pauseOf(d time.Duration) *serverstatus.Statements {
	return &serverstatus.Statements{Pause: serverstatus.Pause{Kind: serverstatus.Stated, Duration: d}}
}

const (
	// pauseNotice is the time after which a pause must be kept, and maxInPause the number of
	// requests that may come in it.
	pauseNotice = 500 * time.Millisecond
	maxInPause  = 2
)

// Guards against sends of any kind to a server in the pause that it has asked for.
func TestPausedServerGetsNoRequests(t *testing.T) {
	const longPause = 3 * time.Second
	for kind, tt := range sendKinds {
		for style, states := range map[string]func(n int) *serverstatus.Statements{
			"in all refusals":        func(int) *serverstatus.Statements { return pauseOf(longPause) },
			"then a shorter one":     func(n int) *serverstatus.Statements { return firstOr(n, longPause, pauseOf(time.Millisecond)) },
			"then an unreadable one": func(n int) *serverstatus.Statements { return firstOr(n, longPause, unreadablePause()) },
			"then a success":         func(n int) *serverstatus.Statements { return firstOr(n, longPause, nil) },
		} {
			t.Run(kind+", "+style, func(t *testing.T) {
				h := newStatingHarness(t, tt.respond, func(r BackendRequest, _ time.Duration, n int) *serverstatus.Statements {
					return only(states(n), isFirst(r))
				})
				times, _ := h.sendTimes(longPause, tt.path, tt.prepare, isFirst)
				late := 0
				for _, at := range times {
					if at-times[0] > pauseNotice && at-times[0] < longPause {
						late++
					}
				}
				if len(times) == 0 || late > maxInPause {
					t.Errorf("%d of %d requests came in a pause of %s", late, len(times), longPause)
				}
			})
		}
	}
}

func firstOr(n int, first time.Duration, other *serverstatus.Statements) *serverstatus.Statements {
	if n == 1 {
		return pauseOf(first)
	}
	return other
}

func unreadablePause() *serverstatus.Statements {
	return &serverstatus.Statements{Pause: serverstatus.Pause{Kind: serverstatus.Unreadable}}
}
