package relay

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/freshness"
	"github.com/damaskrudder/damaskrudder/internal/peer"
	"github.com/damaskrudder/damaskrudder/internal/serverlimit"
	"github.com/damaskrudder/damaskrudder/internal/slowstart"
)

// fakePermits responds to asks for permits, and records the reports of responses without a rate.
type fakePermits struct {
	response peer.PermitResponse
	err      error
	asks     int
	reports  []peer.UnstatedLimit
}

func (p *fakePermits) RequestPermit(context.Context, uint64, peer.PermitRequest) (peer.PermitResponse, error) {
	p.asks++
	return p.response, p.err
}

func (p *fakePermits) ReportUnstated(_ context.Context, _ uint64, report peer.UnstatedLimit) error {
	p.reports = append(p.reports, report)
	return nil
}

// newHarnessWithoutShare returns a harness of a daemon that sends to none of the servers, which state
// a rate.
func newHarnessWithoutShare(t *testing.T, p *fakePermits, respond func(BackendRequest) (*BackendResponse, error)) *harness {
	h := newHarness(t, respond)
	h.relay.Permits = p
	h.loseShare()
	return h
}

// loseShare makes the servers state a rate of which the daemon has no share.
func (h *harness) loseShare() {
	servers := []string{"a0", "a1", "a2", "e0", "e1", "e2"}
	view := slowstart.View{Trusted: true}
	for i := range uint64(60) {
		view.Peers = append(view.Peers, i*0x9E3779B97F4A7C15+1)
	}
	var updates []serverlimit.Update
	for _, name := range servers {
		updates = append(updates, serverlimit.Update{Server: serverlimit.Key(name), PerSecond: 2})
	}
	for isSender := true; isSender; view.Self++ {
		isSender = false
		for _, name := range servers {
			isSender = isSender || view.IsSender(serverlimit.Key(name), 4)
		}
	}
	view.Self--
	h.relay.State.SetSlowStartView(view)
	h.relay.MergeServerLimits(updates)
}

// Guards against refusals by a daemon without a share of the servers' rates, and against requests
// that are sent before their permit applies.
func TestRequestUsesPermitOfAnotherDaemon(t *testing.T) {
	p := &fakePermits{response: peer.PermitResponse{Granted: true, WaitMillis: 80}}
	h := newHarnessWithoutShare(t, p, respond(200, "ok"))
	before := h.clock.now
	out := h.call("/p/x")
	if out.status != 200 || p.asks != 1 || h.clock.now-before < 80*time.Millisecond {
		t.Errorf("status %d, refused with %v; %d asks, waited %s", out.status, out.refusal, p.asks, h.clock.now-before)
	}
	if len(p.reports) != 1 || p.reports[0].Server != h.backend.sends[0].Server.ID {
		t.Errorf("response without a rate: reported %v", p.reports)
	}
}

// Guards against a limit that is kept after its end, since requests use the servers without one, and
// against asks for servers whose limit is not in doubt.
func TestRequestConfirmsEndOfLimit(t *testing.T) {
	for name, c := range map[string]struct {
		inDoubt, granted bool
		asks             int
	}{
		"in doubt":     {true, true, 1},
		"no permit":    {true, false, 1},
		"not in doubt": {false, true, 0},
	} {
		p := &fakePermits{response: peer.PermitResponse{Granted: c.granted}}
		h := newHarnessWithoutShare(t, p, respond(200, "ok"))
		h.clock.now += time.Second
		h.relay.MergeServerLimits([]serverlimit.Update{{Server: serverlimit.Key("a1")}, {Server: serverlimit.Key("a2")}})
		h.clock.now += 2 * time.Second
		h.relay.State.Confirm(freshness.Configuration, freshness.Confirmation{At: h.clock.now, Source: freshness.FromStore})
		if c.inDoubt {
			h.relay.ObserveUnstated(peer.UnstatedLimit{Server: "a0"})
		}
		out := h.call("/p/x")
		if out.status != 200 || p.asks != c.asks {
			t.Errorf("%s: status %d, refused with %v, %d asks", name, out.status, out.refusal, p.asks)
		}
		if confirmed := h.backend.sends[0].Server.ID == "a0"; confirmed != (c.inDoubt && c.granted) || confirmed != (len(p.reports) == 1) {
			t.Errorf("%s: sent to the server in doubt: %t, %d reports", name, confirmed, len(p.reports))
		}
	}
}

// Guards against a request that is sent after another daemon put it on hold while it waited for its
// permit.
func TestHoldIsCheckedAfterWaitForPermit(t *testing.T) {
	h := newHarnessWithoutShare(t, &fakePermits{response: peer.PermitResponse{Granted: true, WaitMillis: 80}}, respond(200, "ok"))
	h.relay.sleep = func(context.Context, time.Duration) bool {
		h.relay.Guard.ApplyHold(fingerprintOf("/p/x", "x"), time.Minute)
		return true
	}
	out := h.callWithBody("/p/x", "x")
	if r := out.refusal; r == nil || r.Kind != fault.Quarantined || r.ExecutionState() != fault.NotRun || len(h.backend.sends) > 0 {
		t.Errorf("status %d, refused with %v, %d sends", out.status, out.refusal, len(h.backend.sends))
	}
}

// Guards against requests that are sent without a valid permit, and against senders that are asked
// again and again.
func TestRequestWithoutPermitIsRefused(t *testing.T) {
	for name, p := range map[string]*fakePermits{
		"no room":         {response: peer.PermitResponse{WaitMillis: 900}},
		"no sender":       {},
		"no response":     {err: errors.New("test")},
		"late":            {response: peer.PermitResponse{Granted: true, WaitMillis: 60_000}},
		"before the call": {response: peer.PermitResponse{Granted: true, WaitMillis: -5}},
	} {
		h := newHarnessWithoutShare(t, p, respond(200, "ok"))
		for range 100 {
			out := h.call("/p/x")
			if r := out.refusal; r == nil || r.Kind != fault.ServerLimited || r.ExecutionState() != fault.NotRun || r.RetryDelay() <= 0 {
				t.Fatalf("%s: status %d, refused with %v", name, out.status, r)
			}
		}
		if len(h.backend.sends) > 0 || p.asks == 0 || p.asks > 3 {
			t.Errorf("%s: %d sends, %d asks", name, len(h.backend.sends), p.asks)
		}
	}
}

// Guards against permits of a daemon that does not send to the server or does not know it, and
// against reports of another daemon that end a limit by an impossible age.
func TestPermitsAreGivenBySenders(t *testing.T) {
	h := newHarness(t, respond(200, "ok"))
	ask := peer.PermitRequest{Server: "a0", HorizonMillis: 500}
	if resp := h.relay.GivePermit(ask); resp.Granted {
		t.Error("permit for a server without a rate")
	}
	h.relay.State.SetSlowStartView(slowstart.View{Self: 1, Trusted: true})
	h.relay.MergeServerLimits([]serverlimit.Update{{Server: serverlimit.Key("a0"), PerSecond: 20}})
	granted := 0
	for range 100 {
		if h.relay.GivePermit(ask).Granted {
			granted++
		}
	}
	if granted == 0 || granted > 12 {
		t.Errorf("%d permits for the next 500 ms at 20 a second", granted)
	}
	if h.relay.GivePermit(peer.PermitRequest{Server: "none", HorizonMillis: 500}).Granted || h.relay.GivePermit(peer.PermitRequest{Server: "a0", HorizonMillis: 1 << 40}).Granted {
		t.Error("permit for an unknown server or too far ahead")
	}
	for i := range 20 {
		h.clock.now += time.Second
		h.relay.ObserveUnstated(peer.UnstatedLimit{Server: "a0", AgeMillis: int64(i-10) * 1_000_000})
	}
	if h.relay.State.LimitedServers() != 1 {
		t.Error("the limit ended by reports of impossible ages")
	}
}
