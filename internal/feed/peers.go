package feed

import (
	"context"
	"errors"
	"math"
	"slices"
	"time"
)

// This file detects that followers of the same topic in other daemons have read further, and
// fetches their records instead of reading the log.

// lagTimeout is how long a follower may lag behind another reader without progress before it
// abandons its pending read. A longer lag indicates a dead connection to the log.
const lagTimeout = 250 * time.Millisecond

// fetchTimeout bounds a fetch from one reader, whose calls have timeouts of their own.
const fetchTimeout = 5 * time.Second

// ObservePeerPosition reports that another reader has read up to a position.
func (f *Follower) ObservePeerPosition(next Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.observe(next) {
		return
	}
	select {
	case f.peerAhead <- struct{}{}:
	default:
	}
}

// observe records that the topic reaches a position, and reports whether that is new. Callers hold mu.
func (f *Follower) observe(end Position) bool {
	if end <= f.peerPosition {
		return false
	}
	f.peerPosition = end
	if f.behindSince.IsZero() {
		f.behindSince = time.Now()
		// The next periodic check may be later than this.
		time.AfterFunc(lagTimeout, func() { f.CheckLag(time.Now()) })
	}
	return true
}

// TailFrom returns the newest record of each key from a position on, sorted by position. If
// the position precedes the last snapshot, the tail is empty: the snapshot omits removed
// keys, so the removals before it would be lost. A position of an earlier era, or of a topic whose
// newest records suffice, gets a full snapshot instead.
func (f *Follower) TailFrom(from Position) Tail { return f.TailPage(from, false, math.MaxInt) }

// TailPage returns the first part of TailFrom, up to a size in bytes, but at least one record. With
// snapshot, the part is of a snapshot whose earlier parts end at the position.
func (f *Follower) TailPage(from Position, snapshot bool, maxBytes int) Tail {
	f.mu.Lock()
	defer f.mu.Unlock()
	end := f.Next()
	switch {
	case !f.loaded.Load() && f.records.snapshotAt == 0 && snapshot:
		return Tail{Next: from}
	case from.Era() < f.records.snapshotAt.Era():
		from, snapshot = 0, true
	case from < f.records.snapshotAt && !snapshot && f.NewestSuffices:
		from, snapshot = 0, true
	case from < f.records.snapshotAt && !snapshot:
		return Tail{Next: from}
	}
	records, next, more := f.records.since(from, maxBytes)
	if snapshot {
		records = slices.DeleteFunc(records, func(r Record) bool { return r.Value == nil })
	}
	if !more {
		return Tail{Records: records, Next: end, End: end, Snapshot: snapshot}
	}
	return Tail{Records: records, Next: next, End: end, Snapshot: snapshot, More: true}
}

// Tail holds the newest record of each key from a position on, and the next position to
// read. Snapshot reports that it holds all keys of the topic, or a part of them. More reports that
// further parts follow, up to End.
type Tail struct {
	Records   []Record
	Next, End Position
	Snapshot  bool
	More      bool
}

// peerPollInterval is how often a follower of peers checks whether to read the log.
const peerPollInterval = 100 * time.Millisecond

// followPeers fetches records from peers until the log has to be read.
func (f *Follower) followPeers(ctx context.Context) {
	for f.FetchTail != nil && f.loaded.Load() && ctx.Err() == nil && !f.ReadsLog() && !f.mustReadLog.Load() {
		// This follower no longer checks the log, so those that depend on it must not
		// wait for it.
		f.unavailable.Store(false)
		f.catchUp(ctx)
		t := time.NewTimer(peerPollInterval)
		select {
		case <-ctx.Done():
		case <-f.peerAhead:
		case <-t.C:
		}
		t.Stop()
	}
}

// fetchFromPeer fetches and applies records of a peer. Errors are not retried here.
func (f *Follower) fetchFromPeer(ctx context.Context) {
	ctx, done := f.beginFetch(ctx)
	defer done()
	tail, err := f.FetchTail(ctx, f.Topic, f.Next())
	f.logFetch(tail, err)
	switch {
	case errors.Is(err, ErrTooLong):
		f.mustReadLog.Store(true)
	case err == nil && tail.Next > f.Next():
		f.apply(tail.Records, tail.Snapshot, tail.Next)
	}
}

// beginFetch starts a fetch from another reader. The caller must call the returned function at its
// end.
func (f *Follower) beginFetch(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelFetch = cancel
	return ctx, func() {
		cancel()
		f.mu.Lock()
		defer f.mu.Unlock()
		f.cancelFetch = nil
	}
}

// fetchLogInterval is the shortest time between two lines on fetches that brought nothing.
const fetchLogInterval = 5 * time.Second

// logFetch logs a fetch that failed or brought nothing, with the number of those since the last line.
func (f *Follower) logFetch(tail Tail, err error) {
	if err == nil && tail.Next > f.Next() {
		return
	}
	f.failedFetches++
	if time.Since(f.fetchLoggedAt) < fetchLogInterval {
		return
	}
	f.Logger.Info("no records from another reader", "topic", f.Topic, "next", f.Next(), "failed_fetches", f.failedFetches, "err", err)
	f.failedFetches, f.fetchLoggedAt = 0, time.Now()
}

// isBehind reports whether another reader has read further.
func (f *Follower) isBehind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peerPosition > f.Next()
}

// catchUp applies the records that peers have read beyond this follower. A follower that
// cannot reach the log uses it as well, to follow those that can.
func (f *Follower) catchUp(ctx context.Context) {
	for f.FetchTail != nil && f.loaded.Load() && f.isBehind() && ctx.Err() == nil {
		before := f.Next()
		f.fetchFromPeer(ctx)
		if f.Next() == before {
			return
		}
	}
}

// CheckLag makes a follower that lags for too long read the log, and abandons a stalled
// read, whose connection may be dead.
func (f *Follower) CheckLag(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.peerPosition <= f.Next() {
		f.behindSince = time.Time{}
		return
	}
	lag := now.Sub(f.behindSince)
	if lag < lagTimeout {
		return
	}
	if lag >= f.maxLag() {
		f.readLogInstead()
	}
	if f.currentRead == nil || !f.readStalled(now) {
		return
	}
	f.Logger.Warn("behind another reader, reading anew", "topic", f.Topic, "next", f.Next(), "other", f.peerPosition, "waited_ms", now.Sub(f.currentRead.startedAt).Milliseconds())
	f.currentRead.cancel(errReadAbandoned)
	f.behindSince = now
}

// readLogInstead makes the follower read the log, and ends a pending fetch from another reader unless
// the log does not answer. Callers hold mu.
func (f *Follower) readLogInstead() {
	f.mustReadLog.Store(true)
	if f.cancelFetch != nil && !f.unavailable.Load() {
		f.cancelFetch()
	}
}

// maxLag returns the lag after which to read the log.
func (f *Follower) maxLag() time.Duration {
	if f.MaxLag == nil {
		return lagTimeout
	}
	return f.MaxLag()
}

// readStalled reports whether the pending read should be abandoned: it began before the
// lag, or has not been answered within responseTimeout. A read whose response is arriving
// continues, or a long record over a slow link would be restarted forever. Callers hold mu.
func (f *Follower) readStalled(now time.Time) bool {
	if f.currentRead.responding {
		return false
	}
	return f.currentRead.startedAt.Before(f.behindSince) || now.Sub(f.currentRead.startedAt) >= responseTimeout
}
