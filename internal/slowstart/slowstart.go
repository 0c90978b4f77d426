// Package slowstart divides the request limit of a warming backend server among daemons.
//
// Rendezvous hashing selects a few senders for each server, each with a fixed share of the
// limit; other daemons do not send until the server is warm. The shares add up to half of the
// limit, so that it holds while daemons disagree on the senders, as during a partition.
package slowstart

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxSenders is the number of daemons that send to one warming server.
	maxSenders = 4
	// maxViews is how many different sets of senders may be in use at the same time.
	maxViews = 2
	// jitterFactor widens the send interval to allow for varying network delay.
	jitterFactor = 1.05
)

// Limit is the request limit of a warming server. The zero value means no limit.
type Limit struct {
	// WarmupPeriod is how long a server is warming after its start.
	WarmupPeriod time.Duration
	// PerSecond is the sustained rate of requests.
	PerSecond float64
	// BurstFactor and Burst bound the requests in any second: PerSecond*BurstFactor + Burst.
	BurstFactor, Burst float64
}

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return l.PerSecond > 0 }

// MaxPerSecond returns the maximum number of requests in any second.
func (l Limit) MaxPerSecond() int { return int(l.PerSecond*l.BurstFactor + l.Burst) }

// Share is the share of a limit of each sender.
type Share struct {
	// Senders is the number of daemons that have a share.
	Senders int
	// Interval is the minimum time between two sends of one sender.
	Interval time.Duration
}

// Share divides the limit. Small limits are divided among fewer senders.
func (l Limit) Share() Share {
	n := min(maxSenders, max(1, l.MaxPerSecond()/maxViews))
	perSender := max(1, l.MaxPerSecond()/(n*maxViews))
	interval := max(jitterFactor/float64(perSender), float64(n)/math.Max(l.PerSecond, math.SmallestNonzeroFloat32))
	return Share{Senders: n, Interval: time.Duration(interval * float64(time.Second))}
}

// View is a daemon's view of the daemons that share the limits.
type View struct {
	// Self and Peers are hashes of daemon names. Peers are alive and not leaving.
	Self  uint64
	Peers []uint64
	// Trusted reports whether the daemon has reached at least half of its known peers for long
	// enough. An isolated daemon would otherwise select itself as a sender of every server.
	Trusted bool
}

// IsSender reports whether this daemon is one of the given number of senders to a server.
func (v View) IsSender(server uint64, senders int) bool {
	if !v.Trusted {
		return false
	}
	self, ahead := rendezvousWeight(v.Self, server), 0
	for _, peer := range v.Peers {
		if rendezvousWeight(peer, server) <= self {
			continue
		}
		if ahead++; ahead == senders {
			return false
		}
	}
	return true
}

// Senders returns the peers that are among the given number of senders to a server.
func (v View) Senders(server uint64, senders int) []uint64 {
	if !v.Trusted {
		return nil
	}
	all := append(slices.Clone(v.Peers), v.Self)
	slices.SortFunc(all, func(a, b uint64) int {
		return cmp.Compare(rendezvousWeight(b, server), rendezvousWeight(a, server))
	})
	all = all[:min(senders, len(all))]
	return slices.DeleteFunc(all, func(daemon uint64) bool { return daemon == v.Self })
}

// Precedes reports whether a daemon ranks before another one for a server.
func Precedes(daemon, other, server uint64) bool {
	return rendezvousWeight(daemon, server) > rendezvousWeight(other, server)
}

// rendezvousWeight returns the rendezvous hash of a daemon and a server.
func rendezvousWeight(daemon, server uint64) uint64 {
	const multiplier = 0x9E3779B97F4A7C15
	h := (daemon ^ server) * multiplier
	h = (h ^ h>>32) * multiplier
	return h ^ h>>29
}

// Pacer spaces one daemon's sends to one server.
type Pacer struct {
	lastSend time.Duration
	sent     bool
	// sender reports whether the daemon sends to the server, since senderSince.
	sender      bool
	senderSince time.Duration
	// initialized is set once SetSender was called.
	initialized bool
}

// SetSender sets whether the daemon is a sender. One that becomes a sender waits for an
// interval, because the sender that it replaces may have just sent.
func (p *Pacer) SetSender(sender bool, s Share, now time.Duration) {
	if sender && !p.sender {
		p.senderSince = now
		if !p.initialized {
			p.senderSince -= s.Interval
		}
	}
	p.sender, p.initialized = sender, true
}

// Sender reports whether the daemon is a sender.
func (p *Pacer) Sender() bool { return p.sender }

// Ready reports whether the daemon may send.
func (p *Pacer) Ready(s Share, now time.Duration) bool {
	return p.sender && p.Remaining(s, now) == 0
}

// Remaining returns the time until a share allows a sender to send.
func (p *Pacer) Remaining(s Share, now time.Duration) time.Duration {
	next := p.senderSince + s.Interval
	if p.sent {
		next = max(next, p.lastSend+s.Interval)
	}
	return max(0, next-now)
}

// RecordSend records the time of a send.
func (p *Pacer) RecordSend(now time.Duration) { p.lastSend, p.sent = now, true }
