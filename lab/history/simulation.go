// Package history simulates daemons, the replicated log, engines, clients with retries,
// and racing operators in virtual time, with injected faults, and records a history
// that can be checked for invariants. The same seed produces the same history.
package history

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/billing"
	"github.com/damaskrudder/damaskrudder/internal/fleet"
	"github.com/damaskrudder/damaskrudder/internal/invariant"
	"github.com/damaskrudder/damaskrudder/internal/membership"
	"github.com/damaskrudder/damaskrudder/internal/request"
	"github.com/damaskrudder/damaskrudder/lab/sim"
)

const (
	daemonCount        = 6
	engineCount        = 4
	trafficDuration    = 30 * time.Second
	settleTime         = 45 * time.Second
	networkDelay       = time.Millisecond
	readInterval       = 250 * time.Millisecond
	flushInterval      = 100 * time.Millisecond
	serverListInterval = time.Second
	requestInterval    = 400 * time.Millisecond
	// unloadDelay is the time from the withdrawal of a version to its unloading by engines.
	unloadDelay = 5 * time.Second
	// adoptDelay is how long a peer keeps a usage replica before it appends it to the log.
	adoptDelay = 30 * time.Second
	// unprotectedDelay is the time after which a daemon with an unreplicated and unconfirmed
	// usage record refuses new requests.
	unprotectedDelay = time.Second
	// protectTimeout bounds the wait for the log when no peer has stored a replica.
	protectTimeout = 5 * time.Second
)

// Limits are the time bounds that histories are checked against.
var Limits = invariant.Limits{ConfigPropagation: 16 * time.Second, ServerRemoval: 3 * time.Second}

// Simulation is the state of one simulated history.
type Simulation struct {
	clock   *sim.Clock
	rng     *rand.Rand
	log     *eventLog
	daemons []*daemon
	engines []*engine
	// maxApplied is the highest configuration number that any daemon has applied.
	maxApplied uint64
	withdrawn  bool
	// reference is the configuration state as of the end of the log, and committedAt maps a
	// configuration number to the time of its commit.
	reference   *fleet.StateMachine
	committedAt map[uint64]time.Duration
	events      []invariant.Event
	lastRequest int
	// leavingSince maps leaving servers to the time of the announcement.
	leavingSince map[int]time.Duration
	stats        Stats
}

// Stats counts the outcomes in a history, to verify that faults and traffic took effect.
type Stats struct {
	Requests, Answered, RefusedNotRun, UnknownOutcome, TimedOut, Resumed, Retried, Replayed, ClaimsLost, Adopted, Withheld, Duplicates int
	// MaxConfigDelay is the longest time from the commit of a configuration to its
	// application by a daemon.
	MaxConfigDelay time.Duration
}

// Run simulates the history of a seed with the given faults and returns its events.
func Run(seed uint64, faults ...Fault) ([]invariant.Event, Stats) {
	s := &Simulation{clock: &sim.Clock{}, rng: rand.New(rand.NewPCG(seed, 77)), committedAt: map[uint64]time.Duration{}, reference: fleet.NewStateMachine(), leavingSince: map[int]time.Duration{}}
	s.log = &eventLog{sim: s, streams: map[string][][]byte{}}
	for i := range engineCount {
		s.engines = append(s.engines, &engine{sim: s, id: i, runs: map[string]*run{}})
	}
	for i := range daemonCount {
		s.daemons = append(s.daemons, newDaemon(s, i))
	}
	s.writeInitialConfig()
	for _, d := range s.daemons {
		d.after(s.randomDuration(readInterval), d.start)
	}
	s.startClients()
	s.scheduleOperators()
	for _, f := range faults {
		s.clock.After(2*time.Second+s.randomDuration(20*time.Second), func() { f.inject(s) })
	}
	s.clock.Run(trafficDuration)
	s.clock.Run(trafficDuration + settleTime)
	s.recordBills()
	return s.events, s.stats
}

func (s *Simulation) randomDuration(maxDuration time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(maxDuration)))
}

func (s *Simulation) recordEvent(e invariant.Event) {
	e.At = s.clock.Elapsed()
	s.events = append(s.events, e)
}

const workspace = "w"

// writeInitialConfig commits a model with three versions and a workspace that may use two
// of them.
func (s *Simulation) writeInitialConfig() {
	var servers []string
	for i := range engineCount {
		servers = append(servers, fmt.Sprintf(`{"id":"s%d","address":"10.0.0.%d:80","failure_domain":"fd%d"}`, i, i+1, i%3))
	}
	patch := fmt.Sprintf(`{"pools":{"p":{"servers":[%s,%s,%s,%s]}},
		"models":{"m":{"stable":"v1","versions":{"v1":{"pool":"p","micros_per_1k_tokens":5,"successor":"v2"},"v2":{"pool":"p","micros_per_1k_tokens":5},"v3":{"pool":"p","micros_per_1k_tokens":1}}}},
		"workspaces":{"w":{"key_hashes":[],"models":["m@v1","m@v2"]}}}`, servers[0], servers[1], servers[2], servers[3])
	s.log.commit("config", configRecord("first", 0, patch))
}

func configRecord(id string, base uint64, patch string) []byte {
	data, err := json.Marshal(fleet.Record{PatchID: id, Base: base, Patch: json.RawMessage(patch)})
	if err != nil {
		panic(err)
	}
	return data
}

// operatorPatches are applied in sequence: a rollout in two stages, the withdrawal of v1,
// and unrelated changes.
var operatorPatches = []string{
	`{"rollouts":{"m":{"model":"m","to":"v2","stages":[50,100],"stage":0,"state":"running"}}}`,
	`{"workspaces":{"w":{"priority":3}}}`,
	`{"rollouts":{"m":{"stage":1}}}`,
	`{"models":{"m":{"stable":"v2","versions":{"v1":{"state":"withdrawn"}}}}}`,
	`{"workspaces":{"w":{"priority":4}}}`,
}

// scheduleOperators schedules operatorPatches, each with a racing patch on the same base.
func (s *Simulation) scheduleOperators() {
	for i, patch := range operatorPatches {
		at := trafficDuration * time.Duration(i+1) / time.Duration(len(operatorPatches)+2)
		s.clock.After(at+s.randomDuration(time.Second), func() {
			base := s.daemons[s.rng.IntN(daemonCount)].state.Config().Number
			racingPatch := fmt.Sprintf(`{"workspaces":{"w":{"priority":%d}}}`, s.rng.IntN(9))
			s.log.append("config", configRecord(fmt.Sprint("patch-", i), base, patch), func(error) {})
			s.log.append("config", configRecord(fmt.Sprint("racer-", i), base, racingPatch), func(error) {})
		})
	}
}

// recordAccepted records the acceptance of a configuration when the first daemon applies
// it, since an operator cannot receive confirmation earlier.
func (s *Simulation) recordAccepted(c *fleet.Config) {
	if c.Number <= s.maxApplied {
		return
	}
	s.maxApplied = c.Number
	s.recordEvent(invariant.Event{Kind: invariant.ConfigAccepted, ConfigNumber: c.Number})
	if v, _ := c.Version("m", "v1"); v.State != fleet.Withdrawn || s.withdrawn {
		return
	}
	s.withdrawn = true
	s.recordEvent(invariant.Event{Kind: invariant.VersionWithdrawn, Model: "m", Version: "v1"})
	s.clock.After(unloadDelay, func() {
		for _, e := range s.engines {
			e.unloadedVersion = "v1"
		}
	})
}

// recordBills records the requests that have a usage record in the log.
func (s *Simulation) recordBills() {
	ledger := billing.NewLedger()
	for _, data := range s.log.streams["usage"] {
		var batch []billing.UsageRecord
		if json.Unmarshal(data, &batch) != nil {
			continue
		}
		for _, u := range batch {
			ledger.Apply(u)
		}
	}
	s.stats.Duplicates = ledger.Duplicates
	for _, id := range slices.Sorted(maps.Keys(ledger.Records())) {
		s.recordEvent(invariant.Event{Kind: invariant.RequestBilled, Request: id})
	}
}

// daemon is a simulated daemon.
type daemon struct {
	sim         *Simulation
	id          int
	incarnation int
	alive       bool
	pausedUntil time.Duration
	// partitionedFromLog and partitionedFromPeers simulate network partitions.
	partitionedFromLog, partitionedFromPeers bool

	state     *fleet.StateMachine
	claims    *request.ClaimTable
	readiness membership.Readiness
	usage     *billing.Buffer
	replicas  map[string]usageReplica
	// pending holds answers whose usage record is not yet confirmed.
	pending []pendingAnswer
	leaving map[int]bool
	budget  *request.RetryBudget
}

// usageReplica is a usage record stored on behalf of another daemon.
type usageReplica struct {
	record      billing.UsageRecord
	owner       *daemon
	incarnation int
	position    uint64
	receivedAt  time.Duration
}

// pendingAnswer is sent once the usage record at position is confirmed.
type pendingAnswer struct {
	position uint64
	send     func()
}

const bufferLimit = 500

func newDaemon(s *Simulation, id int) *daemon {
	d := &daemon{sim: s, id: id}
	d.reset()
	return d
}

// reset starts a new incarnation with empty state, as on a replaced VM.
func (d *daemon) reset() {
	d.incarnation++
	d.alive = true
	d.state, d.claims = fleet.NewStateMachine(), request.NewClaimTable()
	d.readiness = membership.Readiness{}
	d.usage, d.replicas, d.pending = billing.NewBuffer(bufferLimit), map[string]usageReplica{}, nil
	d.leaving, d.budget = map[int]bool{}, request.NewRetryBudget()
}

// after runs fn after a delay, unless this incarnation has ended by then.
func (d *daemon) after(delay time.Duration, fn func()) {
	incarnation := d.incarnation
	d.sim.clock.After(delay, func() { d.runIfAlive(incarnation, fn) })
}

// runIfAlive runs fn if the incarnation still runs, and defers it while the daemon is paused.
func (d *daemon) runIfAlive(incarnation int, fn func()) {
	if !d.alive || d.incarnation != incarnation {
		return
	}
	if remaining := d.pausedUntil - d.sim.clock.Elapsed(); remaining > 0 {
		d.sim.clock.After(remaining, func() { d.runIfAlive(incarnation, fn) })
		return
	}
	fn()
}

func (d *daemon) every(interval time.Duration, fn func()) {
	d.after(interval, func() {
		fn()
		d.every(interval, fn)
	})
}

func (d *daemon) start() {
	d.readConfig()
	d.every(readInterval, d.readConfig)
	d.every(time.Second, d.syncPeers)
	d.every(flushInterval, d.flushUsage)
	d.every(serverListInterval, d.readServerList)
	d.every(time.Second, d.adoptReplicas)
}

// recordConfigDelay records the propagation delay of a configuration if its number has
// changed from before.
func (d *daemon) recordConfigDelay(before uint64) {
	n := d.state.Config().Number
	if n == before {
		return
	}
	d.sim.recordAccepted(d.state.Config())
	d.sim.stats.MaxConfigDelay = max(d.sim.stats.MaxConfigDelay, d.sim.clock.Elapsed()-d.sim.committedAt[n])
}

func (d *daemon) now() time.Time { return d.sim.clock.Now() }

func (d *daemon) readConfig() {
	d.sim.log.read(d, "config", int(d.state.NextOffset()), func(first int, records [][]byte) {
		d.readiness.LogReadAt, d.readiness.ConfigLoaded = d.now(), true
		before := d.state.Config().Number
		for i, r := range records {
			d.state.Apply(uint64(first+i), r)
		}
		d.recordConfigDelay(before)
	})
}

// canReach reports whether the two daemons can communicate.
func (d *daemon) canReach(peer *daemon) bool {
	return peer.alive && !d.partitionedFromPeers && !peer.partitionedFromPeers && peer.pausedUntil <= d.sim.clock.Elapsed()
}

// syncPeers installs newer configurations of reachable peers and checks for a majority.
func (d *daemon) syncPeers() {
	reached := 0
	for _, peer := range d.sim.daemons {
		if peer == d || !d.canReach(peer) {
			continue
		}
		reached++
		if peer.state.NextOffset() > d.state.NextOffset() {
			before := d.state.Config().Number
			d.state.InstallCheckpoint(peer.state.Checkpoint())
			d.recordConfigDelay(before)
		}
	}
	if 2*reached >= daemonCount-1 {
		d.readiness.MajorityAt = d.now()
	}
}

func (d *daemon) readServerList() {
	d.readiness.ServersUpdatedAt = d.now()
	for s, at := range d.sim.leavingSince {
		if at <= d.sim.clock.Elapsed() {
			d.leaving[s] = true
		}
	}
}
