package feed

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/damaskrudder/damaskrudder/internal/loop"
)

const (
	// initialBackoff and maxBackoff bound the pauses between reads while the store does
	// not respond. They are short, so that missed changes are applied soon after recovery.
	initialBackoff = 60 * time.Millisecond
	maxBackoff     = 400 * time.Millisecond
	// maxSoleReaderBackoff is the maximum for a follower whose records cannot be fetched
	// from peers, since it does not learn of the recovery from them.
	maxSoleReaderBackoff = 1500 * time.Millisecond
	// minStandbyBackoff is the minimum for a standby follower, which learns of the
	// recovery from designated readers. Its initial backoff is at least the maximum
	// divided by standbyBackoffDivisor.
	minStandbyBackoff     = time.Second
	standbyBackoffDivisor = 4
)

// Follower loads the newest records of a topic and follows its changes.
type Follower struct {
	Log   Log
	Topic string
	// MaxWait is how long a read waits for a record.
	MaxWait time.Duration
	// BatchDelay is the pause after a read that returned records, so that a burst is read
	// in few calls.
	BatchDelay time.Duration
	// BootTime reads a monotonic clock that also counts while the VM is suspended.
	BootTime func() time.Duration
	// Apply is called with records in log order. Snapshot reports that they hold all keys
	// of the topic.
	Apply func(records []Record, snapshot bool)
	// OnEraChange is called before Apply if the records are the first of a later era.
	OnEraChange func()
	// OnConfirmed is called after a read that found the follower current, with the BootTime
	// at which the read was sent.
	OnConfirmed func(sentAt time.Duration)
	// OnReadFailed is called when a read fails.
	OnReadFailed func()
	Logger       *log.Logger
	// FetchTail fetches records from another reader, from a position on. It is used while
	// ReadsLog returns false, which saves calls of the log. If nil, the follower always
	// reads the log.
	FetchTail func(ctx context.Context, topic string, from Position) (Tail, error)
	ReadsLog  func() bool
	// FetchSnapshot fetches all records of the topic from another reader. It is used for a
	// large topic while ReadsLog returns false. If nil, the log is read.
	FetchSnapshot func(ctx context.Context, topic string) (Tail, error)
	// MayBeLarge reports that the topic may have more records than one call returns.
	MayBeLarge bool
	// IsDesignatedReader reports whether this follower always reads the log, on behalf of
	// others too; nil means yes. MaxStandbyBackoff is the maximum backoff of one that
	// does not.
	IsDesignatedReader func() bool
	MaxStandbyBackoff  func() time.Duration
	// NewestSuffices reports that intermediate records of a key need not be applied. A follower that
	// lacks more than maxTailRecords then reads the newest record of each key instead of all.
	NewestSuffices bool
	// Enabled reports whether to follow the topic; it is polled until it returns true. Nil
	// means yes.
	Enabled func() bool
	// OnApplied is called after records were applied.
	OnApplied func()
	// MaxLag returns the time without progress after which a follower of peers that is behind them
	// reads the log. Nil means lagTimeout.
	MaxLag func() time.Duration
	// DependsOn is another follower of the same log. While its reads fail, this one does
	// not read either, which saves calls that would fail.
	DependsOn *Follower

	next     atomic.Uint64
	loaded   atomic.Bool
	failures int
	// lastFailure is the error of the last failed read. Only Run uses it.
	lastFailure      error
	unavailableSince time.Duration
	// skipWait makes the next read return at once, after an abandoned one. Only Run uses it.
	skipWait bool
	// unavailable reports that the last read failed.
	unavailable atomic.Bool
	// failedFetches is the number of fetches from other readers that brought nothing since the last
	// line on them, which was written at fetchLoggedAt.
	failedFetches int
	fetchLoggedAt time.Time

	mu sync.Mutex
	// records holds the newest record of each key, for other readers.
	records *recordLog
	// mustReadLog reports that the log holds records that cannot be fetched from peers.
	mustReadLog atomic.Bool
	// peerAhead is signalled when another reader is ahead.
	peerAhead chan struct{}
	// currentRead is the pending read, or nil.
	currentRead *pendingRead
	// cancelFetch ends the pending fetch from another reader; nil if there is none.
	cancelFetch context.CancelFunc
	// peerPosition is the furthest known position of another reader, and behindSince is
	// when this follower fell behind it, or zero.
	peerPosition Position
	behindSince  time.Time
	// skippedTo is the known end of the topic for which the newest records were last read. Only Run
	// uses it.
	skippedTo Position
}

// New initializes a follower, so that its methods can be called before Run.
func New(f *Follower) *Follower {
	f.records, f.peerAhead = newRecordLog(), make(chan struct{}, 1)
	return f
}

// apply applies records and retains them for other readers.
func (f *Follower) apply(records []Record, snapshot bool, next Position) {
	if before := f.Next(); f.OnEraChange != nil && before != 0 && next.Era() > before.Era() {
		f.OnEraChange()
	}
	f.Apply(records, snapshot)
	f.mu.Lock()
	if f.records == nil {
		f.records = newRecordLog()
	}
	if snapshot {
		f.records.reset(records, next)
	} else {
		f.records.add(records)
	}
	f.next.Store(uint64(next))
	// Lags of different changes do not add up, also if the follower is never current
	// because changes follow each other faster than they spread.
	f.behindSince = time.Time{}
	if next < f.peerPosition {
		f.behindSince = time.Now()
	}
	f.mu.Unlock()
	if f.OnApplied != nil {
		f.OnApplied()
	}
}

// dropUnreadable removes unreadable records and logs each of them.
func (f *Follower) dropUnreadable(records []Record) []Record {
	out := make([]Record, 0, len(records))
	for _, r := range records {
		if r.Unreadable {
			f.Logger.Error("skipping unreadable record", "topic", f.Topic, "at", r.At)
			continue
		}
		out = append(out, r)
	}
	return out
}

// Next returns the position of the next record to read. A conditional append at it succeeds
// only if the follower has read all records.
func (f *Follower) Next() Position { return Position(f.next.Load()) }

// Unavailable reports whether the last read of the log failed.
func (f *Follower) Unavailable() bool { return f.unavailable.Load() }

// Loaded reports whether a snapshot of the topic has been loaded.
func (f *Follower) Loaded() bool { return f.loaded.Load() }

// Run follows the topic until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for f.Enabled != nil && !f.Enabled() && ctx.Err() == nil {
		loop.Sleep(ctx, enabledPollInterval)
	}
	for ctx.Err() == nil {
		f.followPeers(ctx)
		before := f.Next()
		err := f.readOnce(ctx)
		soleReader := f.mustReadLog.Swap(false)
		f.skipWait = errors.Is(err, errReadAbandoned)
		if f.skipWait {
			// The log may respond to other readers only.
			f.catchUp(ctx)
			continue
		}
		if err != nil {
			f.backOff(ctx, f.recordFailure(ctx, err), soleReader)
			f.awaitDependency(ctx)
		} else if f.Next() != before {
			loop.Sleep(ctx, f.BatchDelay)
		}
	}
}

// backOff pauses after a failed read, and keeps fetching from peers. A standby follower
// returns early when it no longer has to read the log or becomes a designated reader, as its
// pauses are long. A sole reader always has to read the log. A follower that has loaded nothing
// returns as soon as it has a snapshot of a peer.
func (f *Follower) backOff(ctx context.Context, pause time.Duration, soleReader bool) {
	standby := f.isStandby() && !soleReader
	if soleReader {
		pause = min(pause, maxSoleReaderBackoff)
	}
	for deadline := time.Now().Add(pause); ctx.Err() == nil && time.Now().Before(deadline); {
		loop.Sleep(ctx, min(peerPollInterval, time.Until(deadline)))
		if f.FetchSnapshot != nil && !f.loaded.Load() && f.fetchSnapshot(ctx) {
			return
		}
		f.catchUp(ctx)
		if standby && (f.IsDesignatedReader() || f.loaded.Load() && !f.ReadsLog()) {
			return
		}
	}
}

// isStandby reports whether the follower reads the log only if designated readers cannot.
func (f *Follower) isStandby() bool { return f.IsDesignatedReader != nil && !f.IsDesignatedReader() }

// enabledPollInterval is the period of polling Enabled.
const enabledPollInterval = 250 * time.Millisecond

// awaitDependency waits while the reads of the follower in DependsOn fail.
func (f *Follower) awaitDependency(ctx context.Context) {
	if f.DependsOn != nil && f.DependsOn.unavailable.Load() {
		f.Logger.Info("waiting for another follower", "topic", f.Topic, "next", f.Next(), "other", f.DependsOn.Topic)
	}
	for f.DependsOn != nil && f.DependsOn.unavailable.Load() && ctx.Err() == nil {
		loop.Sleep(ctx, dependencyPollInterval)
		f.catchUp(ctx)
	}
}

// dependencyPollInterval is the period of checking the follower in DependsOn.
const dependencyPollInterval = 50 * time.Millisecond

// recordFailure records a failed read and returns the pause before the next one.
func (f *Follower) recordFailure(ctx context.Context, err error) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	f.failures++
	f.lastFailure = err
	f.unavailable.Store(true)
	if f.OnReadFailed != nil {
		f.OnReadFailed()
	}
	if f.failures == 1 {
		f.unavailableSince = f.BootTime()
		f.Logger.Warn("store lost", "topic", f.Topic, "next", f.Next(), "err", err)
	}
	initial, limit := initialBackoff, maxBackoff
	if f.isStandby() {
		limit = f.MaxStandbyBackoff()
		initial = max(minStandbyBackoff, limit/standbyBackoffDivisor)
	}
	return min(initial<<min(f.failures-1, maxDoublings), limit)
}

// maxDoublings keeps the backoff from overflowing.
const maxDoublings = 6

// readOnce performs one read and applies its records.
func (f *Follower) readOnce(ctx context.Context) error {
	sentAt := f.BootTime()
	if !f.loaded.Load() {
		return f.loadSnapshot(ctx, sentAt)
	}
	if f.unavailable.Load() {
		f.logRetry()
		if current, err := f.observeEnd(ctx); err != nil || current {
			f.confirmIf(current, sentAt)
			return err
		}
	}
	if target := f.distantEnd(); target != 0 {
		return f.skipTo(ctx, target, sentAt)
	}
	records, end, err := f.read(ctx, f.readWait())
	if errors.Is(err, ErrCompacted) || errors.Is(err, ErrEraChanged) {
		f.Logger.Warn("loading the newest record of each key", "topic", f.Topic, "next", f.Next(), "why", err)
		f.loaded.Store(false)
		return f.loadSnapshot(ctx, sentAt)
	}
	if err != nil {
		return err
	}
	f.applyRead(records, end, sentAt)
	return nil
}

// readWait returns how long the next read waits for a record. After a failure, a waiting read would not
// reveal the recovery until a change or the end of the wait.
func (f *Follower) readWait() time.Duration {
	if f.skipWait || f.unavailable.Load() {
		return 0
	}
	return f.MaxWait
}

// applyRead applies the result of a read that was sent at a time.
func (f *Follower) applyRead(records []Record, end Position, sentAt time.Duration) {
	if end < f.Next() {
		f.Logger.Error("topic ends before the last read position, loading it again", "topic", f.Topic, "next", f.Next(), "end", end)
		f.loaded.Store(false)
		return
	}
	f.recordSuccess()
	if len(records) > 0 {
		f.apply(f.dropUnreadable(records), false, records[len(records)-1].At.Next())
	}
	if f.Next() >= end {
		f.OnConfirmed(sentAt)
	}
}

// maxTailRecords is the number of records up to which a follower reads all that it lacks, if the
// newest ones suffice.
const maxTailRecords = 2

// observeEnd asks the log for the end of the topic if the newest records suffice, and reports whether
// the follower is current. After failed reads, it does not know how many records it lacks.
func (f *Follower) observeEnd(ctx context.Context) (current bool, err error) {
	if !f.NewestSuffices {
		return false, nil
	}
	ctx, done := f.beginRead(ctx, 0)
	defer done()
	end, err := f.Log.End(ctx, f.Topic)
	if err != nil {
		return false, wrapCause(ctx, err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observe(end)
	return end == f.Next(), nil
}

// confirmIf records a successful read that was sent at a time and found the follower current.
func (f *Follower) confirmIf(current bool, sentAt time.Duration) {
	if current {
		f.recordSuccess()
		f.OnConfirmed(sentAt)
	}
}

// distantEnd returns the known end of the topic if the newest record of each key is to be read
// instead of all records up to it, or zero. A restored log may not reach a known end again, so it is
// returned until it has been read for once.
func (f *Follower) distantEnd() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.NewestSuffices || f.peerPosition <= f.Next()+maxTailRecords || f.peerPosition == f.skippedTo {
		return 0
	}
	return f.peerPosition
}

// skipTo reads the newest record of each key because of a known end of the topic.
func (f *Follower) skipTo(ctx context.Context, end Position, sentAt time.Duration) error {
	f.Logger.Info("reading the newest record of each key", "topic", f.Topic, "next", f.Next(), "end", end)
	if err := f.loadSnapshot(ctx, sentAt); err != nil {
		return err
	}
	f.skippedTo = end
	return nil
}

// read reads the records from the next position on.
func (f *Follower) read(ctx context.Context, wait time.Duration) ([]Record, Position, error) {
	ctx, done := f.beginRead(ctx, wait)
	defer done()
	records, end, err := f.Log.Read(ctx, f.Topic, f.Next(), wait, f.noteProgress)
	return records, end, wrapCause(ctx, err)
}

// logRetry logs the first retry after a failure, and then each time that the number of
// failures has doubled.
func (f *Follower) logRetry() {
	if f.failures&(f.failures-1) == 0 {
		f.Logger.Info("retrying read", "topic", f.Topic, "next", f.Next(), "failed_reads", f.failures, "limit_ms", responseTimeout.Milliseconds(), "err", f.lastFailure)
	}
}

func (f *Follower) recordSuccess() {
	if f.failures > 0 || !f.loaded.Load() {
		outage := f.BootTime() - f.unavailableSince
		f.Logger.Info("store answers", "topic", f.Topic, "next", f.Next(), "failed_reads", f.failures, "away_ms", outage.Milliseconds())
	}
	f.failures = 0
	f.unavailable.Store(false)
}
