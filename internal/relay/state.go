package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/enginespeed"
	"github.com/damaskrudder/damaskrudder/internal/flowcontrol"
	"github.com/damaskrudder/damaskrudder/internal/freshness"
	"github.com/damaskrudder/damaskrudder/internal/gate"
	"github.com/damaskrudder/damaskrudder/internal/reachability"
	"github.com/damaskrudder/damaskrudder/internal/route"
	"github.com/damaskrudder/damaskrudder/internal/routing"
)

// State is a daemon's view of the configuration, the servers and their load.
type State struct {
	table    atomic.Pointer[route.Table]
	bootTime func() time.Duration

	mu            sync.Mutex
	confirmations freshness.Tracker
	registry      *backend.Registry
	serversLoaded bool
	// maxFirstAge is the greatest age of a confirmation that makes the configuration of a daemon that
	// has just started usable; zero means any.
	maxFirstAge time.Duration
	// configurationCurrent reports that the configuration was confirmed as recently as that once.
	configurationCurrent bool
	// usable is closed when Usable becomes true.
	usable         chan struct{}
	usableSignaled bool
	services       map[string]*service
	rng            *rand.Rand
	// candidateBuf is reused for the candidates of each selection, to save allocations.
	candidateBuf []routing.Candidate
	daemon       string
	// failureDomain is the failure domain of this daemon.
	failureDomain string
	// daemons is how many daemons share the servers' connections.
	daemons int
	// peerWork is the work of the other daemons, and peerReports the rate of their reports.
	peerWork    peerWork
	peerReports routing.Rate
	// modelLoad is the load of the other daemons by model.
	modelLoad *routing.PooledLoad
	// partnersOnly is set if this daemon hears only some of the others.
	partnersOnly bool
	// pendingPlacements are the placements not yet sent to the other daemons.
	pendingPlacements []Placement
	// registryVersion counts the changes of the registry.
	registryVersion uint64
	// speeds holds the observations of engines' speeds.
	speeds *enginespeed.Table
	// gate filters every selection of a server.
	gate *gate.Gate
	// reachability holds which services this daemon reaches itself.
	reachability *reachability.Tracker
	// lastContact is the last contact with any server.
	lastContact contact
	// linkFailures holds when a server refused a connection of this daemon and was found running, by
	// its ID.
	linkFailures map[string]time.Duration
	// helpers picks the daemons to which calls are forwarded.
	helpers *reachability.Helpers
}

// service is the state of one service's servers.
type service struct {
	tracker *routing.LoadTracker
	members []routing.Member
	// concurrency is the mean number of this daemon's requests in flight. It decides
	// shardsInUse, of shards in all.
	concurrency         routing.Concurrency
	shardsInUse, shards int
	servers             map[string]backend.Server
	// versionSeen is when the first server of each version was known, see observeVersions.
	versionSeen map[string]time.Duration
	// idByKey maps the keys in peers' reports to the members' ids.
	idByKey map[ServerKey]string
	models  modelLatencies
	// speeds are the speed classes of the engines.
	speeds enginespeed.Classes
	// registryVersion is the version of the registry that members reflect.
	registryVersion uint64
	// peerWorkVersion is the version of the peer work applied to the tracker.
	peerWorkVersion uint64
	// partition assigns engines to models; nil until the first selection.
	partition *routing.Partition
	transfers kvTransfers
	// memory is what is known of the memory of the servers.
	memory flowcontrol.ServerMemory
}

// NewState returns an empty state. BootTime reads a clock that also counts while the
// VM is suspended.
func NewState(daemon, failureDomain string, bootTime func() time.Duration) *State {
	return &State{
		bootTime: bootTime, usable: make(chan struct{}), speeds: enginespeed.NewTable(xxhash.Sum64String(daemon)), registry: backend.NewRegistry(), gate: gate.New(), reachability: reachability.NewTracker(), helpers: reachability.NewHelpers(), linkFailures: map[string]time.Duration{}, services: map[string]*service{}, daemon: daemon, failureDomain: failureDomain, daemons: 1,
		peerWork: peerWork{byServer: map[ServerKey]ServerWork{}}, modelLoad: routing.NewPooledLoad(), rng: rand.New(rand.NewPCG(xxhash.Sum64String(daemon), uint64(bootTime()))),
	}
}

// Table returns the configuration in force, or nil.
func (s *State) Table() *route.Table { return s.table.Load() }

// SetTable activates a configuration and reports true, unless an equal or newer one is
// active.
func (s *State) SetTable(t *route.Table) bool {
	for {
		old := s.table.Load()
		if old != nil && old.Version >= t.Version {
			return false
		}
		if s.table.CompareAndSwap(old, t) {
			s.mu.Lock()
			s.signalUsable()
			s.mu.Unlock()
			return true
		}
	}
}

// Confirm records a confirmation that the known records of a subject are complete, and
// returns the time since the previous one.
func (s *State) Confirm(subject freshness.Subject, c freshness.Confirmation) (gap time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	gap = s.confirmations.Confirm(subject, c)
	if subject == freshness.Configuration && (s.maxFirstAge == 0 || s.bootTime()-c.At < s.maxFirstAge) {
		s.configurationCurrent = true
	}
	s.signalUsable()
	return gap
}

// SetMaxFirstAge sets the greatest age of a confirmation that makes the configuration of a daemon that
// has just started usable.
func (s *State) SetMaxFirstAge(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxFirstAge = age
}

// ConfirmedWithin reports whether a subject was confirmed within a limit.
func (s *State) ConfirmedWithin(subject freshness.Subject, limit time.Duration) bool {
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmations.ConfirmedWithin(subject, now, limit)
}

// ConfirmationAge returns the age of the last confirmation of a subject; false if there is none.
func (s *State) ConfirmationAge(subject freshness.Subject) (time.Duration, bool) {
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmations.Age(subject, now)
}

// NextCheck returns the subject to check next and the time until then. OwnDue is the
// time until this daemon must read the store itself.
func (s *State) NextCheck(p freshness.Plan, rank int, ownDue time.Duration) (subject freshness.Subject, due time.Duration, any bool) {
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.Next(&s.confirmations, now, rank, ownDue)
}

// LastConfirmation returns the source of a subject's last confirmation, and its age.
func (s *State) LastConfirmation(subject freshness.Subject) (by string, age time.Duration) {
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	c, _ := s.confirmations.Newest(subject)
	return c.Source, now - c.At
}

// Ready reports whether a configuration and the servers have been loaded.
func (s *State) Ready() bool {
	s.mu.Lock()
	loaded := s.serversLoaded
	s.mu.Unlock()
	return loaded && s.Table() != nil
}

// Usable reports whether the state may decide requests: it is loaded, and its configuration was
// current at least once. Records that another daemon passed on may lack any number of changes.
func (s *State) Usable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usableLocked()
}

// usableLocked implements Usable. Callers hold mu.
func (s *State) usableLocked() bool {
	return s.configurationCurrent && s.serversLoaded && s.Table() != nil
}

// signalUsable closes usable once the state may decide requests. Callers hold mu.
func (s *State) signalUsable() {
	if s.usableLocked() && !s.usableSignaled {
		s.usableSignaled = true
		close(s.usable)
	}
}

// WaitUsable waits until the state may decide requests, up to a limit. A daemon that has just
// started loads it soon, while a refusal would cost the client a retry.
func (s *State) WaitUsable(ctx context.Context, limit time.Duration) {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-s.usable:
	case <-t.C:
	case <-ctx.Done():
	}
}

// SetDaemons sets the number of live daemons, including this one.
func (s *State) SetDaemons(n int) {
	s.mu.Lock()
	s.daemons = max(1, n)
	s.mu.Unlock()
}

// UpdateServers applies a change to the registry.
func (s *State) UpdateServers(change func(r *backend.Registry, now time.Duration)) {
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.registry, now)
	s.serversLoaded = true
	s.signalUsable()
	s.registryVersion++
}

// dropExpired drops lapsed servers whose grace period is over. It runs before each
// selection, because no record announces the end of the period. Callers hold mu.
func (s *State) dropExpired() {
	if next, any := s.registry.NextExpiry(); any && s.bootTime() >= next {
		s.registryVersion++
	}
}

// newService creates the state of a service. Callers hold mu.
func (s *State) newService(name string) *service {
	sv := &service{tracker: routing.NewLoadTracker(), models: modelLatencies{}, versionSeen: map[string]time.Duration{}, transfers: newKVTransfers()}
	sv.tracker.ExactPeerLoad = true
	sv.tracker.Prefix.SetCapacity(prefixCapacity)
	s.services[name] = sv
	return sv
}

// refresh updates a service's members and tracker from the registry. Callers hold mu.
func (s *State) refresh(name string, sv *service) {
	sv.registryVersion = s.registryVersion
	now := s.bootTime()
	sv.shards = routing.ShardCount(s.registry.Count(name, now))
	sv.shardsInUse = s.shardsFor(sv)
	inShard := routing.ShardFilter(s.daemon, sv.shards, sv.shardsInUse)
	sv.servers, sv.members = map[string]backend.Server{}, nil
	for _, b := range s.registry.Select(name, now, inShard) {
		if !s.leaves(b) && len(sv.members) < routing.MaxCandidates {
			sv.servers[b.ID] = b
			sv.members = append(sv.members, routing.Member{ID: b.ID, Address: b.Address, FailureDomain: b.FailureDomain, Slots: b.Slots})
		}
	}
	sv.observeVersions(now)
	sv.tracker.Update(sv.members)
	sv.idByKey = make(map[ServerKey]string, len(sv.members))
	for _, m := range sv.members {
		sv.idByKey[ServerKeyOf(m.ID)] = m.ID
	}
	s.peerWork.apply(sv)
}

// shardsFor returns the number of shards of a service to use under the present load. It assumes
// that the daemons have the same load. Callers hold mu.
func (s *State) shardsFor(sv *service) int {
	demand := float64(s.daemons) * sv.concurrency.Mean(time.Now())
	return routing.ShardsInUse(sv.shardsInUse, sv.shards, demand)
}

// serviceFor returns a service's state. Its servers are refreshed on use, since entries of a
// large fleet change more often than a daemon selects a server. Callers hold mu.
func (s *State) serviceFor(name string) *service {
	sv := s.services[name]
	if sv == nil {
		sv = s.newService(name)
		s.refresh(name, sv)
	}
	if sv.registryVersion != s.registryVersion || s.shardsFor(sv) != sv.shardsInUse {
		s.refresh(name, sv)
	}
	if sv.peerWorkVersion != s.peerWork.version {
		s.peerWork.apply(sv)
	}
	return sv
}

// withService runs f on a service's state under the lock.
func (s *State) withService(name string, f func(sv *service)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.serviceFor(name))
}

// ServerKey is a four-byte hash that identifies a server between daemons. It keeps the
// frequent reports small.
type ServerKey uint32

// ServerKeyOf returns the key of a server's id.
func ServerKeyOf(id string) ServerKey { return ServerKey(xxhash.Sum64String(id)) }

// Placement reports a prompt prefix that a daemon sent to a server: the chained hashes
// of its parts.
type Placement struct {
	_      struct{} `cbor:",toarray"`
	Server ServerKey
	Blocks []uint64
}

// maxPendingPlacements limits the placements kept for one report to the other daemons.
const maxPendingPlacements = 256

// DrainPlacements returns this daemon's placements since the previous call.
func (s *State) DrainPlacements() []Placement {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.pendingPlacements
	s.pendingPlacements = nil
	return out
}

// ApplyPlacements records the placements of other daemons, so that requests are routed
// to prefixes that those have cached.
func (s *State) ApplyPlacements(list []Placement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(list) == 0 {
		return
	}
	for name := range s.services {
		sv := s.serviceFor(name)
		for _, placement := range list {
			if id, known := sv.idByKey[placement.Server]; known {
				sv.tracker.RecordCachedBlocks(id, placement.Blocks)
			}
		}
	}
}

// ServerWork is a daemon's unfinished work on one server.
type ServerWork struct {
	_        struct{} `cbor:",toarray"`
	Server   ServerKey
	InFlight int
	// PendingPrefill is the prompt tokens to be processed, scaled by their models.
	PendingPrefill int
}

// OwnWork lists this daemon's unfinished work, for the other daemons.
func (s *State) OwnWork() []ServerWork {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []ServerWork
	for _, sv := range s.services {
		sv.tracker.EachBusy(func(c *routing.Candidate) {
			out = append(out, ServerWork{Server: ServerKey(c.Hash), InFlight: c.InFlight, PendingPrefill: int(c.PendingPrefill)})
		})
	}
	return out
}

// AddPeerWork adds deltas of other daemons' work. Deltas commute, so concurrent reports
// can be applied in any order.
func (s *State) AddPeerWork(deltas []ServerWork) {
	if len(deltas) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerWork.add(deltas)
}

// maxPromptParts is the number of a prompt's parts that are distinguished.
const maxPromptParts = 16

// prefixHashes returns the chained hashes of a prompt's parts, and the tokens up to the
// end of each. A part is cached only together with all parts before it.
func prefixHashes(model string, parts []PromptPart) (hashes []uint64, ends []int) {
	chain := xxhash.Sum64String(model)
	tokens := 0
	for _, part := range parts[:min(len(parts), maxPromptParts)] {
		chain = chain*hashMultiplier + part.ID
		tokens += part.Tokens
		hashes = append(hashes, chain)
		ends = append(ends, tokens)
	}
	return hashes, ends
}

// prefixCapacity limits the number of prefix hashes remembered per service.
const prefixCapacity = 1 << 16

// hashMultiplier distributes the part ids over the hash; it is derived from the golden ratio.
const hashMultiplier = 0x9E3779B97F4A7C15

func (s *State) daemonCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.daemons
}

// InFlightOnOtherVersions counts this daemon's requests in flight on servers of a
// service whose version differs from the given one.
func (s *State) InFlightOnOtherVersions(name, version string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	sv := s.serviceFor(name)
	n := 0
	sv.tracker.EachBusy(func(c *routing.Candidate) {
		if b, known := sv.servers[c.ID]; known && b.Version != version {
			n += c.InFlight
		}
	})
	return n
}

// StoreRecovered records that the store is reachable again after an outage.
func (s *State) StoreRecovered() {
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.StoreRecovered(now)
}

// ServerCount returns the number of known servers.
func (s *State) ServerCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Len()
}

// ServerUsable reports whether the server with an ID may get requests.
func (s *State) ServerUsable(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, known := s.registry.ByID(id, s.bootTime())
	return known && !s.leaves(b)
}

// leaves reports whether a server leaves, by its entry or by its own statement. Callers hold mu.
func (s *State) leaves(b backend.Server) bool {
	return b.Leaving || s.gate.Departures().Leaving(xxhash.Sum64String(b.ID))
}

// EachServer calls f for every eligible server of a service.
func (s *State) EachServer(service string, f func(id string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpired()
	for _, m := range s.serviceFor(service).members {
		f(m.ID)
	}
}
