package relay

import (
	"context"
	"fmt"
	"syscall"
	"testing"

	"github.com/damaskrudder/damaskrudder/internal/reachability"
	"github.com/damaskrudder/damaskrudder/internal/route"
)

// Guards against taking requests off servers at once that have not responded to a probe, or whose link
// refused it, and against waiting for servers that have ended.
func TestOnlyEndOfServerIsNoSilence(t *testing.T) {
	others := []string{"a1", "a2"}
	for name, tt := range map[string]struct {
		err       error
		accepting []string
		verdicts  []reachability.Verdict
		lost      bool
		want      bool
	}{
		"restarted":                         {err: ErrRestarted, want: true},
		"no response":                       {err: context.DeadlineExceeded, accepting: others, verdicts: []reachability.Verdict{reachability.Refused}},
		"reset":                             {err: syscall.ECONNRESET, accepting: others, verdicts: []reachability.Verdict{reachability.Refused}},
		"refused, others accept":            {err: syscall.ECONNREFUSED, accepting: others, want: true},
		"refused, as other daemons are":     {err: syscall.ECONNREFUSED, verdicts: []reachability.Verdict{reachability.Refused}, want: true},
		"refused, another daemon connects":  {err: syscall.ECONNREFUSED, accepting: others, verdicts: []reachability.Verdict{reachability.Refused, reachability.Connected}},
		"refused by all servers":            {err: syscall.ECONNREFUSED},
		"refused, others cannot tell":       {err: syscall.ECONNREFUSED, verdicts: []reachability.Verdict{reachability.Unknown}},
		"refused while the link has failed": {err: syscall.ECONNREFUSED, accepting: others, lost: true},
		"refused, silent to another daemon": {err: syscall.ECONNREFUSED, accepting: others, verdicts: []reachability.Verdict{reachability.Silent}},
	} {
		h := newHarness(t, respond(200, ""))
		h.relay.Verdicts = &fixedVerdicts{verdicts: tt.verdicts}
		h.relay.backend = &partialBackend{fakeBackend: h.backend, accepting: tt.accepting, err: fmt.Errorf("probe: %w", tt.err)}
		h.relay.liveness.backend = h.relay.backend
		server, _ := h.relay.State.server("a0")
		if tt.lost {
			h.relay.State.recordLinkFailure("a0")
		}
		ended, called := false, false
		a := h.relay.liveness.track(&target{server: server, service: "app"}, false, &route.Route{}, 3, func(e bool) bool {
			ended, called = e, true
			return true
		})
		h.relay.liveness.probe(t.Context(), a)
		h.relay.background.Wait()
		if !called || ended != tt.want {
			t.Errorf("%s: rerouted %t, shows the end of the server: %t", name, called, ended)
		}
		if reported := len(h.relay.State.Terminations()) > 0; reported != (tt.want && tt.err == syscall.ECONNREFUSED) {
			t.Errorf("%s: termination reported to others: %t", name, reported)
		}
	}
}
