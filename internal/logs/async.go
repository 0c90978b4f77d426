// Package logs writes log lines without ever waiting for their reader.
package logs

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueLines bounds the lines that wait to be written: about a second of a
	// busy daemon, under 500 KB.
	queueLines = 2048
	// closeLimit bounds the wait for the last lines at the end of the process.
	closeLimit = 200 * time.Millisecond
)

// Async passes lines on to a writer from a bounded queue. A reader that stands
// still would otherwise stop the daemon at its next line; instead lines are
// dropped and counted.
type Async struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// NewAsync returns a writer before w.
func NewAsync(w io.Writer) *Async {
	a := &Async{lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		for line := range a.lines {
			if _, err := w.Write(line); err != nil {
				a.dropped.Add(1)
			}
		}
	}()
	return a
}

// Write implements io.Writer. It never waits and never fails.
func (a *Async) Write(p []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), p...):
	default:
		a.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns how many lines were lost.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// Close writes what waits, for a short time. Nothing may be written after it.
func (a *Async) Close() {
	close(a.lines)
	select {
	case <-a.done:
	case <-time.After(closeLimit):
	}
}
