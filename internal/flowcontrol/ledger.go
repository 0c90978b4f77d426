// Package flowcontrol bounds the bytes that a daemon holds for clients and servers that read slowly.
// It answers the load of many large bodies and slow readers on a VM with little memory: it decides
// which request may hold more, which response waits and which one is cut. The package does no I/O
// and does not read the clock.
package flowcontrol

import (
	"maps"
	"slices"
	"time"
)

const (
	// bodyFraction is the part of the budget that request bodies may take, so that they leave room
	// for responses. Small bodies may take all of it.
	bodyFraction = 0.5
	// smallBody is the largest small body in bytes.
	smallBody = 16 << 10
	// headFraction and messageFraction are the parts of the budget that the heads of requests and the
	// messages of other daemons may take. Small heads may take all of it.
	headFraction    = 0.25
	messageFraction = 0.25
	// smallHead is what the largest small head takes.
	smallHead = 8 << 10
	// headLineBytes is what a line of a head takes beyond its bytes: its fields parsed, forwarded and
	// kept for a retry.
	headLineBytes = 128
	// pauseFraction is the part of the budget from which responses that hold more than their share
	// of it are paused. The rest is for the others.
	pauseFraction = 0.75
	// reservedFraction is the part of the budget that may be reserved, so that responses which do not
	// end leave room for the others.
	reservedFraction = 0.25
	// minShare is the least share of a response in bytes.
	minShare = 4 << 10
	// maxUnread is the largest number of bytes that are held of a response that its client does not
	// read.
	maxUnread = 256 << 10
	// slowAfter is how long a client that has bytes to read may take none before it is a slow reader.
	slowAfter = time.Second
)

// ID identifies a request in a ledger.
type ID uint64

// noRequest is the ID of no request.
const noRequest ID = 0

// Verdict is the decision on bytes that a response wants to hold.
type Verdict uint8

// The verdicts.
const (
	// Granted means that the bytes are accounted for.
	Granted Verdict = iota
	// Paused means that the response must not hold more until its client has read some.
	Paused
	// Refused means that the response was cut.
	Refused
)

// Cut is a response that must be cut. Its bytes are no longer accounted for.
type Cut struct {
	ID    ID
	Bytes int64
	// Age is the time since the request was opened, and Unread that since its client last read.
	Age, Unread time.Duration
}

// Ledger accounts for the bytes held for requests. It is not safe for concurrent use. Times are
// readings of one monotonic clock.
type Ledger struct {
	budget                 int64
	held, bodies, reserved int64
	// heads and messages are what the heads of requests and the messages of other daemons take. They
	// belong to connections, not to requests: they are held before there is a request.
	heads, messages int64
	// responding is the number of requests that hold bytes of a response.
	responding int64
	lastID     ID
	requests   map[ID]*entry
}

// entry is one request.
type entry struct {
	body, response, reserved int64
	openedAt                 time.Duration
	// delivering is set once the client is offered the response, and cut once it is cut.
	delivering, cut bool
	// readAt is when the client last read, or was offered the first of its unread bytes.
	readAt time.Duration
	// stallTimeout is how long the client may take no bytes.
	stallTimeout time.Duration
}

// NewLedger returns a ledger with a budget in bytes.
func NewLedger(budget int64) *Ledger {
	return &Ledger{budget: budget, requests: map[ID]*entry{}}
}

// Held returns the number of bytes held.
func (l *Ledger) Held() int64 { return l.held }

// Open adds a request that holds nothing.
func (l *Ledger) Open(now time.Duration) ID {
	l.lastID++
	l.requests[l.lastID] = &entry{openedAt: now}
	return l.lastID
}

// Close removes a request and all that it holds.
func (l *Ledger) Close(id ID) {
	e := l.requests[id]
	if e == nil {
		return
	}
	l.addBody(e, -e.body)
	l.addResponse(e, -e.response)
	l.addReserved(e, -e.reserved)
	delete(l.requests, id)
}

// HeadCost returns what the head of a request takes, of a number of bytes and lines.
func HeadCost(size, lines int) int64 { return int64(size) + headLineBytes*int64(lines) }

// GrowHeads accounts for n more bytes of the head of a request that takes some already, and reports
// whether there is room. Only a small head cuts responses: an ordinary request has room beside heads of
// very many lines.
func (l *Ledger) GrowHeads(taken, n int64, now time.Duration) (granted bool, cuts []Cut) {
	if taken+n > smallHead {
		granted = l.held+n <= l.budget && float64(l.heads+n) <= headFraction*float64(l.budget)
	} else {
		granted, cuts = l.makeRoom(noRequest, n, now)
	}
	if granted {
		l.heads += n
		l.held += n
	}
	return granted, cuts
}

// ReleaseHeads removes n bytes of the heads of requests.
func (l *Ledger) ReleaseHeads(n int64) {
	l.heads -= n
	l.held -= n
}

// GrowMessages accounts for n more bytes of the messages of other daemons, and reports whether there is
// room. Their part does not depend on what is held for clients, which must not cut daemons off from one
// another. A single message always has room, so that daemons with little memory can exchange long ones.
func (l *Ledger) GrowMessages(n int64) (granted bool) {
	if l.messages > 0 && float64(l.messages+n) > messageFraction*float64(l.budget) {
		return false
	}
	l.messages += n
	l.held += n
	return true
}

// ReleaseMessages removes n bytes of the messages of other daemons.
func (l *Ledger) ReleaseMessages(n int64) {
	l.messages -= n
	l.held -= n
}

// Reserve accounts for n bytes of a response that its client cannot be offered yet, and reports
// whether there is room. It cuts no responses.
func (l *Ledger) Reserve(id ID, n int64) (granted bool) {
	e := l.requests[id]
	if e == nil || l.held+n > l.budget || float64(l.reserved+n) > reservedFraction*float64(l.budget) {
		return false
	}
	l.addReserved(e, n)
	return true
}

// Unreserve removes n reserved bytes.
func (l *Ledger) Unreserve(id ID, n int64) {
	if e := l.requests[id]; e != nil {
		l.addReserved(e, -min(n, e.reserved))
	}
}

// GrowBody accounts for n more bytes of a request's body, and reports whether there is room. Only a
// small body cuts responses.
func (l *Ledger) GrowBody(id ID, n int64, now time.Duration) (granted bool, cuts []Cut) {
	e := l.requests[id]
	if e == nil {
		return false, nil
	}
	if e.body+n > smallBody {
		granted = l.held+n <= l.budget && float64(l.bodies+n) <= bodyFraction*float64(l.budget)
	} else {
		granted, cuts = l.makeRoom(id, n, now)
	}
	if granted {
		l.addBody(e, n)
	}
	return granted, cuts
}

// ReleaseBody removes the body of a request.
func (l *Ledger) ReleaseBody(id ID) {
	if e := l.requests[id]; e != nil {
		l.addBody(e, -e.body)
	}
}

// Deliver records that the client is offered the response from now on. It is cut when it takes no
// bytes for the timeout.
func (l *Ledger) Deliver(id ID, stallTimeout, now time.Duration) {
	if e := l.requests[id]; e != nil {
		e.delivering, e.stallTimeout, e.readAt = true, stallTimeout, now
	}
}

// GrowResponse decides on n more bytes of a response. If responses have to be cut to make room,
// they are those of slow readers first, and the largest first.
func (l *Ledger) GrowResponse(id ID, n int64, now time.Duration) (Verdict, []Cut) {
	e := l.requests[id]
	if e == nil || e.cut {
		return Refused, nil
	}
	if l.mustPause(e, n) {
		return Paused, nil
	}
	granted, cuts := l.makeRoom(id, n, now)
	if !granted {
		return Paused, cuts
	}
	if e.response == 0 {
		e.readAt = now
	}
	l.addResponse(e, n)
	return Granted, cuts
}

// mustPause reports whether a response holds too much to hold n bytes more.
func (l *Ledger) mustPause(e *entry, n int64) bool {
	switch {
	case e.delivering && e.response == 0:
		return false
	case e.delivering && e.response+n > maxUnread:
		return true
	}
	pauseAt := int64(pauseFraction * float64(l.budget))
	return l.held+n > pauseAt && e.response+n > max(minShare, pauseAt/max(1, l.responding))
}

// Read records that the client has read n bytes. Bytes that have been read and stay in memory are
// not counted in n.
func (l *Ledger) Read(id ID, n int64, now time.Duration) {
	if e := l.requests[id]; e != nil && !e.cut {
		e.readAt = now
		l.addResponse(e, -min(n, e.response))
	}
}

// CutStalled cuts the responses whose clients have taken no bytes for their timeout.
func (l *Ledger) CutStalled(now time.Duration) []Cut {
	var cuts []Cut
	for _, id := range slices.Sorted(maps.Keys(l.requests)) {
		if e := l.requests[id]; e.waits() && now-e.readAt > e.stallTimeout {
			cuts = append(cuts, l.cut(id, now))
		}
	}
	return cuts
}

// SlowReaders returns the number of clients that read slowly.
func (l *Ledger) SlowReaders(now time.Duration) int {
	n := 0
	for _, e := range l.requests {
		if e.slow(now) {
			n++
		}
	}
	return n
}

// waits reports whether the client has bytes to read.
func (e *entry) waits() bool { return e.delivering && !e.cut && e.response > 0 }

func (e *entry) slow(now time.Duration) bool { return e.waits() && now-e.readAt >= slowAfter }

// makeRoom cuts responses of other requests until there is room for n bytes. It cuts none if that
// would not suffice.
func (l *Ledger) makeRoom(id ID, n int64, now time.Duration) (granted bool, cuts []Cut) {
	missing := l.held + n - l.budget
	if missing <= 0 {
		return true, nil
	}
	var victims []ID
	for _, other := range l.victims(id, now) {
		if missing <= 0 {
			break
		}
		missing -= l.requests[other].response
		victims = append(victims, other)
	}
	if missing > 0 {
		return false, nil
	}
	for _, victim := range victims {
		cuts = append(cuts, l.cut(victim, now))
	}
	return true, cuts
}

// victims returns the requests whose responses may be cut for another request, in the order in
// which to cut them.
func (l *Ledger) victims(id ID, now time.Duration) []ID {
	var out []ID
	for other, e := range l.requests {
		if other != id && e.waits() {
			out = append(out, other)
		}
	}
	slices.SortFunc(out, func(a, b ID) int {
		x, y := l.requests[a], l.requests[b]
		switch {
		case x.slow(now) != y.slow(now) && x.slow(now):
			return -1
		case x.slow(now) != y.slow(now):
			return 1
		case x.response != y.response:
			return int(y.response - x.response)
		}
		return int(a) - int(b)
	})
	return out
}

func (l *Ledger) cut(id ID, now time.Duration) Cut {
	e := l.requests[id]
	c := Cut{ID: id, Bytes: e.response, Age: now - e.openedAt, Unread: now - e.readAt}
	l.addResponse(e, -e.response)
	e.cut = true
	return c
}

func (l *Ledger) addBody(e *entry, n int64) {
	e.body += n
	l.bodies += n
	l.held += n
}

func (l *Ledger) addReserved(e *entry, n int64) {
	e.reserved += n
	l.reserved += n
	l.held += n
}

func (l *Ledger) addResponse(e *entry, n int64) {
	before := e.response
	e.response += n
	l.held += n
	switch {
	case before == 0 && e.response > 0:
		l.responding++
	case before > 0 && e.response == 0:
		l.responding--
	}
}
