package enginespeed

import (
	"slices"
	"time"
)

const (
	// priorSamples is the weight of the assumption that an engine is typical.
	priorSamples = 4
	// maxCountOverMedian bounds the weight of a daemon as a multiple of the median daemon's.
	maxCountOverMedian = 2
	// minOtherShare is the least total weight of all others, as a multiple of one daemon's weight:
	// no daemon has more than a quarter of the whole.
	minOtherShare = 3
)

// summary is the part of an entry that is kept, with the time of its arrival.
type summary struct {
	count, mean float64
	daemons     int
	receivedAt  time.Duration
}

// samples returns the decayed number of samples.
func (s summary) samples(now time.Duration) float64 { return s.count * decay(now-s.receivedAt) }

// poolOf adds the contributions of daemons for one engine to the own summary. The own one has its
// full weight, those of other daemons a bounded one.
func poolOf(own summary, contributions map[uint64]summary, now time.Duration) summary {
	out := summary{count: own.samples(now), daemons: own.daemons, receivedAt: now}
	sum := out.count * own.mean
	limit := maxCountOverMedian * medianCount(out.count, contributions, now)
	others := out.count + priorSamples
	for _, c := range contributions {
		others += min(c.samples(now), limit)
	}
	for _, daemon := range sortedKeys(contributions) {
		c := contributions[daemon]
		weight := min(c.samples(now), limit)
		weight = min(weight, (others-weight)/minOtherShare)
		out.count += weight
		out.daemons += c.daemons
		sum += weight * c.mean
	}
	if out.count > 0 {
		out.mean = sum / out.count
	}
	return out
}

// medianCount returns the median number of samples of the daemons that have any.
func medianCount(own float64, contributions map[uint64]summary, now time.Duration) float64 {
	counts := make([]float64, 0, len(contributions)+1)
	if own > 0 {
		counts = append(counts, own)
	}
	for _, c := range contributions {
		counts = append(counts, c.samples(now))
	}
	return median(counts)
}

// median returns the lower median, or zero if there are no values. It reorders them.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
