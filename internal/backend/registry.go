// Package backend keeps which backend servers exist, as the platform's list tells
// it: who is there, who leaves, and who is to be taken as gone.
package backend

import (
	"cmp"
	"slices"
	"time"
)

// returnWindow is how long after the store's return an entry that lapsed during
// the outage may still come back: servers that live write theirs within about
// two seconds. A server without an entry after that is gone.
const returnWindow = 2300 * time.Millisecond

// leaveWindow is the longest that a server without an entry stays. One that left
// without a word must get nothing new two seconds after its entry is gone.
const leaveWindow = 1700 * time.Millisecond

// entry is the newest run of a server and, if its record lapsed around an outage, until
// when it still counts.
type entry struct {
	server Server
	until  time.Duration
	lapsed bool
	// barred says that the newest record names no server to use.
	barred bool
}

// Registry is the set of servers. Times are readings of a clock that counts
// while the VM is suspended. Its owner guards it with a lock.
type Registry struct {
	entries map[string]*entry
	// healed is when the store last came back after an outage.
	healed  time.Duration
	hadFall bool
	// gone are runs whose record was removed lately, by name.
	gone map[string]goneRun
}

// goneRun is a run whose record was removed.
type goneRun struct {
	run Incarnation
	at  time.Duration
}

// goneKept is how long a removed run is remembered: a store that comes back from a copy has it
// again, as old as the copy.
const goneKept = 60 * time.Second

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{entries: map[string]*entry{}, gone: map[string]goneRun{}}
}

// Put takes what a server says of itself, and names its run. Ended is the run that it
// replaces, if the server has started again.
//
// A run that is older than the one known changes nothing: the store may carry out a write
// of the earlier run seconds after one of the later run. An entry without a start, of a
// server that has stated one, is another writer's and names no server to use.
func (r *Registry) Put(s Server) (ended *Server, err error) {
	s.ID = s.Incarnation.ID()
	old := r.entries[s.Incarnation.Name]
	switch {
	case old == nil:
	case s.Incarnation.StartMillis == 0 && old.server.Incarnation.StartMillis != 0:
		old.barred = true
		return nil, Invalid(FieldMissing, "no start, of a server that has stated one")
	case s.Incarnation.Before(old.server.Incarnation):
		return nil, Invalid(Superseded, "a run of %d after one of %d", s.Incarnation.StartMillis, old.server.Incarnation.StartMillis)
	case s.ID != old.server.ID:
		ended = &old.server
	}
	r.entries[s.Incarnation.Name] = &entry{server: s}
	return ended, nil
}

// MarkUnusable takes a server out of use whose record cannot be read. What it runs is not cut: the
// record may be another writer's.
func (r *Registry) MarkUnusable(name string) {
	if e := r.entries[name]; e != nil {
		e.barred = true
	}
}

// Remove takes a server whose record is gone. While the store was away servers
// could not renew their records, and the store drops those that lapsed when it
// returns. Taking all of them as gone would leave a service without servers for
// up to two seconds though most are well, so such a server stays until the end
// of the return window.
func (r *Registry) Remove(name string, now time.Duration) {
	e := r.entries[name]
	if e == nil {
		return
	}
	if r.hadFall && now < r.healed+returnWindow && !e.server.Leaving && !e.barred {
		e.lapsed, e.until = true, min(r.healed+returnWindow, now+leaveWindow)
		return
	}
	r.bury(name, now)
}

// bury takes a server as gone, and remembers its run for a while.
func (r *Registry) bury(name string, now time.Duration) {
	for other, g := range r.gone {
		if now-g.at > goneKept {
			delete(r.gone, other)
		}
	}
	r.gone[name] = goneRun{r.entries[name].server.Incarnation, now}
	delete(r.entries, name)
}

// Stale reports whether an entry that a copy of the store holds says less than is known: it
// is of a run that has gone since, or that has said that it leaves. The server writes again if
// it lives.
func (r *Registry) Stale(s Server, now time.Duration) bool {
	if e := r.entries[s.Incarnation.Name]; e != nil && !r.isGone(e, now) {
		return e.server.Incarnation == s.Incarnation && e.server.Leaving && !s.Leaving
	}
	g, known := r.gone[s.Incarnation.Name]
	return known && now-g.at <= goneKept && !g.run.Before(s.Incarnation)
}

// StoreRecovered records that the store answers again after an outage.
func (r *Registry) StoreRecovered(now time.Duration) { r.healed, r.hadFall = now, true }

// Retain takes all servers as gone that are not listed, as after a gap in the log.
func (r *Registry) Retain(listed map[string]bool, now time.Duration) {
	for name := range r.entries {
		if !listed[name] {
			r.Remove(name, now)
		}
	}
}

// Get returns a server by its name if it is not gone, and whether it may be used at all.
func (r *Registry) Get(name string, now time.Duration) (s Server, known, usable bool) {
	e := r.entries[name]
	if e == nil || r.isGone(e, now) {
		return Server{}, false, false
	}
	return e.server, true, !e.barred
}

func (r *Registry) isGone(e *entry, now time.Duration) bool { return e.lapsed && now >= e.until }

// ForService returns the servers of a service that may be used, in the order of their ids, and
// forgets those whose return window has ended.
func (r *Registry) ForService(service string, now time.Duration) []Server {
	starts := r.starts(now)
	var out []Server
	for _, e := range r.entries {
		if e.server.Service == service && !e.barred && !e.displaced(starts) {
			out = append(out, e.server)
		}
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// starts returns the latest start of a server at each address.
func (r *Registry) starts(now time.Duration) map[string]int64 {
	out := make(map[string]int64, len(r.entries))
	for name, e := range r.entries {
		if r.isGone(e, now) {
			r.bury(name, now)
		} else if !e.barred {
			out[e.server.Address] = max(out[e.server.Address], e.server.Incarnation.StartMillis)
		}
	}
	return out
}

// displaced reports whether another server has started later at the address: that of a
// server which has ended may be given to another one while its entry is still there. An
// entry without a start proves nothing either way. Both are then used, since a wrong one
// costs a send that is refused unrun, and leaving out the right one costs all of them.
func (e *entry) displaced(starts map[string]int64) bool {
	return e.server.Incarnation.StartMillis != 0 && e.server.Incarnation.StartMillis < starts[e.server.Address]
}

// NextExpiry returns when the next lapsed server is to be taken as gone, and
// whether there is one.
func (r *Registry) NextExpiry() (time.Duration, bool) {
	next, any := time.Duration(0), false
	for _, e := range r.entries {
		if e.lapsed && (!any || e.until < next) {
			next, any = e.until, true
		}
	}
	return next, any
}
