package gossip

import (
	"time"

	"github.com/damaskrudder/damaskrudder/internal/membership"
	"github.com/damaskrudder/damaskrudder/internal/relay"
	"github.com/damaskrudder/damaskrudder/internal/slowstart"
)

// workDelta returns how a daemon's work at backend servers has changed.
func workDelta(before, after []relay.Work) []relay.Work {
	out := make([]relay.Work, 0, len(before)+len(after))
	for _, w := range before {
		out = append(out, relay.Work{Server: w.Server, Running: -w.Running, Pending: -w.Pending})
	}
	return append(out, after...)
}

// SlowStartView returns the daemons that share the limits of warming servers with this one. It is
// trusted while at least half of the daemons that are known of are in contact.
func (m *Members) SlowStartView() slowstart.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireSilent(time.Now())
	own, others := m.live.Hashes()
	return slowstart.View{Own: own, Others: others, Trusted: 2*m.live.Len() >= len(m.members)}
}

// Endpoints returns the daemons heard lately as callers are told of them, in no order. One
// that did not answer the last call is left out until it is heard again: with 195 daemons
// each is called every 3 s, and its silence alone would show 9 s after its end.
func (m *Members) Endpoints() []membership.Endpoint {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireSilent(time.Now())
	out := make([]membership.Endpoint, 0, m.live.Len()+1)
	for a, o := range m.members {
		if m.live.Contains(a) && !o.lastCallFailed {
			p := o.latest
			out = append(out, membership.Endpoint{Address: p.ClientAddress, FailureDomain: p.FailureDomain, Ready: p.Ready, Leaving: p.Leaving})
		}
	}
	return out
}
