package gossip

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/loop"
)

// Run calls the others until the context ends.
func (m *Members) Run(ctx context.Context) {
	m.round(ctx)
	loop.Every(ctx, Interval, func(ctx context.Context, _ time.Time) { m.round(ctx) })
}

// Broadcast calls some of the others at once, as when this daemon begins to leave or has
// read something new. They tell on in turn, so that all hear within some calls.
func (m *Members) Broadcast(ctx context.Context) {
	m.mu.Lock()
	m.expire(time.Now())
	var list []*member
	for a, o := range m.all {
		if len(list) < fanOut && !o.calling && m.roster.Contains(a) {
			o.calling = true
			list = append(list, o)
		}
	}
	m.mu.Unlock()
	for _, o := range list {
		go m.call(ctx, o)
	}
}

func (m *Members) round(ctx context.Context) {
	m.forget()
	for _, o := range m.due(time.Now()) {
		go m.call(ctx, o)
	}
}

// forget tells that the work of daemons that fell silent is no more.
func (m *Members) forget() {
	m.mu.Lock()
	m.expire(time.Now())
	lapsed := m.lapsed
	m.lapsed = nil
	m.mu.Unlock()
	m.OnWorkChanged(lapsed)
}

// due chooses whom to call: some of those that answer, and now and then those that do not.
func (m *Members) due(now time.Time) []*member {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(now)
	var list []*member
	for a, o := range m.all {
		lastSign := o.lastContact
		if o.added.After(lastSign) {
			lastSign = o.added
		}
		if now.Sub(lastSign) > forgetAfter {
			delete(m.all, a)
			continue
		}
		quiet := !m.roster.Contains(a)
		if now.Sub(o.lastContact) < recentContact {
			continue // a call carries word both ways
		}
		waits := quiet && now.Sub(o.added) > startSpan && now.Sub(o.tried) < retryEvery
		if o.calling || waits {
			continue
		}
		list = append(list, o)
	}
	for who, at := range m.left {
		if now.Sub(at) > leavingFor {
			delete(m.left, who)
		}
	}
	slices.SortFunc(list, sooner)
	list = list[:min(fanOut, len(list))]
	for _, o := range list {
		o.calling, o.tried = true, now
	}
	return list
}

func (m *Members) call(ctx context.Context, o *member) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	sentAt := time.Now()
	m.mu.Lock()
	last := o.pulse
	m.mu.Unlock()
	p, err := m.peers.Pulse(ctx, o.address, m.stampedPulseFor(o.address, last.Incarnation, last.Stamp, last.WantsEvidence))
	m.mu.Lock()
	o.calling = false
	o.failed, o.suspected = err != nil && o.lastContact.Before(sentAt), false
	m.noteFailure(o)
	m.expire(time.Now())
	lost := err != nil && !o.lastContact.IsZero() && !m.roster.Contains(o.address) && sentAt.Sub(o.lastContact) <= m.silence()
	m.mu.Unlock()
	if lost {
		m.log.Warn("daemon lost", "daemon", o.pulse.Name, "address", o.address, "err", err)
	}
	if err == nil {
		m.Receive(o.address, p)
	}
}

// sooner orders members for the next calls: those that did not answer another daemon, then
// those that were the longest without contact. In turns over a list that others come and go
// from, some were passed over until they were taken as gone: of 195 daemons that all lived,
// 50 missed one or two others at any time.
func sooner(a, b *member) int {
	switch {
	case a.suspected && !b.suspected:
		return -1
	case b.suspected && !a.suspected:
		return 1
	}
	return cmp.Or(a.contact().Compare(b.contact()), cmp.Compare(a.order, b.order))
}

// contact is when the member was last heard or called.
func (o *member) contact() time.Time {
	if o.tried.After(o.lastContact) {
		return o.tried
	}
	return o.lastContact
}
