// Package logs writes log lines without ever waiting for their reader.
package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines bounds the lines that wait to be written: about a second of a
	// busy daemon, under 500 KB.
	queueLines = 2048
	// closeTimeout bounds the wait for the last lines at the end of the process.
	closeTimeout = 200 * time.Millisecond
)

// AsyncWriter passes lines on to a writer from a bounded queue. A reader that stands
// still would otherwise stop the daemon at its next line; instead lines are
// dropped and counted.
type AsyncWriter struct {
	out   io.Writer
	lines chan []byte
	// closing is closed when no further line is taken, and done when the last is written.
	closing, done chan struct{}
	closeOnce     sync.Once
	dropped       atomic.Int64
}

// NewAsyncWriter returns a writer before w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{out: w, lines: make(chan []byte, queueLines), closing: make(chan struct{}), done: make(chan struct{})}
	go a.run()
	return a
}

func (a *AsyncWriter) run() {
	defer close(a.done)
	for {
		select {
		case line := <-a.lines:
			a.write(line)
		case <-a.closing:
			a.drain()
			return
		}
	}
}

// drain writes what waits.
func (a *AsyncWriter) drain() {
	for {
		select {
		case line := <-a.lines:
			a.write(line)
		default:
			return
		}
	}
}

func (a *AsyncWriter) write(line []byte) {
	if _, err := a.out.Write(line); err != nil {
		a.dropped.Add(1)
	}
}

// Write implements io.Writer. It never waits and never fails. Lines after Close are dropped:
// at the end of the process handlers still run.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	select {
	case <-a.closing:
		a.dropped.Add(1)
		return len(p), nil
	default:
	}
	select {
	case a.lines <- append([]byte(nil), p...):
	default:
		a.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns how many lines were lost.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close writes what waits, for a short time.
func (a *AsyncWriter) Close() {
	a.closeOnce.Do(func() { close(a.closing) })
	select {
	case <-a.done:
	case <-time.After(closeTimeout):
	}
}
