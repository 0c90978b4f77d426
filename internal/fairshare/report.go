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
	// reportHold is how long daemons go on to report after a contention, so that the next one of a
	// series finds them informed.
	reportHold = 5 * time.Second
	// minReports is the number of daemons that must have reported, unless there are fewer others. From
	// this number on, the largest report on each workspace is left out: no single daemon can put a
	// workspace beyond its share elsewhere.
	minReports = 3
	// minContended is the part of the reporting daemons, as a divisor, that must see contention.
	minContended = 4
	// maxPeers bounds the daemons whose reports are kept.
	maxPeers = 256
	// maxReportedWork is the largest credible work of a daemon.
	maxReportedWork = time.Hour
)

// Report is a daemon's recent work on one service.
type Report struct {
	_       struct{} `cbor:",toarray"`
	Service Key
	// Contended is set if the service is contended at the daemon itself.
	Contended bool
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

// ReportDue reports whether other daemons need this one's report: the service was lately contended
// here or at a daemon that reported.
func (l *Ledger) ReportDue(now time.Duration) bool {
	if l.contention.contended(now) {
		l.reportUntil = now + reportHold
	}
	return now < l.reportUntil
}

// Report returns this daemon's recent work on a service, for other daemons.
func (l *Ledger) Report(service Key, now time.Duration) Report {
	r := Report{Service: service, Contended: l.contention.contended(now), Total: int64(math.Ceil(l.ownTotal.at(now) * 1000))}
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
	if r.Contended {
		l.reportUntil = now + reportHold
	}
	l.peers[daemon] = contribution{r, now}
	return nil
}

// sharedContention reports whether enough of the reporting daemons see contention, too. They use the
// same servers, so that what one of them sees alone may be chance.
func (l *Ledger) sharedContention() bool {
	contended := 0
	for _, c := range l.peers {
		if c.report.Contended {
			contended++
		}
	}
	return contended*minContended >= len(l.peers)
}

// informed reports whether enough daemons have reported. A daemon that starts or is cut off was not
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

// peerWork estimates the work of all other daemons from the reports received, of which newer ones weigh
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
