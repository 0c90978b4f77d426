package node

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/feed"
	"github.com/damaskrudder/damaskrudder/internal/freshness"
	"github.com/damaskrudder/damaskrudder/internal/gossip"
	"github.com/damaskrudder/damaskrudder/internal/loop"
	"github.com/damaskrudder/damaskrudder/internal/relay"
	"github.com/damaskrudder/damaskrudder/internal/rollout"
)

const (
	// readWait is how long a read waits for a record. The store responds as soon as one
	// arrives, so this only bounds the delay after the connection silently broke.
	readWait = 15 * time.Second
	// entryBatchDelay is the pause after a read that brought entries, so that servers that
	// start or leave together are read in one call. It must be well under ServerDrainLimit.
	entryBatchDelay = 400 * time.Millisecond
	// slowReadWait is readWait for topics whose records are less urgent.
	slowReadWait = 28 * time.Second
)

// initFollowers creates the followers of the store's topics. It precedes Run, since gossip reads
// their positions.
func (n *Node) initFollowers() {
	add := func(subject freshness.Subject, topic string, wait, batchDelay time.Duration, apply func([]feed.Record, bool)) *feed.Follower {
		f := feed.New(&feed.Follower{
			Log: n.deps.Log, Topic: topic, MaxWait: wait, BatchDelay: batchDelay, BootTime: n.deps.BootTime,
			Apply: apply, OnEraChange: func() { n.eraChanges.mark(subject) }, OnConfirmed: func(sent time.Duration) { n.confirmFromStore(subject, sent) }, OnReadFailed: n.recordUnanswered, Logger: n.log,
			FetchTail: n.fetchRecords, FetchSnapshot: n.fetchSnapshot, ReadsLog: n.readsOperatorTopic, IsDesignatedReader: n.isReader, MaxStandbyBackoff: n.maxStandbyBackoff, MaxLag: n.maxLag,
		})
		n.followers = append(n.followers, f)
		return f
	}
	n.operatorFollower = add(freshness.Configuration, n.topics.Operator, readWait, 0, n.applyOperatorRecords)
	n.operatorFollower.NewestSuffices = true
	servers := add(freshness.Servers, n.topics.Servers, readWait, entryBatchDelay, n.applyServerRecords)
	servers.MayBeLarge = true
	n.statusFollower = add(freshness.Rollouts, n.topics.Status, slowReadWait, 0, n.applyStatusRecords)
	n.daemonFollower = add(freshness.Daemons, n.topics.Daemons, slowReadWait, entryBatchDelay, n.applyDaemonRecords)
	for _, f := range n.followers[1:] {
		f.DependsOn, f.ReadsLog = n.operatorFollower, n.readsDependentTopics
	}
	n.operatorFollower.OnApplied, n.statusFollower.OnApplied = n.broadcast, n.broadcast
	servers.OnApplied = func() {
		// In a large fleet new servers are frequent, and not urgent.
		if n.serversChanged.Swap(false) || !n.members.InOverlay() {
			n.broadcast()
		}
	}
	// In the overlay, the partners of a bootstrap peer do not follow its topic.
	n.daemonFollower.ReadsLog = func() bool {
		return n.readsDependentTopics() || n.members.InOverlay() && n.isBootstrapPeer()
	}
	n.daemonFollower.Enabled = func() bool { return n.isBootstrapPeer() || n.isReader() }
}

// fetchRecords fetches records from a daemon that has read further.
func (n *Node) fetchRecords(ctx context.Context, topic string, from feed.Position) (feed.Tail, error) {
	return n.members.FetchRecords(ctx, topic, from, func(p gossip.Message) bool { return p.NextPosition(n.topicIndex(topic)) > from })
}

// fetchSnapshot fetches all records of a topic from a daemon that has loaded it.
func (n *Node) fetchSnapshot(ctx context.Context, topic string) (feed.Tail, error) {
	return n.members.FetchSnapshot(ctx, topic, func(p gossip.Message) bool { return p.NextPosition(n.topicIndex(topic)) > 0 })
}

// topicIndex returns the index of a topic in gossip.Message.NextPositions.
func (n *Node) topicIndex(topic string) int {
	return slices.IndexFunc(n.followers, func(f *feed.Follower) bool { return f.Topic == topic })
}

// recordsSince returns the records of a topic from a position on, for other daemons.
func (n *Node) recordsSince(topic string, from feed.Position, snapshot bool, maxBytes int) feed.Tail {
	for _, f := range n.followers {
		if f.Topic == topic {
			return f.TailPage(from, snapshot, maxBytes)
		}
	}
	return feed.Tail{Next: from}
}

// applyOperatorRecords applies evacuations, configurations and roll-out orders.
func (n *Node) applyOperatorRecords(records []feed.Record, complete bool) {
	// Evacuations come first, since the daemon serves as soon as it has a configuration.
	n.applyEvacuations(records, complete)
	for _, r := range records {
		if r.Value == nil {
			continue
		}
		decoded, err := n.deps.Codec.DecodeOperator(r)
		if err != nil {
			n.log.Error("operator record ignored", "key", r.Key, "at", r.At, "err", err)
			continue
		}
		if decoded.Table != nil && n.state.SetTable(decoded.Table) {
			n.log.Info("configuration in force", "version", decoded.Table.Version, "at", r.At, "bytes", len(r.Value), "records", len(records), "complete", complete)
		}
		if decoded.Order != nil {
			n.Relay.Rollouts.AddOrder(*decoded.Order)
		}
	}
}

// applyServerRecords applies the entries of backend servers.
func (n *Node) applyServerRecords(records []feed.Record, complete bool) {
	confirmed, known := n.state.ConfirmationAge(freshness.Servers)
	if known {
		// The records were written after the newest confirmation, so its age is an upper
		// bound of their delay.
		n.deps.Metrics.ReadDelay(freshness.Servers).RecordDuration(confirmed)
		n.detectOutageEnd(confirmed)
	}
	var ended []replacement
	restored := n.eraChanges.consume(freshness.Servers)
	if restored {
		// Entries that the older copy lacks get time to be written again, as after an outage.
		n.state.StoreRecovered()
	}
	lines := newEntryLog(n.log, confirmed)
	n.state.UpdateServers(func(reg *backend.Registry, now time.Duration) {
		listed := map[string]bool{}
		for _, r := range records {
			listed[r.Key] = r.Value != nil
			if restored && n.isStaleEntry(reg, r, now) {
				continue
			}
			if old := n.applyServerRecord(reg, r, now, lines); old != nil {
				next, _, _ := reg.Get(r.Key, now)
				ended = append(ended, replacement{*old, next})
			}
		}
		if complete {
			reg.Retain(listed, now)
		}
	})
	lines.close()
	if lines.lines > 0 {
		n.serversChanged.Store(true)
	}
	for _, e := range ended {
		n.Relay.ServerRestarted(e.old, e.next)
	}
}

// replacement is an incarnation of a server that a later one has replaced.
type replacement struct{ old, next backend.Server }

// isStaleEntry reports whether an entry of a restored store is older than the one that this daemon
// has applied. Applying it would make a server that left usable again.
func (n *Node) isStaleEntry(reg *backend.Registry, r feed.Record, now time.Duration) bool {
	s, err := n.deps.Codec.DecodeServer(r)
	if err != nil || !reg.Stale(s, now) {
		return false
	}
	n.log.Info("stale server entry ignored", "server", s.Incarnation.ID(), "leaving", s.Leaving, "at", r.At)
	return true
}

// applyServerRecord applies one entry and returns the server incarnation that it ended, if any.
func (n *Node) applyServerRecord(reg *backend.Registry, r feed.Record, now time.Duration, lines *entryLog) *backend.Server {
	old, known, usable := reg.Get(r.Key, now)
	if r.Value == nil {
		if known {
			lines.remove(old, r.At)
		}
		n.invalidEntries.clear(r.Key)
		reg.Remove(r.Key, now)
		return nil
	}
	s, err := n.deps.Codec.DecodeServer(r)
	if err != nil {
		reg.MarkUnusable(r.Key)
		n.reportInvalidEntry(r, err)
		return nil
	}
	if s.WarmupRemaining > 0 {
		s.WarmAt = now + s.WarmupRemaining
	}
	ended, err := reg.Put(s)
	if err != nil {
		n.reportInvalidEntry(r, err)
		return nil
	}
	n.invalidEntries.clear(r.Key)
	switch {
	case !known && !s.Leaving && s.WarmupRemaining == 0:
		lines.add(s)
	case !known || !usable || ended != nil || old.Leaving != s.Leaving || old.Address != s.Address || s.WarmupRemaining > 0 && old.WarmupRemaining == 0:
		lines.change(s, ended != nil, r.At)
	}
	return ended
}

// reportInvalidEntry counts an invalid server entry. It logs an entry only when the reason changes,
// since writers repeat their entries with each heartbeat.
func (n *Node) reportInvalidEntry(r feed.Record, err error) {
	reason := backend.InvalidReasonOf(err)
	n.deps.Metrics.InvalidServerEntries(reason).Inc(1)
	if n.invalidEntries.record(r.Key, reason) {
		n.log.Error("invalid server entry", "server", r.Key, "at", r.At, "fault", reason, "err", err)
	}
}

// applyStatusRecords applies the phases of roll-outs.
func (n *Node) applyStatusRecords(records []feed.Record, _ bool) {
	if n.eraChanges.consume(freshness.Rollouts) {
		n.Relay.Rollouts.StoreEraChanged()
	}
	for _, r := range records {
		if r.Value == nil {
			continue
		}
		s, ok, err := n.deps.Codec.DecodeStatus(r)
		if err != nil {
			n.log.Error("roll-out status record ignored", "key", r.Key, "at", r.At, "err", err)
			continue
		}
		if ok {
			n.Relay.Rollouts.ApplyStoredPhase(relay.StoredPhase{Service: s.Service, Target: s.Target, OrderOffset: s.OrderOffset, Phase: s.Phase, OrderAge: s.OrderAge})
		}
	}
}

// applyDaemonRecords applies the entries of other daemons and the records of held requests.
func (n *Node) applyDaemonRecords(records []feed.Record, _ bool) {
	if n.eraChanges.consume(freshness.Daemons) {
		// Write again what the older copy lacks.
		n.registered.Store(false)
		n.storedHolds.reset()
	}
	for _, r := range records {
		h, ok, err := n.deps.Codec.DecodeHold(r)
		switch {
		case err != nil:
			n.log.Error("hold record ignored", "key", r.Key, "at", r.At, "err", err)
			continue
		case ok:
			n.applyHold(h)
			continue
		case r.Value == nil:
			continue
		}
		address, err := n.deps.Codec.DecodeDaemon(r)
		if err != nil {
			n.log.Error("daemon entry ignored", "daemon", r.Key, "err", err)
			continue
		}
		if r.Key == n.config.Name && address == n.config.ControlAddress {
			n.registered.Store(true)
		}
		n.members.AddAddresses(address)
	}
}

const (
	// registerRetryInterval is the delay after a failed write of the daemon's own entry.
	// registerPollInterval and registeredPollInterval are the intervals at which
	// maintainRegistration checks whether to write it, without and with an entry: a restore of
	// the store may lose it.
	registerRetryInterval  = 500 * time.Millisecond
	registerPollInterval   = 250 * time.Millisecond
	registeredPollInterval = 2 * time.Second
)

// maintainRegistration writes this daemon's control address to the store while it is a bootstrap
// peer, until the context ends.
func (n *Node) maintainRegistration(ctx context.Context) {
	value, err := n.deps.Codec.EncodeDaemon(n.config.ControlAddress)
	if err != nil {
		n.log.Error("could not encode own entry", "err", err)
		return
	}
	for ctx.Err() == nil {
		switch {
		case n.registered.Load():
			loop.Sleep(ctx, registeredPollInterval)
			continue
		case !n.isBootstrapPeer() || !n.daemonFollower.Loaded():
			loop.Sleep(ctx, registerPollInterval)
			continue
		}
		err := feed.AppendWithTimeout(ctx, n.deps.Log, n.topics.Daemons, n.config.Name, value, nil)
		if err == nil {
			n.log.Info("own entry written")
			n.registered.Store(true)
			continue
		}
		n.log.Warn("could not write own entry", "err", err)
		loop.Sleep(ctx, registerRetryInterval)
	}
}

// writeStatus writes the phase of an order. The append is conditional on the position read so far,
// so that a daemon that was paused cannot overwrite a newer decision.
func (n *Node) writeStatus(ctx context.Context, o rollout.Order, p rollout.Phase, age time.Duration) error {
	key, value, err := n.deps.Codec.EncodeStatus(o, p, age)
	if err != nil {
		return err
	}
	at := n.statusFollower.Next()
	err = feed.AppendWithTimeout(ctx, n.deps.Log, n.topics.Status, key, value, &at)
	var conflict *feed.ConflictError
	if errors.As(err, &conflict) {
		// Make the follower read the conflicting record: until then every append fails.
		n.statusFollower.ObservePeerPosition(conflict.End)
	}
	return err
}
