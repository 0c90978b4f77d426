package fairshare

import (
	"slices"
	"testing"
	"time"
)

const (
	// Each of the servers processes one request at a time, of usualWork seconds on average. Without a
	// flood they are busy for usualUtilization of the time.
	loadDaemons      = 24
	servers          = 10
	usualUtilization = 0.9
	// largeModelFraction is the fraction of requests that the large model answers, and smallModelWork
	// the part of usualWork that the small one takes.
	largeModelFraction = 0.5
	smallModelWork     = 0.4
	// maxGain is the largest part of an answer's value that the large model gains, and lateLoss the
	// part that others lose by being late.
	maxGain    = 0.5
	lateLoss   = 0.7
	loadStep   = 10 * time.Millisecond
	floodStart = time.Hour + 10*time.Second
	floodEnd   = time.Hour + 28*time.Second
	// deadlineFactor is the deadline of a request as a multiple of its target.
	deadlineFactor = 4
)

// targets are the target waits by rank, 0 the most urgent.
var targets = []time.Duration{time.Second, 1500 * time.Millisecond, 4 * time.Second}

// job is a request that waits for a server.
type job struct {
	ledger          *Ledger
	workspace, rank int
	over            bool
	arrived, work   time.Duration
}

// pool is a number of servers with one queue, ordered by rank and share.
type pool struct {
	*fleet
	fair  bool
	free  [servers]time.Duration
	queue []job
	// inTime and sent count the requests of workspaces that do not flood, during the flood.
	inTime, sent float64
}

// serveOthers plays a flood and returns the fraction of the requests of the others that are in time.
func serveOthers(flooding int, fair bool) float64 {
	p := &pool{fleet: newFleet(loadDaemons), fair: fair}
	for ; p.now < floodEnd; p.now += loadStep {
		for w := range workspaces {
			mean := usualUtilization * servers / usualWork / workspaces * loadStep.Seconds()
			if p.now >= floodStart {
				mean *= flood(flooding)(w, 0)
			}
			for at := p.rng.ExpFloat64(); at < mean; at += p.rng.ExpFloat64() {
				p.add(w)
			}
		}
		p.dispatch()
		if p.now%reportStep == 0 {
			for d, l := range p.daemons {
				l.Refresh(p.view, p.now)
				p.report(d)
			}
		}
	}
	return p.inTime / p.sent
}

// add queues a request. Beyond the share, the large model must gain more than others lose.
func (p *pool) add(workspace int) {
	j := job{ledger: p.daemons[p.rng.IntN(loadDaemons)], workspace: workspace, rank: p.rng.IntN(len(targets)), arrived: p.now}
	j.over = p.fair && p.rng.Float64() < j.ledger.Standing(workspaceKey(workspace)).Excess()
	size := p.rng.ExpFloat64() * usualWork
	work, large := smallModelWork*size, (1-smallModelWork)/largeModelFraction*size
	loss := large * j.ledger.DisplacedPerSecond(p.now) * lateLoss
	if p.rng.Float64() < largeModelFraction && (!j.over || p.rng.Float64()*maxGain > loss) {
		work += large
	}
	j.work = time.Duration(work * float64(time.Second))
	j.ledger.Record(workspaceKey(workspace), work, p.now)
	p.queue = append(p.queue, j)
	if workspace > 0 && p.now >= floodStart {
		p.sent++
	}
}

// position orders the queue.
func (j job) position() int {
	if j.over {
		return 2*j.rank + 1
	}
	return 2 * j.rank
}

// dispatch starts the first requests of the queue on free servers and drops those past their deadline.
func (p *pool) dispatch() {
	p.queue = slices.DeleteFunc(p.queue, func(j job) bool {
		expired := p.now-j.arrived > deadlineFactor*targets[j.rank]
		if expired {
			j.ledger.ObserveWait(j.rank, true, p.now)
		}
		return expired
	})
	slices.SortStableFunc(p.queue, func(a, b job) int { return a.position() - b.position() })
	for s := range p.free {
		for ; p.free[s] <= p.now && len(p.queue) > 0; p.queue = p.queue[1:] {
			j := p.queue[0]
			wait := p.now - j.arrived
			p.free[s] = max(p.free[s], p.now-loadStep) + j.work
			j.ledger.ObserveWait(j.rank, wait > targets[j.rank]*3/4, p.now)
			if j.workspace > 0 && j.arrived >= floodStart && wait <= targets[j.rank] {
				p.inTime++
			}
		}
	}
}

// Guards against workspaces that lose a tenth of what they get without another one's flood.
func TestOthersAreServedBesideFlood(t *testing.T) {
	const maxLoss = 0.1
	undisturbed, unfair, fair := serveOthers(0, true), serveOthers(1, false), serveOthers(1, true)
	t.Logf("in time: without flood %.3f, beside it %.3f, with fair shares %.3f", undisturbed, unfair, fair)
	if fair < (1-maxLoss)*undisturbed || fair <= unfair {
		t.Errorf("of %.3f without a flood, the others keep %.3f; without shares %.3f", undisturbed, fair, unfair)
	}
}
