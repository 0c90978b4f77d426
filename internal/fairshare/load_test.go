package fairshare

import (
	"cmp"
	"slices"
	"testing"
	"time"
)

const (
	// servers process one request at a time, of usualWork seconds on average. Without a flood they are
	// busy for usualUtilization of the time.
	loadDaemons      = 24
	servers          = 10
	usualUtilization = 0.9
	loadStep         = 10 * time.Millisecond
	floodStart       = 10 * time.Second
	floodEnd         = 28 * time.Second
	// largeModelFraction is the fraction of requests that the large model answers, and smallModelWork
	// the part of usualWork that the small one takes.
	largeModelFraction = 0.5
	smallModelWork     = 0.4
	// deadlineFactor is the deadline of a request as a multiple of its target.
	deadlineFactor = 4
)

// targets are the target waits by rank, 0 the most urgent.
var targets = []time.Duration{time.Second, 1500 * time.Millisecond, 4 * time.Second}

// job is a request that waits for a server.
type job struct {
	daemon, workspace, rank int
	over                    bool
	arrived                 time.Duration
	work                    time.Duration
}

// pool is a number of servers with one queue, ordered by rank.
type pool struct {
	*fleet
	fair    bool
	free    []time.Duration
	queue   []job
	arrived int
	// inTime and sent count the requests of workspaces that do not flood, during the flood.
	inTime, sent float64
}

// serveOthers plays a flood of workspace 0 and returns the fraction of the requests of the others that
// are in time.
func serveOthers(t *testing.T, factor float64, fair bool) float64 {
	p := &pool{fleet: newFleet(loadDaemons), fair: fair, free: make([]time.Duration, servers)}
	start := p.now
	for p.now < start+floodEnd {
		flooding := p.now >= start+floodStart
		p.arrive(factor, flooding)
		p.dispatch()
		p.now += loadStep
		if (p.now-start)%reportStep != 0 {
			continue
		}
		for d, l := range p.daemons {
			l.Refresh(p.view, p.now)
			p.report(t, d)
		}
	}
	return p.inTime / p.sent
}

// arrive adds the requests of one step.
func (p *pool) arrive(factor float64, flooding bool) {
	perWorkspace := usualUtilization * servers / usualWork / workspaces * loadStep.Seconds()
	for w := range workspaces {
		mean := perWorkspace
		if w == 0 && flooding {
			mean *= factor
		}
		for at := p.rng.ExpFloat64(); at < mean; at += p.rng.ExpFloat64() {
			p.add(w, flooding)
		}
	}
}

func (p *pool) add(workspace int, flooding bool) {
	p.arrived++
	j := job{daemon: p.rng.IntN(loadDaemons), workspace: workspace, rank: p.rng.IntN(len(targets)), arrived: p.now}
	l := p.daemons[j.daemon]
	position, large := p.rng.Float64(), p.rng.Float64() < largeModelFraction
	j.over = p.fair && position < l.Standing(workspaceKey(workspace)).Excess()
	work := smallModelWork
	if large && !j.over {
		work += (1 - smallModelWork) / largeModelFraction
	}
	j.work = time.Duration(work * p.rng.ExpFloat64() * usualWork * float64(time.Second))
	l.Record(workspaceKey(workspace), j.work.Seconds(), p.now)
	l.ObserveWait(j.rank, p.expectedWait(j.rank) > targets[j.rank]/2, p.now)
	p.queue = append(p.queue, j)
	if workspace > 0 && flooding {
		p.sent++
	}
}

// expectedWait returns the time to serve the requests of a rank and of more urgent ones.
func (p *pool) expectedWait(rank int) (wait time.Duration) {
	for _, j := range p.queue {
		if j.rank <= rank {
			wait += j.work / servers
		}
	}
	return wait
}

// dispatch starts the first requests of the queue on free servers and drops those past their deadline.
func (p *pool) dispatch() {
	p.queue = slices.DeleteFunc(p.queue, func(j job) bool { return p.now-j.arrived > deadlineFactor*targets[j.rank] })
	slices.SortStableFunc(p.queue, func(a, b job) int { return cmp.Or(cmp.Compare(a.rank, b.rank), compareOver(a, b)) })
	for s := range p.free {
		for p.free[s] <= p.now && len(p.queue) > 0 {
			j := p.queue[0]
			p.queue = p.queue[1:]
			p.free[s] = max(p.free[s], p.now-loadStep) + j.work
			p.start(j)
		}
	}
}

func compareOver(a, b job) int {
	if a.over == b.over {
		return 0
	}
	if a.over {
		return 1
	}
	return -1
}

func (p *pool) start(j job) {
	wait := p.now - j.arrived
	p.daemons[j.daemon].ObserveWait(j.rank, wait > targets[j.rank]/2, p.now)
	if j.workspace > 0 && j.arrived >= time.Hour+floodStart && wait <= targets[j.rank] {
		p.inTime++
	}
}

// Guards against workspaces that lose a tenth of what they get without another one's flood.
func TestOthersAreServedBesideFlood(t *testing.T) {
	const maxLoss = 0.1
	undisturbed := serveOthers(t, 1, true)
	unfair := serveOthers(t, floodFactor, false)
	fair := serveOthers(t, floodFactor, true)
	t.Logf("in time: without flood %.3f, beside it %.3f, with fair shares %.3f", undisturbed, unfair, fair)
	if fair < (1-maxLoss)*undisturbed {
		t.Errorf("the others lose %.3f of %.3f", undisturbed-fair, undisturbed)
	}
	if fair <= unfair {
		t.Errorf("fair shares gain nothing: %.3f, %.3f", unfair, fair)
	}
}
