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
	// firstPause and longestPause are between tries while the store does not
	// answer: short, because what changed meanwhile must be in force within
	// seconds of its return.
	firstPause   = 60 * time.Millisecond
	longestPause = 400 * time.Millisecond
	// longestAlonePause is the longest of a follower that reads what no other passes on: it
	// may be served again while the others always were.
	longestAlonePause = 1500 * time.Millisecond
	// firstIdlePause is the shortest for a follower that reads the log only because nobody
	// else can: those that always read it learn first that it is back, and tell. Its first
	// pause is at least a part of its longest, so that few tries come before that.
	firstIdlePause = time.Second
	firstIdlePart  = 4
)

// Follower reads a topic from its newest state on.
type Follower struct {
	Log   Log
	Topic string
	// MaxWait is how long a read waits for a record.
	MaxWait time.Duration
	// BatchDelay is the pause after a read that brought records: records that come in
	// a burst are then read together instead of one a call.
	BatchDelay time.Duration
	// BootTime reads a clock that counts while the VM is suspended.
	BootTime func() time.Duration
	// Apply takes records in the order of the log. Whole says that they are all
	// keys there are.
	Apply func(records []Record, whole bool)
	// OnEraChange is told before Apply if the records are the first of a later era of the
	// store: it has come back from an older copy.
	OnEraChange func()
	// OnConfirmed is told when a read that found the follower current was sent.
	OnConfirmed func(sent time.Duration)
	// OnReadFailed is told when a read got no answer.
	OnReadFailed func()
	Logger       *log.Logger
	// FetchTail fetches records that another reader has, from an offset on, with how far
	// it has read. It is used while ReadsLog says no; a nil Peer reads the log
	// always. One reader that waits on the log is enough for many followers, and
	// every call of the log is paid for.
	FetchTail func(ctx context.Context, topic string, from Position) (Tail, error)
	ReadsLog  func() bool
	// IsDesignatedReader reports whether this follower always reads the log, for others too. Nil
	// is yes. IdlePause is the longest pause between the tries of one that does not.
	IsDesignatedReader func() bool
	MaxStandbyBackoff  func() time.Duration
	// Enabled reports whether the topic is to be read at all; it is asked now and then until
	// it says yes. Nil is yes.
	Enabled func() bool
	// OnApplied is told when records were applied.
	OnApplied func()
	// DependsOn is another follower of the same log. While it gets no answer, this
	// one does not ask either: one that knocks is enough to learn that the log
	// is back, and every refused call is paid for.
	DependsOn *Follower

	next   atomic.Uint64
	loaded atomic.Bool
	fails  int
	lostAt time.Duration
	// hurry says that the last read was given up although the log answers others: the
	// next one does not wait. Only Run uses it.
	hurry bool
	// away says that the last read failed.
	away atomic.Bool

	mu sync.Mutex
	// kept are the newest records of each key, for others, removals included from wholeAt
	// on: the position up to which the newest records of all keys were read at once.
	kept    map[string]Record
	wholeAt Position
	// alone says that the log holds records that no other reader has told of.
	alone atomic.Bool
	// behind is signalled when another reader is ahead.
	behind chan struct{}
	// reading is the read that is going on, or nil.
	reading *reading
	// expected is how far another reader has come, and expectedAt since when
	// this one is known to be behind.
	expected   Position
	expectedAt time.Time
}

// New prepares a follower to be asked before it runs.
func New(f *Follower) *Follower {
	f.kept, f.behind = map[string]Record{}, make(chan struct{}, 1)
	return f
}

// apply hands records on and keeps them for others.
func (f *Follower) apply(records []Record, whole bool, next Position) {
	if before := f.Next(); f.OnEraChange != nil && before != 0 && next.Era() > before.Era() {
		f.OnEraChange()
	}
	f.Apply(records, whole)
	f.mu.Lock()
	if f.kept == nil || whole {
		f.kept = map[string]Record{}
	}
	if whole {
		f.wholeAt = next
	}
	for _, r := range records {
		f.kept[r.Key] = r
	}
	f.next.Store(uint64(next))
	if next >= f.expected {
		// Changes may follow each other faster than Check looks: being behind
		// anew is not being behind still.
		f.expectedAt = time.Time{}
	}
	f.mu.Unlock()
	if f.OnApplied != nil {
		f.OnApplied()
	}
}

// readable leaves out the records that cannot be read, with a line for each: each is read
// once.
func (f *Follower) readable(records []Record) []Record {
	out := make([]Record, 0, len(records))
	for _, r := range records {
		if r.Unreadable {
			f.Logger.Error("record passed over, it cannot be read", "topic", f.Topic, "at", r.At)
			continue
		}
		out = append(out, r)
	}
	return out
}

// Next returns the position of the next record to read. A conditional append there
// succeeds only if the follower has seen all that decided it.
func (f *Follower) Next() Position { return Position(f.next.Load()) }

// Unavailable reports whether the log did not answer the last read, and is being asked again.
func (f *Follower) Unavailable() bool { return f.away.Load() }

// Loaded reports whether the newest records have been read once.
func (f *Follower) Loaded() bool { return f.loaded.Load() }

// Run follows the topic until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for f.Enabled != nil && !f.Enabled() && ctx.Err() == nil {
		loop.Pause(ctx, wantedStep)
	}
	for ctx.Err() == nil {
		f.fromPeers(ctx)
		before := f.Next()
		err := f.step(ctx)
		alone := f.alone.Swap(false)
		f.hurry = errors.Is(err, errBehind)
		if f.hurry {
			// The log may answer all others and not this follower.
			f.catchUp(ctx)
			continue
		}
		if err != nil {
			f.rest(ctx, f.failed(ctx, err), alone)
			f.await(ctx)
		} else if f.Next() != before {
			loop.Pause(ctx, f.BatchDelay)
		}
	}
}

// rest pauses after a read that failed. A follower that stands in for those that always
// read goes on taking what others have, and ends its pause when it is no longer needed, or
// has become one of those itself: it would else sleep through a change after the log is
// back, for as long as its pauses have to be long.
//
// One that read alone, for records that no other reader passes on, is needed still.
func (f *Follower) rest(ctx context.Context, pause time.Duration, alone bool) {
	backup := f.isBackup() && !alone
	if alone {
		pause = min(pause, longestAlonePause)
	}
	for end := time.Now().Add(pause); ctx.Err() == nil && time.Now().Before(end); {
		loop.Pause(ctx, min(peerEvery, time.Until(end)))
		f.catchUp(ctx)
		if backup && (f.IsDesignatedReader() || f.loaded.Load() && !f.ReadsLog()) {
			return
		}
	}
}

// isBackup reports whether the follower reads the log only because nobody else can.
func (f *Follower) isBackup() bool { return f.IsDesignatedReader != nil && !f.IsDesignatedReader() }

// wantedStep is how often it is asked whether the topic is to be read.
const wantedStep = 250 * time.Millisecond

// await waits while the follower that this one goes after gets no answer.
func (f *Follower) await(ctx context.Context) {
	if f.DependsOn != nil && f.DependsOn.away.Load() {
		f.Logger.Info("reading waits for another reading", "topic", f.Topic, "next", f.Next(), "other", f.DependsOn.Topic)
	}
	for f.DependsOn != nil && f.DependsOn.away.Load() && ctx.Err() == nil {
		loop.Pause(ctx, awaitStep)
		f.catchUp(ctx)
	}
}

// awaitStep is how often it is looked at: short against what a change may take
// to be in force.
const awaitStep = 50 * time.Millisecond

func (f *Follower) failed(ctx context.Context, err error) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	f.fails++
	f.away.Store(true)
	if f.OnReadFailed != nil {
		f.OnReadFailed()
	}
	if f.fails == 1 {
		f.lostAt = f.BootTime()
		f.Logger.Warn("store lost", "topic", f.Topic, "next", f.Next(), "err", err)
	}
	first, longest := firstPause, longestPause
	if f.isBackup() {
		longest = f.MaxStandbyBackoff()
		first = max(firstIdlePause, longest/firstIdlePart)
	}
	return min(first<<min(f.fails-1, maxDoublings), longest)
}

// maxDoublings keeps the pause in range; the longest one is reached before it.
const maxDoublings = 6

// step reads once.
func (f *Follower) step(ctx context.Context) error {
	sent := f.BootTime()
	if !f.loaded.Load() {
		return f.load(ctx, sent)
	}
	wait := f.MaxWait
	if f.hurry {
		wait = 0
	}
	if f.away.Load() {
		// Without a change to tell, the log would answer only when the wait is over:
		// until then nobody would know that it is back, and keys were not trusted.
		wait = 0
		f.noteRetry()
	}
	records, end, err := f.read(ctx, wait)
	if errors.Is(err, ErrCompacted) || errors.Is(err, ErrEraChanged) {
		f.Logger.Warn("reading the newest of each key", "topic", f.Topic, "next", f.Next(), "why", err)
		f.loaded.Store(false)
		return f.load(ctx, sent)
	}
	if err != nil {
		return err
	}
	if end < f.Next() {
		f.Logger.Error("the topic ends before what was read, reading it anew", "topic", f.Topic, "next", f.Next(), "end", end)
		f.loaded.Store(false)
		return nil
	}
	f.answered()
	if len(records) > 0 {
		f.apply(f.readable(records), false, records[len(records)-1].At.Next())
	}
	if f.Next() >= end {
		f.OnConfirmed(sent)
	}
	return nil
}

// read asks the log for the records from the next one on.
func (f *Follower) read(ctx context.Context, wait time.Duration) ([]Record, Position, error) {
	ctx, done := f.begin(ctx, wait)
	defer done()
	records, end, err := f.Log.Read(ctx, f.Topic, f.Next(), wait, f.heard)
	return records, end, reason(ctx, err)
}

// newest asks the log for the newest record of each key.
func (f *Follower) newest(ctx context.Context) ([]Record, Position, error) {
	ctx, done := f.begin(ctx, 0)
	defer done()
	records, end, err := f.Log.Newest(ctx, f.Topic, f.heard)
	return records, end, reason(ctx, err)
}

// noteRetry logs a read after a failed one: the first, and then each time that their
// number has doubled.
func (f *Follower) noteRetry() {
	if f.fails&(f.fails-1) == 0 {
		f.Logger.Info("reading anew", "topic", f.Topic, "next", f.Next(), "failed_reads", f.fails, "limit_ms", answerLimit.Milliseconds())
	}
}

func (f *Follower) load(ctx context.Context, sent time.Duration) error {
	records, end, err := f.newest(ctx)
	if err != nil {
		return err
	}
	f.answered()
	f.apply(f.readable(records), true, end)
	f.loaded.Store(true)
	f.OnConfirmed(sent)
	return nil
}

func (f *Follower) answered() {
	if f.fails > 0 || !f.loaded.Load() {
		away := f.BootTime() - f.lostAt
		f.Logger.Info("store answers", "topic", f.Topic, "next", f.Next(), "failed_reads", f.fails, "away_ms", away.Milliseconds())
	}
	f.fails = 0
	f.away.Store(false)
}
