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
// next round.
func (m *Members) Broadcast(ctx context.Context) {
	m.mu.Lock()
	m.expireSilent(time.Now())
	var targets []*member
	for a, o := range m.members {
		if len(targets) < fanout && !o.callPending && m.live.Contains(a) {
			o.callPending = true
			targets = append(targets, o)
		}
	}
	m.mu.Unlock()
	for _, o := range targets {
		go m.call(ctx, o)
	}
}

func (m *Members) round(ctx context.Context) {
	m.reportExpiredWork()
	for _, o := range m.nextCalls(time.Now()) {
		go m.call(ctx, o)
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
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireSilent(now)
	var due []*member
	for a, o := range m.members {
		lastEvidence := o.lastContact
		if o.added.After(lastEvidence) {
			lastEvidence = o.added
		}
		if now.Sub(lastEvidence) > addressRetention {
			delete(m.members, a)
			continue
		}
		silent := !m.live.Contains(a)
		if now.Sub(o.lastContact) < recentContactWindow {
			continue // a call exchanges messages in both directions
		}
		backingOff := silent && now.Sub(o.added) > startupWindow && now.Sub(o.lastAttempt) < retryInterval
		if o.callPending || backingOff {
			continue
		}
		due = append(due, o)
	}
	for incarnation, at := range m.leavingSince {
		if now.Sub(at) > leavingRetention {
			delete(m.leavingSince, incarnation)
		}
	}
	slices.SortFunc(due, compareCallPriority)
	due = due[:min(fanout, len(due))]
	for _, o := range due {
		o.callPending, o.lastAttempt = true, now
	}
	return due
}

func (m *Members) call(ctx context.Context, o *member) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := time.Now()
	m.mu.Lock()
	last := o.latest
	m.mu.Unlock()
	msg, err := m.transport.Exchange(ctx, o.address, m.newStampedMessage(o.address, last.Incarnation, last.Timestamp, last.WantsEvidence))
	m.mu.Lock()
	o.callPending = false
	o.lastCallFailed, o.suspected = err != nil && o.lastContact.Before(sentAt), false
	m.updateFailedMembers(o)
	m.expireSilent(time.Now())
	lost := err != nil && !o.lastContact.IsZero() && !m.live.Contains(o.address) && sentAt.Sub(o.lastContact) <= m.livenessTimeout()
	m.mu.Unlock()
	if lost {
		m.log.Warn("daemon lost", "daemon", o.latest.Name, "address", o.address, "err", err)
	}
	if err == nil {
		m.Receive(o.address, msg)
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
