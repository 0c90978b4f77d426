package enginespeed

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// collectorsPerEngine is the number of daemons that collect the observations of one engine. The
	// median of what they report counts, so that one alone decides nothing.
	collectorsPerEngine = 3
	// contributionBytes and poolBytes bound the bytes a second that a daemon sends of each list.
	contributionBytes = 130
	poolBytes         = 250
	// minInterval is the least time between two reports of one engine to one daemon.
	minInterval = 2 * time.Second
	// minGrowth is the factor by which the samples, and minMove the difference by which the mean
	// must differ from what the receiver has before they are reported again.
	minGrowth = 1.6
	minMove   = 0.1
	// maxDelay is the logarithm from which an observation counts as delayed, if the usual mean of its
	// engine is less than that by maxExcess, and delayedWeight its weight then.
	maxDelay      = 0.4
	maxExcess     = 0.3
	delayedWeight = 0.1
	// minReported is the number of own samples from which they are reported.
	minReported = 0.5
	// minPooledSamples is the number of samples from which a pooled sum is reported.
	minPooledSamples = 4
	// dropInterval is the interval at which decayed sums are dropped.
	dropInterval = 10 * time.Second
	// maxEngines bounds the engines of which observations of other daemons are kept.
	maxEngines = 4096
)

// Table holds the observations of this daemon and of others. Each engine has a few collectors among
// the daemons: all daemons report their observations to them, and they report the pooled sums to
// all. So the bytes that a daemon sends grow with the engines and not with the square of the
// daemons. In a fleet whose daemons exchange messages with few partners, each daemon collects what
// its partners report, and reports the sums to them: so it knows of its partners' partners, too. A
// Table is not safe for concurrent use.
type Table struct {
	self    uint64
	daemons []uint64
	// partnersOnly is set if messages are exchanged with few partners.
	partnersOnly bool
	own          map[Engine]*sums
	// collected holds the contributions of other daemons, and pools the pooled sums that other
	// collectors report, both by engine and daemon.
	collected, pools map[Engine]map[uint64]summary
	collectors       map[Engine][]uint64
	// ownOrder are the engines observed, and collectedOrder those that this daemon collects, with
	// their pooled sums ownPools, as of the last Refresh.
	ownOrder, collectedOrder []Engine
	ownPools                 map[Engine]summary
	// droppedAt is when decayed sums were last dropped.
	droppedAt time.Duration
	// contributionsSent and poolsSent record the reports to other daemons.
	contributionsSent, poolsSent *sendLog
}

// NewTable returns an empty table of the daemon with a hash.
func NewTable(self uint64) *Table {
	return &Table{
		self: self, daemons: []uint64{self}, own: map[Engine]*sums{},
		collected: map[Engine]map[uint64]summary{}, pools: map[Engine]map[uint64]summary{}, collectors: map[Engine][]uint64{},
		contributionsSent: newSendLog(contributionBytes), poolsSent: newSendLog(poolBytes),
	}
}

// Observe adds the ratio of an engine's time to that of a quick or typical one for the same work, with
// a weight of at most 1. A much longer time was probably delayed by other work, which tells little of
// the engine's speed, unless its times are long in general.
func (t *Table) Observe(engine Engine, ratio, weight float64, now time.Duration) {
	if !validRatio(ratio) {
		return
	}
	logRatio := math.Log(ratio)
	limit := maxDelay
	if usual, known := t.usualMean(engine, now); known {
		limit = max(limit, usual+maxExcess)
	}
	if logRatio > limit {
		logRatio, weight = limit, weight*delayedWeight
	}
	if t.own[engine] == nil {
		t.own[engine] = &sums{}
	}
	t.own[engine].add(logRatio, weight, now)
}

// usualMean returns the mean logarithm of an engine's ratios at all daemons, or of the own ones.
func (t *Table) usualMean(engine Engine, now time.Duration) (mean float64, known bool) {
	pools := t.poolsOf(engine, now)
	if len(pools) == 0 {
		pools = []summary{t.ownSummary(engine, now)}
	}
	samples := 0.0
	for _, p := range pools {
		mean += p.mean / float64(len(pools))
		samples = max(samples, p.samples(now))
	}
	return mean, samples >= minKnownSamples
}

// Refresh sets the live daemons with which this one exchanges messages, by their hashes, and whether
// these are partners only. What others have reported is dropped with them. It also drops sums that
// have decayed, and is called about once a second.
func (t *Table) Refresh(peers []uint64, partnersOnly bool, now time.Duration) {
	daemons := append(slices.Clone(peers), t.self)
	slices.Sort(daemons)
	daemons = slices.Compact(daemons)
	if partnersOnly != t.partnersOnly {
		clear(t.pools)
	}
	if partnersOnly != t.partnersOnly || !slices.Equal(daemons, t.daemons) {
		t.daemons, t.partnersOnly = daemons, partnersOnly
		clear(t.collectors)
		t.dropGone()
	}
	if len(t.collectors) > maxEngines {
		clear(t.collectors)
	}
	if now-t.droppedAt >= dropInterval {
		t.droppedAt = now
		t.dropOld(now)
	}
	t.ownOrder, t.collectedOrder = sortedKeys(t.own), t.collectedEngines()
	t.ownPools = make(map[Engine]summary, len(t.collectedOrder))
	for _, engine := range t.collectedOrder {
		t.ownPools[engine] = poolOf(t.ownSummary(engine, now), t.collected[engine], now)
	}
}

// ownSummary returns the own observations of an engine.
func (t *Table) ownSummary(engine Engine, now time.Duration) summary {
	o := t.own[engine]
	if o == nil {
		return summary{}
	}
	return summary{o.samples(now), o.mean(), 1, now}
}

// dropGone drops the state of daemons that are gone.
func (t *Table) dropGone() {
	gone := func(daemon uint64) bool { _, live := slices.BinarySearch(t.daemons, daemon); return !live }
	for _, lists := range []map[Engine]map[uint64]summary{t.collected, t.pools} {
		for _, list := range lists {
			maps.DeleteFunc(list, func(daemon uint64, _ summary) bool { return gone(daemon) })
		}
	}
	t.contributionsSent.drop(gone)
	t.poolsSent.drop(gone)
}

// dropOld drops sums that have decayed.
func (t *Table) dropOld(now time.Duration) {
	maps.DeleteFunc(t.own, func(_ Engine, o *sums) bool { return o.samples(now) < minSamples })
	for _, lists := range []map[Engine]map[uint64]summary{t.collected, t.pools} {
		for engine, list := range lists {
			maps.DeleteFunc(list, func(_ uint64, s summary) bool { return s.samples(now) < minSamples })
			if len(list) == 0 {
				delete(lists, engine)
			}
		}
	}
	t.contributionsSent.dropOld(now)
	t.poolsSent.dropOld(now)
}

// collectorsOf returns the daemons that collect the observations of an engine, by rendezvous hashing.
func (t *Table) collectorsOf(engine Engine) []uint64 {
	if chosen, known := t.collectors[engine]; known {
		return chosen
	}
	chosen := make([]uint64, 0, collectorsPerEngine)
	for _, daemon := range t.daemons {
		rank, _ := slices.BinarySearchFunc(chosen, mix(daemon, engine), func(other, weight uint64) int { return cmp.Compare(mix(other, engine), weight) })
		if rank < collectorsPerEngine {
			chosen = slices.Insert(chosen[:min(len(chosen), collectorsPerEngine-1)], rank, daemon)
		}
	}
	t.collectors[engine] = chosen
	return chosen
}

// collects reports whether a daemon collects the observations of an engine for this one.
func (t *Table) collects(daemon uint64, engine Engine) bool {
	return t.partnersOnly || slices.Contains(t.collectorsOf(engine), daemon)
}

// mix hashes a daemon and an engine with the finalizer of SplitMix64.
func mix(daemon uint64, engine Engine) uint64 {
	h := daemon ^ uint64(engine)*0x9E3779B97F4A7C15
	h = (h ^ h>>30) * 0xBF58476D1CE4E5B9
	h = (h ^ h>>27) * 0x94D049BB133111EB
	return h ^ h>>31
}

// ReportFor returns what is due to be sent to a daemon, or nil if nothing is.
func (t *Table) ReportFor(daemon uint64, now time.Duration) *Report {
	r := Report{Contributions: t.contributionsFor(daemon, now), Pools: t.poolsFor(daemon, now)}
	if len(r.Contributions) == 0 && len(r.Pools) == 0 {
		return nil
	}
	return &r
}

// contributionsFor returns the own observations that are due to be sent to a collector.
func (t *Table) contributionsFor(daemon uint64, now time.Duration) []byte {
	return t.contributionsSent.next(daemon, t.ownOrder, now, func(engine Engine) (e entry, ok bool) {
		o := t.own[engine]
		if o == nil || !t.collects(daemon, engine) {
			return e, false
		}
		return entry{engine, o.samples(now), o.mean(), 1}, o.samples(now) >= minReported
	})
}

// poolsFor returns the pooled sums that are due to be sent to a daemon.
func (t *Table) poolsFor(daemon uint64, now time.Duration) []byte {
	return t.poolsSent.next(daemon, t.collectedOrder, now, func(engine Engine) (entry, bool) {
		p := t.ownPools[engine]
		return entry{engine, p.count, p.mean, p.daemons}, p.count >= minPooledSamples
	})
}

// collectedEngines returns the engines that this daemon collects for all.
func (t *Table) collectedEngines() []Engine {
	known := map[Engine]bool{}
	for engine := range t.collected {
		known[engine] = true
	}
	for engine := range t.own {
		known[engine] = true
	}
	maps.DeleteFunc(known, func(engine Engine, _ bool) bool { return !t.collects(t.self, engine) })
	return sortedKeys(known)
}

// Merge applies the report of another daemon. Its sums replace its earlier ones. A malformed report
// changes nothing.
func (t *Table) Merge(daemon uint64, r *Report, now time.Duration) error {
	if r == nil || daemon == t.self {
		return nil
	}
	contributions, err := decodeEntries(r.Contributions)
	if err != nil {
		return err
	}
	pools, err := decodeEntries(r.Pools)
	if err != nil {
		return err
	}
	for _, e := range contributions {
		if t.collects(t.self, e.engine) {
			put(t.collected, daemon, e, now)
		}
	}
	for _, e := range pools {
		if t.collects(daemon, e.engine) {
			put(t.pools, daemon, e, now)
		}
	}
	return nil
}

// put stores an entry of a daemon, unless there are too many engines.
func put(lists map[Engine]map[uint64]summary, daemon uint64, e entry, now time.Duration) {
	list := lists[e.engine]
	if list == nil {
		if len(lists) >= maxEngines {
			return
		}
		list = map[uint64]summary{}
		lists[e.engine] = list
	}
	list[daemon] = summary{e.count, e.mean, e.daemons, now}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
