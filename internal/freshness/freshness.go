// Package freshness tracks how current a daemon's copy of the platform's store is: for each
// subject, when it was last confirmed complete, and by which source.
package freshness

import "time"

// Subject is the part of a daemon's state that comes from one topic of the store.
type Subject int

// The subjects, in the order in which daemons exchange their read positions.
const (
	// Configuration holds routes, limits, API keys and rollout orders.
	Configuration Subject = iota
	// Servers holds the entries of backend servers.
	Servers
	// Rollouts holds the progress of rollouts.
	Rollouts
	// Daemons holds the addresses of daemons.
	Daemons
	// Subjects is the number of subjects.
	Subjects
)

var subjectNames = [Subjects]string{"configuration", "servers", "rollouts", "daemons"}

// String returns the name of the subject.
func (s Subject) String() string { return subjectNames[s] }

// FromStore is the source of a confirmation that this daemon read from the store itself.
const FromStore = "store"

// Confirmation records that a daemon's copy of a subject was complete.
type Confirmation struct {
	// At is when the read that found nothing newer was sent. The store may have answered at any
	// time after that. It is a reading of a clock that advances while the VM is suspended, so
	// that a confirmation from before a suspension is not taken as fresh.
	At time.Duration
	// Source is FromStore, or the name of the daemon that forwarded the confirmation.
	Source string
}

// Tracker holds the newest confirmation of each subject. It is not safe for concurrent use.
type Tracker struct {
	newest [Subjects]Confirmation
	known  [Subjects]bool
}

// Confirm records a confirmation and returns the time since the previous one, or zero for
// the first. Confirmations may arrive out of order; older ones are ignored.
func (t *Tracker) Confirm(s Subject, c Confirmation) (gap time.Duration) {
	if t.known[s] && c.At <= t.newest[s].At {
		return 0
	}
	if t.known[s] {
		gap = c.At - t.newest[s].At
	}
	t.newest[s], t.known[s] = c, true
	return gap
}

// Newest returns the newest confirmation of a subject, and whether there is one.
func (t *Tracker) Newest(s Subject) (Confirmation, bool) { return t.newest[s], t.known[s] }

// Age returns the age of the newest confirmation of a subject, and whether there is one.
func (t *Tracker) Age(s Subject, now time.Duration) (time.Duration, bool) {
	return now - t.newest[s].At, t.known[s]
}

// ConfirmedWithin reports whether a subject was confirmed less than limit ago.
func (t *Tracker) ConfirmedWithin(s Subject, now, limit time.Duration) bool {
	age, known := t.Age(s, now)
	return known && age < limit
}
