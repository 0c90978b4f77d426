// Package slowstart shares out what a backend server bears while it warms up.
//
// A server that has just started serves a limited number of requests a second, counted over
// all daemons, and ends well above it. No daemon knows what the others send at the same
// moment. So a few daemons are chosen for each server by rendezvous hashing, each with a
// fixed part of the limit; the others send nothing there until the server is warm. The parts
// add up to half of the limit, so that it holds while daemons disagree on who is chosen, as
// on the two sides of a partition.
package slowstart

import (
	"math"
	"time"
)

const (
	// senders is how many daemons send to one warming server.
	senders = 4
	// views is how many different choices of senders may be in force at a time.
	views = 2
	// jitter widens the interval between two sends, whose delays to the server differ.
	jitter = 1.05
)

// Limit is what a warming server bears. The zero value is a server without a limit.
type Limit struct {
	// WarmupPeriod is how long a server is warming after its start.
	WarmupPeriod time.Duration
	// PerSecond is the rate of requests that it serves.
	PerSecond float64
	// BurstFactor and Slack bound the requests of any one second: PerSecond*Excess + Slack.
	BurstFactor, BurstSlack float64
}

// Limited reports whether there is a limit at all.
func (l Limit) Limited() bool { return l.PerSecond > 0 }

// Bound returns the most requests of any one second.
func (l Limit) Bound() int { return int(l.PerSecond*l.BurstFactor + l.BurstSlack) }

// Share is one sender's part of a limit.
type Share struct {
	// Senders is how many daemons have a part.
	Senders int
	// Interval is the least time between two sends of one of them.
	Interval time.Duration
}

// Share divides the limit. A limit too small for all senders is divided among fewer.
func (l Limit) Share() Share {
	n := min(senders, max(1, l.Bound()/views))
	each := max(1, l.Bound()/(n*views))
	interval := max(jitter/float64(each), float64(n)/math.Max(l.PerSecond, math.SmallestNonzeroFloat32))
	return Share{Senders: n, Interval: time.Duration(interval * float64(time.Second))}
}

// View is what a daemon knows of the daemons that share the limits.
type View struct {
	// Self and Others are hashes of the daemons' names. Others live and do not leave.
	Self  uint64
	Peers []uint64
	// Trusted says that the daemon reaches at least half of those that it knows of, and has
	// done so for long enough to know who they are. One that is cut off would else take
	// itself for one of the few that are left.
	Trusted bool
}

// IsSender reports whether the daemon is one of some senders to a server.
func (v View) IsSender(server uint64, senders int) bool {
	if !v.Trusted {
		return false
	}
	own, before := weight(v.Self, server), 0
	for _, o := range v.Peers {
		if weight(o, server) <= own {
			continue
		}
		if before++; before == senders {
			return false
		}
	}
	return true
}

// weight is a daemon's rendezvous weight for a server.
func weight(daemon, server uint64) uint64 {
	const multiplier = 0x9E3779B97F4A7C15
	h := (daemon ^ server) * multiplier
	h = (h ^ h>>32) * multiplier
	return h ^ h>>29
}

// Pacer counts one daemon's sends to one warming server.
type Pacer struct {
	last time.Duration
	sent bool
}

// Ready reports whether another send is due.
func (m *Pacer) Ready(s Share, now time.Duration) bool { return !m.sent || now-m.last >= s.Interval }

// RecordSend records a send.
func (m *Pacer) RecordSend(now time.Duration) { m.last, m.sent = now, true }
