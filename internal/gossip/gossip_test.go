package gossip

import (
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/damaskrudder/damaskrudder/internal/membership"
	"github.com/damaskrudder/damaskrudder/internal/peer"
	"github.com/damaskrudder/damaskrudder/internal/relay"
)

func newTestMembers() *Members {
	return New(Self{Name: "self", Address: "self:1", Incarnation: "self/1"}, func(bool) Message { return Message{} }, PeerTransport{peer.NewClient("self", "", nil)}, func() time.Duration { return 0 }, log.New(io.Discard))
}

func TestDaemonsAreDiscoveredThroughPeers(t *testing.T) {
	m := newTestMembers()
	m.Receive("a:1", Message{Incarnation: "a/1", Name: "a", KnownAddresses: []string{"b:1", "self:1"}})
	if r, _ := m.table.Get("a:1"); m.LiveCount() != 1 || r.Name != "a" {
		t.Fatalf("%d live daemons, record %+v", m.LiveCount(), r)
	}
	var calls []string
	for _, other := range m.nextCalls(time.Now().Add(time.Second)) {
		calls = append(calls, other.address)
	}
	if !slices.Contains(calls, "b:1") || slices.Contains(calls, "self:1") {
		t.Fatalf("calls %v", calls)
	}
}

// A reordered message must not make a leaving daemon available to clients again.
func TestLeavingIsFinalForIncarnation(t *testing.T) {
	m := newTestMembers()
	m.Receive("a:1", Message{Incarnation: "a/1", Name: "a", ClientAddress: "f:1", Leaving: true})
	m.Receive("a:1", Message{Incarnation: "a/1", Name: "a", ClientAddress: "f:1", Ready: true})
	offered := func() []string {
		return membership.SelectEndpoints(append(m.Endpoints(), membership.Endpoint{Address: "self", Ready: true}), membership.Client{}, 10)
	}
	if got := offered(); slices.Contains(got, "f:1") {
		t.Fatalf("leaving daemon is offered: %v", got)
	}
	m.Receive("a:1", Message{Incarnation: "a/2", Name: "a", ClientAddress: "f:1", Ready: true})
	if got := offered(); !slices.Contains(got, "f:1") {
		t.Fatalf("a new run of the daemon is not offered: %v", got)
	}
}

func TestPlacementRoundsAreNewOnce(t *testing.T) {
	var p Placements
	now := time.Unix(50, 0)
	collect := func() []relay.Placement { return []relay.Placement{{Server: 7}} }
	_, first := p.CurrentRound(collect, now)
	_, same := p.CurrentRound(collect, now.Add(Interval/2))
	_, next := p.CurrentRound(collect, now.Add(Interval))
	if first != same || next == first {
		t.Errorf("rounds %d, %d, %d", first, same, next)
	}
	var other Placements
	if !other.MarkSeen("a/1", first) || other.MarkSeen("a/1", same) || !other.MarkSeen("a/1", next) || !other.MarkSeen("b/1", first) {
		t.Error("a round must be new exactly once for each daemon")
	}
}

// The reported changes add up to the work in the latest messages, and expired daemons
// have none.
func TestWorkChangesSumToLatestMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newTestMembers()
		sum := map[relay.ServerKey]relay.ServerWork{}
		m.OnWorkChanged = func(changes []relay.ServerWork) {
			for _, c := range changes {
				w := sum[c.Server]
				sum[c.Server] = relay.ServerWork{InFlight: w.InFlight + c.InFlight, PendingPrefill: w.PendingPrefill + c.PendingPrefill}
			}
		}
		m.Receive("a:1", Message{Incarnation: "a/1", Name: "a", Work: []relay.ServerWork{{Server: 1, InFlight: 9, PendingPrefill: 9}, {Server: 3, InFlight: 1}}})
		m.Receive("a:1", Message{Incarnation: "a/1", Name: "a", Work: []relay.ServerWork{{Server: 1, InFlight: 2, PendingPrefill: 5}}})
		time.Sleep(minLivenessTimeout / 2)
		m.Receive("b:1", Message{Incarnation: "b/1", Name: "b", Work: []relay.ServerWork{{Server: 1, InFlight: 1, PendingPrefill: 7}, {Server: 2, InFlight: 4}}})
		if sum[1].InFlight != 3 || sum[1].PendingPrefill != 12 || sum[2].InFlight != 4 || sum[3].InFlight != 0 {
			t.Errorf("got %v", sum)
		}
		time.Sleep(minLivenessTimeout/2 + time.Millisecond)
		m.reportExpiredWork()
		if sum[1].InFlight != 1 || sum[1].PendingPrefill != 7 || sum[2].InFlight != 4 {
			t.Errorf("after a daemon expired: %v", sum)
		}
	})
}

// Guards against counting the age of confirmations from their receipt, which keeps revoked
// keys valid for too long.
func TestSentAfterUsesEchoedTimestamp(t *testing.T) {
	m := newTestMembers()
	if got := m.sentAfter(Message{}); got != 0 {
		t.Errorf("a message without an echo was sent after %s", got)
	}
	other := New(Self{Name: "a", Address: "a:1", Incarnation: "a/1"}, func(bool) Message { return Message{} }, PeerTransport{peer.NewClient("a", "", nil)}, func() time.Duration { return time.Hour }, log.New(io.Discard))
	msg := other.newStampedMessage("self:1", "self/1", 5000, false)
	if got := m.sentAfter(msg); got != 5*time.Second {
		t.Errorf("sent after %s, want 5s", got)
	}
	if got := m.sentAfter(other.newStampedMessage("self:1", "self/0", 5000, false)); got != 0 {
		t.Error("the clock of an earlier run was used")
	}
}
