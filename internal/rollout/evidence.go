// Package rollout compares a new version with the running one while both serve traffic,
// and decides the next step of a rollout. It does no I/O.
package rollout

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// Signal is a criterion by which versions are compared.
type Signal uint8

const (
	// Errors counts runs that the engine reported as failed.
	Errors Signal = iota
	// Slowness counts runs slower than the pool's limit on a server with free slots.
	Slowness
	// Quality counts answers that were rated bad.
	Quality
	// Latency compares the latencies of all answers.
	Latency
	signalCount
)

// String returns the name of the signal.
func (s Signal) String() string { return [...]string{"errors", "slowness", "quality", "latency"}[s] }

// Counts holds totals since the start of a rollout stage.
type Counts struct {
	Requests int64 `cbor:"1,keyasint" json:"requests"`
	Errors   int64 `cbor:"2,keyasint" json:"errors"`
	// Timed is the number of runs on a server with free slots, where the run time depends
	// on the version rather than on the load.
	Timed int64 `cbor:"3,keyasint" json:"timed"`
	Slow  int64 `cbor:"4,keyasint" json:"slow"`
	Rated int64 `cbor:"5,keyasint" json:"rated"`
	Bad   int64 `cbor:"6,keyasint" json:"bad"`
	// Latencies holds the answers by latency.
	Latencies LatencyCounts `cbor:"7,keyasint,omitzero" json:"latencies,omitzero"`
}

// Add returns the sum of two counts.
func (c Counts) Add(o Counts) Counts {
	c.add(&o)
	return c
}

func (c *Counts) add(o *Counts) {
	c.Requests += o.Requests
	c.Errors += o.Errors
	c.Timed += o.Timed
	c.Slow += o.Slow
	c.Rated += o.Rated
	c.Bad += o.Bad
	c.Latencies.add(&o.Latencies)
}

// forSignal returns the number of trials and of bad events of a signal.
func (c *Counts) forSignal(s Signal) (trials, bad int64) {
	switch s {
	case Errors:
		return c.Requests, c.Errors
	case Slowness:
		return c.Timed, c.Slow
	case Quality:
		return c.Rated, c.Bad
	}
	return c.Latencies.Total(), 0
}

// badEvents returns the number of trials and of bad events by a signal in the counts of the new version.
func (e Evidence) badEvents(s Signal, newCounts *Counts) (trials, bad int64) {
	trials, bad = newCounts.forSignal(s)
	if s == Latency {
		bad, _ = e.SlowExcess()
	}
	return trials, bad
}

// ServerCounts holds the counts of one version on one server, for requests of one route.
type ServerCounts struct {
	Server        string `cbor:"1,keyasint" json:"server"`
	FailureDomain string `cbor:"2,keyasint" json:"failure_domain"`
	// New is set for the new version and unset for the running one.
	New    bool   `cbor:"3,keyasint" json:"new"`
	Counts Counts `cbor:"4,keyasint" json:"counts"`
	// Route is a hash of the requests' route; zero if the evidence is not split by route.
	Route uint32 `cbor:"5,keyasint,omitempty" json:"route,omitempty"`
}

// Evidence holds the counts of one rollout stage by server and version.
type Evidence []ServerCounts

// Merge returns the sum of the evidence of two daemons.
func (e Evidence) Merge(o Evidence) Evidence { return SumEvidence(e, o) }

// SumEvidence returns the combined evidence of any number of daemons, sorted by server. It merges
// all parts in one pass, so that its cost is linear in the number of entries before
// sorting.
func SumEvidence(parts ...Evidence) Evidence {
	type countsKey struct {
		server string
		isNew  bool
		route  uint32
	}
	indexByKey := map[countsKey]int{}
	var sum Evidence
	for _, part := range parts {
		for _, c := range part {
			key := countsKey{c.Server, c.New, c.Route}
			if i, known := indexByKey[key]; known {
				sum[i].Counts = sum[i].Counts.Add(c.Counts)
				continue
			}
			indexByKey[key] = len(sum)
			sum = append(sum, c)
		}
	}
	slices.SortFunc(sum, func(a, b ServerCounts) int {
		return cmp.Or(strings.Compare(a.Server, b.Server), cmp.Compare(a.Route, b.Route))
	})
	return sum
}

// Totals sums the counts of both versions over the entries that keep accepts; a nil keep
// accepts all.
func (e Evidence) Totals(keep func(ServerCounts) bool) (newCounts, runningCounts Counts) {
	for i := range e {
		c := &e[i]
		if keep != nil && !keep(*c) {
			continue
		}
		if c.New {
			newCounts.add(&c.Counts)
		} else {
			runningCounts.add(&c.Counts)
		}
	}
	return newCounts, runningCounts
}

// Summary returns the bad events, trials and e-values of the new version, for logs.
func (e Evidence) Summary() string {
	newCounts, runningCounts := e.Totals(nil)
	parts := make([]string, 0, signalCount)
	for s := range signalCount {
		trials, bad := e.badEvents(s, &newCounts)
		runningTrials, runningBad := runningCounts.forSignal(s)
		if trials+runningTrials == 0 {
			continue
		}
		leaveOneOut, _ := e.MinLeaveOneOut(s)
		parts = append(parts, fmt.Sprintf("%s: %d of %d, running version %d of %d, e-value 10^%.1f, leave-one-out 10^%.1f",
			s, bad, trials, runningBad, runningTrials, e.LogEValue(s, nil)/math.Ln10, leaveOneOut/math.Ln10))
	}
	return strings.Join(parts, "; ")
}

// oddsRatios are the alternative hypotheses: bad rates of the new version as multiples of
// the running version's. The mixture of four costs at most a factor of 4 of the e-value.
var oddsRatios = [...]float64{2, 4, 16, 64}

// LogEValue returns the natural logarithm of the e-value of a signal against the null
// hypothesis that the new version is no worse than the running one. It may be evaluated
// after every event with a false alarm rate of at most 1/threshold (Ville's inequality).
//
// Under the null hypothesis, bad events fall on the new version in proportion to its
// trials, so a cause that affects both versions gives no evidence. Servers that ran both
// versions are separate strata, so that a failing server does not bias the result. The result is
// the mean of the e-values of each route and of all together, so that a route whose requests
// fail on any version does not hide another that fails on the new one.
func (e Evidence) LogEValue(s Signal, keep func(ServerCounts) bool) float64 {
	if s == Latency {
		return e.latencyLogEValue(keep)
	}
	byRoute := e.ratiosByRoute(s, keep)
	all := make([]float64, len(oddsRatios))
	events := int64(0)
	values := make([]float64, 0, len(byRoute)+1)
	for _, route := range byRoute {
		events += route.events
		values = append(values, logMeanExp(route.logRatios))
		for i, r := range route.logRatios {
			all[i] += r
		}
	}
	if events == 0 {
		return 0
	}
	if len(byRoute) == 1 {
		return values[0]
	}
	return logMeanExp(append(values, logMeanExp(all)))
}

// routeRatios holds the log-likelihood ratios of a route, one for each of oddsRatios, and the number of
// bad events of the new version.
type routeRatios struct {
	logRatios []float64
	events    int64
}

// ratiosByRoute returns the log-likelihood ratios of each route, in the order of first occurrence.
func (e Evidence) ratiosByRoute(s Signal, keep func(ServerCounts) bool) (out []routeRatios) {
	// rest holds the counts of servers that ran one version only.
	rest := strataByKey[uint32]{indexByKey: map[uint32]int{}}
	for _, st := range e.strata(keep) {
		remaining := rest.get(st.route)
		if len(rest.list) > len(out) {
			out = append(out, routeRatios{logRatios: make([]float64, len(oddsRatios))})
		}
		n0, _ := st.runningCounts.forSignal(s)
		n1, _ := st.newCounts.forSignal(s)
		if n0 == 0 || n1 == 0 {
			remaining.newCounts = remaining.newCounts.Add(st.newCounts)
			remaining.runningCounts = remaining.runningCounts.Add(st.runningCounts)
			continue
		}
		route := &out[rest.indexByKey[st.route]]
		route.events += addLogLikelihoods(route.logRatios, st.newCounts, st.runningCounts, s)
	}
	for i, st := range rest.list {
		out[i].events += addLogLikelihoods(out[i].logRatios, st.newCounts, st.runningCounts, s)
	}
	return out
}

// addLogLikelihoods adds the log-likelihood ratios of one stratum and returns the number
// of bad events of the new version.
func addLogLikelihoods(logRatios []float64, newCounts, runningCounts Counts, s Signal) int64 {
	n1, k1 := newCounts.forSignal(s)
	n0, k0 := runningCounts.forSignal(s)
	if n1 == 0 || n0 == 0 {
		return 0
	}
	addLogRatios(logRatios, float64(k1), float64(k0), float64(n1), float64(n0))
	return k1
}

// addLogRatios adds the log-likelihood ratio of each of oddsRatios for k1 of n1 bad events of the new
// version and k0 of n0 of the running one.
func addLogRatios(logRatios []float64, k1, k0, n1, n0 float64) {
	share := n1 / (n1 + n0)
	for i, ratio := range oddsRatios {
		norm := math.Log(ratio*share + 1 - share)
		logRatios[i] += k1*(math.Log(ratio)-norm) - k0*norm
	}
}

// stratum holds both versions' counts of one server and route, or of a route on several servers.
type stratum struct {
	route                    uint32
	newCounts, runningCounts Counts
}

// strataByKey holds strata by key, in the order of first occurrence.
type strataByKey[K comparable] struct {
	indexByKey map[K]int
	list       []stratum
}

func (s *strataByKey[K]) get(key K) *stratum {
	i, known := s.indexByKey[key]
	if !known {
		i = len(s.list)
		s.indexByKey[key] = i
		s.list = append(s.list, stratum{})
	}
	return &s.list[i]
}

// strata returns both versions' counts by server and route, in the order of first occurrence.
func (e Evidence) strata(keep func(ServerCounts) bool) []stratum {
	type serverRoute struct {
		server string
		route  uint32
	}
	strata := strataByKey[serverRoute]{indexByKey: make(map[serverRoute]int, len(e)), list: make([]stratum, 0, len(e))}
	for _, c := range e {
		if keep != nil && !keep(c) {
			continue
		}
		st := strata.get(serverRoute{c.Server, c.Route})
		st.route = c.Route
		if c.New {
			st.newCounts = st.newCounts.Add(c.Counts)
		} else {
			st.runningCounts = st.runningCounts.Add(c.Counts)
		}
	}
	return strata.list
}

func logMeanExp(logs []float64) float64 {
	largest := slices.Max(logs)
	sum := 0.0
	for _, l := range logs {
		sum += math.Exp(l - largest)
	}
	return largest + math.Log(sum/float64(len(logs)))
}

// MinLeaveOneOut returns the lowest LogEValue when any one server or failure domain of the
// new version is left out, and which one that is. A single bad server or failure domain
// therefore cannot cause a rollback. The result is 0 if only one server runs it.
func (e Evidence) MinLeaveOneOut(s Signal) (lowest float64, omitted string) {
	lowest = e.LogEValue(s, nil)
	servers, domains := e.newVersionPlacement()
	for _, name := range servers {
		if logE := e.LogEValue(s, func(c ServerCounts) bool { return c.Server != name }); logE < lowest {
			lowest, omitted = logE, "server "+name
		}
	}
	if len(domains) < 2 {
		return lowest, omitted
	}
	for _, name := range domains {
		if logE := e.LogEValue(s, func(c ServerCounts) bool { return c.FailureDomain != name }); logE < lowest {
			lowest, omitted = logE, "failure domain "+name
		}
	}
	return lowest, omitted
}

// newVersionPlacement returns the servers and failure domains that ran the new version.
func (e Evidence) newVersionPlacement() (servers, domains []string) {
	for _, c := range e {
		if !c.New || c.Counts.Requests == 0 {
			continue
		}
		if !slices.Contains(servers, c.Server) {
			servers = append(servers, c.Server)
		}
		if !slices.Contains(domains, c.FailureDomain) {
			domains = append(domains, c.FailureDomain)
		}
	}
	return servers, domains
}
