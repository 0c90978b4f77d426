package gossip

import (
	"time"

	"github.com/damaskrudder/damaskrudder/internal/membership"
	"github.com/damaskrudder/damaskrudder/internal/relay"
	"github.com/damaskrudder/damaskrudder/internal/slowstart"
)

// difference returns how a daemon's work at backend servers has changed.
func difference(before, after []relay.ServerWork) []relay.ServerWork {
	out := make([]relay.ServerWork, 0, len(before)+len(after))
	for _, w := range before {
		out = append(out, relay.ServerWork{Server: w.Server, InFlight: -w.InFlight, PendingPrefill: -w.PendingPrefill})
	}
	return append(out, after...)
}

// SlowStartView returns the daemons that share the limits of warming servers with this one. It is
// trusted while at least half of the daemons that are known of are in contact.
func (m *Members) SlowStartView() slowstart.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(time.Now())
	own, others := m.roster.Hashes()
	return slowstart.View{Self: own, Peers: others, Trusted: 2*m.roster.Len() >= len(m.all)}
}

// Endpoints returns the daemons heard lately as callers are told of them, in no order. One
// that did not answer the last call is left out until it is heard again: with 195 daemons
// each is called every 3 s, and its silence alone would show 9 s after its end.
func (m *Members) Endpoints() []membership.Endpoint {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(time.Now())
	out := make([]membership.Endpoint, 0, m.roster.Len()+1)
	for a, o := range m.all {
		if m.roster.Contains(a) && !o.failed {
			p := o.pulse
			out = append(out, membership.Endpoint{Address: p.ClientAddress, FailureDomain: p.FailureDomain, Ready: p.Ready, Leaving: p.Leaving})
		}
	}
	return out
}
