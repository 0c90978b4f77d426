package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/freshness"
	"github.com/damaskrudder/damaskrudder/internal/gate"
	"github.com/damaskrudder/damaskrudder/internal/route"
	"github.com/damaskrudder/damaskrudder/internal/routing"
)

// State is what a daemon knows: the configuration, the servers and their load.
type State struct {
	table atomic.Pointer[route.Table]
	boot  func() time.Duration

	mu       sync.Mutex
	fresh    freshness.Tracker
	registry *backend.Registry
	listed   bool
	// known is closed when the configuration and the servers are known.
	known    chan struct{}
	told     bool
	services map[string]*service
	rng      *rand.Rand
	// room holds the candidates of one choice: they are 20 KB at 126 servers, and made
	// anew for each choice they were most of what a daemon allocated.
	room   []routing.Candidate
	daemon string
	// failureDomain is where this daemon runs.
	failureDomain string
	// daemons is how many daemons share the servers' connections.
	daemons int
	// others is the work of the other daemons.
	others peerWork
	// placed are placements not yet told to the other daemons.
	placed []Placement
	// expiry is when a lapsed server is to be taken as gone; zero if none is.
	expiry time.Duration
	// gate is what every choice of a server passes.
	gate *gate.Gate
}

// service is the picture of one service's servers.
type service struct {
	picture *routing.LoadTracker
	members []routing.Member
	servers map[string]backend.Server
	// ids names the members by the keys under which daemons tell of them.
	ids  map[ServerKey]string
	pace paces
	// othersAt is the change of the others' work that the picture shows.
	othersAt uint64
	// lanes divides engines between models; nil until the first choice.
	lanes *routing.Partition
}

// NewState returns an empty state. Boot reads a clock that counts while the
// VM is suspended.
func NewState(daemon, failureDomain string, boot func() time.Duration) *State {
	return &State{
		boot: boot, known: make(chan struct{}), registry: backend.NewRegistry(), gate: gate.New(), services: map[string]*service{}, daemon: daemon, failureDomain: failureDomain, daemons: 1,
		others: peerWork{sum: map[ServerKey]ServerWork{}}, rng: rand.New(rand.NewPCG(xxhash.Sum64String(daemon), uint64(boot()))),
	}
}

// Table returns the configuration in force, or nil.
func (s *State) Table() *route.Table { return s.table.Load() }

// SetTable puts a configuration into force unless a newer one is. It reports
// whether it did: a daemon never goes back within its life.
func (s *State) SetTable(t *route.Table) bool {
	for {
		old := s.table.Load()
		if old != nil && old.Version >= t.Version {
			return false
		}
		if s.table.CompareAndSwap(old, t) {
			s.mu.Lock()
			s.announce()
			s.mu.Unlock()
			return true
		}
	}
}

// Confirm records that what is known of a subject was complete, and returns the time since
// it was last confirmed.
func (s *State) Confirm(about freshness.Subject, c freshness.Confirmation) (gap time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fresh.Confirm(about, c)
}

// ConfirmedWithin reports whether a subject was confirmed within a limit.
func (s *State) ConfirmedWithin(about freshness.Subject, limit time.Duration) bool {
	now := s.boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fresh.Within(about, now, limit)
}

// ConfirmationAge returns the age of the newest confirmation of a subject; false if there is none.
func (s *State) ConfirmationAge(about freshness.Subject) (time.Duration, bool) {
	now := s.boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fresh.Age(about, now)
}

// NextCheck returns which subject is to be looked at next and the time until then; own is
// the time until this daemon must hear from the store itself.
func (s *State) NextCheck(p freshness.Plan, rank int, own time.Duration) (about freshness.Subject, due time.Duration, any bool) {
	now := s.boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.Next(&s.fresh, now, rank, own)
}

// LastConfirmation returns who confirmed a subject last, and its age.
func (s *State) LastConfirmation(about freshness.Subject) (by string, age time.Duration) {
	now := s.boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	c, _ := s.fresh.Newest(about)
	return c.Source, now - c.At
}

// Ready reports whether a configuration and the servers are known.
func (s *State) Ready() bool {
	s.mu.Lock()
	listed := s.listed
	s.mu.Unlock()
	return listed && s.Table() != nil
}

// announce lets those go on that wait for the daemon to know something. Callers
// hold mu.
func (s *State) announce() {
	if s.listed && s.Table() != nil && !s.told {
		s.told = true
		close(s.known)
	}
}

// Await waits until the configuration and the servers are known, for a limited
// time. A daemon that just started knows them within some ten milliseconds;
// refusing meanwhile would use up the caller's only retry.
func (s *State) Await(ctx context.Context, limit time.Duration) {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-s.known:
	case <-t.C:
	case <-ctx.Done():
	}
}

// SetDaemons tells how many daemons live, this one included.
func (s *State) SetDaemons(n int) {
	s.mu.Lock()
	s.daemons = max(1, n)
	s.mu.Unlock()
}

// UpdateServers changes the registry.
func (s *State) UpdateServers(change func(r *backend.Registry, now time.Duration)) {
	now := s.boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.registry, now)
	s.listed = true
	s.announce()
	s.refreshAll(now)
}

func (s *State) refreshAll(now time.Duration) {
	for name := range s.services {
		s.refresh(name, now)
	}
	s.expiry = 0
	if next, any := s.registry.NextExpiry(); any {
		s.expiry = next
	}
}

// expire drops servers that lapsed and did not come back in time. No record tells
// of that moment, so it is looked for before each choice of a server: a server
// that left without a word would else get requests until the next record comes.
// Callers hold mu.
func (s *State) expire() {
	if s.expiry == 0 {
		return
	}
	if now := s.boot(); now >= s.expiry {
		s.refreshAll(now)
	}
}

// refresh brings a service's picture to the registry. Callers hold mu.
func (s *State) refresh(name string, now time.Duration) *service {
	sv := s.services[name]
	if sv == nil {
		sv = &service{picture: routing.NewLoadTracker(), pace: paces{}}
		sv.picture.ExactPeerLoad = true
		sv.picture.Prefix.SetCapacity(prefixCapacity)
		s.services[name] = sv
	}
	all := s.registry.ForService(name, now)
	sv.servers = make(map[string]backend.Server, len(all))
	members := make([]routing.Member, 0, len(all))
	for _, b := range all {
		sv.servers[b.ID] = b
		if !b.Leaving {
			members = append(members, routing.Member{ID: b.ID, Address: b.Address, FailureDomain: b.FailureDomain, Slots: b.Slots})
		}
	}
	sv.members = routing.Shard(s.daemon, members)
	sv.picture.Update(sv.members)
	sv.ids = make(map[ServerKey]string, len(sv.members))
	for _, m := range sv.members {
		sv.ids[ServerKeyOf(m.ID)] = m.ID
	}
	s.others.show(sv)
	return sv
}

// serviceOf returns a service's picture. Callers hold mu.
func (s *State) serviceOf(name string) *service {
	sv := s.services[name]
	if sv == nil {
		return s.refresh(name, s.boot())
	}
	if sv.othersAt != s.others.changes {
		s.others.show(sv)
	}
	return sv
}

// with runs f on a service's picture under the lock.
func (s *State) with(name string, f func(sv *service)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.serviceOf(name))
}

// ServerKey names a server among daemons in four bytes: what they tell each other
// four times a second names every server.
type ServerKey uint32

// ServerKeyOf returns the key of a server's id.
func ServerKeyOf(id string) ServerKey { return ServerKey(xxhash.Sum64String(id)) }

// Placement is a prompt's shared beginning that a daemon sent to a server: the
// chained hashes of its parts.
type Placement struct {
	_      struct{} `cbor:",toarray"`
	Server ServerKey
	Blocks []uint64
}

// maxPlaced bounds the placements kept for one round of telling the others.
const maxPlaced = 256

// DrainPlacements returns what this daemon placed since it was last asked.
func (s *State) DrainPlacements() []Placement {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.placed
	s.placed = nil
	return out
}

// ApplyPlacements books what other daemons placed. Without it each daemon knows a
// sixth of what is cached where, and begins caches of its own.
func (s *State) ApplyPlacements(list []Placement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sv := range s.services {
		for _, p := range list {
			if id, known := sv.ids[p.Server]; known {
				sv.picture.RecordCachedBlocks(id, p.Blocks)
			}
		}
	}
}

// ServerWork is this daemon's unfinished work on one server.
type ServerWork struct {
	_        struct{} `cbor:",toarray"`
	Server   ServerKey
	InFlight int
	// PendingPrefill is the prompt tokens that wait to be read, scaled by their models.
	PendingPrefill int
}

// OwnWork lists this daemon's unfinished work, for the other daemons.
func (s *State) OwnWork() []ServerWork {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []ServerWork
	for _, sv := range s.services {
		sv.picture.EachBusy(func(c *routing.Candidate) {
			out = append(out, ServerWork{Server: ServerKey(c.Hash), InFlight: c.InFlight, PendingPrefill: int(c.PendingPrefill)})
		})
	}
	return out
}

// AddPeerWork takes changes of the other daemons' work. They are changes and not sums, so
// that their order does not matter: pulses are taken at the same time.
func (s *State) AddPeerWork(changes []ServerWork) {
	if len(changes) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.others.add(changes)
}

// maxParts bounds the parts of a prompt that are told apart.
const maxParts = 16

// blocks returns the chained hashes of a prompt's parts, and the tokens up to
// the end of each. A part is cached only behind all parts before it.
func blocks(model string, parts []PromptPart) (hashes []uint64, ends []int) {
	chain := xxhash.Sum64String(model)
	tokens := 0
	for _, part := range parts[:min(len(parts), maxParts)] {
		chain = chain*prime + part.ID
		tokens += part.Tokens
		hashes = append(hashes, chain)
		ends = append(ends, tokens)
	}
	return hashes, ends
}

// prefixCapacity bounds what is remembered of where shared beginnings are: some ten
// seconds of the placements of a thousand requests a second, about 3 MB.
const prefixCapacity = 1 << 16

// prime spreads the ids of parts over the chain; it is the odd golden ratio.
const prime = 0x9E3779B97F4A7C15

func (s *State) daemonCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.daemons
}

// InFlightOnOtherVersions counts this daemon's unfinished requests on servers of a service
// that have another version than the one given.
func (s *State) InFlightOnOtherVersions(name, version string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	sv := s.serviceOf(name)
	n := 0
	sv.picture.EachBusy(func(c *routing.Candidate) {
		if b, known := sv.servers[c.ID]; known && b.Version != version {
			n += c.InFlight
		}
	})
	return n
}

// StoreRecovered records that the store answers again after an outage.
func (s *State) StoreRecovered() {
	now := s.boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.StoreRecovered(now)
}

// EachServer calls f for every server of a service that may get requests.
func (s *State) EachServer(service string, f func(id string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, m := range s.serviceOf(service).members {
		f(m.ID)
	}
}
