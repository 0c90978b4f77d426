// Package rollout judges a new version against the running one while both carry
// traffic, and decides each next step of a roll-out. It does no I/O.
package rollout

import (
	"math"
	"slices"
	"strings"
)

// Signal is one way in which a version can be worse.
type Signal uint8

const (
	// Errors are runs that the engine reported as failed.
	Errors Signal = iota
	// Slowness are runs slower than the pool's limit on a server that was not full.
	Slowness
	// Quality are rated answers that were rated bad.
	Quality
	signalCount
)

// String returns the signal's name.
func (s Signal) String() string { return [...]string{"errors", "slowness", "quality"}[s] }

// Counts are totals since a roll-out's stage began.
type Counts struct {
	Requests int64 `cbor:"1,keyasint" json:"requests"`
	Errors   int64 `cbor:"2,keyasint" json:"errors"`
	// Timed counts the runs whose speed says something about the version: those
	// on a server with free slots. A drained pool makes every run slow.
	Timed int64 `cbor:"3,keyasint" json:"timed"`
	Slow  int64 `cbor:"4,keyasint" json:"slow"`
	Rated int64 `cbor:"5,keyasint" json:"rated"`
	Bad   int64 `cbor:"6,keyasint" json:"bad"`
}

// Add sums two counts.
func (c Counts) Add(o Counts) Counts {
	return Counts{c.Requests + o.Requests, c.Errors + o.Errors, c.Timed + o.Timed, c.Slow + o.Slow, c.Rated + o.Rated, c.Bad + o.Bad}
}

// of returns the trials and the bad events of a signal.
func (c Counts) of(s Signal) (trials, bad int64) {
	switch s {
	case Errors:
		return c.Requests, c.Errors
	case Slowness:
		return c.Timed, c.Slow
	}
	return c.Rated, c.Bad
}

// ServerCounts is the counts of one version on one server.
type ServerCounts struct {
	Server        string `cbor:"1,keyasint" json:"server"`
	FailureDomain string `cbor:"2,keyasint" json:"failure_domain"`
	// New tells the new version from the running one.
	New    bool   `cbor:"3,keyasint" json:"new"`
	Counts Counts `cbor:"4,keyasint" json:"counts"`
}

// Evidence is what is known of one stage of a roll-out.
type Evidence []ServerCounts

// Merge adds another daemon's cells.
func (e Evidence) Merge(o Evidence) Evidence { return Sum(e, o) }

// Sum adds up the cells of any number of daemons, in the order of servers. Its cost is that
// of their cells: added one daemon after the other, the sum was copied and sorted for each,
// which took 4.4 ms for 195 daemons that each saw a sixth of 126 servers, four times a second;
// it takes 0.3 ms (BenchmarkDue, beside other load).
func Sum(parts ...Evidence) Evidence {
	type side struct {
		server string
		fresh  bool
	}
	at := map[side]int{}
	var out Evidence
	for _, part := range parts {
		for _, c := range part {
			key := side{c.Server, c.New}
			if i, known := at[key]; known {
				out[i].Counts = out[i].Counts.Add(c.Counts)
				continue
			}
			at[key] = len(out)
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b ServerCounts) int { return strings.Compare(a.Server, b.Server) })
	return out
}

// Totals sums both sides over the cells that keep admits.
func (e Evidence) Totals(keep func(ServerCounts) bool) (fresh, running Counts) {
	for _, c := range e {
		if keep != nil && !keep(c) {
			continue
		}
		if c.New {
			fresh = fresh.Add(c.Counts)
		} else {
			running = running.Add(c.Counts)
		}
	}
	return fresh, running
}

// oddsRatios are the harms the test looks for: the bad rate of the new version
// as a multiple of the running one's. A mixture of them loses only ln(4) of
// evidence against knowing the right one.
var oddsRatios = [...]float64{2, 4, 16, 64}

// LogE returns the logarithm of an e-value against "the new version is no worse
// than the running one" for a signal.
//
// Given that a bad event happened, the chance that it fell on the new version is
// its share of the trials if both are alike, whatever their common rate is. So a
// cause that hits both sides, such as a lost failure domain or a drained pool,
// gives no evidence. The e-value may be watched after every event without
// raising the false alarms above 1/threshold (Ville's inequality).
//
// The share is taken server by server where a server ran both versions: a server
// that fails more, and by chance got more of the new version, would otherwise
// count against it.
func (e Evidence) LogE(s Signal, keep func(ServerCounts) bool) float64 {
	logs := make([]float64, len(oddsRatios))
	var restNew, restRunning Counts
	events := int64(0)
	for _, p := range e.pairs(keep) {
		if n0, _ := p.running.of(s); n0 == 0 {
			restNew = restNew.Add(p.fresh)
			continue
		}
		if n1, _ := p.fresh.of(s); n1 == 0 {
			restRunning = restRunning.Add(p.running)
			continue
		}
		events += addLogs(logs, p.fresh, p.running, s)
	}
	events += addLogs(logs, restNew, restRunning, s)
	if events == 0 {
		return 0
	}
	return logMean(logs)
}

// addLogs adds one stratum's log-likelihood ratios and returns its bad events of
// the new version.
func addLogs(logs []float64, fresh, running Counts, s Signal) int64 {
	n1, k1 := fresh.of(s)
	n0, k0 := running.of(s)
	if n1 == 0 || n0 == 0 {
		return 0
	}
	share := float64(n1) / float64(n1+n0)
	for i, ratio := range oddsRatios {
		norm := math.Log(ratio*share + 1 - share)
		logs[i] += float64(k1)*(math.Log(ratio)-norm) - float64(k0)*norm
	}
	return k1
}

type pair struct{ fresh, running Counts }

// pairs gathers both versions' counts by server, in the order of the cells.
func (e Evidence) pairs(keep func(ServerCounts) bool) []pair {
	at := make(map[string]int, len(e))
	out := make([]pair, 0, len(e))
	for _, c := range e {
		if keep != nil && !keep(c) {
			continue
		}
		i, known := at[c.Server]
		if !known {
			i = len(out)
			at[c.Server] = i
			out = append(out, pair{})
		}
		if c.New {
			out[i].fresh = out[i].fresh.Add(c.Counts)
		} else {
			out[i].running = out[i].running.Add(c.Counts)
		}
	}
	return out
}

func logMean(logs []float64) float64 {
	top := slices.Max(logs)
	sum := 0.0
	for _, l := range logs {
		sum += math.Exp(l - top)
	}
	return top + math.Log(sum/float64(len(logs)))
}

// Robust returns the least LogE left when any one server, or any one failure
// domain, of the new version is left out. A bad server or failure domain then
// cannot condemn a version: without it the evidence is gone. It returns 0 when
// the new version runs on one server only, since then nothing tells them apart.
func (e Evidence) Robust(s Signal) (least float64, blame string) {
	least = e.LogE(s, nil)
	servers, domains := e.places()
	for _, name := range servers {
		if l := e.LogE(s, func(c ServerCounts) bool { return c.Server != name }); l < least {
			least, blame = l, "server "+name
		}
	}
	if len(domains) < 2 {
		return least, blame
	}
	for _, name := range domains {
		if l := e.LogE(s, func(c ServerCounts) bool { return c.FailureDomain != name }); l < least {
			least, blame = l, "failure domain "+name
		}
	}
	return least, blame
}

// places lists the servers and failure domains that ran the new version.
func (e Evidence) places() (servers, domains []string) {
	for _, c := range e {
		if !c.New || c.Counts.Requests == 0 {
			continue
		}
		servers = append(servers, c.Server)
		if !slices.Contains(domains, c.FailureDomain) {
			domains = append(domains, c.FailureDomain)
		}
	}
	return servers, domains
}
