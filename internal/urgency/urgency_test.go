package urgency

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

func request(change func(r *Request)) Request {
	r := Request{Rank: 1, Target: 1000 * ms, Timeout: 6000 * ms, Expected: 100 * ms}
	change(&r)
	return r
}

func TestDecide(t *testing.T) {
	three := NewRanks([]int{2, 0, 1, 1, 0}) // priorities 0 to 2, 3 to 5, 6 to 9
	cases := []struct {
		name   string
		ranks  Ranks
		change func(r *Request)
		want   Decision
	}{
		{"in time", three, func(*Request) {}, Decision{4, 900 * ms, InTime}},
		{"in time, one rank", Ranks{}, func(*Request) {}, Decision{4, 900 * ms, InTime}},
		{"little slack", three, func(r *Request) { r.Elapsed = 850 * ms }, Decision{3, 50 * ms, Tight}},
		{"little slack, one rank", Ranks{}, func(r *Request) { r.Elapsed = 850 * ms }, Decision{2, 50 * ms, Tight}},
		{"resent", three, func(r *Request) { r.Elapsed, r.Resent = 500*ms, true }, Decision{3, 400 * ms, LostTime}},
		{"resent too late", three, func(r *Request) { r.Elapsed, r.Resent = 950*ms, true }, Decision{4, -50 * ms, Late}},
		{"expected late", three, func(r *Request) { r.Expected = 1200 * ms }, Decision{4, -200 * ms, Late}},
		{"half of the timeout gone", three, func(r *Request) { r.Elapsed = 3000 * ms }, Decision{3, -2100 * ms, Aged}},
		{"resumed", three, func(r *Request) { r.Elapsed, r.Streaming, r.OverShare = 2000*ms, true, true }, Decision{3, -1100 * ms, Resumed}},
		{"over share", three, func(r *Request) { r.OverShare = true }, Decision{5, 900 * ms, OverShare}},
		{"over share, lowest rank", three, func(r *Request) { r.Rank, r.OverShare = 2, true }, Decision{9, 900 * ms, OverShare}},
		{"no target", three, func(r *Request) { r.Target = 0 }, Decision{4, 5900 * ms, InTime}},
		{"no limit", three, func(r *Request) { r.Target, r.Timeout = 0, 0 }, Decision{4, -100 * ms, InTime}},
		{"rank of an older configuration", three, func(r *Request) { r.Rank = 7 }, Decision{7, 900 * ms, InTime}},
	}
	for _, tt := range cases {
		if got := Decide(tt.ranks, request(tt.change)); got != tt.want {
			t.Errorf("%s: %+v, want %+v", tt.name, got, tt.want)
		}
	}
}

// Guards against requests of a rank that overtake more urgent ones, whatever their state.
func TestBetterRankIsNeverLater(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	random := func(rank int) Request {
		return Request{
			Rank: rank, Target: time.Duration(rng.IntN(3)) * time.Second, Timeout: time.Duration(rng.IntN(9)) * time.Second, Elapsed: time.Duration(rng.IntN(9000)) * ms,
			Expected: time.Duration(rng.IntN(4000)) * ms, Resent: rng.IntN(2) == 0, Streaming: rng.IntN(4) == 0, OverShare: rng.IntN(4) == 0,
		}
	}
	for range 20_000 {
		used := rng.Perm(40)[:1+rng.IntN(15)]
		ranks := NewRanks(used)
		a, b := used[rng.IntN(len(used))], used[rng.IntN(len(used))]
		better, worse := Decide(ranks, random(min(a, b))), Decide(ranks, random(max(a, b)))
		strict := a != b && len(used) <= Priorities
		if a != b && better.Priority > worse.Priority || strict && better.Priority == worse.Priority || worse.Priority >= Priorities {
			t.Fatalf("ranks %v: %d has priority %d, %d has %d", used, min(a, b), better.Priority, max(a, b), worse.Priority)
		}
	}
}

// Guards against requests that are not answered while later ones of their rank, which fill the
// engine, keep arriving: late ones, and after half of their timeout those of workspaces over their
// share.
func TestRequestIsAnsweredUnderLoad(t *testing.T) {
	const resendAfter = 500 * ms
	type queued struct{ priority, order int }
	fresh := Decide(Ranks{}, request(func(*Request) {})).Priority
	for name, r := range map[string]Request{
		"late":       request(func(r *Request) { r.Elapsed = 1100 * ms }),
		"over share": request(func(r *Request) { r.OverShare = true }),
	} {
		waiting, answered := queued{Decide(Ranks{}, r).Priority, 0}, false
		queue := []queued{{fresh, -1}}
		for order := 1; r.Elapsed < r.Timeout && !answered; order++ {
			queue = append(queue, queued{fresh, order})
			next := slices.MinFunc(append(queue, waiting), func(a, b queued) int { return cmp.Or(a.priority-b.priority, a.order-b.order) })
			answered = next == waiting
			queue = slices.DeleteFunc(queue, func(q queued) bool { return q == next })
			r.Elapsed += 100 * ms
			if r.Elapsed%resendAfter == 0 {
				waiting.priority = Decide(Ranks{}, r).Priority
			}
		}
		if !answered {
			t.Errorf("%s: not answered within the timeout", name)
		}
	}
}

// Guards against a request that is made late by leaving emptier engines to others.
func TestPatienceLeavesRequestInTime(t *testing.T) {
	cases := []struct {
		target, elapsed, mean, want time.Duration
	}{
		{4000 * ms, 0, 0, 0},
		{4000 * ms, 0, 200 * ms, 200 * ms},
		{4000 * ms, 0, 1900 * ms, 200 * ms},
		{1000 * ms, 0, 500 * ms, 40 * ms},
		{1000 * ms, 400 * ms, 500 * ms, 0},
	}
	for _, tt := range cases {
		r := Request{Target: tt.target, Timeout: 6000 * ms, Elapsed: tt.elapsed, Expected: 100 * ms}
		if got := Patience(Ranks{}, r, tt.mean); got != tt.want {
			t.Errorf("%+v: patience %s, want %s", tt, got, tt.want)
		}
	}
	if got := Patience(NewRanks([]int{0, 1}), Request{Target: 4000 * ms}, 500*ms); got != 0 {
		t.Errorf("first rank: patience %s", got)
	}
}
