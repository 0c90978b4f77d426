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
// it lacks, unless the store was restored from an older copy, which may have lost them.
func (n *Node) applyEvacuations(records []feed.Record, complete bool) {
	restored := n.eraChanges.consume(freshness.Configuration)
	listed := map[string]bool{}
	for _, r := range records {
		e, ok := n.deps.Codec.DecodeEvacuation(r)
		if !ok {
			continue
		}
		listed[e.FailureDomain] = !e.Revoked
		if e.Revoked {
			n.readmit(e.FailureDomain, r.At)
			continue
		}
		if n.state.Evacuate(e.FailureDomain) {
			n.log.Warn("failure domain evacuated", "failure_domain", e.FailureDomain, "at", r.At)
		}
	}
	if !complete || restored {
		return
	}
	for _, e := range n.state.Evacuations() {
		if !listed[e.FailureDomain] {
			n.readmit(e.FailureDomain, 0)
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
	})
}
