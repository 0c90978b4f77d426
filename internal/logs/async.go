// Package logs writes log lines without blocking on a slow output.
package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines bounds the lines that wait to be written.
	queueLines = 2048
	// closeTimeout bounds the wait of Close for pending lines.
	closeTimeout = 200 * time.Millisecond
)

// AsyncWriter writes lines to another writer from a bounded queue. While the output is blocked and
// the queue is full, lines are dropped and counted.
type AsyncWriter struct {
	out   io.Writer
	lines chan []byte
	// closing is closed by Close, and done once the last line is written.
	closing, done chan struct{}
	closeOnce     sync.Once
	dropped       atomic.Int64
}

// NewAsyncWriter returns a writer in front of w and starts its goroutine, which Close ends.
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

// drain writes all pending lines.
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

// Write implements io.Writer. It never blocks and never fails. Lines after Close are dropped, since
// handlers may still log during shutdown.
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

// Dropped returns the number of lines that were not written.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close stops accepting lines and waits up to closeTimeout for pending ones to be written.
func (a *AsyncWriter) Close() {
	a.closeOnce.Do(func() { close(a.closing) })
	select {
	case <-a.done:
	case <-time.After(closeTimeout):
	}
}
