package history

import (
	"errors"
	"time"
)

// eventLog is the platform's log with its faults.
type eventLog struct {
	w       *World
	streams map[string][][]byte
	down    bool
	slow    time.Duration
	// loseReplies makes appends act and then fail.
	loseReplies bool
}

var errLog = errors.New("no reply from the log")

// logTimeout is when a caller of the log gives up.
const logTimeout = 500 * time.Millisecond

func (l *eventLog) accept(stream string, data []byte) {
	l.streams[stream] = append(l.streams[stream], data)
	if stream != "config" {
		return
	}
	before := l.w.truth.Config().Number
	l.w.truth.Apply(uint64(len(l.streams[stream])-1), data)
	if n := l.w.truth.Config().Number; n != before {
		l.w.takenAt[n] = l.w.clock.Elapsed()
	}
}

// append adds a record after the network's and the log's delay. A slow append
// acts although its caller has given up on it by then.
func (l *eventLog) append(stream string, data []byte, done func(error)) {
	if l.down {
		l.w.clock.After(logTimeout, func() { done(errLog) })
		return
	}
	delay := hop + l.slow
	lost := l.loseReplies && l.w.rng.IntN(2) == 0
	l.w.clock.After(delay, func() { l.accept(stream, data) })
	if lost || delay > logTimeout {
		l.w.clock.After(logTimeout, func() { done(errLog) })
		return
	}
	l.w.clock.After(2*delay, func() { done(nil) })
}

// read delivers the records from an offset on; a failed read delivers nothing.
func (l *eventLog) read(d *node, stream string, from int, got func(first int, records [][]byte)) {
	if l.down || d.cutFromLog || l.slow > logTimeout {
		return
	}
	all := l.streams[stream]
	records := all[min(from, len(all)):]
	d.after(hop+l.slow, func() { got(from, records) })
}

// appendFrom is an append by a daemon, which a crash or a cut keeps from hearing.
func (d *node) append(stream string, data []byte, done func(error)) {
	run := d.incarnation
	if d.cutFromLog {
		d.after(logTimeout, func() { done(errLog) })
		return
	}
	d.w.log.append(stream, data, func(err error) { d.resume(run, func() { done(err) }) })
}
