// Package connlimit decides how many connections a daemon accepts from its clients, and which one it
// evicts for a new one when there are too many. It answers crowds of clients that open connections and
// send no requests: those that do send one must still be accepted. The package does no I/O and does not
// read the clock.
package connlimit

import "time"

const (
	// inboundFraction is the part of the descriptors that connections of clients may take. A request
	// may need another one, to a server.
	inboundFraction = 0.45
	// connectionBytes is the memory that a connection may take before a request is on it, with its
	// stack and buffers; inboundMemoryFraction is the part of the memory for that.
	connectionBytes       = 32 << 10
	inboundMemoryFraction = 0.5
	// minConnections is the least limit.
	minConnections = 16
)

// MaxConnections returns the number of connections of clients that a daemon accepts. Descriptors are those for
// sockets, and memory is in bytes; zero means that either is unlimited.
func MaxConnections(descriptors int, memory int64) int {
	limit := int(^uint(0) >> 1)
	if descriptors > 0 {
		limit = int(inboundFraction * float64(descriptors))
	}
	if memory > 0 {
		limit = min(limit, int(inboundMemoryFraction*float64(memory)/connectionBytes))
	}
	return max(minConnections, limit)
}

// Activity is what a connection is used for. Connections of a lower one are closed first.
type Activity uint8

const (
	// Closing connections are refused and about to be closed.
	Closing Activity = iota
	// Idle connections have sent nothing since they were accepted or the last response was complete.
	Idle
	// ReadingHead connections have sent a part of the head of a request.
	ReadingHead
	// ReadingBody connections have a request whose body is incomplete. It has not been sent to a server.
	ReadingBody
	// Upgraded connections carry messages of another protocol.
	Upgraded
	// Responding connections have a request that is being handled.
	Responding
)

// unreadTime is how long a client may take nothing of a response before its connection may be closed
// for a new one.
const unreadTime = time.Second

// Connection is an open connection of a client. Times are readings of one monotonic clock.
type Connection struct {
	// Listener is the name of the listener that has accepted it.
	Listener string
	Activity Activity
	// Since is when an idle connection became idle, a head began, or a body or another protocol last
	// sent something.
	Since time.Duration
	// Unread is since when the client of a responding connection has taken nothing that was written;
	// zero if nothing waits for it.
	Unread time.Duration
}

// closable reports whether the connection may be closed for a new one.
func (c Connection) closable(now time.Duration) bool {
	return c.Activity < Responding || c.Unread > 0 && now-c.Unread >= unreadTime
}

// since is how long the client has kept the daemon waiting.
func (c Connection) since() time.Duration {
	if c.Activity == Responding {
		return c.Unread
	}
	return c.Since
}

// Victim returns the index of the connection to evict for a new one, or -1 if the new one must not be
// accepted. It is one at the listener that has the most connections that may be closed, so that a crowd
// at one listener leaves those of the others open; there it is the one that has kept the daemon waiting
// for longest, of the lowest activity.
func Victim(conns []Connection, now time.Duration) int {
	counts := map[string]int{}
	for _, c := range conns {
		if c.closable(now) {
			counts[c.Listener]++
		}
	}
	victim := -1
	for i, c := range conns {
		if c.closable(now) && (victim < 0 || before(c, conns[victim], counts)) {
			victim = i
		}
	}
	return victim
}

// before reports whether a is closed before b.
func before(a, b Connection, counts map[string]int) bool {
	switch {
	case counts[a.Listener] != counts[b.Listener]:
		return counts[a.Listener] > counts[b.Listener]
	case a.Listener != b.Listener:
		return a.Listener < b.Listener
	case a.Activity != b.Activity:
		return a.Activity < b.Activity
	}
	return a.since() < b.since()
}
