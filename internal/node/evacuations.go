package node

import (
	"context"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/feed"
	"github.com/damaskrudder/damaskrudder/internal/freshness"
	"github.com/damaskrudder/damaskrudder/internal/gossip"
	"github.com/damaskrudder/damaskrudder/internal/loop"
)

// applyEvacuations applies evacuation records. A complete set of records ends the evacuations that
// it lacks, unless the store was restored from an older copy that may have lost them: those hold until
// the operator writes or removes them again.
func (n *Node) applyEvacuations(records []feed.Record, complete bool) {
	restored := n.eraChanges.consume(freshness.Configuration)
	listed := map[string]bool{}
	for _, r := range records {
		evacuation, ok := n.deps.Codec.DecodeEvacuation(r)
		if !ok {
			continue
		}
		listed[evacuation.FailureDomain] = !evacuation.Revoked
		delete(n.unlistedEvacuations, evacuation.FailureDomain)
		if evacuation.Revoked {
			n.readmit(evacuation.FailureDomain, r.At)
			continue
		}
		if n.state.Evacuate(evacuation.FailureDomain) {
			n.log.Warn("failure domain evacuated", "failure_domain", evacuation.FailureDomain, "at", r.At)
		}
	}
	if complete {
		n.endUnlistedEvacuations(listed, restored)
	}
}

// endUnlistedEvacuations ends the evacuations that a complete set of records lacks. Those that a
// restored store lacks are kept from then on.
func (n *Node) endUnlistedEvacuations(listed map[string]bool, restored bool) {
	for _, evacuation := range n.state.Evacuations() {
		domain := evacuation.FailureDomain
		switch {
		case listed[domain] || n.unlistedEvacuations[domain]:
		case restored:
			n.unlistedEvacuations[domain] = true
			n.log.Warn("restored store lacks an evacuation, kept", "failure_domain", domain)
		default:
			n.readmit(domain, 0)
		}
	}
}

func (n *Node) readmit(domain string, at feed.Position) {
	if n.state.Readmit(domain) {
		n.log.Warn("failure domain readmitted", "failure_domain", domain, "at", at)
	}
}

// refreshSlowStartView keeps the view of the peers that share the limits of warming servers, and
// the related gauges, up to date until the context ends.
func (n *Node) refreshSlowStartView(ctx context.Context) {
	loop.Every(ctx, gossip.Interval, func(context.Context, time.Time) {
		v := n.members.SlowStartView()
		v.Trusted = v.Trusted && n.inContactFor(rankStableAfter)
		n.state.SetSlowStartView(v)
		n.deps.Metrics.DomainsEvacuated.Update(float64(len(n.state.Evacuations())))
		n.deps.Metrics.ServersWarming.Update(float64(n.state.WarmingServers()))
		n.deps.Metrics.ServersLimited.Update(float64(n.state.LimitedServers()))
		n.deps.Metrics.ServersLeaving.Update(float64(n.state.LeavingServers()))
		n.deps.Metrics.ServersPaused.Update(float64(n.state.PausedServers()))
		n.deps.Metrics.RejectionSensitiveServices.Update(float64(n.state.RejectionSensitiveServices()))
		n.reportStatus()
	})
}
