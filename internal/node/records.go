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
	// readWait is how long a read waits for a record. Records are answered at
	// once, so this bounds only how long a connection that went silent hides
	// them from a daemon that hears of them from no other.
	readWait = 15 * time.Second
	// entryBatchDelay is the pause in which server entries gather: servers that
	// start or leave together write within a heartbeat. It is short against the
	// two seconds within which one that leaves must get nothing new.
	entryBatchDelay = 400 * time.Millisecond
	// slowReadWait is the same for topics whose age matters less.
	slowReadWait = 28 * time.Second
)

// initFollowers makes the followers of the store's topics. They are asked for how far
// they have read before they run.
func (n *Node) initFollowers(ctx context.Context) {
	add := func(about freshness.Subject, topic string, wait, gather time.Duration, apply func([]feed.Record, bool)) *feed.Follower {
		f := feed.New(&feed.Follower{
			Log: n.deps.Log, Topic: topic, MaxWait: wait, BatchDelay: gather, BootTime: n.deps.BootTime,
			Apply: apply, OnEraChange: func() { n.restored.mark(about) }, OnConfirmed: func(sent time.Duration) { n.confirmFromStore(about, sent) }, OnReadFailed: n.recordUnanswered, Logger: n.log,
			FetchTail: n.fetchRecords, ReadsLog: n.readsOperatorTopic, IsDesignatedReader: n.isReader, MaxStandbyBackoff: n.maxStandbyBackoff,
		})
		n.followers = append(n.followers, f)
		return f
	}
	n.operatorFollower = add(freshness.Configuration, n.topics.Operator, readWait, 0, n.applyOperatorRecords)
	servers := add(freshness.Servers, n.topics.Servers, readWait, entryBatchDelay, n.applyServerRecords)
	n.statusFollower = add(freshness.Rollouts, n.topics.Status, slowReadWait, 0, n.applyStatusRecords)
	n.daemonFollower = add(freshness.Daemons, n.topics.Daemons, slowReadWait, entryBatchDelay, n.applyDaemonRecords)
	for _, f := range n.followers[1:] {
		f.DependsOn, f.ReadsLog = n.operatorFollower, n.readsDependentTopics
	}
	for _, f := range []*feed.Follower{n.operatorFollower, servers} {
		f.OnApplied = func() { n.members.Broadcast(ctx) }
	}
	n.statusFollower.OnApplied = n.operatorFollower.OnApplied
	n.daemonFollower.Enabled = func() bool { return n.isBootstrapPeer() || n.isReader() }
}

// fetchRecords fetches records from a daemon that has read further.
func (n *Node) fetchRecords(ctx context.Context, topic string, from feed.Position) (feed.Tail, error) {
	return n.members.FetchRecords(ctx, topic, from, func(p gossip.Message) bool { return p.NextPosition(n.topicIndex(topic)) > from })
}

// topicIndex is a topic's place in pulses.
func (n *Node) topicIndex(topic string) int {
	return slices.IndexFunc(n.followers, func(f *feed.Follower) bool { return f.Topic == topic })
}

// recordsSince answers other daemons.
func (n *Node) recordsSince(topic string, from feed.Position) feed.Tail {
	for _, f := range n.followers {
		if f.Topic == topic {
			return f.TailFrom(from)
		}
	}
	return feed.Tail{Next: from}
}

// applyOperatorRecords takes the operator's records: configurations and roll-out orders.
func (n *Node) applyOperatorRecords(records []feed.Record, whole bool) {
	// Evacuations come first: with a configuration the daemon begins to serve.
	n.applyEvacuations(records, whole)
	for _, r := range records {
		if r.Value == nil {
			continue
		}
		in, err := n.deps.Codec.DecodeOperator(r)
		if err != nil {
			n.log.Error("record passed over, what it would change is kept", "key", r.Key, "at", r.At, "err", err)
			continue
		}
		if in.Table != nil && n.state.SetTable(in.Table) {
			n.log.Info("configuration in force", "version", in.Table.Version, "at", r.At)
		}
		if in.Order != nil {
			n.Relay.Rollouts.AddOrder(*in.Order)
		}
	}
}

// applyServerRecords takes the entries of backend servers.
func (n *Node) applyServerRecords(records []feed.Record, whole bool) {
	confirmed, known := n.state.ConfirmationAge(freshness.Servers)
	if known {
		// The last read that found nothing newer is the youngest proof that these
		// records were not there: they are late by its age at most.
		n.deps.Metrics.ReadDelay(freshness.Servers).RecordDuration(confirmed)
		n.detectOutageEnd(confirmed)
	}
	var ended []backend.Server
	restored := n.restored.consume(freshness.Servers)
	if restored {
		// What the copy lacks has two seconds to be written again, as after an outage.
		n.state.StoreRecovered()
	}
	n.state.UpdateServers(func(reg *backend.Registry, now time.Duration) {
		listed := map[string]bool{}
		for _, r := range records {
			listed[r.Key] = r.Value != nil
			if restored && n.isStaleEntry(reg, r, now) {
				continue
			}
			if run := n.applyServerRecord(reg, r, now, confirmed); run != nil {
				ended = append(ended, *run)
			}
		}
		if whole {
			reg.Retain(listed, now)
		}
	})
	for _, run := range ended {
		n.Relay.ServerRestarted(run)
	}
}

// isStaleEntry reports whether an entry of a store that came back from a copy says less than this
// daemon knows. A server that left would get requests again.
func (n *Node) isStaleEntry(reg *backend.Registry, r feed.Record, now time.Duration) bool {
	s, err := n.deps.Codec.DecodeServer(r)
	if err != nil || !reg.Stale(s, now) {
		return false
	}
	n.log.Info("server entry of a copy passed over", "server", s.Incarnation.ID(), "leaving", s.Leaving, "at", r.At)
	return true
}

// applyServerRecord takes one entry and returns the run that it tells to have ended. Confirmed is the
// age of the newest confirmation of the entries before it.
func (n *Node) applyServerRecord(reg *backend.Registry, r feed.Record, now, confirmed time.Duration) *backend.Server {
	old, known, usable := reg.Get(r.Key, now)
	if r.Value == nil {
		if known {
			n.log.Info("server entry gone", "server", old.ID, "service", old.Service, "was_leaving", old.Leaving, "at", r.At, "confirmed_ms", confirmed.Milliseconds())
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
	if !known || !usable || ended != nil || old.Leaving != s.Leaving || old.Address != s.Address || s.WarmupRemaining > 0 && old.WarmupRemaining == 0 {
		n.log.Info("server entry", "server", s.Incarnation.ID(), "service", s.Service, "address", s.Address, "version", s.Version, "leaving", s.Leaving, "warming_ms", s.WarmupRemaining.Milliseconds(), "started_again", ended != nil, "at", r.At, "confirmed_ms", confirmed.Milliseconds())
	}
	return ended
}

// reportInvalidEntry counts an entry that names no server to use, and logs it when it has turned bad
// or is bad in another way: its writer may repeat it with each heartbeat.
func (n *Node) reportInvalidEntry(r feed.Record, err error) {
	fault := backend.InvalidReasonOf(err)
	n.deps.Metrics.BadServerEntries(fault).Inc(1)
	if n.invalidEntries.record(r.Key, fault) {
		n.log.Error("server entry names no server to use", "server", r.Key, "at", r.At, "fault", fault, "err", err)
	}
}

// applyStatusRecords takes how far roll-outs have come.
func (n *Node) applyStatusRecords(records []feed.Record, _ bool) {
	if n.restored.consume(freshness.Rollouts) {
		n.Relay.Rollouts.StoreRestored()
	}
	for _, r := range records {
		if r.Value == nil {
			continue
		}
		s, about, err := n.deps.Codec.DecodeStatus(r)
		if err != nil {
			n.log.Error("status passed over", "key", r.Key, "at", r.At, "err", err)
			continue
		}
		if about {
			n.Relay.Rollouts.ApplyStoredPhase(relay.StoredPhase{Service: s.Service, Target: s.Target, OrderOffset: s.OrderOffset, Phase: s.Phase, OrderAge: s.OrderAge})
		}
	}
}

// applyDaemonRecords takes the entries of other daemons, and what the store says of held requests.
func (n *Node) applyDaemonRecords(records []feed.Record, _ bool) {
	if n.restored.consume(freshness.Daemons) {
		// What the copy lacks is written again.
		n.registered.Store(false)
		n.storedHolds.reset()
	}
	for _, r := range records {
		h, about, err := n.deps.Codec.DecodeHold(r)
		switch {
		case err != nil:
			n.log.Error("held request passed over", "key", r.Key, "at", r.At, "err", err)
			continue
		case about:
			n.applyHold(h)
			continue
		case r.Value == nil:
			continue
		}
		control, err := n.deps.Codec.DecodeDaemon(r)
		if err != nil {
			n.log.Error("daemon entry passed over", "daemon", r.Key, "err", err)
			continue
		}
		if r.Key == n.config.Name && control == n.config.ControlAddress {
			n.registered.Store(true)
		}
		n.members.AddAddresses(control)
	}
}

const (
	// registerRetryInterval is the pause between tries to write the daemon's own entry, enrollLook
	// and enrolledLook how often it is looked at whether that is this daemon's to do
	// while there is none, and while there is one, which a store that comes back from an
	// older copy may have lost.
	registerRetryInterval  = 500 * time.Millisecond
	registerPollInterval   = 250 * time.Millisecond
	registeredPollInterval = 2 * time.Second
)

// maintainRegistration writes where this daemon is, for those that know nobody, once it is one of the
// contacts.
func (n *Node) maintainRegistration(ctx context.Context) {
	value, err := n.deps.Codec.EncodeDaemon(n.config.ControlAddress)
	if err != nil {
		n.log.Error("own entry", "err", err)
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
		n.log.Warn("own entry not written", "err", err)
		loop.Sleep(ctx, registerRetryInterval)
	}
}

// writeStatus writes the phase of an order, on condition that no daemon wrote any
// status meanwhile: one that was paused while it decided must not undo what another
// has decided since.
func (n *Node) writeStatus(ctx context.Context, o rollout.Order, p rollout.Phase, since time.Duration) error {
	key, value, err := n.deps.Codec.EncodeStatus(o, p, since)
	if err != nil {
		return err
	}
	at := n.statusFollower.Next()
	err = feed.AppendWithTimeout(ctx, n.deps.Log, n.topics.Status, key, value, &at)
	var conflict *feed.ConflictError
	if errors.As(err, &conflict) {
		// The reading hangs if it does not tell by itself what another daemon wrote;
		// every further try would be refused like this one.
		n.statusFollower.ObservePeerPosition(conflict.End)
	}
	return err
}
