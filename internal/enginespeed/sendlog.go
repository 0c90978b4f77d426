package enginespeed

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// listOverhead is the encoded size of a list without entries, in bytes.
	listOverhead = 4
	// burst is the time whose bytes may be sent at once after a pause.
	burst = 8 * time.Second
)

// sendLog decides which entries are due to be sent to which daemon, within a rate.
type sendLog struct {
	bytesPerSecond float64
	// allowance is the number of bytes that may be sent at updatedAt.
	allowance float64
	updatedAt time.Duration
	receivers map[uint64]*receiver
}

// receiver is what was sent to one daemon.
type receiver struct {
	sent map[Engine]summary
	// cursor is the first engine to consider next.
	cursor Engine
}

func newSendLog(bytesPerSecond float64) *sendLog {
	return &sendLog{bytesPerSecond: bytesPerSecond, allowance: bytesPerSecond * burst.Seconds(), receivers: map[uint64]*receiver{}}
}

// drop drops the records of some daemons.
func (l *sendLog) drop(gone func(daemon uint64) bool) {
	maps.DeleteFunc(l.receivers, func(daemon uint64, _ *receiver) bool { return gone(daemon) })
}

// dropOld drops the records of sums that have decayed at their receiver.
func (l *sendLog) dropOld(now time.Duration) {
	for _, r := range l.receivers {
		maps.DeleteFunc(r.sent, func(_ Engine, s summary) bool { return s.samples(now) < minSamples })
	}
}

// next returns the entries due to be sent to a daemon, of engines in ascending order, in turn. Current
// returns the entry of an engine if there is any for the daemon.
func (l *sendLog) next(daemon uint64, engines []Engine, now time.Duration, current func(Engine) (entry, bool)) (out []byte) {
	l.refill(now)
	if l.allowance <= 0 || len(engines) == 0 {
		return nil
	}
	r := l.receivers[daemon]
	if r == nil {
		r = &receiver{sent: map[Engine]summary{}}
		l.receivers[daemon] = r
	}
	start, _ := slices.BinarySearch(engines, r.cursor)
	for i := range engines {
		engine := engines[(start+i)%len(engines)]
		e, any := current(engine)
		if !any || !r.due(e, now) {
			continue
		}
		r.sent[engine] = summary{e.count, e.mean, e.daemons, now}
		out = appendEntry(out, e)
		if len(out) == maxEntries*entryBytes {
			r.cursor = engine + 1
			break
		}
	}
	if len(out) > 0 {
		l.allowance -= float64(len(out) + listOverhead)
	}
	return out
}

func (l *sendLog) refill(now time.Duration) {
	l.allowance = min(l.allowance+l.bytesPerSecond*(now-l.updatedAt).Seconds(), l.bytesPerSecond*burst.Seconds())
	l.updatedAt = now
}

// due reports whether an entry differs enough from what the daemon has.
func (r *receiver) due(e entry, now time.Duration) bool {
	last, sent := r.sent[e.engine]
	if !sent {
		return true
	}
	if now-last.receivedAt < minInterval {
		return false
	}
	return min(e.count, maxCount) > minGrowth*last.samples(now) || math.Abs(e.mean-last.mean) > minMove
}
