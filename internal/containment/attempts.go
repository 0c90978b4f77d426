package containment

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/quarantine"
)

const (
	// cancelGrace is how long after a daemon let go of a request its server may still end
	// by it: a run that is cancelled may have done its harm.
	cancelGrace = time.Second
	// restartDetectionWindow is how late it may be learned that a server has started again: until then
	// connections that broke there may have been its end.
	restartDetectionWindow = 4 * time.Second
	// attemptRetention is how long what a server ran is remembered after it was last used.
	attemptRetention = 10 * time.Second
)

// Outcome is what became of a send.
type Outcome uint8

const (
	// running sends wait for their server, or read its answer.
	running Outcome = iota
	// ConnectionLost is a send whose connection ended.
	ConnectionLost
	// Canceled is a send that this daemon gave up, or whose caller left.
	Canceled
	// Completed is a send that was answered, or that did not run.
	Completed
)

// Attempt is one request at one server.
type Attempt struct {
	server      string
	fingerprint quarantine.Fingerprint
	// cancel gives the send up.
	cancel context.CancelCauseFunc
	// forwarded says that something of the answer was passed on.
	forwarded bool
	outcome   Outcome
	// endedAt is when the send ended; zero while it runs.
	endedAt time.Time
}

// mayHaveCrashed reports whether the run may have ended its server by a moment. Broken is how long
// before it a connection may have broken by that end.
func (a *Attempt) mayHaveCrashed(now time.Time, lossWindow time.Duration) bool {
	switch a.outcome {
	case running:
		return true
	case ConnectionLost:
		return now.Sub(a.endedAt) <= lossWindow
	case Canceled:
		return now.Sub(a.endedAt) <= cancelGrace
	}
	return false
}

// attempts remembers which requests this daemon has at each server and had there a moment ago.
// When a server ends, one of them may be why; without this a request that ends its server
// cannot be told from the others that were there.
type attempts struct {
	mu      sync.Mutex
	servers map[string]*serverAttempts
	// byKey names the servers by the keys that daemons use between them.
	byKey map[quarantine.IncarnationKey]string
	// reportedAt is when others first reported the end of a server at which this daemon has
	// nothing.
	reportedAt map[quarantine.IncarnationKey]time.Time
	lastSweep  time.Time
}

// serverAttempts are the requests at one server.
type serverAttempts struct {
	list     []*Attempt
	lastUsed time.Time
	// probed is closed when it is known whether the server has ended; nil if nobody asks.
	probed chan struct{}
	// terminated says that it has, and endedAt when that was learned.
	terminated   bool
	terminatedAt time.Time
}

func newAttempts() *attempts {
	return &attempts{servers: map[string]*serverAttempts{}, byKey: map[quarantine.IncarnationKey]string{}, reportedAt: map[quarantine.IncarnationKey]time.Time{}}
}

// begin records a send.
func (r *attempts) begin(server string, f quarantine.Fingerprint, cancel context.CancelCauseFunc) *Attempt {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
	s := r.serverAttempts(server, now)
	if s.terminated && now.Sub(s.terminatedAt) > quarantine.CrashDedupWindow {
		// Where servers keep their name over a start, this is a later run.
		s.terminated, s.probed = false, nil
	}
	s.list = pruneAttempts(s.list, now)
	out := &Attempt{server: server, fingerprint: f, cancel: cancel}
	s.list = append(s.list, out)
	return out
}

// serverAttempts returns the requests at a server, which is used now. Callers hold mu.
func (r *attempts) serverAttempts(server string, now time.Time) *serverAttempts {
	s := r.servers[server]
	if s == nil {
		s = &serverAttempts{}
		r.servers[server] = s
		r.byKey[IncarnationKey(server)] = server
	}
	s.lastUsed = now
	return s
}

// markForwarded records that something of a send's answer was passed on.
func (r *attempts) markForwarded(a *Attempt) {
	r.mu.Lock()
	a.forwarded = true
	r.mu.Unlock()
}

// cancel ends the sends of a request of which nothing was passed on, and returns how many:
// one that waits at a server has not harmed it yet.
func (r *attempts) cancel(f quarantine.Fingerprint) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		for _, a := range s.list {
			if a.fingerprint == f && a.outcome == running && !a.forwarded {
				a.cancel(ErrHeld)
				n++
			}
		}
	}
	return n
}

// peerReported takes it from another daemon that a server ended some time ago, and returns the
// requests that this daemon had there, and whether the end is news.
func (r *attempts) peerReported(key quarantine.IncarnationKey, age time.Duration) (list []*Attempt, isNew bool) {
	now := time.Now()
	r.mu.Lock()
	id, known := r.byKey[key]
	at, seen := r.reportedAt[key]
	if !known && (!seen || now.Sub(at) > quarantine.CrashDedupWindow) {
		seen = false
		r.reportedAt[key] = now
	}
	r.mu.Unlock()
	if !known {
		return nil, !seen
	}
	isNew = r.setTerminated(id, true)
	return r.suspects(id, age), isNew
}

// end records what became of a send.
func (r *attempts) end(a *Attempt, o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.outcome, a.endedAt = o, time.Now()
	if s := r.servers[a.server]; s != nil {
		s.lastUsed = a.endedAt
	}
}

// pruneAttempts shortens a list in its place to the runs that may still have ended their server.
func pruneAttempts(list []*Attempt, now time.Time) []*Attempt {
	out := list[:0]
	for _, a := range list {
		if a.mayHaveCrashed(now, restartDetectionWindow) {
			out = append(out, a)
		}
	}
	clear(list[len(out):])
	return out
}

// sweep forgets servers that were not used for long. Callers hold mu.
func (r *attempts) sweep(now time.Time) {
	if now.Sub(r.lastSweep) < time.Second {
		return
	}
	r.lastSweep = now
	maps.DeleteFunc(r.reportedAt, func(_ quarantine.IncarnationKey, at time.Time) bool { return now.Sub(at) > attemptRetention })
	for id, s := range r.servers {
		s.list = pruneAttempts(s.list, now)
		if now.Sub(s.lastUsed) > attemptRetention && len(s.list) == 0 {
			delete(r.servers, id)
			delete(r.byKey, IncarnationKey(id))
		}
	}
}

// suspects returns the requests that were at a server when it ended some time ago.
func (r *attempts) suspects(server string, age time.Duration) (out []*Attempt) {
	return r.suspectsAt(server, time.Now().Add(-age), cancelGrace)
}

func (r *attempts) suspectsAt(server string, at time.Time, lossWindow time.Duration) (out []*Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[server]
	if s == nil {
		return nil
	}
	for _, a := range s.list {
		if a.mayHaveCrashed(at, lossWindow) {
			out = append(out, a)
		}
	}
	return out
}

// restarted takes it that a server has started again, and returns the requests whose
// connections broke there since it may have ended, and whether the end is news.
func (r *attempts) restarted(server string) (list []*Attempt, isNew bool) {
	isNew = r.setTerminated(server, true)
	return r.suspectsAt(server, time.Now(), restartDetectionWindow), isNew
}

// startProbe returns a channel that is closed when it is known whether a server has ended, and
// whether the caller is the one to find out.
func (r *attempts) startProbe(server string) (done chan struct{}, first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.serverAttempts(server, time.Now())
	if s.probed != nil {
		return s.probed, false
	}
	s.probed = make(chan struct{})
	return s.probed, true
}

// setTerminated records whether a server has ended, and reports whether that is news.
func (r *attempts) setTerminated(server string, terminated bool) (isNew bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[server]
	if s == nil {
		return false
	}
	isNew = terminated && !s.terminated
	if isNew {
		s.terminated, s.terminatedAt = true, time.Now()
	}
	if s.terminated && s.probed == nil {
		s.probed = make(chan struct{})
	}
	if s.probed != nil && (isNew || !s.terminated) {
		close(s.probed)
	}
	if !s.terminated {
		s.probed = nil
	}
	return isNew
}

// maxLoggedFingerprints bounds the fingerprints that a line names.
const maxLoggedFingerprints = 16

func fingerprints(list []*Attempt) (out []quarantine.Fingerprint) {
	for _, a := range list[:min(maxLoggedFingerprints, len(list))] {
		out = append(out, a.fingerprint)
	}
	return out
}
