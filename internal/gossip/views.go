package gossip

import (
	"time"

	"github.com/damaskrudder/damaskrudder/internal/membership"
	"github.com/damaskrudder/damaskrudder/internal/relay"
	"github.com/damaskrudder/damaskrudder/internal/slowstart"
)

// workDelta returns the changes between two lists of work at backend servers.
func workDelta(before, after []relay.ServerWork) []relay.ServerWork {
	out := make([]relay.ServerWork, 0, len(before)+len(after))
	for _, w := range before {
		out = append(out, relay.ServerWork{Server: w.Server, InFlight: -w.InFlight, PendingPrefill: -w.PendingPrefill})
	}
	return append(out, after...)
}

// SlowStartView returns the daemons that share the limits of warming servers with this
// one. It is trusted while at least half of the known daemons are live.
func (m *Members) SlowStartView() slowstart.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireSilent(time.Now())
	own, others := m.live.Hashes()
	return slowstart.View{Self: own, Peers: others, Trusted: 2*m.live.Len() >= len(m.members)}
}

// doubtfulContact is the age of the last contact up to which a daemon that is silent may still serve.
// After a pause of this daemon all others are.
const doubtfulContact = 10 * time.Second

// ForwardExclusions counts the known daemons that are no targets of forwarded requests, by the first
// reason that applies.
type ForwardExclusions struct {
	Unknown, Leaving, OutOfReach, Silent, NotReady, CallFailed int
}

// ForwardTargets returns the addresses of the ready daemons that are not known to have lost the
// servers, and those of the ones that may be able to serve although they seem silent or not ready. It
// counts the latter and the others.
func (m *Members) ForwardTargets() (out, doubtful []string, excluded ForwardExclusions) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireSilent(time.Now())
	for address, other := range m.members {
		r, known := m.table.Get(address)
		switch {
		case !known:
			excluded.Unknown++
			continue
		case r.Leaving:
			excluded.Leaving++
			continue
		case other.latest.OutOfReach:
			excluded.OutOfReach++
			continue
		case !m.live.Contains(address):
			excluded.Silent++
		case !r.Ready:
			excluded.NotReady++
		case other.lastCallFailed:
			excluded.CallFailed++
		default:
			out = append(out, address)
			continue
		}
		if time.Since(other.lastContact) <= doubtfulContact {
			doubtful = append(doubtful, address)
		}
	}
	return out, doubtful, excluded
}

// Endpoints returns the live daemons as endpoints for clients, in no order. Daemons whose
// last call failed are omitted until the next contact, since the liveness timeout is long
// in large deployments.
func (m *Members) Endpoints() []membership.Endpoint {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireSilent(time.Now())
	out := make([]membership.Endpoint, 0, m.live.Len()+1)
	for address, other := range m.members {
		if !m.live.Contains(address) || other.lastCallFailed {
			continue
		}
		if r, known := m.table.Get(address); known {
			out = append(out, membership.Endpoint{Address: r.ClientAddress, FailureDomain: r.FailureDomain, Ready: r.Ready, Leaving: r.Leaving})
		}
	}
	return out
}
