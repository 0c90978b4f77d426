// Package history drives the decision packages through randomised histories in
// virtual time: six daemons, a log, engines and plain services, callers that
// retry, operators that race, and two faults at once. Every history is checked
// against the promises. The same seed gives the same history.
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
	// unloadDelay is when the lease holder has unloaded a withdrawn version.
	unloadDelay = 5 * time.Second
	// adoptDelay is how long a keeper waits for a confirmation.
	adoptDelay = 30 * time.Second
	// unprotectedDelay is when a daemon whose records nobody takes refuses new requests.
	unprotectedDelay = time.Second
	// protectTimeout bounds the wait for the log when no keeper answers.
	protectTimeout = 5 * time.Second
)

// Limits are the times that histories are checked against.
var Limits = invariant.Limits{InForce: 16 * time.Second, Leaving: 3 * time.Second}

// Simulation is one history in the making.
type Simulation struct {
	clock   *sim.Clock
	rng     *rand.Rand
	log     *eventLog
	daemons []*node
	engines []*engine
	// maxApplied is the highest number that any daemon folded.
	maxApplied uint64
	withdrawn  bool
	// reference folds the configuration as the log has it, and takenAt is when the
	// log took the record that led to a number.
	reference   *fleet.StateMachine
	committedAt map[uint64]time.Duration
	events      []invariant.Event
	lastRequest int
	// leavingSince servers by the platform's list, with the time of the word.
	leavingSince map[int]time.Duration
	stats        Stats
}

// Stats count what a history held, to show that it tested something.
type Stats struct {
	Requests, Answered, RefusedNotRun, UnknownOutcome, TimedOut, Resumed, Retried, Replayed, ClaimsLost, Adopted, Withheld, Duplicates int
	// MaxConfigDelay is the longest time from the log's taking a change to its
	// being in force at a daemon that was running then.
	MaxConfigDelay time.Duration
}

// Run makes the history of a seed under some faults and returns it.
func Run(seed uint64, faults ...Fault) ([]invariant.Event, Stats) {
	s := &Simulation{clock: &sim.Clock{}, rng: rand.New(rand.NewPCG(seed, 77)), committedAt: map[uint64]time.Duration{}, reference: fleet.NewStateMachine(), leavingSince: map[int]time.Duration{}}
	s.log = &eventLog{sim: s, streams: map[string][][]byte{}}
	for i := range engineCount {
		s.engines = append(s.engines, &engine{sim: s, id: i, runs: map[string]*run{}})
	}
	for i := range daemonCount {
		s.daemons = append(s.daemons, newNode(s, i))
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

// writeInitialConfig writes the first patch: a model of three versions and a workspace
// that may use two of them.
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

// operatorPatches are what operators do in turn, each against a racing one: a roll-out
// that moves sessions without a pin, and the withdrawal of v1.
var operatorPatches = []string{
	`{"rollouts":{"m":{"model":"m","to":"v2","stages":[50,100],"stage":0,"state":"running"}}}`,
	`{"workspaces":{"w":{"priority":3}}}`,
	`{"rollouts":{"m":{"stage":1}}}`,
	`{"models":{"m":{"stable":"v2","versions":{"v1":{"state":"withdrawn"}}}}}`,
	`{"workspaces":{"w":{"priority":4}}}`,
}

// scheduleOperators race with patches against the same number.
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

// recordAccepted notes a configuration that a daemon is the first to fold. From then on
// an operator may have been told that it is accepted. A record that the log took
// right before an outage is nobody's knowledge until it can be read.
func (s *Simulation) recordAccepted(c *fleet.Config) {
	if c.Number <= s.maxApplied {
		return
	}
	s.maxApplied = c.Number
	s.recordEvent(invariant.Event{Kind: invariant.Accepted, Number: c.Number})
	if v, _ := c.Version("m", "v1"); v.State != fleet.Withdrawn || s.withdrawn {
		return
	}
	s.withdrawn = true
	s.recordEvent(invariant.Event{Kind: invariant.Withdrew, Model: "m", Version: "v1"})
	s.clock.After(unloadDelay, func() {
		for _, e := range s.engines {
			e.unloadedVersion = "v1"
		}
	})
}

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
		s.recordEvent(invariant.Event{Kind: invariant.Billed, Request: id})
	}
}

// node is one daemon, driven by the clock.
type node struct {
	sim         *Simulation
	id          int
	incarnation int
	alive       bool
	pausedUntil time.Duration
	// cutFromLog and cutFromPeers are partitions.
	cutFromLog, cutFromPeers bool

	state     *fleet.StateMachine
	claims    *request.ClaimTable
	readiness membership.Readiness
	usage     *billing.Buffer
	replicas  map[string]usageReplica
	// pending are answers that await the log's word on their bill.
	pending []pendingAnswer
	leaving map[int]bool
	budget  *request.RetryBudget
}

type usageReplica struct {
	record      billing.UsageRecord
	owner       *node
	incarnation int
	position    uint64
	receivedAt  time.Duration
}

type pendingAnswer struct {
	position uint64
	send     func()
}

const bufferLimit = 500

func newNode(s *Simulation, id int) *node {
	d := &node{sim: s, id: id}
	d.reset()
	return d
}

// reset forgets everything, as a replaced VM does.
func (d *node) reset() {
	d.incarnation++
	d.alive = true
	d.state, d.claims = fleet.NewStateMachine(), request.NewClaimTable()
	d.readiness = membership.Readiness{}
	d.usage, d.replicas, d.pending = billing.NewBuffer(bufferLimit), map[string]usageReplica{}, nil
	d.leaving, d.budget = map[int]bool{}, request.NewRetryBudget()
}

// after schedules work of this incarnation; a pause postpones it, a crash ends it.
func (d *node) after(t time.Duration, do func()) {
	incarnation := d.incarnation
	d.sim.clock.After(t, func() { d.runIfAlive(incarnation, do) })
}

func (d *node) runIfAlive(incarnation int, do func()) {
	if !d.alive || d.incarnation != incarnation {
		return
	}
	if remaining := d.pausedUntil - d.sim.clock.Elapsed(); remaining > 0 {
		d.sim.clock.After(remaining, func() { d.runIfAlive(incarnation, do) })
		return
	}
	do()
}

func (d *node) every(t time.Duration, do func()) {
	d.after(t, func() {
		do()
		d.every(t, do)
	})
}

func (d *node) start() {
	d.readConfig()
	d.every(readInterval, d.readConfig)
	d.every(time.Second, d.syncPeers)
	d.every(flushInterval, d.flushUsage)
	d.every(serverListInterval, d.readServerList)
	d.every(time.Second, d.adoptReplicas)
}

// recordConfigDelay notes how long after the log took a number this daemon got to it.
func (d *node) recordConfigDelay(before uint64) {
	n := d.state.Config().Number
	if n == before {
		return
	}
	d.sim.recordAccepted(d.state.Config())
	d.sim.stats.MaxConfigDelay = max(d.sim.stats.MaxConfigDelay, d.sim.clock.Elapsed()-d.sim.committedAt[n])
}

func (d *node) now() time.Time { return d.sim.clock.Now() }

func (d *node) readConfig() {
	d.sim.log.read(d, "config", int(d.state.NextOffset()), func(first int, records [][]byte) {
		d.readiness.LogReadAt, d.readiness.ConfigLoaded = d.now(), true
		before := d.state.Config().Number
		for i, r := range records {
			d.state.Apply(uint64(first+i), r)
		}
		d.recordConfigDelay(before)
	})
}

// canReach reports whether two daemons reach each other.
func (d *node) canReach(peer *node) bool {
	return peer.alive && !d.cutFromPeers && !peer.cutFromPeers && peer.pausedUntil <= d.sim.clock.Elapsed()
}

func (d *node) syncPeers() {
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

func (d *node) readServerList() {
	d.readiness.ServersUpdatedAt = d.now()
	for s, at := range d.sim.leavingSince {
		if at <= d.sim.clock.Elapsed() {
			d.leaving[s] = true
		}
	}
}
