package feed

import (
	"context"
	"errors"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/loop"
)

// This file loads the newest record of each key. A large topic is read from the log by the
// designated readers only, since every page of the log is a call; the others fetch it from them.

const (
	// maxSnapshotWait is how long a follower waits for another reader to have a large topic
	// before it reads the log.
	maxSnapshotWait = 6 * time.Second
	// largeTopicEnd is the offset of the end from which a topic counts as large before it is read.
	largeTopicEnd = 500
)

// loadSnapshot loads the newest record of each key.
func (f *Follower) loadSnapshot(ctx context.Context, sentAt time.Duration) error {
	started := time.Now()
	if large, err := f.isLarge(ctx); err != nil || large && f.awaitSnapshot(ctx, started) {
		return err
	}
	readsAll := func() bool { return f.FetchSnapshot == nil || f.ReadsLog() }
	for {
		records, next, err := f.readNewest(ctx, readsAll)
		if errors.Is(err, ErrPartial) {
			f.recordSuccess()
			if f.awaitSnapshot(ctx, started) {
				return nil
			}
			readsAll = func() bool { return true }
			sentAt = f.BootTime()
			continue
		}
		if err != nil {
			return err
		}
		f.recordSuccess()
		f.apply(f.dropUnreadable(records), true, next)
		f.loaded.Store(true)
		f.OnConfirmed(sentAt)
		return nil
	}
}

// isLarge reports whether the topic is so large that others than designated readers fetch it from
// them. It costs a call with a short answer; a page of a large topic for each daemon that starts would
// saturate the log.
func (f *Follower) isLarge(ctx context.Context) (bool, error) {
	if !f.MayBeLarge || f.FetchSnapshot == nil || f.ReadsLog() {
		return false, nil
	}
	ctx, done := f.beginRead(ctx, 0)
	defer done()
	end, err := f.Log.End(ctx, f.Topic)
	if err != nil {
		return false, wrapCause(ctx, err)
	}
	f.recordSuccess()
	return end.Offset() > largeTopicEnd, nil
}

// readNewest reads the newest record of each key from the log.
func (f *Follower) readNewest(ctx context.Context, more func() bool) ([]Record, Position, error) {
	ctx, done := f.beginRead(ctx, 0)
	defer done()
	records, end, err := f.Log.Newest(ctx, f.Topic, f.noteProgress, more)
	return records, end, wrapCause(ctx, err)
}

// awaitSnapshot fetches all records from another reader, and reports whether it could. It waits
// for a reader that has them, unless this follower has to read the log itself.
func (f *Follower) awaitSnapshot(ctx context.Context, started time.Time) bool {
	for ctx.Err() == nil && !f.ReadsLog() && time.Since(started) < maxSnapshotWait {
		if f.fetchSnapshot(ctx) {
			return true
		}
		loop.Sleep(ctx, peerPollInterval)
	}
	return false
}

func (f *Follower) fetchSnapshot(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	tail, err := f.FetchSnapshot(ctx, f.Topic)
	if err != nil {
		f.Logger.Debug("cannot fetch a snapshot from another reader", "topic", f.Topic, "err", err)
		return false
	}
	if tail.Next < f.Next() {
		f.Logger.Info("snapshot of a reader further behind ignored", "topic", f.Topic, "next", f.Next(), "other", tail.Next)
		return false
	}
	f.Logger.Info("snapshot fetched from another reader", "topic", f.Topic, "records", len(tail.Records), "next", tail.Next)
	f.apply(tail.Records, true, tail.Next)
	f.loaded.Store(true)
	return true
}
