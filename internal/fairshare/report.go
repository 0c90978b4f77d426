package fairshare

import (
	"cmp"
	"errors"
	"math"
	"slices"
	"time"
)

const (
	// MaxReported is the largest number of workspaces in a report.
	MaxReported = 8
	// reportRetention is how long a daemon's report is used without a newer one.
	reportRetention = 3 * time.Second
	// minReports is the number of daemons that must be heard, unless there are fewer others. From
	// this number on, the largest report on each workspace is left out: no single daemon can put a
	// workspace beyond its share elsewhere.
	minReports = 3
	// maxPeers bounds the daemons whose reports are kept.
	maxPeers = 256
	// maxReportedWork is the largest credible work of a daemon.
	maxReportedWork = time.Hour
)

// Report is a daemon's recent work on one service.
type Report struct {
	_       struct{} `cbor:",toarray"`
	Service Key
	// Total is the work in ms of server time, and Work the part of its largest workspaces.
	Total int64
	Work  []WorkspaceWork
}

// WorkspaceWork is the recent work of one workspace.
type WorkspaceWork struct {
	_         struct{} `cbor:",toarray"`
	Workspace Key
	// Millis is the work in ms of server time.
	Millis int64
}

// The reasons for which a report is dropped.
var (
	errWorkOutOfRange = errors.New("work out of range")
	errTooMany        = errors.New("too many workspaces")
	errSum            = errors.New("the workspaces' work exceeds the total")
	errDuplicate      = errors.New("a workspace is listed twice")
)

// check returns an error if no daemon can have sent the report.
func (r *Report) check() error {
	limit := maxReportedWork.Milliseconds()
	if r.Total < 0 || r.Total > limit {
		return errWorkOutOfRange
	}
	if len(r.Work) > MaxReported {
		return errTooMany
	}
	sum := int64(0)
	for i, w := range r.Work {
		if w.Millis < 0 || w.Millis > limit {
			return errWorkOutOfRange
		}
		if slices.ContainsFunc(r.Work[:i], func(other WorkspaceWork) bool { return other.Workspace == w.Workspace }) {
			return errDuplicate
		}
		sum += w.Millis
	}
	if sum > r.Total {
		return errSum
	}
	return nil
}

// contribution is the last report of another daemon.
type contribution struct {
	report     Report
	receivedAt time.Duration
}

// Contended reports whether the service is contended. Only then do the daemons report their work.
func (l *Ledger) Contended(now time.Duration) bool { return l.contention.contended(now) }

// Report returns this daemon's recent work on a service, for other daemons.
func (l *Ledger) Report(service Key, now time.Duration) Report {
	r := Report{Service: service, Total: int64(math.Ceil(l.ownTotal.at(now) * 1000))}
	for workspace, sum := range l.own {
		if millis := int64(sum.at(now) * 1000); millis > 0 {
			r.Work = append(r.Work, WorkspaceWork{Workspace: workspace, Millis: millis})
		}
	}
	slices.SortFunc(r.Work, func(a, b WorkspaceWork) int {
		return cmp.Or(cmp.Compare(b.Millis, a.Millis), cmp.Compare(a.Workspace, b.Workspace))
	})
	r.Work = r.Work[:min(len(r.Work), MaxReported)]
	return r
}

// Merge replaces the report of another daemon, given by the hash of its name. A report that no daemon
// can have sent is dropped with an error.
func (l *Ledger) Merge(daemon uint64, r Report, now time.Duration) error {
	if err := r.check(); err != nil {
		return err
	}
	if _, known := l.peers[daemon]; !known && len(l.peers) >= maxPeers {
		l.forget(now)
		if len(l.peers) >= maxPeers {
			return nil
		}
	}
	l.peers[daemon] = contribution{r, now}
	return nil
}

// informed reports whether enough daemons were heard. A daemon that starts or is cut off was not
// told of the others' work and takes no workspace to be beyond its share.
func (l *Ledger) informed(v View) bool {
	others := v.Daemons - 1
	return others > 0 && len(l.peers) >= min(minReports, others)
}

// sample estimates a mean over the other daemons from the reports of some.
type sample struct{ sum, largest, largestWeight float64 }

// add adds a reported value with its weight.
func (s *sample) add(value, weight float64) {
	s.sum += value * weight
	if value > s.largest {
		s.largest, s.largestWeight = value, weight
	}
}

// mean returns the weighted mean of the values, without the largest if there are enough reports.
func (s *sample) mean(weight float64, reports int) float64 {
	if reports < minReports {
		return s.sum / weight
	}
	return max(0, s.sum-s.largest*s.largestWeight) / (weight - s.largestWeight)
}

// peerWork estimates the work of all other daemons from the reports heard, of which newer ones weigh
// more.
func (l *Ledger) peerWork(v View, now time.Duration) (used map[Key]float64, unlisted float64) {
	used = map[Key]float64{}
	samples, rest, weights := map[Key]*sample{}, sample{}, 0.0
	for _, c := range l.peers {
		weight := decay(now-c.receivedAt, workHalfLife)
		weights += weight
		listed := addReport(samples, &c.report, v, weight)
		rest.add(float64(c.report.Total)/1000-listed, weight)
	}
	others := float64(v.Daemons - 1)
	for workspace, s := range samples {
		used[workspace] = others * s.mean(weights, len(l.peers))
	}
	return used, others * rest.mean(weights, len(l.peers))
}

// addReport adds the work of known workspaces to their samples, and returns its sum in seconds.
func addReport(samples map[Key]*sample, r *Report, v View, weight float64) (listed float64) {
	for _, w := range r.Work {
		if _, known := v.Weights[w.Workspace]; !known {
			continue
		}
		s := samples[w.Workspace]
		if s == nil {
			s = &sample{}
			samples[w.Workspace] = s
		}
		work := float64(w.Millis) / 1000
		s.add(work, weight)
		listed += work
	}
	return listed
}
