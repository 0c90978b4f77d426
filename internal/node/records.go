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
	// storeWait is how long a read waits for a record. Records are answered at
	// once, so this bounds only how long a connection that went silent hides
	// them from a daemon that hears of them from no other.
	storeWait = 15 * time.Second
	// serversGather is the pause in which server entries gather: servers that
	// start or leave together write within a heartbeat. It is short against the
	// two seconds within which one that leaves must get nothing new.
	serversGather = 400 * time.Millisecond
	// quietWait is the same for topics whose age matters less.
	quietWait = 28 * time.Second
)

// prepare makes the followers of the store's topics. They are asked for how far
// they have read before they run.
func (n *Node) prepare(ctx context.Context) {
	add := func(about freshness.Subject, topic string, wait, gather time.Duration, apply func([]feed.Record, bool)) *feed.Follower {
		f := feed.New(&feed.Follower{
			Log: n.ports.Log, Topic: topic, MaxWait: wait, BatchDelay: gather, BootTime: n.ports.BootTime,
			Apply: apply, OnEraChange: func() { n.returned.note(about) }, OnConfirmed: func(sent time.Duration) { n.confirm(about, sent) }, OnReadFailed: n.noteUnanswered, Logger: n.log,
			FetchTail: n.recordsOf, ReadsLog: n.readsStore, IsDesignatedReader: n.reader, MaxStandbyBackoff: n.idlePause,
		})
		n.followers = append(n.followers, f)
		return f
	}
	n.operators = add(freshness.Configuration, n.topics.Operator, storeWait, 0, n.operator)
	servers := add(freshness.Servers, n.topics.Servers, storeWait, serversGather, n.servers)
	n.statuses = add(freshness.Rollouts, n.topics.Status, quietWait, 0, n.status)
	n.others = add(freshness.Daemons, n.topics.Daemons, quietWait, serversGather, n.entries)
	for _, f := range n.followers[1:] {
		f.DependsOn, f.ReadsLog = n.operators, n.readsBeside
	}
	for _, f := range []*feed.Follower{n.operators, servers} {
		f.OnApplied = func() { n.members.Broadcast(ctx) }
	}
	n.statuses.OnApplied = n.operators.OnApplied
	n.others.Enabled = func() bool { return n.contact() || n.reader() }
}

// recordsOf fetches records from a daemon that has read further.
func (n *Node) recordsOf(ctx context.Context, topic string, from feed.Position) (feed.Tail, error) {
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

// operator takes the operator's records: configurations and roll-out orders.
func (n *Node) operator(records []feed.Record, whole bool) {
	// Evacuations come first: with a configuration the daemon begins to serve.
	n.evacuations(records, whole)
	for _, r := range records {
		if r.Value == nil {
			continue
		}
		in, err := n.ports.Codec.Operator(r)
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

// servers takes the entries of backend servers.
func (n *Node) servers(records []feed.Record, whole bool) {
	confirmed, known := n.state.ConfirmationAge(freshness.Servers)
	if known {
		// The last read that found nothing newer is the youngest proof that these
		// records were not there: they are late by its age at most.
		n.ports.Metrics.ReadDelay(freshness.Servers).RecordDuration(confirmed)
		n.noteGap(confirmed)
	}
	var ended []backend.Server
	restored := n.returned.take(freshness.Servers)
	if restored {
		// What the copy lacks has two seconds to be written again, as after an outage.
		n.state.StoreRecovered()
	}
	n.state.UpdateServers(func(reg *backend.Registry, now time.Duration) {
		listed := map[string]bool{}
		for _, r := range records {
			listed[r.Key] = r.Value != nil
			if restored && n.passedOver(reg, r, now) {
				continue
			}
			if run := n.server(reg, r, now, confirmed); run != nil {
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

// passedOver reports whether an entry of a store that came back from a copy says less than this
// daemon knows. A server that left would get requests again.
func (n *Node) passedOver(reg *backend.Registry, r feed.Record, now time.Duration) bool {
	s, err := n.ports.Codec.Server(r)
	if err != nil || !reg.Stale(s, now) {
		return false
	}
	n.log.Info("server entry of a copy passed over", "server", s.Incarnation.ID(), "leaving", s.Leaving, "at", r.At)
	return true
}

// server takes one entry and returns the run that it tells to have ended. Confirmed is the
// age of the newest confirmation of the entries before it.
func (n *Node) server(reg *backend.Registry, r feed.Record, now, confirmed time.Duration) *backend.Server {
	old, known, usable := reg.Get(r.Key, now)
	if r.Value == nil {
		if known {
			n.log.Info("server entry gone", "server", old.ID, "service", old.Service, "was_leaving", old.Leaving, "at", r.At, "confirmed_ms", confirmed.Milliseconds())
		}
		n.faults.clear(r.Key)
		reg.Remove(r.Key, now)
		return nil
	}
	s, err := n.ports.Codec.Server(r)
	if err != nil {
		reg.MarkUnusable(r.Key)
		n.badEntry(r, err)
		return nil
	}
	if s.WarmupRemaining > 0 {
		s.WarmAt = now + s.WarmupRemaining
	}
	ended, err := reg.Put(s)
	if err != nil {
		n.badEntry(r, err)
		return nil
	}
	n.faults.clear(r.Key)
	if !known || !usable || ended != nil || old.Leaving != s.Leaving || old.Address != s.Address || s.WarmupRemaining > 0 && old.WarmupRemaining == 0 {
		n.log.Info("server entry", "server", s.Incarnation.ID(), "service", s.Service, "address", s.Address, "version", s.Version, "leaving", s.Leaving, "warming_ms", s.WarmupRemaining.Milliseconds(), "started_again", ended != nil, "at", r.At, "confirmed_ms", confirmed.Milliseconds())
	}
	return ended
}

// badEntry counts an entry that names no server to use, and logs it when it has turned bad
// or is bad in another way: its writer may repeat it with each heartbeat.
func (n *Node) badEntry(r feed.Record, err error) {
	fault := backend.InvalidReasonOf(err)
	n.ports.Metrics.BadServerEntries(fault).Inc(1)
	if n.faults.note(r.Key, fault) {
		n.log.Error("server entry names no server to use", "server", r.Key, "at", r.At, "fault", fault, "err", err)
	}
}

// status takes how far roll-outs have come.
func (n *Node) status(records []feed.Record, _ bool) {
	if n.returned.take(freshness.Rollouts) {
		n.Relay.Rollouts.StoreRestored()
	}
	for _, r := range records {
		if r.Value == nil {
			continue
		}
		s, about, err := n.ports.Codec.Status(r)
		if err != nil {
			n.log.Error("status passed over", "key", r.Key, "at", r.At, "err", err)
			continue
		}
		if about {
			n.Relay.Rollouts.ApplyStoredPhase(relay.StoredPhase{Service: s.Service, Target: s.Target, OrderOffset: s.OrderOffset, Phase: s.Phase, OrderAge: s.OrderAge})
		}
	}
}

// entries takes the entries of other daemons, and what the store says of held requests.
func (n *Node) entries(records []feed.Record, _ bool) {
	if n.returned.take(freshness.Daemons) {
		// What the copy lacks is written again.
		n.enrolled.Store(false)
		n.stored.forget()
	}
	for _, r := range records {
		h, about, err := n.ports.Codec.Held(r)
		switch {
		case err != nil:
			n.log.Error("held request passed over", "key", r.Key, "at", r.At, "err", err)
			continue
		case about:
			n.takeHeld(h)
			continue
		case r.Value == nil:
			continue
		}
		control, err := n.ports.Codec.Daemon(r)
		if err != nil {
			n.log.Error("daemon entry passed over", "daemon", r.Key, "err", err)
			continue
		}
		if r.Key == n.config.Name && control == n.config.ControlAddress {
			n.enrolled.Store(true)
		}
		n.members.AddAddresses(control)
	}
}

const (
	// enrollRetry is the pause between tries to write the daemon's own entry, enrollLook
	// and enrolledLook how often it is looked at whether that is this daemon's to do
	// while there is none, and while there is one, which a store that comes back from an
	// older copy may have lost.
	enrollRetry  = 500 * time.Millisecond
	enrollLook   = 250 * time.Millisecond
	enrolledLook = 2 * time.Second
)

// enroll writes where this daemon is, for those that know nobody, once it is one of the
// contacts.
func (n *Node) enroll(ctx context.Context) {
	value, err := n.ports.Codec.EncodeDaemon(n.config.ControlAddress)
	if err != nil {
		n.log.Error("own entry", "err", err)
		return
	}
	for ctx.Err() == nil {
		switch {
		case n.enrolled.Load():
			loop.Pause(ctx, enrolledLook)
			continue
		case !n.contact() || !n.others.Loaded():
			loop.Pause(ctx, enrollLook)
			continue
		}
		err := feed.AppendWithTimeout(ctx, n.ports.Log, n.topics.Daemons, n.config.Name, value, nil)
		if err == nil {
			n.log.Info("own entry written")
			n.enrolled.Store(true)
			continue
		}
		n.log.Warn("own entry not written", "err", err)
		loop.Pause(ctx, enrollRetry)
	}
}

// writeStatus writes the phase of an order, on condition that no daemon wrote any
// status meanwhile: one that was paused while it decided must not undo what another
// has decided since.
func (n *Node) writeStatus(ctx context.Context, o rollout.Order, p rollout.Phase, since time.Duration) error {
	key, value, err := n.ports.Codec.EncodeStatus(o, p, since)
	if err != nil {
		return err
	}
	at := n.statuses.Next()
	err = feed.AppendWithTimeout(ctx, n.ports.Log, n.topics.Status, key, value, &at)
	var conflict *feed.ConflictError
	if errors.As(err, &conflict) {
		// The reading hangs if it does not tell by itself what another daemon wrote;
		// every further try would be refused like this one.
		n.statuses.ObservePeerPosition(conflict.End)
	}
	return err
}
