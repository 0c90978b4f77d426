package membership

import "time"

const (
	// MaxLogAge is how long a daemon may serve after its last read of the log.
	MaxLogAge = 10 * time.Second
	// IsolationTimeout is how long a daemon that reaches neither the log nor a majority
	// keeps serving. It must stay below the time by which a configuration change has to
	// be in force everywhere.
	IsolationTimeout = 15 * time.Second
	// MaxServersAge is the maximum age of the information on leaving servers. It allows
	// for one missed poll of the platform's list.
	MaxServersAge = 2500 * time.Millisecond
)

// Readiness is the information that decides whether a daemon may serve.
type Readiness struct {
	// LogReadAt is the time of the last answered read of the log.
	LogReadAt time.Time
	// MajorityAt is the last time that the daemon was in the majority of the fleet.
	MajorityAt time.Time
	// RequireLog makes the daemon stop serving without the log, even in the majority.
	RequireLog bool
	// ServersUpdatedAt is when the list of VMs was last read, received from a peer, or
	// found unavailable. Zero if none of these has happened yet.
	ServersUpdatedAt time.Time
	// ConfigLoaded reports whether any configuration has been loaded.
	ConfigLoaded bool
}

// CanServe reports whether the daemon may dispatch requests at a time. It requires a
// configuration and a current list of leaving servers.
//
// A daemon in the majority serves without the log, and one that reaches neither stops
// after IsolationTimeout. If only a minority reaches the log, the majority serves an
// outdated configuration; RequireLog prevents this at the cost of availability.
func (r Readiness) CanServe(now time.Time) bool {
	if !r.ConfigLoaded || now.Sub(r.ServersUpdatedAt) > MaxServersAge {
		return false
	}
	if r.RequireLog {
		return now.Sub(r.LogReadAt) <= IsolationTimeout
	}
	return now.Sub(r.LogReadAt) <= MaxLogAge || now.Sub(r.MajorityAt) <= IsolationTimeout
}

// CanDeny reports whether a daemon may deny requests by a configuration of an age, the time since a
// read of the log was sent that showed it to be complete. A majority of daemons does not replace the
// log here: it may lack a change that a minority has read.
func CanDeny(configAge time.Duration) bool { return configAge < IsolationTimeout }
