package rollout

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// latencyEvidence returns evidence of a number of answers on each of three servers of both versions. The
// given fraction of the new version's answers takes factor times as long.
func latencyEvidence(rng *rand.Rand, newAnswers, runningAnswers int, slow, factor float64) Evidence {
	e := evidenceOf(0, int64(3*newAnswers), 0, int64(3*runningAnswers), false)
	for i := range e {
		e[i].Counts.Timed = 0
		n := runningAnswers
		if e[i].New {
			n = newAnswers
		}
		for range n {
			latency := 0.05 * math.Exp(0.6*rng.NormFloat64())
			if e[i].New && rng.Float64() < slow {
				latency *= factor
			}
			e[i].Counts.Latencies.Add(latency)
		}
	}
	return e
}

// Guards against a slow version that is advanced or completed on few answers, since it raises no alarm. One
// in ten may be acquitted by chance, by DoubtThreshold.
func TestVersionThatIsNotAcquittedIsNotCompleted(t *testing.T) {
	const seeds = 200
	p, o := DefaultOrderPolicy(), Order{Duration: 10 * time.Second, FullSince: 6 * time.Second}
	for _, tt := range []struct {
		at      Phase
		since   time.Duration
		refused Phase
	}{{Ramp, 8 * time.Second, Full}, {Full, 8500 * time.Millisecond, Completed}, {Full, 9500 * time.Millisecond, Completed}} {
		moved := 0
		for seed := range uint64(seeds) {
			few := latencyEvidence(rand.New(rand.NewPCG(seed, 1)), 7, 40, 0.3, 4)
			if got, _ := p.NextPhase(o, tt.at, tt.since, few, 0); got == tt.refused {
				moved++
			}
		}
		t.Logf("%d of %d slow versions went from %s to %s", moved, seeds, tt.at, tt.refused)
		if moved > seeds/int(p.DoubtThreshold) {
			t.Errorf("%d of %d slow versions went from %s to %s", moved, seeds, tt.at, tt.refused)
		}
	}
}

// Guards against good versions that are not acquitted because latencies vary.
func TestVersionOfSameLatencyIsAcquitted(t *testing.T) {
	p, notAcquitted := DefaultOrderPolicy(), 0
	for seed := range uint64(200) {
		if e := latencyEvidence(rand.New(rand.NewPCG(seed, 2)), 20, 100, 0, 1); !p.Acquitted(e) {
			notAcquitted++
		}
	}
	if notAcquitted > 10 {
		t.Errorf("%d of 200 good versions were not acquitted", notAcquitted)
	}
}

// Guards against evidence that differs after it was sent to another daemon, and against invalid reports.
func TestLatencyCountsEncoding(t *testing.T) {
	var counts, decoded LatencyCounts
	for _, latency := range []float64{0, 1e-9, 0.002, 0.002, 0.7, 1e9} {
		counts.Add(latency)
	}
	data, err := counts.MarshalBinary()
	if err != nil {
		t.Fatal(err)
	}
	if err := decoded.UnmarshalBinary(data); err != nil || decoded != counts || counts.Total() != 5 {
		t.Errorf("%v, %v; want %v", decoded, err, counts)
	}
	for _, invalid := range [][]byte{{latencyClasses, 1}, {1}, {1, 0xff, 0xff, 0xff, 0xff, 0xff, 1}} {
		if err := decoded.UnmarshalBinary(invalid); err == nil {
			t.Errorf("%v was accepted", invalid)
		}
	}
}
