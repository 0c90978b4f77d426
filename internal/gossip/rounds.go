package gossip

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/loop"
)

// Run calls other daemons periodically until the context ends.
func (m *Members) Run(ctx context.Context) {
	m.round(ctx)
	loop.Every(ctx, Interval, func(ctx context.Context, _ time.Time) { m.round(ctx) })
}

// Broadcast calls some live daemons at once, for changes that should spread before the
// next round. A daemon that learns of a change broadcasts it, too.
func (m *Members) Broadcast(ctx context.Context) {
	m.mu.Lock()
	m.expireSilent(time.Now())
	var targets []*member
	for _, address := range m.broadcastTargets() {
		if other := m.members[address]; !other.callPending {
			other.callPending = true
			targets = append(targets, other)
		}
	}
	m.mu.Unlock()
	for _, other := range targets {
		go m.call(ctx, other)
	}
}

// broadcastTargets returns the addresses to which this daemon broadcasts: in the overlay all
// partners, and in a mesh such that the broadcasts of all daemons reach every one. Callers hold mu.
func (m *Members) broadcastTargets() []string {
	var reachable []string
	for address := range m.members {
		if m.live.Contains(address) && m.overlay.includes(address) {
			reachable = append(reachable, address)
		}
	}
	if m.overlay.active || len(reachable) <= fanout {
		return reachable
	}
	return ringSuccessors(m.address, reachable)
}

// ringSuccessors returns those of the other addresses that follow an address at the distances 1,
// 2, 4 and so on in the ring of all, sorted. If every daemon passes a message on to its successors,
// it reaches n daemons in log n steps, with as many copies for each.
func ringSuccessors(self string, others []string) (successors []string) {
	slices.Sort(others)
	next, _ := slices.BinarySearch(others, self)
	for distance := 1; distance <= len(others); distance *= 2 {
		successors = append(successors, others[(next+distance-1)%len(others)])
	}
	return successors
}

func (m *Members) round(ctx context.Context) {
	m.reportExpiredWork()
	for _, other := range m.nextCalls(time.Now()) {
		go m.call(ctx, other)
	}
}

// reportExpiredWork passes the work of expired daemons to OnWorkChanged.
func (m *Members) reportExpiredWork() {
	m.mu.Lock()
	m.expireSilent(time.Now())
	expired := m.expiredWork
	m.expiredWork = nil
	m.mu.Unlock()
	m.OnWorkChanged(expired)
}

// nextCalls drops unreachable addresses and returns the members to call in this round.
func (m *Members) nextCalls(now time.Time) []*member {
	evidence := m.EvidenceState() // locks the roll-outs, which must precede the members
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireSilent(now)
	m.forgetLeaving(now)
	m.updateOverlay(now)
	if m.overlay.active {
		m.expirePartners(now)
		return m.nextOverlayCalls(evidence, now)
	}
	var due []*member
	for address, other := range m.members {
		lastEvidence := other.lastContact
		if other.added.After(lastEvidence) {
			lastEvidence = other.added
		}
		if now.Sub(lastEvidence) > addressRetention {
			delete(m.members, address)
			continue
		}
		silent := !m.live.Contains(address)
		if now.Sub(other.lastContact) < recentContactWindow {
			continue // a call exchanges messages in both directions
		}
		backingOff := silent && now.Sub(other.added) > startupWindow && now.Sub(other.lastAttempt) < retryInterval
		if other.callPending || backingOff {
			continue
		}
		due = append(due, other)
	}
	slices.SortFunc(due, compareCallPriority)
	return beginCalls(due[:min(fanout, len(due))], now)
}

// beginCalls marks members as called.
func beginCalls(due []*member, now time.Time) []*member {
	for _, other := range due {
		other.callPending, other.lastAttempt = true, now
	}
	return due
}

// forgetLeaving drops the runs that left long ago. Callers hold mu.
func (m *Members) forgetLeaving(now time.Time) {
	for incarnation, at := range m.leavingSince {
		if now.Sub(at) > leavingRetention {
			delete(m.leavingSince, incarnation)
		}
	}
}

func (m *Members) call(parent context.Context, other *member) {
	ctx, cancel := context.WithTimeout(parent, callTimeout)
	defer cancel()
	sentAt := time.Now()
	m.mu.Lock()
	last := other.latest
	evidence := last.WantsEvidence || other.sendsEvidence
	other.sendsEvidence = false
	m.mu.Unlock()
	msg, err := m.transport.Exchange(ctx, other.address, m.newStampedMessage(other.address, last.Incarnation, last.Timestamp, evidence))
	m.mu.Lock()
	other.callPending = false
	other.lastCallFailed, other.suspected = err != nil && other.lastContact.Before(sentAt), false
	m.updateFailedMembers(other)
	m.expireSilent(time.Now())
	lost := err != nil && !m.overlay.active && !other.lastContact.IsZero() && !m.live.Contains(other.address) && sentAt.Sub(other.lastContact) <= m.livenessTimeout()
	m.mu.Unlock()
	if lost {
		m.log.Warn("daemon lost", "daemon", other.latest.Name, "address", other.address, "err", err)
	}
	if err != nil {
		return
	}
	m.Receive(other.address, msg)
	if msg.PeersMore && len(msg.Peers) > 0 {
		m.call(parent, other) // fetch the remaining records at once
	}
}

// compareCallPriority orders members by call priority: suspected ones first, then those
// without activity for longest. A plain rotation would skip members as others come and go,
// until their liveness timeout.
func compareCallPriority(a, b *member) int {
	switch {
	case a.suspected && !b.suspected:
		return -1
	case b.suspected && !a.suspected:
		return 1
	}
	return cmp.Or(a.lastActivity().Compare(b.lastActivity()), cmp.Compare(a.tiebreak, b.tiebreak))
}

// lastActivity returns when the member was last in contact or called.
func (o *member) lastActivity() time.Time {
	if o.lastAttempt.After(o.lastContact) {
		return o.lastAttempt
	}
	return o.lastContact
}
