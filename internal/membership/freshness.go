package membership

import "time"

const (
	// LogFresh is how long a daemon may rely on its last word from the log.
	LogFresh = 10 * time.Second
	// IsolatedLimit is how long a daemon cut off from the log and from most
	// daemons keeps serving. It lies under the 16 s in which a configuration
	// must be in force everywhere.
	IsolatedLimit = 15 * time.Second
	// ServersMaxAge is the age up to which the word on leaving servers may be
	// relied on; the platform's list is read every second.
	ServersMaxAge = 2500 * time.Millisecond
)

// Readiness is what a daemon knows about how current its configuration is.
type Readiness struct {
	// LogReadAt is when the log last answered a read.
	LogReadAt time.Time
	// MajorityAt is when the daemon last was in the larger part of the fleet.
	MajorityAt time.Time
	// RequireLog makes the daemon refuse without the log even among its peers.
	RequireLog bool
	// ServersUpdatedAt is when the list of VMs was last read, heard of, or found to
	// be down. Zero is a daemon that knows nothing of leaving servers yet.
	ServersUpdatedAt time.Time
	// ConfigLoaded says that a configuration was obtained at all.
	ConfigLoaded bool
}

// CanServe decides whether a daemon may dispatch at a time.
//
// A log that is down for everyone cannot have changed, so daemons that hear most
// of the fleet go on. One that hears neither may be the one that missed a
// withdrawal; it stops within the time in which a withdrawal must be in force.
// What is left open is a partition with the log on the smaller side: the larger
// side then serves by its configuration until it heals. Operators who weigh that
// above a log outage set NeedsLog.
//
// A daemon that just started, or was paused, must first hear which servers leave:
// it would send them work that they are about to cut.
func (s Readiness) CanServe(now time.Time) bool {
	if !s.ConfigLoaded || now.Sub(s.ServersUpdatedAt) > ServersMaxAge {
		return false
	}
	if s.RequireLog {
		return now.Sub(s.LogReadAt) <= IsolatedLimit
	}
	return now.Sub(s.LogReadAt) <= LogFresh || now.Sub(s.MajorityAt) <= IsolatedLimit
}
