package feed

import (
	"context"
	"time"
)

// lookGrace is how long a read that waits may take to tell what a look at the log has
// shown already. The log answers the read with the record itself, before any later look;
// both answers take some milliseconds.
const lookGrace = 50 * time.Millisecond

// ProbeEnd looks once how far the log goes, beside a read that waits. It confirms that the
// follower is current, and then returns true, or finds that the read hangs and has it made
// anew.
func (f *Follower) ProbeEnd(ctx context.Context) (current bool, err error) {
	sent, began := f.BootTime(), time.Now()
	ctx, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	next := f.Next()
	end, err := f.Log.End(ctx, f.Topic)
	if err != nil {
		return false, err
	}
	if end <= next {
		f.OnConfirmed(sent)
		return true, nil
	}
	f.ObservePeerPosition(end)
	time.AfterFunc(lookGrace, func() { f.overtaken(began, end) })
	return false, nil
}

// RestartRead gives up a read that waits, since it may have been sent into an outage that is over
// now: the log never answers such a read. Where a few read for all, the others then take
// what these have, and act on the first word of a change instead of waiting in vain for
// their own reads to tell it.
func (f *Follower) RestartRead() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reading == nil || f.reading.answering {
		return
	}
	f.Logger.Info("reading anew after an outage", "topic", f.Topic, "next", f.Next(), "waited_ms", time.Since(f.reading.began).Milliseconds())
	f.reading.giveUp(errBehind)
}

// overtaken gives up a read that began before a look and was not told, within the grace
// after it, what the look has shown.
func (f *Follower) overtaken(look time.Time, end Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.Next() >= end {
		return
	}
	f.alone.Store(true)
	if f.reading == nil || f.reading.answering || f.reading.began.After(look) {
		return
	}
	f.Logger.Warn("a read hangs, reading anew", "topic", f.Topic, "next", f.Next(), "end", end, "waited_ms", look.Sub(f.reading.began).Milliseconds())
	f.reading.giveUp(errBehind)
}
