package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// staleFleet plays daemons that send prompts to engines and know the work of each other as of
// their last report only.
type staleFleet struct {
	rng     *rand.Rand
	engines [][]stalePrompt
	// own is the pending work by daemon and engine, seen that of all others as last reported.
	own, seen [][]time.Duration
	// last is the last report by receiver and sender.
	last     [][][]time.Duration
	pipeline Pipeline
	unseen   UnseenWork
	inTime   int
	served   int
}

type stalePrompt struct {
	daemon  int
	arrived time.Duration
	work    time.Duration
	left    time.Duration
}

const (
	stalePlayed  = 8 * time.Second
	staleStep    = 5 * time.Millisecond
	stalePrompts = 30 * time.Millisecond
	staleTarget  = time.Second
)

func newStaleFleet(daemons, engines int, unseen UnseenWork) *staleFleet {
	f := &staleFleet{rng: rand.New(rand.NewPCG(uint64(daemons), 7)), engines: make([][]stalePrompt, engines), pipeline: EnginePipeline(), unseen: unseen}
	for range daemons {
		f.own = append(f.own, make([]time.Duration, engines))
		f.seen = append(f.seen, make([]time.Duration, engines))
		last := make([][]time.Duration, daemons)
		for from := range last {
			last[from] = make([]time.Duration, engines)
		}
		f.last = append(f.last, last)
	}
	return f
}

// report tells a daemon what another one has pending.
func (f *staleFleet) report(to, from int) {
	last := f.last[to][from]
	for e, pending := range f.own[from] {
		f.seen[to][e] += pending - last[e]
	}
	copy(last, f.own[from])
}

// reportDue lets the daemons that are due in this step report, one pair after the other, so that
// each daemon hears each other one once an interval.
func (f *staleFleet) reportDue(now, interval time.Duration) {
	steps := int(interval / staleStep)
	step := int(now/staleStep) % steps
	for to := range f.own {
		for from := range f.own {
			if to != from && (to*31+from*17)%steps == step {
				f.report(to, from)
			}
		}
	}
}

func (f *staleFleet) send(now time.Duration) {
	daemon := f.rng.IntN(len(f.own))
	candidates := make([]Candidate, len(f.engines))
	for e := range candidates {
		candidates[e] = Candidate{ID: fmt.Sprint(e), Slots: 64, PrefillPerToken: time.Microsecond,
			PendingPrefill: float64(f.own[daemon][e].Microseconds()), OthersPending: float64(f.seen[daemon][e].Microseconds())}
	}
	r := Request{PromptTokens: int(stalePrompts.Microseconds())}
	f.unseen.Distribute(&r, candidates, f.pipeline, f.rng)
	e := f.pipeline.Pick(&r, candidates, f.rng).Index
	f.engines[e] = append(f.engines[e], stalePrompt{daemon, now, stalePrompts, stalePrompts})
	f.own[daemon][e] += stalePrompts
}

// process lets each engine work on its prompts in turn for one step.
func (f *staleFleet) process(now time.Duration) {
	for e := range f.engines {
		for budget := staleStep; budget > 0 && len(f.engines[e]) > 0; {
			p := &f.engines[e][0]
			spent := min(budget, p.left)
			p.left, budget = p.left-spent, budget-spent
			f.own[p.daemon][e] -= spent
			if p.left > 0 {
				break
			}
			f.served++
			if now-p.arrived <= staleTarget {
				f.inTime++
			}
			f.engines[e] = f.engines[e][1:]
		}
	}
}

// play runs the fleet at a utilization of its engines. Each daemon has news of the others once an
// interval.
func (f *staleFleet) play(utilization float64, interval time.Duration) (inTime float64) {
	perStep := utilization * float64(len(f.engines)) * float64(staleStep) / float64(stalePrompts)
	due := 0.0
	for now := time.Duration(0); now < stalePlayed; now += staleStep {
		f.reportDue(now, interval)
		for due += perStep * f.rng.ExpFloat64(); due >= 1; due-- {
			f.send(now)
		}
		f.process(now)
	}
	for _, queue := range f.engines {
		f.served += len(queue)
	}
	return float64(f.inTime) / float64(f.served)
}

// Guards against all daemons choosing the same engine while its load has not been reported.
func TestDaemonsWithStaleReportsSpreadPrompts(t *testing.T) {
	const engines, utilization = 12, 0.95
	for _, fleet := range []struct {
		daemons  int
		interval time.Duration
	}{{6, 250 * time.Millisecond}, {60, time.Second}, {195, 3 * time.Second}, {250, 4 * time.Second}} {
		t.Run(fmt.Sprint(fleet.daemons), func(t *testing.T) {
			unseen := UnseenWork{PerSecond: time.Duration(utilization * engines * float64(time.Second)), ReportAge: fleet.interval / 2}
			got := newStaleFleet(fleet.daemons, engines, unseen).play(utilization, fleet.interval)
			t.Logf("in time: %.3f, without the estimate: %.3f", got, newStaleFleet(fleet.daemons, engines, UnseenWork{}).play(utilization, fleet.interval))
			if got < 0.95 {
				t.Errorf("%.3f of the prompts were in time, want 0.95", got)
			}
		})
	}
}

func TestWaterLevel(t *testing.T) {
	for _, test := range []struct {
		loads       []time.Duration
		work, level time.Duration
	}{
		{nil, 5, 0},
		{[]time.Duration{3}, 5, 8},
		{[]time.Duration{9, 1, 4}, 2, 3},
		{[]time.Duration{9, 1, 4}, 5, 5},
		{[]time.Duration{9, 1, 4}, 13, 9},
		{[]time.Duration{9, 1, 4}, 16, 10},
		{[]time.Duration{9, 1, 4}, math.MaxInt64 / 2, math.MaxInt64/6 + 4},
	} {
		if got := waterLevel(test.loads, test.work); got != test.level {
			t.Errorf("waterLevel(%v, %d) = %d, want %d", test.loads, test.work, got, test.level)
		}
	}
}

// Guards against requests that leave their model's engines because of work that is only assumed.
func TestUnseenWorkKeepsPartition(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	pipeline := EnginePipeline()
	for _, age := range []time.Duration{125 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second} {
		outside := NewSet(10, 11, 12, 13, 14, 15, 16, 17, 18, 19)
		unseen := UnseenWork{PerSecond: 8 * time.Second, ReportAge: age}
		for range 1000 {
			candidates := idleEngines(20)
			r := &Request{PromptTokens: 1000, OutsidePartition: outside}
			unseen.Distribute(r, candidates, pipeline, rng)
			if d := pipeline.Pick(r, candidates, rng); d.Index >= 10 {
				t.Fatalf("reports %s old: left the idle engines of the model", age)
			}
		}
	}
}

func TestReportedLoadIsMixedByAge(t *testing.T) {
	candidates := []Candidate{
		{ID: "a", Slots: 6, OthersInFlight: 9, ServiceTime: 50 * time.Millisecond},
		{ID: "b", Slots: 3, OthersInFlight: 0, ServiceTime: 50 * time.Millisecond},
		{ID: "leaving", Slots: 6, OthersInFlight: 100, ServiceTime: 50 * time.Millisecond, Leaving: true},
	}
	for _, test := range []struct {
		age  time.Duration
		a, b float64
	}{{0, 9, 0}, {time.Second, 6, 3}} {
		got := slices.Clone(candidates)
		MixReportedLoad(&Request{}, got, DefaultPipeline(), test.age)
		if math.Abs(got[0].OthersInFlight-test.a) > 0.01 || math.Abs(got[1].OthersInFlight-test.b) > 0.01 || got[2].OthersInFlight != 100 {
			t.Errorf("after %s: %.2f, %.2f and %.2f in flight, want %.2f, %.2f and 100", test.age, got[0].OthersInFlight, got[1].OthersInFlight, got[2].OthersInFlight, test.a, test.b)
		}
	}
}
