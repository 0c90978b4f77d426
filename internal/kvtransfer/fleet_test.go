package kvtransfer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// fleetRun is a fleet whose daemons decide alone. Each learns of a copy after a delay.
type fleetRun struct {
	rng     *rand.Rand
	daemons []*Links
	// heldSince is when each engine got a copy, by part.
	heldSince []map[int]time.Time
	// freeAt is when the engines' links are free.
	freeAt    []time.Time
	transfers int
	linkTime  time.Duration
	maxWait   time.Duration
}

const (
	placementDelay = time.Second
	fleetTokens    = 6000
)

func newFleetRun(daemons, engines int) *fleetRun {
	r := &fleetRun{rng: rand.New(rand.NewPCG(1, uint64(daemons))), heldSince: make([]map[int]time.Time, engines), freeAt: make([]time.Time, engines)}
	for range daemons {
		r.daemons = append(r.daemons, NewLinks())
	}
	for i := range r.heldSince {
		r.heldSince[i] = map[int]time.Time{}
	}
	return r
}

// request sends a request for a part from a random daemon to a random engine.
func (r *fleetRun) request(part int, now time.Time) {
	daemon, to := r.rng.IntN(len(r.daemons)), r.rng.IntN(len(r.freeAt))
	links := r.daemons[daemon]
	if _, held := r.heldSince[to][part]; held {
		return
	}
	fleet := Fleet{Daemon: uint64(daemon) + 1, Daemons: len(r.daemons), Engines: len(r.freeAt)}
	var lenders []Engine
	for i := range r.heldSince {
		if since, held := r.heldSince[i][part]; held && now.Sub(since) >= placementDelay {
			lenders = append(lenders, Engine{Index: i, HeldTokens: fleetTokens, Version: "v1", LinkWait: links.Wait(uint64(i), now), Share: links.Share(uint64(i), fleet, now)})
		}
	}
	policy := Policy{Rate: fastLinks, Success: 1, Utilization: links.Utilization(fleet, now)}
	plan := policy.Choose(Target{Engine: Engine{Index: to, Version: "v1", LinkWait: links.Wait(uint64(to), now)}, PrefillPerToken: 20 * time.Microsecond}, lenders)
	r.heldSince[to][part] = now
	if plan.Reason == Planned {
		links.Record(uint64(plan.Lender), uint64(to), plan.Duration, now)
		r.transfer(plan.Lender, to, plan.Duration, now)
	}
}

// transfer occupies both links, after the transfers before it.
func (r *fleetRun) transfer(lender, target int, d time.Duration, now time.Time) {
	start := now
	for _, i := range []int{lender, target} {
		if r.freeAt[i].After(start) {
			start = r.freeAt[i]
		}
	}
	r.freeAt[lender], r.freeAt[target] = start.Add(d), start.Add(d)
	r.transfers++
	r.linkTime += 2 * d
	r.maxWait = max(r.maxWait, start.Sub(now))
}

// Guards against daemons that all fetch from the same engine at once, or that together use more of
// the links than their rule for one allows.
func TestLinkTimeIsBoundedForAnyNumberOfDaemons(t *testing.T) {
	const engines, parts, seconds, perSecond = 60, 40, 30, 400
	for _, daemons := range []int{6, 60, 520} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			r := newFleetRun(daemons, engines)
			start := time.Unix(1000, 0)
			for part := range parts {
				r.heldSince[part%engines][part] = start.Add(-placementDelay)
			}
			for i := range seconds * perSecond {
				now := start.Add(time.Duration(i) * time.Second / perSecond)
				part := r.rng.IntN(parts)
				if i%2 == 0 {
					part = 0
				}
				r.request(part, now)
				if i%10 == 0 {
					// Engines evict, so that parts are fetched again.
					clear(r.heldSince[r.rng.IntN(engines)])
				}
			}
			utilization := r.linkTime.Seconds() / (engines * seconds)
			t.Logf("%d transfers, utilization %.3f, longest wait %s", r.transfers, utilization, r.maxWait)
			if r.transfers < 100 || utilization > maxUtilization || r.maxWait > windowLength {
				t.Errorf("%d transfers, utilization %.3f, longest wait %s", r.transfers, utilization, r.maxWait)
			}
		})
	}
}
