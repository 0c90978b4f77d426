package membership

import "time"

const (
	// LogFresh is how long a daemon may rely on its last word from the log.
	LogFresh = 10 * time.Second
	// IsolatedLimit is how long a daemon cut off from the log and from most
	// daemons keeps serving. It lies under the 16 s in which a configuration
	// must be in force everywhere.
	IsolatedLimit = 15 * time.Second
)

// Sight is what a daemon knows about how current its configuration is.
type Sight struct {
	// LogHeard is when the log last answered a read.
	LogHeard time.Time
	// PeersHeard is when at least half of the other known daemons had been
	// heard within SuspectAfter.
	PeersHeard time.Time
	// Loaded says that a configuration was obtained at all.
	Loaded bool
}

// Serve decides whether a daemon may dispatch at a time.
//
// A log that is down for everyone cannot have changed, so daemons that hear
// each other go on: a patch accepted through any of them would reach the rest.
// A daemon that hears neither may be the one that missed a withdrawal; it stops
// within the time in which the withdrawal must be in force.
func (s Sight) Serve(now time.Time) bool {
	if !s.Loaded {
		return false
	}
	return now.Sub(s.LogHeard) <= LogFresh || now.Sub(s.PeersHeard) <= IsolatedLimit
}

// HearsMost reports whether the own daemon hears at least half of the others it
// knew alive lately. A lone daemon hears nobody and relies on the log.
func (t *Table) HearsMost() bool {
	heard, all := 0, 0
	for id, m := range t.rows {
		if id == t.self {
			continue
		}
		all++
		if m.State == Alive {
			heard++
		}
	}
	return all > 0 && heard*2 >= all
}
