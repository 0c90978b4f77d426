// Package freshness tells how old a daemon's knowledge of the platform's store is: for
// each subject, when it was last known to be complete, and by whose reading.
package freshness

import "time"

// Subject is what a daemon knows from one topic of the store.
type Subject int

// The subjects, in the order in which daemons tell each other how far they have read.
const (
	// Configuration holds routes, limits, API keys and roll-out orders.
	Configuration Subject = iota
	// Servers holds the entries of backend servers.
	Servers
	// Rollouts holds how far roll-outs are.
	Rollouts
	// Daemons holds where daemons are.
	Daemons
	// Subjects is how many there are.
	Subjects
)

var names = [Subjects]string{"configuration", "servers", "rollouts", "daemons"}

// String implements fmt.Stringer.
func (s Subject) String() string { return names[s] }

// FromStore is the source of a confirmation that the store itself gave to this daemon.
const FromStore = "store"

// Confirmation says that a daemon's knowledge of a subject was complete.
type Confirmation struct {
	// At is a reading of a clock that counts while the VM is suspended: after a pause
	// of seconds, a clock that stood still would call an old confirmation fresh, and a
	// key taken away meanwhile would still open. It is the sending of the read that
	// found nothing newer. The store may have answered at any moment after that, so
	// that only the sending proves anything.
	At time.Duration
	// Source is Own, or the name of the daemon that told.
	Source string
}

// Tracker holds the newest confirmation of each subject. Its owner guards it with a lock.
type Tracker struct {
	newest [Subjects]Confirmation
	known  [Subjects]bool
}

// Confirm takes a confirmation and returns the time since the one before it, or zero for
// the first. Answers may overtake each other: an older one changes nothing.
func (l *Tracker) Confirm(s Subject, c Confirmation) (gap time.Duration) {
	if l.known[s] && c.At <= l.newest[s].At {
		return 0
	}
	if l.known[s] {
		gap = c.At - l.newest[s].At
	}
	l.newest[s], l.known[s] = c, true
	return gap
}

// Newest returns the newest confirmation of a subject, and whether there is one.
func (l *Tracker) Newest(s Subject) (Confirmation, bool) { return l.newest[s], l.known[s] }

// Age returns how old the newest confirmation of a subject is, and whether there is one.
func (l *Tracker) Age(s Subject, now time.Duration) (time.Duration, bool) {
	return now - l.newest[s].At, l.known[s]
}

// Within reports whether a subject was confirmed within a limit.
func (l *Tracker) Within(s Subject, now, limit time.Duration) bool {
	age, known := l.Age(s, now)
	return known && age < limit
}
