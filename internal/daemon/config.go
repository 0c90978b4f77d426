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
	// longPollTimeout is how long a read waits for new records.
	longPollTimeout = time.Second
	// readRetryDelay is the pause after a failed read.
	readRetryDelay = 250 * time.Millisecond
	// readersPerDomain is the number of daemons per failure domain that read the
	// log continuously. The others fetch records from peers and read the log at
	// nonReaderInterval.
	readersPerDomain = 2
	// nonReaderInterval is the pause between log reads of the daemons that do not
	// read the log continuously.
	nonReaderInterval = 8 * time.Second
	// maxTailRecords is the number of recent records kept for peers.
	maxTailRecords = 1024
	// recordsPerCheckpoint is the number of records between two checkpoints.
	recordsPerCheckpoint = 200
	// patchTimeout bounds the wait for the outcome of a submitted patch.
	patchTimeout = 5 * time.Second
	// peerCallTimeout bounds a call to another daemon.
	peerCallTimeout = 1500 * time.Millisecond
	// minBootstrapDomains is the number of failure domains from which a daemon must
	// have obtained the configuration before it serves without having read the log.
	minBootstrapDomains = 2
)

// configFollower replicates the configuration stream from the log or from peers.
type configFollower struct {
	d      *Daemon
	active atomic.Pointer[fleet.Config]

	mu        sync.Mutex
	state     *fleet.StateMachine
	tail      []platform.Record
	logReadAt time.Time
	// confirmedAt is when the last read was sent after which the configuration was complete; zero if
	// there was none.
	confirmedAt            time.Time
	majorityAt             time.Time
	loaded                 bool
	caughtUpDomains        map[string]bool
	changed                chan struct{}
	recordsSinceCheckpoint int
}

func newConfigFollower(d *Daemon) *configFollower {
	c := &configFollower{d: d, state: fleet.NewStateMachine(), caughtUpDomains: map[string]bool{}, changed: make(chan struct{})}
	c.active.Store(c.state.Config())
	return c
}

func (c *configFollower) register(server *peer.Server) {
	peer.Handle(server, "config", func(_ context.Context, _ string, req peer.ConfigRequest) (peer.ConfigResponse, error) {
		return c.recordsFrom(req.From)
	})
}

func (c *configFollower) current() *fleet.Config { return c.active.Load() }

func (c *configFollower) lastLogRead() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.logReadAt
}

// readiness returns the inputs that decide whether the daemon may serve.
func (c *configFollower) readiness(m *memberlist) membership.Readiness {
	majority, serversUpdated := m.inMajority(), c.d.balancer.lastServersUpdate()
	c.mu.Lock()
	defer c.mu.Unlock()
	if majority {
		c.majorityAt = time.Now()
	}
	return membership.Readiness{LogReadAt: c.logReadAt, MajorityAt: c.majorityAt, ConfigLoaded: c.loaded, ServersUpdatedAt: serversUpdated, RequireLog: c.d.settings.LogOutagePolicy == "refuse"}
}

// canDeny reports whether the daemon may deny requests by its configuration now.
func (c *configFollower) canDeny() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loaded && membership.CanDeny(time.Since(c.confirmedAt))
}

func (c *configFollower) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.isReader() && !loop.Sleep(ctx, nonReaderInterval) {
			return
		}
		if err := c.read(ctx); err != nil && ctx.Err() == nil {
			c.d.metrics.logErrors.Inc(1)
			loop.Sleep(ctx, readRetryDelay)
		}
	}
}

// isReader reports whether this daemon reads the log continuously. A daemon
// without a configuration always does.
func (c *configFollower) isReader() bool {
	c.mu.Lock()
	loaded := c.loaded
	c.mu.Unlock()
	return !loaded || c.d.members.isDomainOwner(configStream, readersPerDomain)
}

func (c *configFollower) read(ctx context.Context) error {
	c.mu.Lock()
	from := c.state.NextOffset()
	c.mu.Unlock()
	sentAt := time.Now()
	batch, err := c.d.deps.Log.Read(ctx, configStream, from, readLimit, longPollTimeout)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.logReadAt = time.Now()
	c.mu.Unlock()
	c.apply(batch.Records)
	c.mu.Lock()
	caughtUp := c.state.NextOffset() >= batch.Next && c.state.Synced()
	c.loaded = c.loaded || caughtUp
	if caughtUp {
		c.confirmedAt = sentAt
	}
	checkpointDue := c.recordsSinceCheckpoint >= recordsPerCheckpoint && caughtUp
	c.mu.Unlock()
	if checkpointDue && c.d.members.isOwner("checkpoint") {
		c.checkpoint(ctx)
	}
	return nil
}

func (c *configFollower) apply(records []platform.Record) {
	if len(records) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range records {
		if r.Offset >= c.state.NextOffset() {
			c.tail = append(c.tail, r)
			c.recordsSinceCheckpoint++
		}
		c.state.Apply(r.Offset, r.Data)
	}
	if len(c.tail) > 2*maxTailRecords {
		c.tail = append([]platform.Record(nil), c.tail[len(c.tail)-maxTailRecords:]...)
	}
	c.publish()
}

// publish activates the configuration of the state machine and wakes waiters.
// Callers hold mu.
func (c *configFollower) publish() {
	next := c.state.Config()
	if next.Number != c.active.Load().Number {
		c.active.Store(next)
		c.d.metrics.configurationNumber.Update(float64(next.Number))
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// checkpoint appends the whole state to the log, so that the configuration can be read
// after older records have been dropped. A synced state machine ignores checkpoints, so
// concurrent ones are harmless.
func (c *configFollower) checkpoint(ctx context.Context) {
	c.mu.Lock()
	c.recordsSinceCheckpoint = 0
	data, err := json.Marshal(fleet.Record{Checkpoint: c.state.Checkpoint()})
	c.mu.Unlock()
	if err == nil {
		c.d.metrics.logAppends.Inc(1)
		_, err = c.d.deps.Log.Append(ctx, configStream, [][]byte{data})
	}
	if err != nil {
		c.d.metrics.logErrors.Inc(1)
	}
}

func (c *configFollower) recordsFrom(from uint64) (peer.ConfigResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.state.Synced() || from >= c.state.NextOffset() {
		return peer.ConfigResponse{}, nil
	}
	if len(c.tail) > 0 && c.tail[0].Offset <= from {
		return peer.ConfigResponse{Records: append([]platform.Record(nil), c.tail[from-c.tail[0].Offset:]...)}, nil
	}
	data, err := json.Marshal(c.state.Checkpoint())
	return peer.ConfigResponse{Checkpoint: data}, oops.In("config").Wrap(err)
}

func (c *configFollower) nextOffset() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.NextOffset()
}

// observePeerOffset handles the offset in a peer's heartbeat. It fetches records from a
// peer that is ahead. A daemon that has not read the log serves once it has caught up with
// peers in minBootstrapDomains failure domains.
func (c *configFollower) observePeerOffset(ctx context.Context, from membership.DaemonInfo, peerOffset uint64) {
	c.mu.Lock()
	ownOffset, synced := c.state.NextOffset(), c.state.Synced()
	c.mu.Unlock()
	if peerOffset > ownOffset || !synced {
		c.fetchFromPeer(ctx, from.PeerAddress, ownOffset)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loaded || c.state.NextOffset() < peerOffset || peerOffset == 0 {
		return
	}
	c.caughtUpDomains[from.FailureDomain] = true
	c.loaded = len(c.caughtUpDomains) >= minBootstrapDomains
}

func (c *configFollower) fetchFromPeer(ctx context.Context, address string, from uint64) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	resp, err := peer.Call[peer.ConfigRequest, peer.ConfigResponse](ctx, c.d.peers, address, "config", peer.ConfigRequest{From: from})
	if err != nil {
		return
	}
	if len(resp.Checkpoint) > 0 {
		var cp fleet.Checkpoint
		if json.Unmarshal(resp.Checkpoint, &cp) != nil {
			return
		}
		c.mu.Lock()
		if c.state.InstallCheckpoint(&cp) {
			c.tail = nil
			c.publish()
		}
		c.mu.Unlock()
		return
	}
	c.apply(resp.Records)
}

// SubmitPatch appends a patch and waits for its outcome. A failed append is not
// repeated, because the patch may have reached the log; its outcome is looked up
// by its id. Callers retry with the same id.
func (d *Daemon) SubmitPatch(ctx context.Context, rec fleet.Record) (fleet.PatchOutcome, error) {
	if rec.PatchID == "" {
		return fleet.PatchOutcome{}, fault.NewField(fault.BadRequest, "patch_id", "must not be empty")
	}
	if outcome, known := d.config.outcome(rec.PatchID); known {
		return outcome, nil
	}
	cfg := d.config.current()
	if rec.Base == cfg.Number {
		if _, _, err := cfg.ApplyPatch(rec.Patch); err != nil {
			return fleet.PatchOutcome{}, fault.New(fault.InvalidPatch, "%v", err)
		}
	}
	data, err := json.Marshal(rec)
	if err != nil {
		return fleet.PatchOutcome{}, oops.In("config").Wrap(err)
	}
	d.metrics.logAppends.Inc(1)
	_, appendErr := d.deps.Log.Append(ctx, configStream, [][]byte{data})
	if appendErr != nil {
		d.metrics.logErrors.Inc(1)
	}
	return d.config.awaitOutcome(ctx, rec.PatchID, appendErr)
}

func (c *configFollower) outcome(id string) (fleet.PatchOutcome, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.LookupOutcome(id)
}

func (c *configFollower) awaitOutcome(ctx context.Context, id string, appendErr error) (fleet.PatchOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, patchTimeout)
	defer cancel()
	for {
		c.mu.Lock()
		outcome, known := c.state.LookupOutcome(id)
		changed := c.changed
		c.mu.Unlock()
		if known {
			return outcome, nil
		}
		select {
		case <-changed:
		case <-time.After(readRetryDelay):
			_ = c.readOnce(ctx)
		case <-ctx.Done():
			unconfirmed := fault.New(fault.LogUnavailable, "patch %s was sent and is not confirmed; send it again with the same id", id)
			return fleet.PatchOutcome{}, unconfirmed.WithExecution(fault.Unknown).WithCause(appendErr)
		}
	}
}

// readOnce reads the log once if this daemon does not read it continuously.
func (c *configFollower) readOnce(ctx context.Context) error {
	if c.isReader() {
		return nil
	}
	return c.read(ctx)
}

// Config returns the active configuration.
func (d *Daemon) Config() *fleet.Config { return d.config.current() }

// PatchHistory returns the newest patch outcomes, oldest first.
func (d *Daemon) PatchHistory() []fleet.PatchOutcome {
	d.config.mu.Lock()
	defer d.config.mu.Unlock()
	return d.config.state.History()
}
