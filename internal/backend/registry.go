// Package backend keeps which backend servers exist, as the platform's list tells
// it: who is there, who leaves, and who is to be taken as gone.
package backend

import (
	"cmp"
	"slices"
	"time"
)

// Server is one incarnation of a backend server.
type Server struct {
	// ID is new with every start of the server.
	ID            string
	Service       string
	Address       string
	FailureDomain string
	// Version is the version of the server's software.
	Version string
	Slots   int
	// Leaving servers finish what they run and get nothing new.
	Leaving bool
	// Models are the models an engine has loaded.
	Models []string
}

// returnWindow is how long after the store's return an entry that lapsed during
// the outage may still come back: servers that live write theirs within about
// two seconds. A server without an entry after that is gone.
const returnWindow = 2300 * time.Millisecond

// leaveWindow is the longest that a server without an entry stays. One that left
// without a word must get nothing new two seconds after its entry is gone.
const leaveWindow = 1700 * time.Millisecond

// entry is a server and, if its record lapsed around an outage, until when it
// still counts.
type entry struct {
	server Server
	until  time.Duration
	lapsed bool
}

// Registry is the set of servers. Times are readings of a clock that counts
// while the VM is suspended. Its owner guards it with a lock.
type Registry struct {
	entries map[string]*entry
	// healed is when the store last came back after an outage.
	healed  time.Duration
	hadFall bool
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{entries: map[string]*entry{}} }

// Put adds a server or replaces what is known of it.
func (r *Registry) Put(s Server) { r.entries[s.ID] = &entry{server: s} }

// Remove takes a server whose record is gone. While the store was away servers
// could not renew their records, and the store drops those that lapsed when it
// returns. Taking all of them as gone would leave a service without servers for
// up to two seconds though most are well, so such a server stays until the end
// of the return window.
func (r *Registry) Remove(id string, now time.Duration) {
	e := r.entries[id]
	if e == nil {
		return
	}
	if r.hadFall && now < r.healed+returnWindow && !e.server.Leaving {
		e.lapsed, e.until = true, min(r.healed+returnWindow, now+leaveWindow)
		return
	}
	delete(r.entries, id)
}

// Healed records that the store answers again after an outage.
func (r *Registry) Healed(now time.Duration) { r.healed, r.hadFall = now, true }

// Replace makes the listed servers the whole set, as after a gap in the log.
func (r *Registry) Replace(all []Server, now time.Duration) {
	listed := make(map[string]bool, len(all))
	for _, s := range all {
		listed[s.ID] = true
		r.Put(s)
	}
	for id := range r.entries {
		if !listed[id] {
			r.Remove(id, now)
		}
	}
}

// Get returns a server that is not gone.
func (r *Registry) Get(id string, now time.Duration) (Server, bool) {
	e := r.entries[id]
	if e == nil || r.gone(e, now) {
		return Server{}, false
	}
	return e.server, true
}

func (r *Registry) gone(e *entry, now time.Duration) bool { return e.lapsed && now >= e.until }

// Of returns the servers of a service, in the order of their ids, and forgets
// those whose return window has ended.
func (r *Registry) Of(service string, now time.Duration) []Server {
	var out []Server
	for id, e := range r.entries {
		if r.gone(e, now) {
			delete(r.entries, id)
			continue
		}
		if e.server.Service == service {
			out = append(out, e.server)
		}
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
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
