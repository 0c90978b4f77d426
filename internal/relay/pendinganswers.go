package relay

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskrudder/damaskrudder/internal/rollout"
)

// pendingAnswer is a send whose answer is not complete. During a roll-out it is evidence on its version
// once it is slower than most answers of the running version: an evaluation of complete answers alone
// sees the fast ones first.
type pendingAnswer struct {
	target *target
	route  string
	sentAt time.Time
	// first and interval are the expected time to the first event and between events in seconds; first
	// is zero if the answer is compared by its time alone.
	first, interval float64
	// events is the number of events that have arrived.
	events atomic.Int64
}

// latency returns the answer's latency so far, comparable with that of complete ones.
func (p *pendingAnswer) latency(now time.Time) float64 {
	elapsed := now.Sub(p.sentAt).Seconds()
	if p.first <= 0 {
		return elapsed
	}
	return elapsed / (p.first + float64(max(p.events.Load()-1, 0))*p.interval)
}

// beginAnswer observes the answer to a send, if its service has a running order.
func (r *Rollouts) beginAnswer(p *pendingAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if order := r.orders[p.target.service]; order != nil && !order.phase.Final() {
		order.pending[p.target] = p
	}
}

// endAnswer ends the observation of a send. An answer that was given up counts if it was slow until then.
func (r *Rollouts) endAnswer(t *target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	order := r.orders[t.service]
	if order == nil || order.pending[t] == nil {
		return
	}
	p := order.pending[t]
	delete(order.pending, t)
	if latency, slow := order.overdue(p, r.now()); slow {
		counts := order.countsOf(p.target, p.route)
		counts.Counts.Latencies.Add(latency)
		if counts.New {
			r.alarms++
		}
	}
}

// dropPending ends the observation of a send whose latency no longer depends on its server alone.
func (r *Rollouts) dropPending(t *target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if order := r.orders[t.service]; order != nil {
		delete(order.pending, t)
	}
}

// overdue returns the comparable latency of an answer that is not complete, and whether it is slower than
// most of the running version's.
func (o *orderState) overdue(p *pendingAnswer, now time.Time) (latency float64, slow bool) {
	if p.target.warming {
		return 0, false
	}
	latency = o.comparableLatency(p.latency(now), p.target.server.Version == o.Target)
	running := o.runningLatencies[routeHash(p.route)]
	return latency, running != nil && running.SlowerThanMost(latency)
}

// countsOf returns the counts of a server and route.
func (o *orderState) countsOf(t *target, route string) *rollout.ServerCounts {
	key := evidenceKey{t.server.ID, routeHash(route)}
	counts := o.ownEvidence[key]
	if counts == nil {
		counts = &rollout.ServerCounts{Server: t.server.ID, FailureDomain: t.server.FailureDomain, New: t.server.Version == o.Target, Route: key.route}
		o.ownEvidence[key] = counts
	}
	return counts
}

func routeHash(route string) uint32 { return uint32(xxhash.Sum64String(route)) }

// evidence returns this daemon's evidence, with the answers that are overdue.
func (o *orderState) evidence(now time.Time) rollout.Evidence {
	var e rollout.Evidence
	indexByKey := make(map[evidenceKey]int, len(o.ownEvidence))
	for key, counts := range o.ownEvidence {
		indexByKey[key] = len(e)
		e = append(e, *counts)
	}
	for _, p := range o.pending {
		latency, slow := o.overdue(p, now)
		if !slow {
			continue
		}
		key := evidenceKey{p.target.server.ID, routeHash(p.route)}
		i, known := indexByKey[key]
		if !known {
			i = len(e)
			indexByKey[key] = i
			e = append(e, rollout.ServerCounts{Server: key.server, FailureDomain: p.target.server.FailureDomain, New: p.target.server.Version == o.Target, Route: key.route})
		}
		e[i].Counts.Latencies.Add(latency)
	}
	return e
}
