package relay

import (
	"time"

	"github.com/damaskrudder/damaskrudder/internal/rollout"
)

// ExposureLimit bounds the requests to a version that is not known to be good: a fraction of the
// requests for its service since the order, plus a number of requests, for all daemons together.
// The zero value is no limit.
type ExposureLimit struct {
	Share, Slack float64
}

// usableExposureFraction keeps a margin for daemons that have restarted since the order and for
// requests that do not reach the old version.
const usableExposureFraction = 0.8

// standing is what the evaluating daemons have concluded about a new version.
type standing uint8

const (
	unproven standing = iota
	acquitted
	inDoubt
)

// String returns the name of the standing.
func (s standing) String() string { return [...]string{"unproven", "acquitted", "in_doubt"}[s] }

// standingTTL is how long the standing that another daemon reported applies. It covers the interval at
// which a daemon of a large fleet hears from the evaluating ones.
const standingTTL = 10 * time.Second

// exposure is a daemon's use of a new version since its order.
type exposure struct {
	sends, newSends float64
}

// allows reports whether one more request may be sent to the new version. The daemons share the
// slack in equal parts; one that has seen no other has none, as it may be cut off from them.
func (e exposure) allows(limit ExposureLimit, daemons int) bool {
	if limit == (ExposureLimit{}) {
		return true
	}
	allowed := limit.Share * (e.sends + 1)
	if daemons > 1 {
		allowed += limit.Slack / float64(daemons)
	}
	return e.newSends+1 <= usableExposureFraction*allowed
}

// recordSend counts a request that is sent to a server of an order's service.
func (r *Rollouts) recordSend(t *target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	order := r.orders[t.service]
	if order == nil || order.phase.Final() {
		return
	}
	order.exposure.sends++
	if t.server.Version == order.Target {
		order.exposure.newSends++
	}
}

// evaluateStanding derives the standing of the new version from evidence. Callers hold mu.
func (r *Rollouts) evaluateStanding(order *orderState, e rollout.Evidence) {
	next, why := unproven, ""
	if doubt := rollout.DefaultOrderPolicy().Doubt(e); doubt != "" {
		next, why = inDoubt, doubt
	} else if rollout.DefaultOrderPolicy().Acquitted(e) {
		next = acquitted
	}
	if next == order.ownStanding {
		return
	}
	r.log.Info("standing of new version", "service", order.Service, "target", order.Target, "phase", order.phase, "from", order.ownStanding, "to", next, "why", why, "sends", order.exposure.sends, "new_sends", order.exposure.newSends)
	order.ownStanding = next
}

// standing returns the worse of the standings that this daemon and the evaluating ones have found.
func (o *orderState) standing(now time.Time) standing {
	reported := o.reportedStanding
	if now.Sub(o.reportedStandingAt) > standingTTL {
		reported = unproven
	}
	return max(o.ownStanding, reported)
}

// mayUseNewVersion reports whether a request may be sent to the new version: always if it is
// acquitted, or not in doubt after the canary, and else within the exposure limit. A final phase
// overrides doubt, as no old server is left after a completed order.
func (r *Rollouts) mayUseNewVersion(order *orderState) bool {
	if order.phase.Final() {
		return true
	}
	switch order.standing(r.now()) {
	case acquitted:
		return true
	case unproven:
		if order.phase != rollout.Canary {
			return true
		}
	case inDoubt:
	}
	return order.exposure.allows(r.exposureLimit, r.daemons)
}

// ObserveDaemons records the number of live daemons. The most that were seen share the slack of the
// exposure limit, since others may be cut off and use their parts.
func (r *Rollouts) ObserveDaemons(n int) {
	r.mu.Lock()
	r.daemons = max(r.daemons, n)
	r.mu.Unlock()
}
