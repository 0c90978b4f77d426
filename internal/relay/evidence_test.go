package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/containment"
	"github.com/damaskrudder/damaskrudder/internal/gate"
	"github.com/damaskrudder/damaskrudder/internal/quarantine"
	"github.com/damaskrudder/damaskrudder/internal/rollout"
	"github.com/damaskrudder/damaskrudder/internal/route"
	"github.com/damaskrudder/damaskrudder/internal/serverstatus"
)

// updateFirst replaces the entry of the server that a request waits for, as a record of the store does.
func (h *harness) updateFirst(first backend.Server, change func(r *backend.Registry, s backend.Server, now time.Duration) *backend.Server) {
	var replaced *backend.Server
	next := first
	h.relay.State.UpdateServers(func(r *backend.Registry, now time.Duration) {
		replaced = change(r, first, now)
		if s, known, _ := r.Get(first.Incarnation.Name, now); known {
			next = s
		}
	})
	if replaced != nil {
		h.relay.ServerRestarted(*replaced, next)
	}
}

// putEntry returns a change of the first server's entry.
func putEntry(edit func(s *backend.Server)) func(*harness, backend.Server) {
	return func(h *harness, first backend.Server) {
		h.updateFirst(first, func(r *backend.Registry, s backend.Server, _ time.Duration) *backend.Server {
			edit(&s)
			replaced, _ := r.Put(s)
			return replaced
		})
	}
}

// observed returns a statement that the first server makes in another response.
func observed(s serverstatus.Statements) func(*harness, backend.Server) {
	return func(h *harness, first backend.Server) {
		go h.relay.State.observe(&target{server: first, service: first.Service}, &BackendResponse{Statements: s}, false)
	}
}

// Guards against requests that lose a server which is silent for a moment because of what is learned
// about it or its service elsewhere.
func TestRequestStaysWithSilentServerWhateverIsLearnedOfIt(t *testing.T) {
	for name, learn := range map[string]func(h *harness, first backend.Server){
		"entry removed": func(h *harness, first backend.Server) {
			h.updateFirst(first, func(r *backend.Registry, s backend.Server, now time.Duration) *backend.Server {
				r.Remove(s.Incarnation.Name, now)
				return nil
			})
		},
		"entry removed and back": func(h *harness, first backend.Server) {
			h.updateFirst(first, func(r *backend.Registry, s backend.Server, now time.Duration) *backend.Server {
				r.Remove(s.Incarnation.Name, now)
				replaced, _ := r.Put(s)
				return replaced
			})
		},
		"entry invalid": func(h *harness, first backend.Server) {
			h.updateFirst(first, func(r *backend.Registry, s backend.Server, _ time.Duration) *backend.Server {
				r.MarkUnusable(s.Incarnation.Name)
				return nil
			})
		},
		"entry of an older run": putEntry(func(s *backend.Server) { s.Incarnation.StartMillis = -1 }),
		"entry gains a start":   putEntry(func(s *backend.Server) { s.Incarnation.StartMillis = 200 }),
		"entry leaves":          putEntry(func(s *backend.Server) { s.Leaving = true }),
		"entry moves":           putEntry(func(s *backend.Server) { s.Address = "10.0.9.9:1" }),
		"entry is cold":         putEntry(func(s *backend.Server) { s.WarmAt = time.Hour }),
		"other version":         putEntry(func(s *backend.Server) { s.Version = "v2" }),
		"other service":         putEntry(func(s *backend.Server) { s.Service = "other" }),
		"address of another": func(h *harness, first backend.Server) {
			h.updateFirst(first, func(r *backend.Registry, s backend.Server, _ time.Duration) *backend.Server {
				replaced, _ := r.Put(backend.Server{Incarnation: backend.Incarnation{Name: "z", StartMillis: 5}, Service: "other", Address: s.Address, Slots: 1})
				return replaced
			})
		},
		"termination": func(h *harness, first backend.Server) { h.relay.RecordTermination(first.ID) },
		"reported termination": func(h *harness, first backend.Server) {
			h.relay.MergeTerminations([]gate.Termination{{Server: xxhash.Sum64String(first.ID)}})
		},
		"reported crash": func(h *harness, first backend.Server) {
			h.relay.Guard.Merge(quarantine.Update{Crashes: []quarantine.Crash{{Incarnation: containment.IncarnationKey(first.ID)}}})
		},
		"known as terminated": func(h *harness, first backend.Server) {
			h.relay.State.AddTerminatedServers([]uint64{xxhash.Sum64String(first.ID)})
		},
		"link failure": func(h *harness, first backend.Server) { h.relay.State.recordLinkFailure(first.ID) },
		"leaves":       observed(serverstatus.Statements{Leaving: serverstatus.Stated}),
		"replaced":     observed(serverstatus.Statements{Replaced: true}),
		"pauses":       observed(*pauseOf(time.Minute)),
		"version rolled back": func(h *harness, first backend.Server) {
			h.relay.Rollouts.AddOrder(rollout.Order{Service: first.Service, Target: "v1", Duration: 24 * time.Second, Offset: 7})
			h.relay.Rollouts.ApplyStoredPhase(StoredPhase{Service: first.Service, OrderOffset: 7, Phase: rollout.RolledBack, OrderAge: 15 * time.Second})
		},
		"other version completed": func(h *harness, first backend.Server) {
			h.relay.Rollouts.AddOrder(rollout.Order{Service: first.Service, Target: "v2", Duration: 24 * time.Second, Offset: 7})
			h.relay.Rollouts.ApplyStoredPhase(StoredPhase{Service: first.Service, OrderOffset: 7, Phase: rollout.Completed, OrderAge: 15 * time.Second})
		},
		"another request held": func(h *harness, _ backend.Server) {
			h.relay.Guard.ApplyHold(fingerprintOf("/l/2", "other"), time.Minute)
		},
		"service and route dropped": func(h *harness, _ backend.Server) {
			table, err := route.NewTable(route.Document{Version: 2, KeyRequired: true})
			if err != nil {
				panic(err)
			}
			h.relay.State.SetTable(table)
		},
		"draining": func(h *harness, _ backend.Server) { h.relay.Drain(time.Now()) },
	} {
		for kind, r := range silentRequests {
			t.Run(name+" "+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					h := newHarness(t, respondNotRun)
					b := &silentBackend{during: func(first backend.Server) { learn(h, first) }}
					out := r.serve(t, t.Context(), b, h)
					if out.status != 200 || out.body.String() != r.want || out.aborted || out.refusal != nil {
						t.Errorf("got %d %q, aborted %t, refused with %v", out.status, out.body.String(), out.aborted, out.refusal)
					}
				})
			})
		}
	}
}
