// Package backend maintains the set of backend servers from the entries in the platform's store.
package backend

import (
	"cmp"
	"iter"
	"slices"
	"strings"
	"time"
)

// recoveryGrace is the time after a recovery of the store within which servers may renew
// entries that lapsed during the outage.
const recoveryGrace = 2300 * time.Millisecond

// maxLapse bounds how long a server without an entry stays in use, since it may have
// terminated.
const maxLapse = 1700 * time.Millisecond

// entry is the latest incarnation of a server. expiresAt is set if its record lapsed around an
// outage.
type entry struct {
	server    Server
	expiresAt time.Duration
	lapsed    bool
	// unusable reports whether the newest record is invalid.
	unusable bool
}

// Registry is the set of known servers. Times are readings of a clock that advances while the
// VM is suspended. A Registry is not safe for concurrent use.
type Registry struct {
	entries map[string]*entry
	// lapsed holds the entries that lapsed, by server name.
	lapsed map[string]*entry
	// storeRecovered is when the store last recovered from an outage.
	storeRecovered time.Duration
	hadOutage      bool
	// removed are the incarnations whose record was removed recently, by server name.
	removed map[string]removedServer
}

// removedServer is an incarnation whose record was removed.
type removedServer struct {
	incarnation Incarnation
	removedAt   time.Duration
}

// removedRetention is how long removed incarnations are remembered. A store that is restored
// from a backup may contain their records again.
const removedRetention = 60 * time.Second

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{entries: map[string]*entry{}, lapsed: map[string]*entry{}, removed: map[string]removedServer{}}
}

// Put adds or updates the entry of a server and sets its ID. It returns the previous
// incarnation if the server has restarted. An entry that gains a start may describe the same run.
//
// An entry of an older incarnation is rejected with Superseded, since the store may apply
// writes out of order. An entry without a start, if the known one has a start, is rejected
// with FieldMissing and makes the server unusable: another process must have written it.
func (r *Registry) Put(s Server) (replaced *Server, err error) {
	s.ID = s.Incarnation.ID()
	old := r.entries[s.Incarnation.Name]
	switch {
	case old == nil:
	case s.Incarnation.StartMillis == 0 && old.server.Incarnation.StartMillis != 0:
		old.unusable = true
		return nil, Invalid(FieldMissing, "no start in the entry of a server that had one")
	case s.Incarnation.Before(old.server.Incarnation):
		return nil, Invalid(Superseded, "start %d is before the known start %d", s.Incarnation.StartMillis, old.server.Incarnation.StartMillis)
	case s.ID != old.server.ID && old.server.Incarnation.StartMillis != 0:
		replaced = &old.server
	}
	r.entries[s.Incarnation.Name] = &entry{server: s}
	delete(r.lapsed, s.Incarnation.Name)
	return replaced, nil
}

// MarkUnusable excludes a server whose record is invalid from use. Its running requests
// continue, because another process may have written the record.
func (r *Registry) MarkUnusable(name string) {
	if e := r.entries[name]; e != nil {
		e.unusable = true
	}
}

// Remove removes a server whose record is gone. Entries that lapsed during an outage of the
// store are all deleted when it recovers although most servers are alive, so these servers
// stay in use during recoveryGrace, for at most maxLapse.
func (r *Registry) Remove(name string, now time.Duration) {
	e := r.entries[name]
	if e == nil {
		return
	}
	if r.hadOutage && now < r.storeRecovered+recoveryGrace && !e.server.Leaving && !e.unusable {
		e.lapsed, e.expiresAt = true, min(r.storeRecovered+recoveryGrace, now+maxLapse)
		r.lapsed[name] = e
		return
	}
	r.evict(name, now)
}

// evict removes a server and remembers its incarnation for removedRetention.
func (r *Registry) evict(name string, now time.Duration) {
	for other, removed := range r.removed {
		if now-removed.removedAt > removedRetention {
			delete(r.removed, other)
		}
	}
	r.removed[name] = removedServer{r.entries[name].server.Incarnation, now}
	delete(r.entries, name)
	delete(r.lapsed, name)
}

// Stale reports whether an entry from a restored backup of the store is older than what is
// known: its incarnation has been removed since, or has announced that it leaves. A live
// server writes its entry again.
func (r *Registry) Stale(s Server, now time.Duration) bool {
	if e := r.entries[s.Incarnation.Name]; e != nil && !r.expired(e, now) {
		return e.server.Incarnation == s.Incarnation && e.server.Leaving && !s.Leaving
	}
	removed, known := r.removed[s.Incarnation.Name]
	return known && now-removed.removedAt <= removedRetention && !removed.incarnation.Before(s.Incarnation)
}

// StoreRecovered records that the store has recovered from an outage.
func (r *Registry) StoreRecovered(now time.Duration) { r.storeRecovered, r.hadOutage = now, true }

// Len returns the number of known servers.
func (r *Registry) Len() int { return len(r.entries) }

// Retain removes all servers that are not listed, as after a gap in the log.
func (r *Registry) Retain(listed map[string]bool, now time.Duration) {
	for name := range r.entries {
		if !listed[name] {
			r.Remove(name, now)
		}
	}
}

// Get returns a server by name, whether it is known, and whether it may be used.
func (r *Registry) Get(name string, now time.Duration) (s Server, known, usable bool) {
	e := r.entries[name]
	if e == nil || r.expired(e, now) {
		return Server{}, false, false
	}
	return e.server, true, !e.unusable
}

func (r *Registry) expired(e *entry, now time.Duration) bool { return e.lapsed && now >= e.expiresAt }

// ForService returns the usable servers of a service, sorted by ID, and removes expired ones.
func (r *Registry) ForService(service string, now time.Duration) []Server {
	return r.Select(service, now, func(string) bool { return true })
}

// Select is ForService for the servers whose ID keep accepts.
func (r *Registry) Select(service string, now time.Duration, keep func(id string) bool) []Server {
	r.evictExpired(now)
	var kept []*entry
	for _, e := range r.entries {
		if e.server.Service == service && !e.unusable && keep(e.server.ID) {
			kept = append(kept, e)
		}
	}
	starts := r.latestStarts(kept)
	out := make([]Server, 0, len(kept))
	for _, e := range kept {
		if !e.addressReused(starts) {
			out = append(out, e.server)
		}
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Count returns the number of servers of a service that are not leaving.
func (r *Registry) Count(service string, now time.Duration) int {
	r.evictExpired(now)
	n := 0
	for _, e := range r.entries {
		if e.server.Service == service && !e.unusable && !e.server.Leaving {
			n++
		}
	}
	return n
}

// Names yields the IDs and names of all servers that have an entry, in no order.
func (r *Registry) Names() iter.Seq2[string, string] {
	return func(yield func(id, name string) bool) {
		for name, e := range r.entries {
			if !yield(e.server.ID, name) {
				return
			}
		}
	}
}

// ByID returns the usable server with an ID, and whether there is one.
func (r *Registry) ByID(id string, now time.Duration) (Server, bool) {
	e := r.entries[id]
	if separator := strings.LastIndexByte(id, '@'); e == nil && separator >= 0 {
		e = r.entries[id[:separator]]
	}
	if e == nil || e.server.ID != id || e.unusable || r.expired(e, now) {
		return Server{}, false
	}
	return e.server, true
}

func (r *Registry) evictExpired(now time.Duration) {
	for name, e := range r.lapsed {
		if r.expired(e, now) {
			r.evict(name, now)
		}
	}
}

// latestStarts returns the latest server start at each address of some entries.
func (r *Registry) latestStarts(of []*entry) map[string]int64 {
	out := make(map[string]int64, len(of))
	for _, e := range of {
		out[e.server.Address] = e.server.Incarnation.StartMillis
	}
	for _, e := range r.entries {
		if start, wanted := out[e.server.Address]; wanted && !e.unusable {
			out[e.server.Address] = max(start, e.server.Incarnation.StartMillis)
		}
	}
	return out
}

// addressReused reports whether a server that started later has the same address, which
// may be reassigned while the old entry still exists. Servers without a start are not
// excluded: a send to the wrong server is refused without being executed.
func (e *entry) addressReused(starts map[string]int64) bool {
	return e.server.Incarnation.StartMillis != 0 && e.server.Incarnation.StartMillis < starts[e.server.Address]
}

// NextExpiry returns when the next lapsed server expires, and whether there is one.
func (r *Registry) NextExpiry() (time.Duration, bool) {
	next, any := time.Duration(0), false
	for _, e := range r.lapsed {
		if !any || e.expiresAt < next {
			next, any = e.expiresAt, true
		}
	}
	return next, any
}
