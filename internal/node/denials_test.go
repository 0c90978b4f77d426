package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/feed"
	"github.com/damaskrudder/damaskrudder/internal/feedtest"
	"github.com/damaskrudder/damaskrudder/internal/freshness"
	"github.com/damaskrudder/damaskrudder/internal/relay"
)

// servingBackend answers every request.
type servingBackend struct{ unavailableBackend }

func (servingBackend) Send(context.Context, relay.BackendRequest) (*relay.BackendResponse, error) {
	return &relay.BackendResponse{Status: 200, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("x")), ContentLength: 1, Authenticated: true, Confidence: -1}, nil
}

func (servingBackend) Probe(context.Context, backend.Server, bool) error { return nil }

// outcome sends a request for a path to a daemon and returns the kind of its refusal, or "" if it is
// served.
func (f *fleet) outcome(daemon int, path string) fault.Kind {
	out := &responseRecorder{}
	call := &relay.Call{ID: "i", Host: "h", Method: http.MethodPost, Target: path, Path: path, LastEvent: relay.NoEvent, Received: time.Now()}
	f.member(address(daemon)).Relay.Serve(f.t.Context(), call, out)
	if out.refusal != nil {
		return out.refusal.Kind
	}
	return ""
}

// newServingFleet starts daemons whose configuration has a route /old/ and whose servers answer.
func newServingFleet(t *testing.T, daemons int) *fleet {
	t.Helper()
	f := newStoppedFleet(t, daemons, []string{address(0), address(1), address(2)})
	f.backend = servingBackend{}
	f.store.Put("op", "config", []byte("6 /old/"))
	for i := range daemons {
		f.start(i)
	}
	return f
}

// Guards against a final answer to a request that the configuration in force allows, by a daemon
// that was cut off when its route was added.
func TestIsolatedDaemonDeniesNothing(t *testing.T) {
	t.Parallel()
	for _, daemons := range fleetSizes() {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newServingFleet(t, daemons)
				time.Sleep(5 * time.Second)
				const cutOff = 0
				if kind := f.outcome(cutOff, "/none"); kind != fault.NotFound {
					t.Errorf("in touch: %q, want a denial", kind)
				}
				f.isolate(cutOff, true)
				f.store.Put("op", "config", []byte("7 /old/ /new/"))
				added := time.Now()
				for time.Since(added) < 14*time.Second {
					time.Sleep(50 * time.Millisecond)
					kind, since := f.outcome(cutOff, "/new/"), time.Since(added)
					if kind == fault.NotFound && since >= f.limit {
						t.Fatalf("isolated: denied %s after the ack of the route", since)
					}
					if kind != fault.NotFound && kind != fault.ConfigurationStale {
						t.Fatalf("isolated: %q after %s", kind, since)
					}
					if kind := f.outcome(cutOff, "/old/"); kind != "" {
						t.Fatalf("isolated: a known route is refused with %q after %s", kind, since)
					}
				}
				f.isolate(cutOff, false)
				waitFor(t, f.limit, "the new route is served", func() bool { return f.outcome(cutOff, "/new/") == "" })
				waitFor(t, f.limit, "unknown paths are denied", func() bool { return f.outcome(cutOff, "/none") == fault.NotFound })
			})
		})
	}
}

// Guards against a daemon that denies by records of another daemon which nobody has confirmed.
func TestUnconfirmedDaemonDeniesNothing(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newServingFleet(t, 1)
		f.kill(0)
		f.store.SetMode(feedtest.Unresponsive)
		m := f.start(0)
		defer f.store.SetMode(feedtest.Serving)
		m.applyOperatorRecords([]feed.Record{{Key: "config", Value: []byte("6 /old/")}}, true)
		m.applyServerRecords([]feed.Record{{Key: "a", Value: []byte("ready")}}, true)
		for range 30 {
			for _, path := range []string{"/none", "/old/"} {
				if kind := f.outcome(0, path); kind != fault.ConfigurationStale {
					t.Fatalf("%s: %q", path, kind)
				}
			}
		}
		f.store.SetMode(feedtest.Serving)
		waitFor(t, f.limit, "unknown paths are denied and known ones served", func() bool {
			return f.outcome(0, "/none") == fault.NotFound && f.outcome(0, "/old/") == ""
		})
	})
}

// Guards against a configuration that appears younger with each daemon that passes its confirmation on,
// so that daemons without the store confirm each other.
func TestConfirmationDoesNotGrowYoungerOnItsWay(t *testing.T) {
	for _, age := range []time.Duration{0, time.Microsecond, time.Millisecond, 1500 * time.Microsecond, 2*time.Millisecond - 1} {
		from, now := newTestNode(t)
		from.loadTestState()
		*now += age
		for hop := range 5 {
			to, toNow := newTestNode(t)
			*toNow = *now
			to.applyPeerConfirmations(from.buildMessage(false), *now)
			if got, known := to.state.ConfirmationAge(freshness.Configuration); !known || got < age {
				t.Errorf("confirmed %s ago, %s at hop %d", age, got, hop)
			}
			from = to
		}
	}
}
