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

func testMembers() *Members {
	return New("self", "self:1", "self/1", func(bool) Message { return Message{} }, PeerTransport{peer.NewClient("self", "", nil)}, func() time.Duration { return 0 }, log.New(io.Discard))
}

func TestDaemonsAreFoundThroughEachOther(t *testing.T) {
	m := testMembers()
	m.Receive("a:1", Message{Incarnation: "a/1", Name: "a", Known: []string{"b:1", "self:1"}})
	if alive := m.Alive(); len(alive) != 1 || alive[0].Name != "a" {
		t.Fatalf("alive %v", alive)
	}
	var asked []string
	for _, o := range m.due(time.Now().Add(time.Second)) {
		asked = append(asked, o.address)
	}
	if !slices.Contains(asked, "b:1") || slices.Contains(asked, "self:1") {
		t.Fatalf("asks %v", asked)
	}
}

// Guards against this failure: callers were sent to a daemon that was leaving.
func TestLeavingIsNotTakenBack(t *testing.T) {
	m := testMembers()
	m.Receive("a:1", Message{Incarnation: "a/1", Name: "a", ClientAddress: "f:1", Leaving: true})
	m.Receive("a:1", Message{Incarnation: "a/1", Name: "a", ClientAddress: "f:1", Ready: true})
	offered := func() []string {
		return membership.SelectEndpoints(append(m.Endpoints(), membership.Endpoint{Address: "self", Ready: true}), membership.Client{}, 10)
	}
	if got := offered(); slices.Contains(got, "f:1") {
		t.Fatalf("names %v", got)
	}
	m.Receive("a:1", Message{Incarnation: "a/2", Name: "a", ClientAddress: "f:1", Ready: true})
	if got := offered(); !slices.Contains(got, "f:1") {
		t.Fatalf("a new run of the daemon is not named: %v", got)
	}
}

func TestPlacementsAreHeardOnce(t *testing.T) {
	var p Placements
	now := time.Unix(50, 0)
	take := func() []relay.Placement { return []relay.Placement{{Server: 7}} }
	_, first := p.CurrentRound(take, now)
	_, same := p.CurrentRound(take, now.Add(Interval/2))
	_, next := p.CurrentRound(take, now.Add(Interval))
	if first != same || next == first {
		t.Errorf("rounds %d, %d, %d", first, same, next)
	}
	var other Placements
	if !other.MarkSeen("a/1", first) || other.MarkSeen("a/1", same) || !other.MarkSeen("a/1", next) || !other.MarkSeen("b/1", first) {
		t.Error("a round is heard once from each daemon")
	}
}

// What is told of the work of others sums up to their newest pulses, and a daemon that has
// fallen silent has none.
func TestWorkIsSummedByServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := testMembers()
		sum := map[relay.ServerKey]relay.ServerWork{}
		m.OnWorkChanged = func(changes []relay.ServerWork) {
			for _, c := range changes {
				w := sum[c.Server]
				sum[c.Server] = relay.ServerWork{InFlight: w.InFlight + c.InFlight, PendingPrefill: w.PendingPrefill + c.PendingPrefill}
			}
		}
		m.Receive("a:1", Message{Incarnation: "a/1", Name: "a", Work: []relay.ServerWork{{Server: 1, InFlight: 9, PendingPrefill: 9}, {Server: 3, InFlight: 1}}})
		m.Receive("a:1", Message{Incarnation: "a/1", Name: "a", Work: []relay.ServerWork{{Server: 1, InFlight: 2, PendingPrefill: 5}}})
		time.Sleep(silentAfter / 2)
		m.Receive("b:1", Message{Incarnation: "b/1", Name: "b", Work: []relay.ServerWork{{Server: 1, InFlight: 1, PendingPrefill: 7}, {Server: 2, InFlight: 4}}})
		if sum[1].InFlight != 3 || sum[1].PendingPrefill != 12 || sum[2].InFlight != 4 || sum[3].InFlight != 0 {
			t.Errorf("got %v", sum)
		}
		time.Sleep(silentAfter/2 + time.Millisecond)
		m.forget()
		if sum[1].InFlight != 1 || sum[1].PendingPrefill != 7 || sum[2].InFlight != 4 {
			t.Errorf("after a daemon fell silent: %v", sum)
		}
	})
}

// Guards against this failure: a key that had been taken away opened a second too long.
func TestAgeCountsFromTheEchoedStamp(t *testing.T) {
	m := testMembers()
	if got := m.after(Message{}); got != 0 {
		t.Errorf("a pulse without an echo is as old as %s", got)
	}
	other := New("a", "a:1", "a/1", func(bool) Message { return Message{} }, PeerTransport{peer.NewClient("a", "", nil)}, func() time.Duration { return time.Hour }, log.New(io.Discard))
	p := other.stampedPulseFor("self:1", "self/1", 5000, false)
	if got := m.after(p); got != 5*time.Second {
		t.Errorf("made after %s, want 5s", got)
	}
	if got := m.after(other.stampedPulseFor("self:1", "self/0", 5000, false)); got != 0 {
		t.Error("the clock of an earlier run, perhaps on another VM, was trusted")
	}
}
