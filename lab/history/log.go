package history

import (
	"errors"
	"time"
)

// eventLog is the platform's log with its faults.
type eventLog struct {
	sim     *Simulation
	streams map[string][][]byte
	down    bool
	delay   time.Duration
	// loseReplies makes appends act and then fail.
	loseReplies bool
}

var errLogTimeout = errors.New("no reply from the log")

// logTimeout is when a caller of the log gives up.
const logTimeout = 500 * time.Millisecond

func (l *eventLog) commit(stream string, data []byte) {
	l.streams[stream] = append(l.streams[stream], data)
	if stream != "config" {
		return
	}
	before := l.sim.reference.Config().Number
	l.sim.reference.Apply(uint64(len(l.streams[stream])-1), data)
	if n := l.sim.reference.Config().Number; n != before {
		l.sim.committedAt[n] = l.sim.clock.Elapsed()
	}
}

// append adds a record after the network's and the log's delay. A slow append
// acts although its caller has given up on it by then.
func (l *eventLog) append(stream string, data []byte, done func(error)) {
	if l.down {
		l.sim.clock.After(logTimeout, func() { done(errLogTimeout) })
		return
	}
	delay := networkDelay + l.delay
	lost := l.loseReplies && l.sim.rng.IntN(2) == 0
	l.sim.clock.After(delay, func() { l.commit(stream, data) })
	if lost || delay > logTimeout {
		l.sim.clock.After(logTimeout, func() { done(errLogTimeout) })
		return
	}
	l.sim.clock.After(2*delay, func() { done(nil) })
}

// read delivers the records from an offset on; a failed read delivers nothing.
func (l *eventLog) read(d *node, stream string, from int, deliver func(first int, records [][]byte)) {
	if l.down || d.cutFromLog || l.delay > logTimeout {
		return
	}
	all := l.streams[stream]
	records := all[min(from, len(all)):]
	d.after(networkDelay+l.delay, func() { deliver(from, records) })
}

// appendFrom is an append by a daemon, which a crash or a cut keeps from hearing.
func (d *node) append(stream string, data []byte, done func(error)) {
	incarnation := d.incarnation
	if d.cutFromLog {
		d.after(logTimeout, func() { done(errLogTimeout) })
		return
	}
	d.sim.log.append(stream, data, func(err error) { d.runIfAlive(incarnation, func() { done(err) }) })
}
