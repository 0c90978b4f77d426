package containment

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/quarantine"
)

const (
	// afterEffect is how long after a daemon let go of a request its server may still end
	// by it: a run that is cancelled may have done its harm.
	afterEffect = time.Second
	// restartSeen is how late it may be learned that a server has started again: until then
	// connections that broke there may have been its end.
	restartSeen = 4 * time.Second
	// runsKept is how long what a server ran is remembered after it was last used.
	runsKept = 10 * time.Second
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
	// passed says that something of the answer was passed on.
	passed bool
	fate   Outcome
	// over is when the send ended; zero while it runs.
	over time.Time
}

// suspect reports whether the run may have ended its server by a moment. Broken is how long
// before it a connection may have broken by that end.
func (r *Attempt) suspect(now time.Time, broken time.Duration) bool {
	switch r.fate {
	case running:
		return true
	case ConnectionLost:
		return now.Sub(r.over) <= broken
	case Canceled:
		return now.Sub(r.over) <= afterEffect
	}
	return false
}

// runs remembers which requests this daemon has at each server and had there a moment ago.
// When a server ends, one of them may be why; without this a request that ends its server
// cannot be told from the others that were there.
type runs struct {
	mu      sync.Mutex
	servers map[string]*serverRuns
	// byKey names the servers by the keys that daemons use between them.
	byKey map[quarantine.IncarnationKey]string
	// reported is when others first reported the end of a server at which this daemon has
	// nothing.
	reported map[quarantine.IncarnationKey]time.Time
	swept    time.Time
}

// serverRuns are the requests at one server.
type serverRuns struct {
	list []*Attempt
	used time.Time
	// asked is closed when it is known whether the server has ended; nil if nobody asks.
	asked chan struct{}
	// ended says that it has, and endedAt when that was learned.
	ended   bool
	endedAt time.Time
}

func newRuns() *runs {
	return &runs{servers: map[string]*serverRuns{}, byKey: map[quarantine.IncarnationKey]string{}, reported: map[quarantine.IncarnationKey]time.Time{}}
}

// enter records a send.
func (r *runs) enter(server string, f quarantine.Fingerprint, cancel context.CancelCauseFunc) *Attempt {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
	s := r.at(server, now)
	if s.ended && now.Sub(s.endedAt) > quarantine.CrashDedupWindow {
		// Where servers keep their name over a start, this is a later run.
		s.ended, s.asked = false, nil
	}
	s.list = keepSuspects(s.list, now)
	out := &Attempt{server: server, fingerprint: f, cancel: cancel}
	s.list = append(s.list, out)
	return out
}

// at returns the requests at a server, which is used now. Callers hold mu.
func (r *runs) at(server string, now time.Time) *serverRuns {
	s := r.servers[server]
	if s == nil {
		s = &serverRuns{}
		r.servers[server] = s
		r.byKey[IncarnationKey(server)] = server
	}
	s.used = now
	return s
}

// pass records that something of a send's answer was passed on.
func (r *runs) pass(u *Attempt) {
	r.mu.Lock()
	u.passed = true
	r.mu.Unlock()
}

// cancel ends the sends of a request of which nothing was passed on, and returns how many:
// one that waits at a server has not harmed it yet.
func (r *runs) cancel(f quarantine.Fingerprint) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		for _, u := range s.list {
			if u.fingerprint == f && u.fate == running && !u.passed {
				u.cancel(ErrHeld)
				n++
			}
		}
	}
	return n
}

// reportedEnd takes it from another daemon that a server ended some time ago, and returns the
// requests that this daemon had there, and whether the end is news.
func (r *runs) reportedEnd(key quarantine.IncarnationKey, age time.Duration) (list []*Attempt, news bool) {
	now := time.Now()
	r.mu.Lock()
	id, known := r.byKey[key]
	at, seen := r.reported[key]
	if !known && (!seen || now.Sub(at) > quarantine.CrashDedupWindow) {
		seen = false
		r.reported[key] = now
	}
	r.mu.Unlock()
	if !known {
		return nil, !seen
	}
	news = r.answer(id, true)
	return r.suspects(id, age), news
}

// leave records what became of a send.
func (r *runs) leave(u *Attempt, f Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u.fate, u.over = f, time.Now()
	if s := r.servers[u.server]; s != nil {
		s.used = u.over
	}
}

// keepSuspects shortens a list in its place to the runs that may still have ended their server.
func keepSuspects(list []*Attempt, now time.Time) []*Attempt {
	out := list[:0]
	for _, u := range list {
		if u.suspect(now, restartSeen) {
			out = append(out, u)
		}
	}
	clear(list[len(out):])
	return out
}

// sweep forgets servers that were not used for long. Callers hold mu.
func (r *runs) sweep(now time.Time) {
	if now.Sub(r.swept) < time.Second {
		return
	}
	r.swept = now
	maps.DeleteFunc(r.reported, func(_ quarantine.IncarnationKey, at time.Time) bool { return now.Sub(at) > runsKept })
	for id, s := range r.servers {
		s.list = keepSuspects(s.list, now)
		if now.Sub(s.used) > runsKept && len(s.list) == 0 {
			delete(r.servers, id)
			delete(r.byKey, IncarnationKey(id))
		}
	}
}

// suspects returns the requests that were at a server when it ended some time ago.
func (r *runs) suspects(server string, age time.Duration) (out []*Attempt) {
	return r.suspectsBy(server, time.Now().Add(-age), afterEffect)
}

func (r *runs) suspectsBy(server string, at time.Time, broken time.Duration) (out []*Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[server]
	if s == nil {
		return nil
	}
	for _, u := range s.list {
		if u.suspect(at, broken) {
			out = append(out, u)
		}
	}
	return out
}

// restarted takes it that a server has started again, and returns the requests whose
// connections broke there since it may have ended, and whether the end is news.
func (r *runs) restarted(server string) (list []*Attempt, news bool) {
	news = r.answer(server, true)
	return r.suspectsBy(server, time.Now(), restartSeen), news
}

// ask returns a channel that is closed when it is known whether a server has ended, and
// whether the caller is the one to find out.
func (r *runs) ask(server string) (known chan struct{}, first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.at(server, time.Now())
	if s.asked != nil {
		return s.asked, false
	}
	s.asked = make(chan struct{})
	return s.asked, true
}

// answer records whether a server has ended, and reports whether that is news.
func (r *runs) answer(server string, ended bool) (news bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[server]
	if s == nil {
		return false
	}
	news = ended && !s.ended
	if news {
		s.ended, s.endedAt = true, time.Now()
	}
	if s.ended && s.asked == nil {
		s.asked = make(chan struct{})
	}
	if s.asked != nil && (news || !s.ended) {
		close(s.asked)
	}
	if !s.ended {
		s.asked = nil
	}
	return news
}

// maxNamed bounds the fingerprints that a line names.
const maxNamed = 16

func fingerprints(list []*Attempt) (out []quarantine.Fingerprint) {
	for _, u := range list[:min(maxNamed, len(list))] {
		out = append(out, u.fingerprint)
	}
	return out
}
