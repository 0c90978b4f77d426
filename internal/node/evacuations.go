package node

import (
	"context"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/feed"
	"github.com/damaskrudder/damaskrudder/internal/freshness"
	"github.com/damaskrudder/damaskrudder/internal/gossip"
	"github.com/damaskrudder/damaskrudder/internal/loop"
)

// evacuations applies the operator's records on failure domains. Complete records name all
// domains that are evacuated, unless they are an older copy's: what a copy lacks may have been
// lost with its tail, and holds until the operator writes again.
func (n *Node) evacuations(records []feed.Record, complete bool) {
	restored := n.returned.take(freshness.Configuration)
	listed := map[string]bool{}
	for _, r := range records {
		e, about := n.ports.Codec.Evacuation(r)
		if !about {
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

// viewPeers keeps up to date with whom this daemon shares the limits of warming servers, until
// the context ends.
func (n *Node) viewPeers(ctx context.Context) {
	loop.Every(ctx, gossip.Interval, func(context.Context, time.Time) {
		v := n.members.SlowStartView()
		v.Trusted = v.Trusted && n.inTouchFor(placedAfter)
		n.state.SetSlowStartView(v)
		n.ports.Metrics.DomainsEvacuated.Update(float64(len(n.state.Evacuations())))
		n.ports.Metrics.ServersWarming.Update(float64(n.state.WarmingServers()))
	})
}
