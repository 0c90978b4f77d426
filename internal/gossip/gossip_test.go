package gossip

import (
	"io"
	"slices"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/damaskrudder/damaskrudder/internal/peer"
	"github.com/damaskrudder/damaskrudder/internal/relay"
)

func testMembers() *Members {
	return New("self:1", "self/1", func() Pulse { return Pulse{} }, Links{peer.NewLinks("self", "", nil)}, func() time.Duration { return 0 }, log.New(io.Discard))
}

func TestDaemonsAreFoundThroughEachOther(t *testing.T) {
	m := testMembers()
	m.Take("a:1", Pulse{Incarnation: "a/1", Name: "a", Known: []string{"b:1", "self:1"}})
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

// Symptom: callers were sent to a daemon that was leaving.
// Sequence: it says that it leaves; an older pulse arrives after that.
// Cause: the last pulse to arrive counted.
func TestLeavingIsNotTakenBack(t *testing.T) {
	m := testMembers()
	m.Take("a:1", Pulse{Incarnation: "a/1", Name: "a", Front: "f:1", Leaving: true})
	m.Take("a:1", Pulse{Incarnation: "a/1", Name: "a", Front: "f:1", Ready: true})
	if got := Fronts(m.Alive(), Pulse{Front: "self", Ready: true}); slices.Contains(got, "f:1") {
		t.Fatalf("names %v", got)
	}
	m.Take("a:1", Pulse{Incarnation: "a/2", Name: "a", Front: "f:1", Ready: true})
	if got := Fronts(m.Alive(), Pulse{Front: "self", Ready: true}); !slices.Contains(got, "f:1") {
		t.Fatalf("a new run of the daemon is not named: %v", got)
	}
}

func TestFrontsAreNeverNone(t *testing.T) {
	alive := []Pulse{{Front: "a", Leaving: true}, {Front: "b"}}
	if got := Fronts(alive, Pulse{Front: "c"}); !slices.Equal(got, []string{"b", "c"}) {
		t.Errorf("none ready: %v", got)
	}
	if got := Fronts(nil, Pulse{Front: "c", Leaving: true}); !slices.Equal(got, []string{"c"}) {
		t.Errorf("all leaving: %v", got)
	}
}

func TestOneDaemonComesFirst(t *testing.T) {
	a, b, c := Pulse{Name: "a"}, Pulse{Name: "b", Ready: true}, Pulse{Name: "c", Ready: true}
	if First([]Pulse{a, c}, "b", true) != true || First([]Pulse{a, b}, "c", true) != false || First(nil, "a", false) != false {
		t.Error("the first ready daemon by name decides")
	}
}

func TestPlacementsAreHeardOnce(t *testing.T) {
	var p Placements
	now := time.Unix(50, 0)
	take := func() []relay.Placed { return []relay.Placed{{Server: 7}} }
	_, first := p.Current(take, now)
	_, same := p.Current(take, now.Add(Every/2))
	_, next := p.Current(take, now.Add(Every))
	if first != same || next == first {
		t.Errorf("rounds %d, %d, %d", first, same, next)
	}
	var other Placements
	if !other.Fresh("a/1", first) || other.Fresh("a/1", same) || !other.Fresh("a/1", next) || !other.Fresh("b/1", first) {
		t.Error("a round is heard once from each daemon")
	}
}

func TestWorkIsSummedByServer(t *testing.T) {
	sum := TotalWork([]Pulse{
		{Work: []relay.Work{{Server: 1, Running: 2, Pending: 5}}},
		{Work: []relay.Work{{Server: 1, Running: 1, Pending: 7}, {Server: 2, Running: 4}}},
	})
	if sum[1].Running != 3 || sum[1].Pending != 12 || sum[2].Running != 4 {
		t.Errorf("got %v", sum)
	}
}

// Symptom: a key that had been taken away opened a second too long.
// Sequence: a pulse is on its way for a second; the daemon that gets it counts the
// age of its confirmation from its arrival.
// Cause: nothing tells how old a pulse is but an echo of the receiver's own clock.
func TestAgeCountsFromTheEchoedStamp(t *testing.T) {
	m := testMembers()
	if got := m.after(Pulse{}); got != 0 {
		t.Errorf("a pulse without an echo is as old as %s", got)
	}
	other := New("a:1", "a/1", func() Pulse { return Pulse{} }, Links{peer.NewLinks("a", "", nil)}, func() time.Duration { return time.Hour }, log.New(io.Discard))
	p := other.tellTo("self/1", 5000)
	if got := m.after(p); got != 5*time.Second {
		t.Errorf("made after %s, want 5s", got)
	}
	if got := m.after(other.tellTo("self/0", 5000)); got != 0 {
		t.Error("the clock of an earlier run, perhaps on another VM, was trusted")
	}
}
