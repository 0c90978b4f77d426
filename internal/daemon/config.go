package daemon

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/fleet"
	"github.com/damaskrudder/damaskrudder/internal/loop"
	"github.com/damaskrudder/damaskrudder/internal/membership"
	"github.com/damaskrudder/damaskrudder/internal/peer"
	"github.com/damaskrudder/damaskrudder/internal/platform"
)

const (
	// configStream is the log stream of the configuration.
	configStream = "config"
	// readLimit bounds one read of the log in records.
	readLimit = 500
	// readWait is how long a read waits for news.
	readWait = time.Second
	// readRetry is the pause after a failed read.
	readRetry = 250 * time.Millisecond
	// readersPerDomain is how many daemons of a failure domain read the log all
	// the time; the others hear from them and look for themselves rarely.
	readersPerDomain = 2
	// rareRead is the period of a daemon that is no reader.
	rareRead = 8 * time.Second
	// tailKept is how many raw records are kept for peers.
	tailKept = 1024
	// checkpointEvery is the number of records between two checkpoints.
	checkpointEvery = 200
	// patchTimeout bounds the wait for a submitted patch to be folded.
	patchTimeout = 5 * time.Second
	// peerCallTimeout bounds a call to another daemon.
	peerCallTimeout = 1500 * time.Millisecond
	// settledDomains is how many failure domains a fresh daemon without the log
	// must have heard before it serves by its peers' word.
	settledDomains = 2
)

// configuration follows the configuration stream, from the log or from peers.
type configuration struct {
	d   *Daemon
	now atomic.Pointer[fleet.Config]

	mu        sync.Mutex
	fold      *fleet.StateMachine
	tail      []platform.Record
	logHeard  time.Time
	peerHeard time.Time
	loaded    bool
	domains   map[string]bool
	changed   chan struct{}
	sinceMark int
}

func newConfiguration(d *Daemon) *configuration {
	c := &configuration{d: d, fold: fleet.NewStateMachine(), domains: map[string]bool{}, changed: make(chan struct{})}
	c.now.Store(c.fold.Config())
	return c
}

func (c *configuration) register(s *peer.Server) {
	peer.Handle(s, "config", func(_ context.Context, _ string, q peer.ConfigRequest) (peer.ConfigResponse, error) {
		return c.serveTail(q.From)
	})
}

func (c *configuration) current() *fleet.Config { return c.now.Load() }

func (c *configuration) heard() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.logHeard
}

// sight gathers what decides whether the daemon may serve.
func (c *configuration) sight(m *members) membership.Readiness {
	most, servers := m.hearsMost(), c.d.pools.serversHeard()
	c.mu.Lock()
	defer c.mu.Unlock()
	if most {
		c.peerHeard = time.Now()
	}
	return membership.Readiness{LogReadAt: c.logHeard, MajorityAt: c.peerHeard, ConfigLoaded: c.loaded, ServersUpdatedAt: servers, RequireLog: c.d.settings.LogOutagePolicy == "refuse"}
}

func (c *configuration) loop(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.reader() && !loop.Pause(ctx, rareRead) {
			return
		}
		if err := c.read(ctx); err != nil && ctx.Err() == nil {
			c.d.metrics.logErrors.Inc(1)
			loop.Pause(ctx, readRetry)
		}
	}
}

// reader reports whether this daemon reads the log all the time. A daemon that
// has no configuration yet does.
func (c *configuration) reader() bool {
	c.mu.Lock()
	loaded := c.loaded
	c.mu.Unlock()
	return !loaded || c.d.members.isHomeIn(configStream, readersPerDomain)
}

func (c *configuration) read(ctx context.Context) error {
	c.mu.Lock()
	from := c.fold.NextOffset()
	c.mu.Unlock()
	b, err := c.d.ports.Log.Read(ctx, configStream, from, readLimit, readWait)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.logHeard = time.Now()
	c.mu.Unlock()
	c.apply(b.Records)
	c.mu.Lock()
	caughtUp := c.fold.NextOffset() >= b.Next && c.fold.Synced()
	c.loaded = c.loaded || caughtUp
	mark := c.sinceMark >= checkpointEvery && caughtUp
	c.mu.Unlock()
	if mark && c.d.members.isHome("checkpoint") {
		c.checkpoint(ctx)
	}
	return nil
}

func (c *configuration) apply(records []platform.Record) {
	if len(records) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range records {
		if r.Offset >= c.fold.NextOffset() {
			c.tail = append(c.tail, r)
			c.sinceMark++
		}
		c.fold.Apply(r.Offset, r.Data)
	}
	if len(c.tail) > 2*tailKept {
		c.tail = append([]platform.Record(nil), c.tail[len(c.tail)-tailKept:]...)
	}
	c.publish()
}

// publish makes the fold's configuration the one in force. Callers hold mu.
func (c *configuration) publish() {
	next := c.fold.Config()
	if next.Number != c.now.Load().Number {
		c.now.Store(next)
		c.d.metrics.configNumber.Update(float64(next.Number))
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// checkpoint appends the state again before its records age out. Two daemons
// that both do so are harmless: an anchored fold ignores checkpoints.
func (c *configuration) checkpoint(ctx context.Context) {
	c.mu.Lock()
	c.sinceMark = 0
	data, err := json.Marshal(fleet.Record{Checkpoint: c.fold.Checkpoint()})
	c.mu.Unlock()
	if err == nil {
		c.d.metrics.logAppends.Inc(1)
		_, err = c.d.ports.Log.Append(ctx, configStream, [][]byte{data})
	}
	if err != nil {
		c.d.metrics.logErrors.Inc(1)
	}
}

func (c *configuration) serveTail(from uint64) (peer.ConfigResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.fold.Synced() || from >= c.fold.NextOffset() {
		return peer.ConfigResponse{}, nil
	}
	if len(c.tail) > 0 && c.tail[0].Offset <= from {
		return peer.ConfigResponse{Records: append([]platform.Record(nil), c.tail[from-c.tail[0].Offset:]...)}, nil
	}
	data, err := json.Marshal(c.fold.Checkpoint())
	return peer.ConfigResponse{Checkpoint: data}, oops.In("config").Wrap(err)
}

func (c *configuration) next() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fold.NextOffset()
}

// peerAhead is called when a heartbeat shows a peer's position.
func (c *configuration) peerAhead(ctx context.Context, from membership.DaemonInfo, theirs uint64) {
	c.mu.Lock()
	ours, anchored := c.fold.NextOffset(), c.fold.Synced()
	c.mu.Unlock()
	if theirs > ours || !anchored {
		c.fetch(ctx, from.PeerAddress, ours)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loaded || c.fold.NextOffset() < theirs || theirs == 0 {
		return
	}
	c.domains[from.FailureDomain] = true
	c.loaded = len(c.domains) >= settledDomains
}

func (c *configuration) fetch(ctx context.Context, address string, from uint64) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	t, err := peer.Call[peer.ConfigRequest, peer.ConfigResponse](ctx, c.d.links, address, "config", peer.ConfigRequest{From: from})
	if err != nil {
		return
	}
	if len(t.Checkpoint) > 0 {
		var cp fleet.Checkpoint
		if json.Unmarshal(t.Checkpoint, &cp) != nil {
			return
		}
		c.mu.Lock()
		if c.fold.InstallCheckpoint(&cp) {
			c.tail = nil
			c.publish()
		}
		c.mu.Unlock()
		return
	}
	c.apply(t.Records)
}

// SubmitPatch appends a patch and waits until the fold has judged it. When the reply
// of the append is lost, the patch is looked for by its id and never appended
// again here: a caller who repeats it sends the same id.
func (d *Daemon) SubmitPatch(ctx context.Context, r fleet.Record) (fleet.PatchOutcome, error) {
	if r.PatchID == "" {
		return fleet.PatchOutcome{}, fault.NewField(fault.BadRequest, "patch_id", "must not be empty")
	}
	if o, known := d.config.outcome(r.PatchID); known {
		return o, nil
	}
	cfg := d.config.current()
	if r.Base == cfg.Number {
		if _, _, err := cfg.ApplyPatch(r.Patch); err != nil {
			return fleet.PatchOutcome{}, fault.New(fault.InvalidPatch, "%v", err)
		}
	}
	data, err := json.Marshal(r)
	if err != nil {
		return fleet.PatchOutcome{}, oops.In("config").Wrap(err)
	}
	d.metrics.logAppends.Inc(1)
	_, appendErr := d.ports.Log.Append(ctx, configStream, [][]byte{data})
	if appendErr != nil {
		d.metrics.logErrors.Inc(1)
	}
	return d.config.await(ctx, r.PatchID, appendErr)
}

func (c *configuration) outcome(id string) (fleet.PatchOutcome, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fold.LookupOutcome(id)
}

func (c *configuration) await(ctx context.Context, id string, appendErr error) (fleet.PatchOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, patchTimeout)
	defer cancel()
	for {
		c.mu.Lock()
		o, known := c.fold.LookupOutcome(id)
		changed := c.changed
		c.mu.Unlock()
		if known {
			return o, nil
		}
		select {
		case <-changed:
		case <-time.After(readRetry):
			_ = c.readOnce(ctx)
		case <-ctx.Done():
			unknown := fault.New(fault.LogUnavailable, "patch %s was sent and is not confirmed; send it again with the same id", id)
			return fleet.PatchOutcome{}, unknown.WithExecution(fault.Unknown).WithCause(appendErr)
		}
	}
}

// readOnce catches up now, for a daemon that is no reader.
func (c *configuration) readOnce(ctx context.Context) error {
	if c.reader() {
		return nil
	}
	return c.read(ctx)
}

// Config returns the configuration in force.
func (d *Daemon) Config() *fleet.Config { return d.config.current() }

// PatchHistory returns the newest patch outcomes, oldest first.
func (d *Daemon) PatchHistory() []fleet.PatchOutcome {
	d.config.mu.Lock()
	defer d.config.mu.Unlock()
	return d.config.fold.History()
}
