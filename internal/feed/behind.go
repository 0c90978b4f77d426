package feed

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"
)

// What followers of the same topic in other daemons have read: how a follower hears that
// it is behind them, and how it takes what they have.

// behindLimit is how long a follower may be behind another reader before its
// waiting read is given up. Both hear of a record within some milliseconds; a
// longer lag means that the connection has gone silent.
const behindLimit = 250 * time.Millisecond

// ObservePeerPosition tells that another reader has read up to a position.
func (f *Follower) ObservePeerPosition(next Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if next <= f.expected {
		return
	}
	f.expected = next
	if f.expectedAt.IsZero() {
		f.expectedAt = time.Now()
		// The next check may be a fifth of a second later than this.
		time.AfterFunc(behindLimit, func() { f.CheckLag(time.Now()) })
	}
	select {
	case f.behind <- struct{}{}:
	default:
	}
}

// TailFrom returns the newest record of each key from a position on, in order, and how far
// this follower has read. A follower that has read the newest records of all keys has not
// seen which keys were removed before: it tells nobody of that time, or a removal would
// be hidden for good from all who ask it. They then ask another, or the log. To one that has
// read nothing of the store's present era it tells all keys there are.
func (f *Follower) TailFrom(from Position) Tail {
	f.mu.Lock()
	defer f.mu.Unlock()
	returned := from.Era() < f.wholeAt.Era()
	if from < f.wholeAt && !returned {
		return Tail{Next: from}
	}
	var out []Record
	for _, r := range f.kept {
		if r.At >= from && (!returned || r.Value != nil) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.At, b.At) })
	return Tail{Records: out, Next: f.Next(), Snapshot: returned}
}

// Tail is what a follower has read from a position on: the newest record of each key, and how
// far it has read. Whole says that these are all keys there are.
type Tail struct {
	Records  []Record
	Next     Position
	Snapshot bool
}

// peerEvery is how often a follower that reads from others looks whether it should
// read the log itself.
const peerEvery = 100 * time.Millisecond

// fromPeers takes what other readers have until the log is to be read.
func (f *Follower) fromPeers(ctx context.Context) {
	for f.FetchTail != nil && f.loaded.Load() && ctx.Err() == nil && !f.ReadsLog() && !f.alone.Load() {
		// It no longer knocks, so nobody is to wait for what it learns of the log. A
		// follower that goes after it would else wait for ever, and a server that
		// leaves would get requests until the daemon's end.
		f.away.Store(false)
		f.catchUp(ctx)
		t := time.NewTimer(peerEvery)
		select {
		case <-ctx.Done():
		case <-f.behind:
		case <-t.C:
		}
		t.Stop()
	}
}

// fetch takes records of another reader. One that fails is asked again later, or
// the log is: the confirmation of this follower grows old meanwhile.
func (f *Follower) fetch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	tail, err := f.FetchTail(ctx, f.Topic, f.Next())
	if errors.Is(err, ErrTooLong) {
		f.alone.Store(true)
		return
	}
	if err != nil {
		f.Logger.Debug("records not fetched from another reader", "topic", f.Topic, "err", err)
		return
	}
	if tail.Next > f.Next() {
		f.apply(tail.Records, tail.Snapshot, tail.Next)
	}
}

// isBehind reports whether another reader has read further.
func (f *Follower) isBehind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.expected > f.Next()
}

// catchUp takes what other readers have beyond what this follower has read. It does so
// also while it reads the log itself and gets no answer: where every daemon reads the log, one that is cut off from it would else learn nothing
// until it is back, while the others know.
func (f *Follower) catchUp(ctx context.Context) {
	for f.FetchTail != nil && f.loaded.Load() && f.isBehind() && ctx.Err() == nil {
		before := f.Next()
		f.fetch(ctx)
		if f.Next() == before {
			return
		}
	}
}

// CheckLag makes a follower that stays behind read the log itself, and gives up a read
// that waits meanwhile. Without it, a connection that went silent would hide a
// change until the wait is over.
func (f *Follower) CheckLag(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.expected <= f.Next() {
		f.expectedAt = time.Time{}
		return
	}
	if now.Sub(f.expectedAt) < behindLimit {
		return
	}
	f.alone.Store(true)
	if f.reading == nil || !f.hangs(now) {
		return
	}
	f.Logger.Warn("behind another reader, reading anew", "topic", f.Topic, "next", f.Next(), "other", f.expected)
	f.reading.giveUp(errBehind)
	f.expectedAt = now
}

// hangs reports whether the read that is going on is given up. One that began before
// the change would have been answered with it; one that began since has the time of an
// answer. One that is being answered is not given up: a long record takes some hundred
// milliseconds over a slow link, and would be read again and again without ever being
// read to its end. Callers hold mu.
func (f *Follower) hangs(now time.Time) bool {
	if f.reading.answering {
		return false
	}
	return f.reading.began.Before(f.expectedAt) || now.Sub(f.reading.began) >= answerLimit
}
