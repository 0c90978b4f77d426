package urgency

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/routing"
)

// loadKinds are the kinds of requests of a burst: short prompts with little time before long ones.
var loadKinds = []struct {
	request Request
	tokens  int
	share   float64
}{
	{Request{Rank: 0, Target: 1000 * ms, Timeout: 25_000 * ms}, 550, 0.7},
	{Request{Rank: 1, Target: 4000 * ms, Timeout: 10_000 * ms}, 9000, 0.3},
}

const loadPerToken = 20 * time.Microsecond

// engineLoad is a fleet whose engines process prompts in turn. A daemon knows its own sends, and
// those of the others with a delay.
type engineLoad struct {
	rng, picks *rand.Rand
	candidates []routing.Candidate
	// freeAt is when each engine has processed its prompts, known is freeAt at reportedAt, and own
	// is the work that each daemon has sent since.
	freeAt, known []time.Duration
	own           [][]time.Duration
	reportedAt    time.Duration
}

func newEngineLoad(daemons int, seed uint64) *engineLoad {
	engines := max(min(daemons*3/4, routing.MaxCandidates), 4)
	l := &engineLoad{rng: rand.New(rand.NewPCG(seed, 1)), picks: rand.New(rand.NewPCG(seed, 2)), freeAt: make([]time.Duration, engines), known: make([]time.Duration, engines)}
	for e := range engines {
		l.candidates = append(l.candidates, routing.Candidate{ID: fmt.Sprint(e), Slots: 64, PrefillPerToken: loadPerToken})
	}
	for range daemons {
		l.own = append(l.own, make([]time.Duration, engines))
	}
	return l
}

// report tells all daemons the load of the engines.
func (l *engineLoad) report(now time.Duration) {
	l.reportedAt = now
	copy(l.known, l.freeAt)
	for d := range l.own {
		clear(l.own[d])
	}
}

// send sends a request and returns the time to its first event.
func (l *engineLoad) send(daemon, kind int, reserve bool, now time.Duration) time.Duration {
	own, k := l.own[daemon], loadKinds[kind]
	for e := range l.candidates {
		l.candidates[e].PendingPrefill = float64(max(l.known[e], l.reportedAt)+own[e]-now) / float64(loadPerToken)
		l.candidates[e].PendingPrefill = max(l.candidates[e].PendingPrefill, 0)
	}
	work := time.Duration(k.tokens) * loadPerToken
	r := routing.Request{PromptTokens: k.tokens}
	if reserve {
		k.request.Expected = work
		r.Patience = Patience(NewRanks([]int{0, 1}), k.request, r.MeanBacklog(l.candidates))
	}
	e := routing.EnginePipeline().Pick(&r, l.candidates, l.picks).Index
	l.freeAt[e] = max(l.freeAt[e], now) + work
	own[e] += work
	return l.freeAt[e] - now
}

// play plays a burst and returns the fraction of each kind that is in time.
func (l *engineLoad) play(reserve bool) (inTime [2]float64) {
	const reportInterval, calm, burst = time.Second, 0.5, 1.1
	meanWork := 0.0
	for _, k := range loadKinds {
		meanWork += k.share * float64(k.tokens) * float64(loadPerToken)
	}
	var sent [2]float64
	for now := time.Duration(0); now < 8*time.Second; {
		load := calm
		if now > 2*time.Second && now < 6*time.Second {
			load = burst
		}
		now += time.Duration(l.rng.ExpFloat64() * meanWork / load / float64(len(l.candidates)))
		if now-l.reportedAt > reportInterval {
			l.report(now)
		}
		kind := 0
		if l.rng.Float64() > loadKinds[0].share {
			kind = 1
		}
		sent[kind]++
		if l.send(l.rng.IntN(len(l.own)), kind, reserve, now) <= loadKinds[kind].request.Target {
			inTime[kind]++
		}
	}
	return [2]float64{inTime[0] / sent[0], inTime[1] / sent[1]}
}

// Guards against short prompts with little time that wait behind long ones, which could have gone to
// busier engines and been in time.
func TestReserveKeepsShortPromptsInTime(t *testing.T) {
	for daemons, runs := range map[int]uint64{6: 20, 60: 8, 520: 1} {
		var without, with [2]float64
		for seed := range runs {
			a, b := newEngineLoad(daemons, seed).play(false), newEngineLoad(daemons, seed).play(true)
			for kind := range a {
				without[kind] += a[kind] / float64(runs)
				with[kind] += b[kind] / float64(runs)
			}
		}
		t.Logf("%d daemons: in time %.3f without, %.3f with", daemons, without, with)
		if with[0] <= without[0] || with[1] < without[1]-0.005 {
			t.Errorf("%d daemons: in time %.3f without, %.3f with", daemons, without, with)
		}
		if lateWithout, lateWith := 1-without[0], 1-with[0]; daemons >= 60 && lateWith > 0.75*lateWithout {
			t.Errorf("%d daemons: %.3f of short prompts late without, still %.3f with", daemons, lateWithout, lateWith)
		}
	}
}
