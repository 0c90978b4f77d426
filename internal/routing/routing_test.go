package routing

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

var testTime = time.Unix(1000, 0)

func idleServers(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i] = Candidate{ID: fmt.Sprint("s", i), Slots: 8, ServiceTime: time.Second, PrefillPerToken: time.Millisecond}
	}
	return out
}

func countPicks(t *testing.T, r Request, c []Candidate) map[int]int {
	t.Helper()
	rng := rand.New(rand.NewPCG(1, 2))
	got := map[int]int{}
	for range 400 {
		got[DefaultPipeline().Pick(&r, c, rng).Index]++
	}
	return got
}

// TestPick checks the choice by load, cached prefix, state and error rate. Equal servers
// share the load evenly.
func TestPick(t *testing.T) {
	even := countPicks(t, Request{PromptTokens: 100}, idleServers(4))
	for i := range 4 {
		if even[i] < 60 {
			t.Errorf("equal servers: %v", even)
		}
	}
	cases := []struct {
		name   string
		change func(c []Candidate, r *Request)
		want   int
	}{
		{"cached prefix", func(_ []Candidate, r *Request) { r.CachedBlocks[2], r.BlockTokens = 10, 64 }, 2},
		{"full server with cached prefix", func(c []Candidate, r *Request) {
			r.CachedBlocks[2], r.BlockTokens = 10, 64
			c[2].InFlight = 20
			c[0].InFlight, c[1].InFlight = 3, 3
		}, 3},
		{"leaving servers", func(c []Candidate, _ *Request) { c[0].Leaving, c[1].Leaving, c[2].Leaving = true, true, true }, 3},
		{"suspect servers", func(c []Candidate, _ *Request) { c[0].Suspect, c[1].Suspect, c[2].Suspect = true, true, true }, 3},
		{"tried servers", func(_ []Candidate, r *Request) { r.Tried = NewSet(0, 1, 3) }, 2},
		{"own first-token delays before reports", func(c []Candidate, _ *Request) {
			c[0].Wait, c[1].Wait, c[3].Wait = time.Second, time.Second, time.Second
		}, 2},
		{"failing servers", func(c []Candidate, _ *Request) { c[0].ErrorRate, c[2].ErrorRate, c[3].ErrorRate = 0.5, 0.5, 0.5 }, 1},
	}
	for _, tt := range cases {
		c, r := idleServers(4), Request{PromptTokens: 1000}
		tt.change(c, &r)
		if got := countPicks(t, r, c); got[tt.want] != 400 {
			t.Errorf("%s: picks by index: %v", tt.name, got)
		}
	}
}

func TestPickRefusals(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	c := idleServers(2)
	c[0].Leaving, c[1].Leaving = true, true
	if d := DefaultPipeline().Pick(&Request{}, c, rng); d.Index != -1 || d.Refusal != NoCandidate {
		t.Errorf("all leaving: %+v", d)
	}
	busy := idleServers(2)
	busy[0].InFlight, busy[1].InFlight = 40, 40
	r := Request{Budget: 2 * time.Second}
	if d := DefaultPipeline().Pick(&r, busy, rng); d.Index != -1 || d.Refusal != BudgetExceeded || d.Expected < 4*time.Second {
		t.Errorf("busy servers: %+v", d)
	}
	r.Urgent = true
	if d := DefaultPipeline().Pick(&r, busy, rng); d.Index < 0 {
		t.Errorf("urgent request refused: %+v", d)
	}
}

// A new server with the id of an old one must not inherit its estimates and cached blocks.
func TestReplacedServerStartsWithoutState(t *testing.T) {
	tracker := NewLoadTracker()
	tracker.Update([]Member{{ID: "a", Address: "1"}, {ID: "b", Address: "2"}})
	blocks := Blocks(nil, "m@v1", strings.Repeat("x", 4*BlockBytes))
	tracker.RecordSend("a", blocks, false, testTime)
	tracker.RecordUnreachable("a", testTime)
	tracker.Update([]Member{{ID: "b", Address: "2"}, {ID: "a", Address: "3"}})
	r := Request{Blocks: blocks}
	tracker.Prefix.Lookup(&r)
	for i, c := range tracker.Snapshot(nil, testTime) {
		if c.ID == "a" && (c.InFlight != 0 || c.Suspect || r.CachedBlocks[i] != 0 || c.Address != "3") {
			t.Errorf("replaced server: %+v, cached blocks %d", c, r.CachedBlocks[i])
		}
	}
}

// The suspect state must expire, even after many failures, and end at a first token.
func TestSuspectStateExpires(t *testing.T) {
	tracker := NewLoadTracker()
	tracker.Update([]Member{{ID: "a", Address: "1"}})
	suspect := func(at time.Time) bool { return tracker.Snapshot(nil, at)[0].Suspect }
	tracker.RecordTimeout("a", testTime)
	if suspect(testTime) {
		t.Fatal("suspect after one timeout")
	}
	tracker.RecordTimeout("a", testTime)
	if !suspect(testTime) || suspect(testTime.Add(initialSuspectTime)) {
		t.Fatal("not suspect after two timeouts, or for too long")
	}
	for range 10 {
		tracker.RecordUnreachable("a", testTime)
	}
	if !suspect(testTime.Add(maxSuspectTime-time.Second)) || suspect(testTime.Add(maxSuspectTime)) {
		t.Fatal("the suspect state does not last for maxSuspectTime")
	}
	tracker.RecordFirstToken("a", time.Millisecond, 0, testTime)
	if suspect(testTime) {
		t.Fatal("still suspect after a first token")
	}
}

// A single lagging report must not move the load estimate much, or all daemons switch to
// the same server.
func TestLoadReportsAreSmoothed(t *testing.T) {
	tracker := NewLoadTracker()
	tracker.Update([]Member{{ID: "a", Address: "1"}})
	tracker.RecordReport("a", 0, testTime)
	tracker.RecordReport("a", 40, testTime)
	if got := tracker.Snapshot(nil, testTime)[0].OthersInFlight; got > 10 {
		t.Fatalf("estimate %v after one report of 40", got)
	}
	for range 50 {
		tracker.RecordReport("a", 40, testTime)
	}
	if got := tracker.Snapshot(nil, testTime)[0].OthersInFlight; got < 35 {
		t.Fatalf("estimate %v after fifty reports of 40", got)
	}
}

func TestSubsetIsStable(t *testing.T) {
	var members []Member
	for i := range 200 {
		members = append(members, Member{ID: fmt.Sprint("s", i)})
	}
	in := func(s []Member) map[string]bool {
		out := map[string]bool{}
		for _, m := range s {
			out[m.ID] = true
		}
		return out
	}
	before, after := in(Subset("d", members, 24)), in(Subset("d", members[1:], 24))
	lost := 0
	for id := range before {
		if !after[id] {
			lost++
		}
	}
	if len(before) != 24 || lost > 1 {
		t.Fatalf("subset of %d members, %d replaced when one server left", len(before), lost)
	}
	uses := map[string]int{}
	for d := range 520 {
		for id := range in(Subset(fmt.Sprint("d", d), members, 24)) {
			uses[id]++
		}
	}
	for id, n := range uses {
		if n < 30 || n > 100 {
			t.Errorf("server %s is used by %d of 520 daemons, want about 62", id, n)
		}
	}
}

func TestPrefixIndexIsBounded(t *testing.T) {
	index := NewPrefixIndex()
	for i := range 4 * prefixCapacity {
		index.Add(i%8, []uint64{uint64(i)})
	}
	if n := len(index.recent) + len(index.previous); n > prefixCapacity {
		t.Fatalf("%d blocks kept", n)
	}
}

// Guards against a reserve that acts on idle or equally loaded servers, or that counts the load of
// servers that the request can't use.
func TestReserveActsOnlyOnUnequalBacklogs(t *testing.T) {
	c := idleServers(4)
	r := Request{Tried: NewSet(3)}
	c[2].Suspect = true
	c[2].PendingPrefill, c[3].PendingPrefill = 1000, 1000
	if mean := r.MeanBacklog(c); mean != 0 {
		t.Errorf("idle: mean backlog %s", mean)
	}
	c[0].PendingPrefill, c[1].OthersPending = 300, 300
	r.Patience = r.MeanBacklog(c)
	if first, second := (Reserve{}).Cost(&r, &c[0], 0), (Reserve{}).Cost(&r, &c[1], 1); r.Patience != 300*time.Millisecond || first != 0 || second != 0 {
		t.Errorf("equal backlogs: mean %s, costs %s, %s", r.Patience, first, second)
	}
	c[0].PendingPrefill = 0
	if cost := (Reserve{}).Cost(&r, &c[0], 0); cost != r.Patience {
		t.Errorf("empty server: cost %s", cost)
	}
}
