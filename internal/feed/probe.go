package feed

import (
	"context"
	"time"
)

// endProbeGrace is how long a pending read may take to return records that a probe of the
// end has shown to exist.
const endProbeGrace = 50 * time.Millisecond

// ProbeEnd reads the end of the topic, next to a pending read. It returns true if the
// follower is current, and confirms it. Otherwise, a pending read that does not return the
// missing records is abandoned.
func (f *Follower) ProbeEnd(ctx context.Context) (current bool, err error) {
	sentAt, probedAt := f.BootTime(), time.Now()
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	next := f.Next()
	end, err := f.Log.End(ctx, f.Topic)
	if err != nil {
		return false, err
	}
	if end <= next {
		f.OnConfirmed(sentAt)
		return true, nil
	}
	f.ObservePeerPosition(end)
	time.AfterFunc(endProbeGrace, func() { f.abandonStaleRead(probedAt, end) })
	return false, nil
}

// RestartRead abandons the pending read after an outage, since reads sent during it may
// never be answered. The next read does not wait.
func (f *Follower) RestartRead() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.currentRead == nil || f.currentRead.responding {
		return
	}
	f.Logger.Info("restarting read after an outage", "topic", f.Topic, "next", f.Next(), "waited_ms", time.Since(f.currentRead.startedAt).Milliseconds())
	f.currentRead.cancel(errReadAbandoned)
}

// abandonStaleRead abandons a read that began before a probe of the end and has not caught
// up with it since. A read that was sent lately continues: its response may be queued in the log, and
// would be again. CheckLag decides when a follower of peers reads the log.
func (f *Follower) abandonStaleRead(probedAt time.Time, end Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	read := f.currentRead
	if f.Next() >= end || read == nil || read.responding || probedAt.Sub(read.startedAt) < responseTimeout {
		return
	}
	f.Logger.Warn("read stalled, restarting it", "topic", f.Topic, "next", f.Next(), "end", end, "waited_ms", probedAt.Sub(read.startedAt).Milliseconds())
	read.cancel(errReadAbandoned)
}
