package containment

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/quarantine"
)

const (
	// cancelGrace is how long after a send is canceled the request may still crash the server,
	// which may go on running it.
	cancelGrace = time.Second
	// restartDetectionWindow is the longest delay until a restart of a server is noticed.
	// Connections lost within it may have been lost to the crash.
	restartDetectionWindow = 4 * time.Second
	// attemptRetention is how long the record of an idle server is kept.
	attemptRetention = 10 * time.Second
)

// Outcome is how a send ended, or that it is still running.
type Outcome uint8

const (
	// running sends wait for the server or read its response.
	running Outcome = iota
	// ConnectionLost is a send whose connection broke.
	ConnectionLost
	// Canceled is a send that the daemon or its caller gave up.
	Canceled
	// Completed is a send that was answered, or that the server did not execute.
	Completed
)

// Attempt is one request sent to one server.
type Attempt struct {
	server   string
	identity quarantine.Identity
	// cancel aborts the send.
	cancel context.CancelCauseFunc
	// forwarded reports whether any part of the response was forwarded to the caller.
	forwarded bool
	outcome   Outcome
	startedAt time.Time
	// endedAt is when the send ended; zero while it is running.
	endedAt time.Time
}

// mayHaveCrashed reports whether the attempt may have crashed its server at a time.
// lossWindow is how long before that time the connection may have been lost to the crash.
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

// attemptRegistry records the current and recent attempts of this daemon by server. When a
// server crashes, they are the suspects.
type attemptRegistry struct {
	mu      sync.Mutex
	servers map[string]*serverAttempts
	// byKey maps the keys used between daemons to server IDs.
	byKey map[quarantine.IncarnationKey]string
	// reportedAt is when peers first reported the termination of a server at which this daemon
	// has no attempts.
	reportedAt map[quarantine.IncarnationKey]time.Time
	lastSweep  time.Time
}

// serverAttempts holds the attempts at one server.
type serverAttempts struct {
	list     []*Attempt
	lastUsed time.Time
	// probed is closed when it is known whether the server has terminated and its crash is
	// recorded; nil if no probe runs.
	probed chan struct{}
	// terminated reports whether the server has terminated, and terminatedAt when it was noticed.
	terminated   bool
	terminatedAt time.Time
}

func newAttemptRegistry() *attemptRegistry {
	return &attemptRegistry{servers: map[string]*serverAttempts{}, byKey: map[quarantine.IncarnationKey]string{}, reportedAt: map[quarantine.IncarnationKey]time.Time{}}
}

// begin records the start of a send.
func (r *attemptRegistry) begin(server string, id quarantine.Identity, cancel context.CancelCauseFunc) *Attempt {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
	s := r.serverAttempts(server, now)
	if s.terminated && now.Sub(s.terminatedAt) > quarantine.CrashDedupWindow {
		// The server has restarted under the same name.
		s.terminated, s.probed = false, nil
	}
	s.list = pruneAttempts(s.list, now)
	out := &Attempt{server: server, identity: id, cancel: cancel, startedAt: now}
	s.list = append(s.list, out)
	return out
}

// serverAttempts returns the record of a server and marks it used. Callers hold mu.
func (r *attemptRegistry) serverAttempts(server string, now time.Time) *serverAttempts {
	s := r.servers[server]
	if s == nil {
		s = &serverAttempts{}
		r.servers[server] = s
		r.byKey[IncarnationKey(server)] = server
	}
	s.lastUsed = now
	return s
}

// markForwarded records that part of the response was forwarded to the caller.
func (r *attemptRegistry) markForwarded(a *Attempt) {
	r.mu.Lock()
	a.forwarded = true
	r.mu.Unlock()
}

// cancel cancels the running sends of a request, or of those with a part of a prompt, that have
// forwarded nothing yet, and returns their number.
func (r *attemptRegistry) cancel(f quarantine.Fingerprint) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		for _, a := range s.list {
			if a.identity.Has(f) && a.outcome == running && !a.forwarded {
				a.cancel(ErrHeld)
				n++
			}
		}
	}
	return n
}

// peerReported records that a peer reported the termination of a server some time ago. It
// returns the attempts at that server, and whether the termination was not known before.
func (r *attemptRegistry) peerReported(key quarantine.IncarnationKey, age time.Duration) (list []*Attempt, isNew bool) {
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

// end records the outcome of a send.
func (r *attemptRegistry) end(a *Attempt, o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.outcome, a.endedAt = o, time.Now()
	if s := r.servers[a.server]; s != nil {
		s.lastUsed = a.endedAt
	}
}

// pruneAttempts filters a list in place to the attempts that may have crashed their server.
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

// sweep removes idle servers, at most once a second. Callers hold mu.
func (r *attemptRegistry) sweep(now time.Time) {
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

// suspects returns the attempts that may have crashed a server that terminated some time ago.
func (r *attemptRegistry) suspects(server string, age time.Duration) (out []*Attempt) {
	return r.suspectsAt(server, time.Now().Add(-age), cancelGrace)
}

func (r *attemptRegistry) suspectsAt(server string, at time.Time, lossWindow time.Duration) (out []*Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[server]
	if s == nil {
		return nil
	}
	for _, a := range s.list {
		// Sends to a server that has terminated already go on until they are refused.
		if !a.startedAt.After(at) && a.mayHaveCrashed(at, lossWindow) {
			out = append(out, a)
		}
	}
	return out
}

// restarted records that a server has restarted. It returns the attempts that may have
// crashed it, and whether its termination was not known before.
func (r *attemptRegistry) restarted(server string) (list []*Attempt, isNew bool) {
	isNew = r.setTerminated(server, true)
	return r.suspectsAt(server, time.Now(), restartDetectionWindow), isNew
}

// startProbe returns a channel that is closed when it is known whether a server has
// terminated, and whether the caller has to run the probe.
func (r *attemptRegistry) startProbe(server string) (done chan struct{}, first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.serverAttempts(server, time.Now())
	if s.probed != nil {
		return s.probed, false
	}
	s.probed = make(chan struct{})
	return s.probed, true
}

// setTerminated records whether a server has terminated, and reports whether this is new.
func (r *attemptRegistry) setTerminated(server string, terminated bool) (isNew bool) {
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
	return isNew
}

// finishProbe ends the wait for the result of a probe. If the server has terminated, only the
// caller that has recorded its crash ends the wait, or the next send would not know of the crash.
func (r *attemptRegistry) finishProbe(server string, recorded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[server]
	if s == nil || s.probed == nil || s.terminated && !recorded {
		return
	}
	select {
	case <-s.probed: // closed already
	default:
		close(s.probed)
	}
	if !s.terminated {
		s.probed = nil
	}
}

// finishPeerReport ends the wait for a probe after the crash that a peer reported is recorded.
func (r *attemptRegistry) finishPeerReport(key quarantine.IncarnationKey) {
	r.mu.Lock()
	server, known := r.byKey[key]
	r.mu.Unlock()
	if known {
		r.finishProbe(server, true)
	}
}

// maxLoggedFingerprints bounds the fingerprints in a log line.
const maxLoggedFingerprints = 16

func fingerprints(list []*Attempt) (out []quarantine.Fingerprint) {
	for _, a := range list[:min(maxLoggedFingerprints, len(list))] {
		out = append(out, a.identity.Request)
	}
	return out
}

// commonParts returns the most frequent parts of the prompts, each with the number of requests that
// have it.
func commonParts(list []*Attempt) (out []string) {
	counts := map[quarantine.Fingerprint]int{}
	for _, a := range list {
		for _, f := range a.identity.Parts {
			counts[f]++
		}
	}
	parts := slices.SortedFunc(maps.Keys(counts), func(a, b quarantine.Fingerprint) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	for _, f := range parts[:min(maxLoggedFingerprints, len(parts))] {
		out = append(out, fmt.Sprint(f, ":", counts[f]))
	}
	return out
}
