package history

import (
	"errors"
	"time"
)

// eventLog simulates the replicated log with injectable faults.
type eventLog struct {
	sim     *Simulation
	streams map[string][][]byte
	down    bool
	delay   time.Duration
	// loseReplies makes some appends time out although they take effect.
	loseReplies bool
}

var errLogTimeout = errors.New("log request timed out")

// logTimeout bounds a request to the log.
const logTimeout = 500 * time.Millisecond

// commit adds a record to a stream and applies configuration records to the reference.
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

// append commits a record after the network and log delay. A slow append takes effect even
// after done was called with a timeout.
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

// read delivers the records from offset on. A failed read does not call deliver.
func (l *eventLog) read(d *daemon, stream string, offset int, deliver func(first int, records [][]byte)) {
	if l.down || d.partitionedFromLog || l.delay > logTimeout {
		return
	}
	all := l.streams[stream]
	records := all[min(offset, len(all)):]
	d.after(networkDelay+l.delay, func() { deliver(offset, records) })
}

// append appends a record on behalf of the daemon. done is not called if the daemon crashes
// before the response arrives.
func (d *daemon) append(stream string, data []byte, done func(error)) {
	incarnation := d.incarnation
	if d.partitionedFromLog {
		d.after(logTimeout, func() { done(errLogTimeout) })
		return
	}
	d.sim.log.append(stream, data, func(err error) { d.runIfAlive(incarnation, func() { done(err) }) })
}
