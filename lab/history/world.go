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
	daemonCount  = 6
	engineCount  = 4
	length       = 30 * time.Second
	settleTime   = 45 * time.Second
	hop          = time.Millisecond
	readEvery    = 250 * time.Millisecond
	flushEvery   = 100 * time.Millisecond
	listEvery    = time.Second
	requestEvery = 400 * time.Millisecond
	// unloadAfter is when the lease holder has unloaded a withdrawn version.
	unloadAfter = 5 * time.Second
	// adoptAfter is how long a keeper waits for a confirmation.
	adoptAfter = 30 * time.Second
	// logWait is when a daemon whose records nobody takes refuses new requests.
	logWait = time.Second
	// protectTimeout bounds the wait for the log when no keeper answers.
	protectTimeout = 5 * time.Second
)

// Limits are the times that histories are checked against.
var Limits = invariant.Limits{ConfigPropagation: 16 * time.Second, ServerRemoval: 3 * time.Second}

// World is one history in the making.
type World struct {
	clock   *sim.Clock
	rng     *rand.Rand
	log     *eventLog
	daemons []*node
	engines []*engine
	// known is the highest number that any daemon folded.
	known     uint64
	withdrawn bool
	// truth folds the configuration as the log has it, and takenAt is when the
	// log took the record that led to a number.
	truth   *fleet.StateMachine
	takenAt map[uint64]time.Duration
	events  []invariant.Event
	next    int
	// leaving servers by the platform's list, with the time of the word.
	leaving map[int]time.Duration
	stats   Stats
}

// Stats count what a history held, to show that it tested something.
type Stats struct {
	Asked, Answered, RefusedNotRun, Unknown, Lost, Resumed, Retried, Replayed, ClaimsLost, Adopted, Withheld, Duplicates int
	// SlowestChange is the longest time from the log's taking a change to its
	// being in force at a daemon that was running then.
	SlowestChange time.Duration
}

// Run makes the history of a seed under some faults and returns it.
func Run(seed uint64, faults ...Fault) ([]invariant.Event, Stats) {
	w := &World{clock: &sim.Clock{}, rng: rand.New(rand.NewPCG(seed, 77)), takenAt: map[uint64]time.Duration{}, truth: fleet.NewStateMachine(), leaving: map[int]time.Duration{}}
	w.log = &eventLog{w: w, streams: map[string][][]byte{}}
	for i := range engineCount {
		w.engines = append(w.engines, &engine{w: w, id: i, runs: map[string]*run{}})
	}
	for i := range daemonCount {
		w.daemons = append(w.daemons, newNode(w, i))
	}
	w.configure()
	for _, d := range w.daemons {
		d.after(w.duration(readEvery), d.start)
	}
	w.arrivals()
	w.operators()
	for _, f := range faults {
		w.clock.After(2*time.Second+w.duration(20*time.Second), func() { f.do(w) })
	}
	w.clock.Run(length)
	w.clock.Run(length + settleTime)
	w.bills()
	return w.events, w.stats
}

func (w *World) duration(most time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(most)))
}

func (w *World) event(e invariant.Event) {
	e.At = w.clock.Elapsed()
	w.events = append(w.events, e)
}

const workspace = "w"

// configure writes the first patch: a model of three versions and a workspace
// that may use two of them.
func (w *World) configure() {
	var servers []string
	for i := range engineCount {
		servers = append(servers, fmt.Sprintf(`{"id":"s%d","address":"10.0.0.%d:80","failure_domain":"fd%d"}`, i, i+1, i%3))
	}
	patch := fmt.Sprintf(`{"pools":{"p":{"servers":[%s,%s,%s,%s]}},
		"models":{"m":{"stable":"v1","versions":{"v1":{"pool":"p","micros_per_1k_tokens":5,"successor":"v2"},"v2":{"pool":"p","micros_per_1k_tokens":5},"v3":{"pool":"p","micros_per_1k_tokens":1}}}},
		"workspaces":{"w":{"key_hashes":[],"models":["m@v1","m@v2"]}}}`, servers[0], servers[1], servers[2], servers[3])
	w.log.accept("config", record("first", 0, patch))
}

func record(id string, base uint64, patch string) []byte {
	data, err := json.Marshal(fleet.Record{PatchID: id, Base: base, Patch: json.RawMessage(patch)})
	if err != nil {
		panic(err)
	}
	return data
}

// patches are what operators do in turn, each against a racing one: a roll-out
// that moves sessions without a pin, and the withdrawal of v1.
var patches = []string{
	`{"rollouts":{"m":{"model":"m","to":"v2","stages":[50,100],"stage":0,"state":"running"}}}`,
	`{"workspaces":{"w":{"priority":3}}}`,
	`{"rollouts":{"m":{"stage":1}}}`,
	`{"models":{"m":{"stable":"v2","versions":{"v1":{"state":"withdrawn"}}}}}`,
	`{"workspaces":{"w":{"priority":4}}}`,
}

// operators race with patches against the same number.
func (w *World) operators() {
	for i, patch := range patches {
		at := length * time.Duration(i+1) / time.Duration(len(patches)+2)
		w.clock.After(at+w.duration(time.Second), func() {
			base := w.daemons[w.rng.IntN(daemonCount)].fold.Config().Number
			racer := fmt.Sprintf(`{"workspaces":{"w":{"priority":%d}}}`, w.rng.IntN(9))
			w.log.append("config", record(fmt.Sprint("patch-", i), base, patch), func(error) {})
			w.log.append("config", record(fmt.Sprint("racer-", i), base, racer), func(error) {})
		})
	}
}

// observe notes a configuration that a daemon is the first to fold. From then on
// an operator may have been told that it is accepted. A record that the log took
// right before an outage is nobody's knowledge until it can be read.
func (w *World) observe(c *fleet.Config) {
	if c.Number <= w.known {
		return
	}
	w.known = c.Number
	w.event(invariant.Event{Kind: invariant.ConfigAccepted, ConfigNumber: c.Number})
	if v, _ := c.Version("m", "v1"); v.State != fleet.Withdrawn || w.withdrawn {
		return
	}
	w.withdrawn = true
	w.event(invariant.Event{Kind: invariant.VersionWithdrawn, Model: "m", Version: "v1"})
	w.clock.After(unloadAfter, func() {
		for _, e := range w.engines {
			e.unloaded = "v1"
		}
	})
}

func (w *World) bills() {
	ledger := billing.NewLedger()
	for _, data := range w.log.streams["usage"] {
		var batch []billing.UsageRecord
		if json.Unmarshal(data, &batch) != nil {
			continue
		}
		for _, u := range batch {
			ledger.Apply(u)
		}
	}
	w.stats.Duplicates = ledger.Duplicates
	for _, id := range slices.Sorted(maps.Keys(ledger.Records())) {
		w.event(invariant.Event{Kind: invariant.RequestBilled, Request: id})
	}
}

// node is one daemon, driven by the clock.
type node struct {
	w           *World
	id          int
	incarnation int
	alive       bool
	pausedUntil time.Duration
	// cutFromLog and cutFromPeers are partitions.
	cutFromLog, cutFromPeers bool

	fold   *fleet.StateMachine
	claims *request.ClaimTable
	sight  membership.Readiness
	buffer *billing.Buffer
	kept   map[string]copyOf
	// waiting are answers that await the log's word on their bill.
	waiting []waitingBill
	leaving map[int]bool
	budget  *request.RetryBudget
}

type copyOf struct {
	usage billing.UsageRecord
	owner *node
	run   int
	place uint64
	at    time.Duration
}

type waitingBill struct {
	place uint64
	do    func()
}

const bufferLimit = 500

func newNode(w *World, id int) *node {
	d := &node{w: w, id: id}
	d.reset()
	return d
}

// reset forgets everything, as a replaced VM does.
func (d *node) reset() {
	d.incarnation++
	d.alive = true
	d.fold, d.claims = fleet.NewStateMachine(), request.NewClaimTable()
	d.sight = membership.Readiness{}
	d.buffer, d.kept, d.waiting = billing.NewBuffer(bufferLimit), map[string]copyOf{}, nil
	d.leaving, d.budget = map[int]bool{}, request.NewRetryBudget()
}

// after schedules work of this incarnation; a pause postpones it, a crash ends it.
func (d *node) after(t time.Duration, do func()) {
	run := d.incarnation
	d.w.clock.After(t, func() { d.resume(run, do) })
}

func (d *node) resume(run int, do func()) {
	if !d.alive || d.incarnation != run {
		return
	}
	if wait := d.pausedUntil - d.w.clock.Elapsed(); wait > 0 {
		d.w.clock.After(wait, func() { d.resume(run, do) })
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
	d.every(readEvery, d.readConfig)
	d.every(time.Second, d.hearPeers)
	d.every(flushEvery, d.flush)
	d.every(listEvery, d.readList)
	d.every(time.Second, d.adopt)
}

// reached notes how long after the log took a number this daemon got to it.
func (d *node) reached(before uint64) {
	n := d.fold.Config().Number
	if n == before {
		return
	}
	d.w.observe(d.fold.Config())
	d.w.stats.SlowestChange = max(d.w.stats.SlowestChange, d.w.clock.Elapsed()-d.w.takenAt[n])
}

func (d *node) now() time.Time { return d.w.clock.Now() }

func (d *node) readConfig() {
	d.w.log.read(d, "config", int(d.fold.NextOffset()), func(first int, records [][]byte) {
		d.sight.LogReadAt, d.sight.ConfigLoaded = d.now(), true
		before := d.fold.Config().Number
		for i, r := range records {
			d.fold.Apply(uint64(first+i), r)
		}
		d.reached(before)
	})
}

// hears reports whether two daemons reach each other.
func (d *node) hears(o *node) bool {
	return o.alive && !d.cutFromPeers && !o.cutFromPeers && o.pausedUntil <= d.w.clock.Elapsed()
}

func (d *node) hearPeers() {
	heard := 0
	for _, o := range d.w.daemons {
		if o == d || !d.hears(o) {
			continue
		}
		heard++
		if o.fold.NextOffset() > d.fold.NextOffset() {
			before := d.fold.Config().Number
			d.fold.InstallCheckpoint(o.fold.Checkpoint())
			d.reached(before)
		}
	}
	if 2*heard >= daemonCount-1 {
		d.sight.MajorityAt = d.now()
	}
}

func (d *node) readList() {
	d.sight.ServersUpdatedAt = d.now()
	for s, at := range d.w.leaving {
		if at <= d.w.clock.Elapsed() {
			d.leaving[s] = true
		}
	}
}
