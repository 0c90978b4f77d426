// Package fairshare decides which workspaces use more than their share of a service while the
// requests of others wait. It answers the load of few workspaces that send many times their usual
// amount: what is beyond their max-min fair share, by weights, is marked, so that it goes behind
// the requests of others. Without contention no workspace is beyond its share. The package does no
// I/O and does not read the clock.
package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// workHalfLife is the half-life of recorded work. It spans several requests of a usual workspace,
	// while one that has stopped is forgotten within seconds.
	workHalfLife = 1500 * time.Millisecond
	// refreshInterval is the least time between two computations of the shares.
	refreshInterval = 250 * time.Millisecond
	// maxWorkspaces bounds the workspaces with own work. Work of further ones counts as unlisted.
	maxWorkspaces = 1024
	// minWork is the work in seconds below which a workspace is forgotten.
	minWork = 1e-4
	// overStart is the ratio of work to share from which a workspace is beyond its share, and overEnd
	// the one below which it no longer is.
	overStart = 1.5
	overEnd   = 1.25
)

// Key identifies a workspace or a service between daemons. It keeps reports small.
type Key uint32

// NoWorkspace is the key of requests without a workspace.
const NoWorkspace Key = 0

// KeyOf returns the key of a name, which is NoWorkspace if it is empty.
func KeyOf(name string) Key {
	if name == "" {
		return NoWorkspace
	}
	return Key(xxhash.Sum64String(name))
}

// View is what a ledger needs to know of the deployment.
type View struct {
	// Daemons is the number of live daemons, including this one.
	Daemons int
	// Weights holds the weight of every workspace. Work of others counts as unlisted.
	Weights map[Key]float64
}

// Standing is a workspace's work compared to its share. Work is in seconds of server time over all
// daemons, with the half-life workHalfLife.
type Standing struct {
	Used, Share float64
	// Over is set if the workspace is beyond its share, and Contended if others wait.
	Over, Contended bool
}

// Excess returns the fraction of the workspace's work that is beyond its share.
func (s Standing) Excess() float64 {
	if !s.Over {
		return 0
	}
	return 1 - s.Share/s.Used
}

// Change reports that a workspace is now beyond its share, or within it again.
type Change struct {
	Workspace Key
	Standing  Standing
}

// Status describes a ledger's knowledge.
type Status struct {
	Contended bool
	// Informed is set if enough daemons have reported to compare workspaces.
	Informed bool
	// Heard is the number of daemons with recent reports, of Daemons - 1 others.
	Heard, Daemons int
	// Over is the number of workspaces beyond their share.
	Over int
}

// Ledger holds the recent work of workspaces on one service. It is not safe for concurrent use.
// Times are readings of one monotonic clock.
type Ledger struct {
	contention contention
	// own is this daemon's work by workspace, ownTotal all of it, and ownSends the number of sends.
	own                map[Key]*decayingSum
	ownTotal, ownSends decayingSum
	peers              map[uint64]contribution
	// reportUntil is how long contention, here or at another daemon, calls for reports.
	reportUntil time.Duration

	refreshed   bool
	refreshedAt time.Duration
	standings   map[Key]Standing
	status      Status
}

// NewLedger returns a ledger without work.
func NewLedger() *Ledger {
	return &Ledger{
		contention: newContention(), own: map[Key]*decayingSum{}, ownTotal: decayingSum{halfLife: workHalfLife}, ownSends: decayingSum{halfLife: workHalfLife},
		peers: map[uint64]contribution{}, standings: map[Key]Standing{},
	}
}

// Record adds work of a workspace, in seconds of server time, that this daemon sends to a server.
func (l *Ledger) Record(workspace Key, work float64, now time.Duration) {
	if !(work > 0) || math.IsInf(work, 0) {
		return
	}
	l.ownTotal.add(work, now)
	l.ownSends.add(1, now)
	if workspace == NoWorkspace {
		return
	}
	sum := l.own[workspace]
	if sum == nil {
		if len(l.own) >= maxWorkspaces {
			return
		}
		sum = &decayingSum{halfLife: workHalfLife}
		l.own[workspace] = sum
	}
	sum.add(work, now)
}

// ObserveWait records whether a request of a rank waited longer than its caller tolerates.
func (l *Ledger) ObserveWait(rank int, late bool, now time.Duration) {
	l.contention.observe(rank, late, now)
}

// DisplacedPerSecond returns how many requests of others become late for each second that a server
// spends on work beyond a share: as many as it would serve meanwhile, of which a part waits too long.
func (l *Ledger) DisplacedPerSecond(now time.Duration) float64 {
	work := l.ownTotal.at(now)
	if work < minWork {
		return 0
	}
	return l.contention.lateFraction(now) * l.ownSends.at(now) / work
}

// Standing returns a workspace's standing at the last refresh.
func (l *Ledger) Standing(workspace Key) Standing {
	s := l.standings[workspace]
	s.Contended = l.status.Contended
	return s
}

// Status returns the status at the last refresh.
func (l *Ledger) Status() Status { return l.status }

// Refresh computes the shares anew if they are out of date. It returns the workspaces that are now
// beyond their share or within it again.
func (l *Ledger) Refresh(v View, now time.Duration) []Change {
	if l.refreshed && now-l.refreshedAt < refreshInterval {
		return nil
	}
	l.refreshed, l.refreshedAt = true, now
	l.forget(now)
	l.status = Status{Contended: l.contention.contended(now) && l.sharedContention(), Informed: l.informed(v), Heard: len(l.peers), Daemons: v.Daemons}
	before := l.standings
	l.standings = map[Key]Standing{}
	if l.status.Contended && l.status.Informed {
		l.computeStandings(v, before, now)
	}
	return changes(before, l.standings)
}

// forget drops work and reports that are too old to matter.
func (l *Ledger) forget(now time.Duration) {
	for workspace, sum := range l.own {
		if sum.at(now) < minWork {
			delete(l.own, workspace)
		}
	}
	for daemon, c := range l.peers {
		if now-c.receivedAt > reportRetention {
			delete(l.peers, daemon)
		}
	}
}

// computeStandings compares the work of each known workspace to its share.
func (l *Ledger) computeStandings(v View, before map[Key]Standing, now time.Duration) {
	used, unlisted := l.totalWork(v, now)
	level := fairLevel(used, unlisted, v.Weights, max(l.contention.lateFraction(now), contentionStart))
	for workspace, work := range used {
		share := level * v.Weights[workspace]
		over := work > overStart*share || before[workspace].Over && work > overEnd*share
		if over {
			l.status.Over++
		}
		l.standings[workspace] = Standing{Used: work, Share: share, Over: over, Contended: true}
	}
}

// totalWork estimates the work of all daemons by workspace, and that of no known workspace.
func (l *Ledger) totalWork(v View, now time.Duration) (used map[Key]float64, unlisted float64) {
	others, othersUnlisted := l.peerWork(v, now)
	unlisted = l.ownTotal.at(now) + othersUnlisted
	for workspace, sum := range l.own {
		if _, known := v.Weights[workspace]; !known {
			continue
		}
		work := sum.at(now)
		others[workspace] += work
		unlisted -= work
	}
	return others, max(unlisted, 0)
}

// changes returns the workspaces whose standing changed between over and within their share.
func changes(before, after map[Key]Standing) (out []Change) {
	for workspace, s := range after {
		if s.Over != before[workspace].Over {
			out = append(out, Change{workspace, s})
		}
	}
	for workspace, s := range before {
		if _, known := after[workspace]; s.Over && !known {
			out = append(out, Change{Workspace: workspace})
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return out
}
