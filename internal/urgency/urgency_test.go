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
		{"in time", three, func(*Request) {}, Decision{4, 900 * ms, BySlack}},
		{"in time, one rank", Ranks{}, func(*Request) {}, Decision{5, 900 * ms, BySlack}},
		{"little slack, one rank", Ranks{}, func(r *Request) { r.Elapsed = 850 * ms }, Decision{3, 50 * ms, BySlack}},
		{"resent", three, func(r *Request) { r.Elapsed, r.Resent = 500*ms, true }, Decision{3, 400 * ms, LostTime}},
		{"resent too late", three, func(r *Request) { r.Elapsed, r.Resent = 950*ms, true }, Decision{5, -50 * ms, Late}},
		{"expected late", three, func(r *Request) { r.Expected = 1200 * ms }, Decision{5, -200 * ms, Late}},
		{"half of the timeout gone", three, func(r *Request) { r.Elapsed = 3000 * ms }, Decision{3, -2100 * ms, Aged}},
		{"resumed", three, func(r *Request) { r.Elapsed, r.Streaming, r.OverShare = 2000*ms, true, true }, Decision{3, -1100 * ms, Resumed}},
		{"over share", three, func(r *Request) { r.OverShare = true }, Decision{5, 900 * ms, OverShare}},
		{"over share, lowest rank", three, func(r *Request) { r.Rank, r.OverShare = 2, true }, Decision{9, 900 * ms, OverShare}},
		{"no target", three, func(r *Request) { r.Target = 0 }, Decision{4, 5900 * ms, BySlack}},
		{"no limit", three, func(r *Request) { r.Target, r.Timeout = 0, 0 }, Decision{4, -100 * ms, BySlack}},
		{"rank of an older configuration", three, func(r *Request) { r.Rank = 7 }, Decision{8, 900 * ms, BySlack}},
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

// Guards against late requests that wait until their timeout behind a flow of later ones that are in
// time and fill the engine.
func TestLateRequestIsAnsweredUnderLoad(t *testing.T) {
	const resendAfter = 500 * ms
	type queued struct{ priority, order int }
	late := Request{Target: 1000 * ms, Timeout: 6000 * ms, Elapsed: 1100 * ms}
	fresh := Decide(Ranks{}, Request{Target: 1000 * ms, Timeout: 6000 * ms}).Priority
	queue := []queued{{Decide(Ranks{}, late).Priority, 0}}
	for order := 1; late.Elapsed < late.Timeout; order++ {
		queue = append(queue, queued{fresh, order})
		slices.SortFunc(queue, func(a, b queued) int { return cmp.Or(a.priority-b.priority, a.order-b.order) })
		if queue[0].order == 0 {
			return
		}
		queue = queue[1:]
		late.Elapsed += 100 * ms
		if late.Elapsed%resendAfter == 0 {
			i := slices.IndexFunc(queue, func(q queued) bool { return q.order == 0 })
			queue[i].priority = Decide(Ranks{}, late).Priority
		}
	}
	t.Error("not answered within its timeout")
}
