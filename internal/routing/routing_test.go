package routing

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

var now = time.Unix(1000, 0)

func idle(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i] = Candidate{ID: fmt.Sprint("s", i), Slots: 8, ServiceTime: time.Second, PrefillPerToken: time.Millisecond}
	}
	return out
}

func pickMany(t *testing.T, r Request, c []Candidate) map[int]int {
	t.Helper()
	rng := rand.New(rand.NewPCG(1, 2))
	got := map[int]int{}
	for range 400 {
		got[DefaultPipeline().Pick(&r, c, rng).Index]++
	}
	return got
}

// Where servers are alike, the choice spreads like round robin; each other case
// says why it differs.
func TestPick(t *testing.T) {
	even := pickMany(t, Request{PromptTokens: 100}, idle(4))
	for i := range 4 {
		if even[i] < 60 {
			t.Errorf("like servers: %v", even)
		}
	}
	cases := []struct {
		name   string
		change func(c []Candidate, r *Request)
		want   int
	}{
		{"a cached prefix saves its prefill", func(_ []Candidate, r *Request) { r.CachedBlocks[2], r.BlockTokens = 10, 64 }, 2},
		{"a full server is not worth its cache", func(c []Candidate, r *Request) {
			r.CachedBlocks[2], r.BlockTokens = 10, 64
			c[2].InFlight = 20
			c[0].InFlight, c[1].InFlight = 3, 3
		}, 3},
		{"a leaving server gets nothing", func(c []Candidate, _ *Request) { c[0].Leaving, c[1].Leaving, c[2].Leaving = true, true, true }, 3},
		{"nor does a suspect one", func(c []Candidate, _ *Request) { c[0].Suspect, c[1].Suspect, c[2].Suspect = true, true, true }, 3},
		{"nor one that was tried", func(_ []Candidate, r *Request) { r.Tried = SetOf(0, 1, 3) }, 2},
		{"own delays show before reports do", func(c []Candidate, _ *Request) {
			c[0].Wait, c[1].Wait, c[3].Wait = time.Second, time.Second, time.Second
		}, 2},
		{"a failing server costs a retry", func(c []Candidate, _ *Request) { c[0].ErrorRate, c[2].ErrorRate, c[3].ErrorRate = 0.5, 0.5, 0.5 }, 1},
	}
	for _, x := range cases {
		c, r := idle(4), Request{PromptTokens: 1000}
		x.change(c, &r)
		if got := pickMany(t, r, c); got[x.want] != 400 {
			t.Errorf("%s: %v", x.name, got)
		}
	}
}

func TestRefusals(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	c := idle(2)
	c[0].Leaving, c[1].Leaving = true, true
	if d := DefaultPipeline().Pick(&Request{}, c, rng); d.Index != -1 || d.Refusal != NoCandidate {
		t.Errorf("all leaving: %+v", d)
	}
	busy := idle(2)
	busy[0].InFlight, busy[1].InFlight = 40, 40
	r := Request{Budget: 2 * time.Second}
	if d := DefaultPipeline().Pick(&r, busy, rng); d.Index != -1 || d.Refusal != BudgetExceeded || d.Expected < 4*time.Second {
		t.Errorf("late: %+v", d)
	}
	r.Urgent = true
	if d := DefaultPipeline().Pick(&r, busy, rng); d.Index < 0 {
		t.Errorf("an urgent request waits behind all others: %+v", d)
	}
}

// Symptom: work goes to a server that was replaced at the same name, by what was
// known of the old one.
// Sequence: a server gets prompts, then a new VM takes its id at another address.
// Cause: the averages, the prefix knowledge and the slot belong to the old VM.
func TestReplacedServerStartsAnew(t *testing.T) {
	p := NewLoadTracker()
	p.Update([]Member{{ID: "a", Address: "1"}, {ID: "b", Address: "2"}})
	blocks := Blocks(nil, "m@v1", strings.Repeat("x", 4*BlockBytes))
	p.RecordDispatch("a", blocks, false, now)
	p.RecordUnreachable("a", now)
	p.Update([]Member{{ID: "b", Address: "2"}, {ID: "a", Address: "3"}})
	r := Request{Blocks: blocks}
	p.Prefix.Lookup(&r)
	for i, c := range p.Snapshot(nil, now) {
		if c.ID == "a" && (c.InFlight != 0 || c.Suspect || r.CachedBlocks[i] != 0 || c.Address != "3") {
			t.Errorf("the new server: %+v, cached %d", c, r.CachedBlocks[i])
		}
	}
}

// Symptom: a server gets no work for ever after it was silent or down once.
// Sequence: silences and failed connections, then time passes.
// Cause: suspicion must end, later each time, and a first token must clear it.
func TestSuspicionEnds(t *testing.T) {
	p := NewLoadTracker()
	p.Update([]Member{{ID: "a", Address: "1"}})
	suspect := func(at time.Time) bool { return p.Snapshot(nil, at)[0].Suspect }
	p.RecordTimeout("a", now)
	if suspect(now) {
		t.Fatal("one silence is a verdict")
	}
	p.RecordTimeout("a", now)
	if !suspect(now) || suspect(now.Add(suspectFor)) {
		t.Fatal("two silences")
	}
	for range 10 {
		p.RecordUnreachable("a", now)
	}
	if !suspect(now.Add(suspectMost-time.Second)) || suspect(now.Add(suspectMost)) {
		t.Fatal("the pause does not end at its most")
	}
	p.RecordFirstToken("a", time.Millisecond, 0, now)
	if suspect(now) {
		t.Fatal("a first token does not clear the suspicion")
	}
}

// Symptom: daemons chase each other from server to server.
// Sequence: one lagged report says a server is full, the next that it is idle.
// Cause: a single report tells of load that has moved on; the mean counts.
func TestReportsAreSmoothed(t *testing.T) {
	p := NewLoadTracker()
	p.Update([]Member{{ID: "a", Address: "1"}})
	p.RecordReport("a", 0, now)
	p.RecordReport("a", 40, now)
	if got := p.Snapshot(nil, now)[0].OthersInFlight; got > 10 {
		t.Fatalf("one report moved the estimate to %v", got)
	}
	for range 50 {
		p.RecordReport("a", 40, now)
	}
	if got := p.Snapshot(nil, now)[0].OthersInFlight; got < 35 {
		t.Fatalf("fifty reports moved the estimate to %v only", got)
	}
}

func TestSubsetMovesLittle(t *testing.T) {
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
		t.Fatalf("%d members, %d lost with one server", len(before), lost)
	}
	uses := map[string]int{}
	for d := range 520 {
		for id := range in(Subset(fmt.Sprint("d", d), members, 24)) {
			uses[id]++
		}
	}
	for id, n := range uses {
		if n < 30 || n > 100 {
			t.Errorf("server %s is used by %d of 520 daemons, 62 in the mean", id, n)
		}
	}
}

func TestPrefixKnowledgeIsBounded(t *testing.T) {
	x := NewPrefixIndex()
	for i := range 4 * prefixCapacity {
		x.Sent(i%8, []uint64{uint64(i)})
	}
	if n := len(x.young) + len(x.old); n > prefixCapacity {
		t.Fatalf("%d blocks remembered", n)
	}
}
