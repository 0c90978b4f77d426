package rollout

import (
	"encoding/binary"
	"errors"
	"math"
)

// LatencyCounts counts answers by latency class. The classes are half octaves, so that latencies
// of any scale and of many daemons can be added up.
type LatencyCounts [latencyClasses]int32

const (
	// latencyClasses is the number of latency classes. The last one has no upper bound.
	latencyClasses = 32
	// classesPerOctave is the number of classes between a latency and twice it.
	classesPerOctave = 2
	// lowestLatency is the upper bound of the first class, in seconds or as a ratio to the expected
	// latency.
	lowestLatency = 0.001
)

// Add counts an answer. Latency is in seconds, or a ratio to the expected latency; the answers of
// one route must have the same unit. Values of 0 or less are ignored.
func (l *LatencyCounts) Add(latency float64) {
	if latency > 0 {
		l[latencyClass(latency)]++
	}
}

// latencyClass returns the class of a latency greater than 0.
func latencyClass(latency float64) int {
	class := math.Ceil(classesPerOctave * math.Log2(latency/lowestLatency))
	return int(min(max(class, 0), latencyClasses-1))
}

// SlowerThanMost reports whether a latency exceeds slowRunningFraction of the counted ones.
func (l *LatencyCounts) SlowerThanMost(latency float64) bool {
	total := l.Total()
	return latency > 0 && total > 0 && float64(l.atLeast(latencyClass(latency))) <= (1-slowRunningFraction)*float64(total)
}

// Total returns the number of answers.
func (l *LatencyCounts) Total() int64 { return l.atLeast(0) }

// atLeast returns the number of answers of a class or a slower one.
func (l *LatencyCounts) atLeast(class int) (n int64) {
	for _, count := range l[class:] {
		n += int64(count)
	}
	return n
}

// add adds other counts.
func (l *LatencyCounts) add(o *LatencyCounts) {
	for class := range l {
		l[class] += o[class]
	}
}

// MarshalBinary implements encoding.BinaryMarshaler: a pair of class and count for each class
// with answers.
func (l LatencyCounts) MarshalBinary() ([]byte, error) {
	var out []byte
	for class, count := range l {
		if count > 0 {
			out = append(out, byte(class))
			out = binary.AppendUvarint(out, uint64(count))
		}
	}
	return out, nil
}

// maxClassCount bounds the answers of a class that another daemon may report, so that sums do not overflow.
const maxClassCount = 1 << 20

var errInvalidLatencies = errors.New("invalid latency counts")

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (l *LatencyCounts) UnmarshalBinary(data []byte) error {
	*l = LatencyCounts{}
	for len(data) > 0 {
		class := data[0]
		count, n := binary.Uvarint(data[1:])
		if n <= 0 || class >= latencyClasses || count > maxClassCount {
			return errInvalidLatencies
		}
		l[class] = int32(count)
		data = data[1+n:]
	}
	return nil
}

// tailFractions are the fractions of a route's answers, on both versions together, that are compared as
// its slow ones. A version of which a part is slower shows in a small tail, one that is slower
// altogether in a large one.
var tailFractions = [...]float64{0.5, 0.25, 0.1, 0.04}

// routeLatencies holds the latencies of a route on both versions.
type routeLatencies struct {
	newCounts, runningCounts LatencyCounts
}

// latenciesByRoute returns the latencies of each route, in the order of first occurrence.
func (e Evidence) latenciesByRoute(keep func(ServerCounts) bool) []routeLatencies {
	indexByRoute := map[uint32]int{}
	var out []routeLatencies
	for i := range e {
		c := &e[i]
		if keep != nil && !keep(*c) {
			continue
		}
		index, known := indexByRoute[c.Route]
		if !known {
			index = len(out)
			indexByRoute[c.Route] = index
			out = append(out, routeLatencies{})
		}
		counts := &out[index].runningCounts
		if c.New {
			counts = &out[index].newCounts
		}
		counts.add(&c.Counts.Latencies)
	}
	return out
}

// tail is the number of slow answers of both versions and of all their answers.
type tail struct {
	newSlow, newTotal, runningSlow, runningTotal int64
}

// tailOf returns the slowest answers of both versions together, at most a fraction of them all. The
// bound does not depend on which version an answer is from, so that it favours neither.
func (r *routeLatencies) tailOf(fraction float64) tail {
	t := tail{newTotal: r.newCounts.Total(), runningTotal: r.runningCounts.Total()}
	if t.newTotal == 0 || t.runningTotal == 0 {
		return tail{}
	}
	most := int64(fraction * float64(t.newTotal+t.runningTotal))
	for class := latencyClasses - 1; class >= 0; class-- {
		more := int64(r.newCounts[class]) + int64(r.runningCounts[class])
		if t.newSlow+t.runningSlow+more > most {
			return t
		}
		t.newSlow += int64(r.newCounts[class])
		t.runningSlow += int64(r.runningCounts[class])
	}
	return t
}

// latencyLogEValue returns the logarithm of the e-value against the null hypothesis that the new version
// answers no slower than the running one. Answers are compared by route, as those of a fast
// route hide among those of a slow one. See LogEValue.
func (e Evidence) latencyLogEValue(keep func(ServerCounts) bool) float64 {
	routes := e.latenciesByRoute(keep)
	all := make([]float64, len(tailFractions)*len(oddsRatios))
	values := make([]float64, 0, len(routes)+1)
	for i := range routes {
		own := make([]float64, len(all))
		slow := int64(0)
		for j, fraction := range tailFractions {
			t := routes[i].tailOf(fraction)
			slow += t.newSlow
			t.addLogLikelihoods(own[j*len(oddsRatios) : (j+1)*len(oddsRatios)])
		}
		if slow > 0 {
			values = append(values, logMeanExp(own))
		}
		for k := range own {
			all[k] += own[k]
		}
	}
	if len(values) == 0 {
		return 0
	}
	return logMeanExp(append(values, logMeanExp(all)))
}

// addLogLikelihoods adds the log-likelihood ratios of each of oddsRatios.
func (t tail) addLogLikelihoods(logRatios []float64) {
	if t.newTotal == 0 || t.runningTotal == 0 {
		return
	}
	addLogRatios(logRatios, float64(t.newSlow), float64(t.runningSlow), float64(t.newTotal), float64(t.runningTotal))
}

// SlowExcess returns the number of the new version's answers that are slower than most, and the
// fraction of its answers by which they exceed those of the running version, at the tail with the largest
// excess.
func (e Evidence) SlowExcess() (slow int64, excess float64) {
	routes := e.latenciesByRoute(nil)
	for _, fraction := range tailFractions {
		total, expected, answers := int64(0), 0.0, int64(0)
		for i := range routes {
			t := routes[i].tailOf(fraction)
			if t.newTotal == 0 || t.runningTotal == 0 {
				continue
			}
			total += t.newSlow
			answers += t.newTotal
			expected += float64(t.newTotal) * float64(t.runningSlow) / float64(t.runningTotal)
		}
		if answers == 0 {
			continue
		}
		if x := (float64(total) - expected) / float64(answers); x > excess {
			slow, excess = total, x
		}
	}
	return slow, excess
}

// logSlowRatio returns the log-likelihood ratio of a new version of which a further fraction of the answers
// is slow to one that is as fast as the running version, and whether there are answers to compare.
// Slow are those that exceed most of the running version's.
func (e Evidence) logSlowRatio(fraction float64) (logRatio float64, compared bool) {
	routes := e.latenciesByRoute(nil)
	for i := range routes {
		t := routes[i].slowerThanRunning()
		if t.newTotal == 0 || t.runningTotal < minRunningAnswers {
			continue
		}
		compared = true
		good := (float64(t.runningSlow) + 0.5) / (float64(t.runningTotal) + 1)
		logRatio += logBernoulliRatio(good, fraction, t.newSlow, t.newTotal)
	}
	return logRatio, compared
}

const (
	// slowRunningFraction is the fraction of the running version's answers that a slow answer of the new
	// version must exceed.
	slowRunningFraction = 0.9
	// minRunningAnswers is the number of the running version's answers on a route below which
	// those of the new version are not judged.
	minRunningAnswers = 8
)

// slowerThanRunning returns the answers of both versions that are slower than slowRunningFraction of
// the running version's.
func (r *routeLatencies) slowerThanRunning() tail {
	t := tail{newTotal: r.newCounts.Total(), runningTotal: r.runningCounts.Total()}
	most := int64((1 - slowRunningFraction) * float64(t.runningTotal))
	for class := latencyClasses - 1; class >= 0 && t.runningSlow+int64(r.runningCounts[class]) <= most; class-- {
		t.newSlow += int64(r.newCounts[class])
		t.runningSlow += int64(r.runningCounts[class])
	}
	return t
}

// logBernoulliRatio returns the log-likelihood ratio of a further fraction of bad events, besides
// those at the rate good, to none.
func logBernoulliRatio(good, fraction float64, events, trials int64) float64 {
	bad := 1 - (1-good)*(1-fraction)
	return float64(events)*math.Log(bad/good) + float64(trials-events)*math.Log((1-bad)/(1-good))
}
