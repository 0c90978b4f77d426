package gate

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskrudder/damaskrudder/internal/slowstart"
)

// restart describes a terminated server and its next incarnation.
type restart struct {
	terminatedAt time.Duration
	// reported is set if another daemon has reported the termination.
	reported bool
	// responded reports whether the server has responded since, and warmAt when it is then warm.
	responded bool
	warmAt    time.Duration
}

// restartRetention is how long a terminated server that does not respond is remembered. A daemon
// that is not among its senders gets no response that would end the warm-up.
const restartRetention = time.Minute

// ServerTerminated records that a server has terminated. If it returns under the same name, it
// warms up from its first response, whatever its entry says.
func (g *Gate) ServerTerminated(id string, now time.Duration) {
	g.restarts[xxhash.Sum64String(id)] = &restart{terminatedAt: now}
}

// maxTerminated is the maximum number of servers that Terminated returns.
const maxTerminated = 256

// Terminated returns the hashes of the IDs of servers whose termination this daemon has noticed
// itself and that are not warm since.
func (g *Gate) Terminated() (servers []uint64) {
	for server, r := range g.restarts {
		if !r.reported && len(servers) < maxTerminated {
			servers = append(servers, server)
		}
	}
	return servers
}

// AddTerminated records the servers that another daemon reports as terminated. A daemon that
// started while they were away has not seen it.
func (g *Gate) AddTerminated(servers []uint64, now time.Duration) {
	for _, server := range servers {
		if g.restarts[server] == nil {
			g.restarts[server] = &restart{terminatedAt: now, reported: true}
		}
	}
}

// Termination reports the termination of a server to other daemons.
type Termination struct {
	_ struct{} `cbor:",toarray"`
	// Server is the hash of the server's ID, and AgeMillis the time since its end was noticed.
	Server    uint64
	AgeMillis int64
}

const (
	// terminationSpread is how long a termination is reported, by the daemon that noticed it and by
	// those that learn of it. It is shorter than a warm-up, so that no report is later than its end.
	terminationSpread = 1500 * time.Millisecond
	// maxTerminations bounds the terminations in a message.
	maxTerminations = 64
)

// Terminations returns the recent terminations, for other daemons.
func (g *Gate) Terminations(now time.Duration) (out []Termination) {
	for server, r := range g.restarts {
		if age := now - r.terminatedAt; age <= terminationSpread && len(out) < maxTerminations {
			out = append(out, Termination{Server: server, AgeMillis: age.Milliseconds()})
		}
	}
	return out
}

// MergeTerminations records terminations that another daemon reports, and reports whether any was
// not known.
func (g *Gate) MergeTerminations(list []Termination, now time.Duration) (added bool) {
	for _, t := range list {
		age := time.Duration(max(0, t.AgeMillis)) * time.Millisecond
		if g.restarts[t.Server] == nil && age <= terminationSpread {
			g.restarts[t.Server] = &restart{terminatedAt: now - age, reported: true}
			added = true
		}
	}
	return added
}

// HasTerminated reports whether a server, by the hash of its ID, has terminated and is not warm since.
func (g *Gate) HasTerminated(server uint64) bool { return g.restarts[server] != nil }

// restart returns the state of a server that has terminated, or nil.
func (g *Gate) restart(id string) *restart {
	if len(g.restarts) == 0 {
		return nil
	}
	return g.restarts[xxhash.Sum64String(id)]
}

// ServerResponded records that a server has responded.
func (g *Gate) ServerResponded(id string, limit slowstart.Limit, now time.Duration) {
	if r := g.restart(id); r != nil && !r.responded {
		r.responded, r.warmAt = true, now+limit.WarmupPeriod
	}
}
