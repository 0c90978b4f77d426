package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// UnseenWork is the work that other daemons have sent to the engines of a partition and have not
// reported yet. Daemons that follow the same late reports all choose the engine that was idle,
// until its load is reported. A daemon therefore assumes that the others have filled up the least
// loaded engines meanwhile, as in M. Dahlin, "Interpreting Stale Load Information" (ICDCS 1999).
type UnseenWork struct {
	// PerSecond is the engine time that other daemons send per second.
	PerSecond time.Duration
	// ReportAge is the mean age of their reports.
	ReportAge time.Duration
}

// sample returns a random age of a report, of the mean ReportAge, and the unseen work since.
func (u UnseenWork) sample(rng *rand.Rand) (age, work time.Duration) {
	age = time.Duration(2 * rng.Float64() * float64(u.ReportAge))
	return age, time.Duration(age.Seconds() * float64(u.PerSecond))
}

// Distribute estimates how the load of each candidate has changed, by index: the engines have worked
// it off for the age of the reports, and the unseen work has filled up the least loaded eligible ones
// to a common level. The engines of other models are taken to have got as much on average, so that
// the estimate alone does not make requests leave their partition.
func (u UnseenWork) Distribute(r *Request, candidates []Candidate, p Pipeline, rng *rand.Rand) {
	r.Unseen = [MaxCandidates]time.Duration{}
	age, work := u.sample(rng)
	if work <= 0 {
		return
	}
	candidates = candidates[:min(len(candidates), MaxCandidates)]
	var left, sorted [MaxCandidates]time.Duration
	var eligible Set
	n := 0
	for i := range candidates {
		load := totalCost(p.Load, r, &candidates[i], i)
		left[i] = max(0, load-age)
		r.Unseen[i] = left[i] - load
		if !r.OutsidePartition.Has(i) && p.passesFilters(r, &candidates[i], i) {
			eligible.Add(i)
			sorted[n] = left[i]
			n++
		}
	}
	level := waterLevel(sorted[:n], work)
	for i := range candidates {
		switch {
		case eligible.Has(i):
			r.Unseen[i] += max(0, level-left[i])
		case n > 0:
			r.Unseen[i] += work / time.Duration(n)
		}
	}
}

// waterLevel returns the level up to which an amount of work fills the loads. It sorts them.
func waterLevel(loads []time.Duration, work time.Duration) time.Duration {
	slices.Sort(loads)
	sum := time.Duration(0)
	for i, load := range loads {
		sum += load
		level := (sum + work) / time.Duration(i+1)
		if i+1 == len(loads) || level <= loads[i+1] {
			return level
		}
	}
	return 0
}

// StaleLoad is the estimated change of the load since the reports. It affects the choice only.
type StaleLoad struct{}

// Name implements Scorer.
func (StaleLoad) Name() string { return "unseen" }

// Cost implements Scorer.
func (StaleLoad) Cost(r *Request, _ *Candidate, index int) time.Duration { return r.Unseen[index] }

// MixReportedLoad moves the load that other daemons have reported towards the mean of the eligible
// candidates, in proportion to their slots. A request ends after ServiceTime, so that a report
// of an age of several service times says how much the others send, but no longer where.
func MixReportedLoad(r *Request, candidates []Candidate, p Pipeline, age time.Duration) {
	load, slots := 0.0, 0
	for i := range min(len(candidates), MaxCandidates) {
		if p.passesFilters(r, &candidates[i], i) {
			load += candidates[i].OthersInFlight
			slots += candidates[i].Slots
		}
	}
	for i := range min(len(candidates), MaxCandidates) {
		c := &candidates[i]
		if c.ServiceTime <= 0 || !p.passesFilters(r, c, i) {
			continue
		}
		mean := load / float64(slots) * float64(c.Slots)
		c.OthersInFlight = mean + (c.OthersInFlight-mean)*math.Exp(-float64(age)/float64(c.ServiceTime))
	}
}
