package logs

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
)

// blockedWriter blocks until unblock is closed.
type blockedWriter struct{ unblock chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) { <-w.unblock; return len(p), nil }

// Guards against a daemon that blocks on logging while its standard output is not read.
func TestBlockedOutputDoesNotBlockWrite(t *testing.T) {
	output := blockedWriter{make(chan struct{})}
	a := NewAsyncWriter(output)
	for range 3 * queueLines {
		if _, err := a.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if a.Dropped() == 0 {
		t.Error("no lines were dropped")
	}
	close(output.unblock)
	a.Close()
}

type syncBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	var b syncBuffer
	a := NewAsyncWriter(&b)
	want := ""
	for i := range 100 {
		line := fmt.Sprintln("line", i)
		want += line
		_, _ = a.Write([]byte(line)) // never fails
	}
	a.Close()
	if b.b.String() != want {
		t.Error("lines are lost or out of order")
	}
}

// Guards against a panic of a handler that logs during shutdown.
func TestWriteAfterCloseIsDropped(t *testing.T) {
	var out bytes.Buffer
	a := NewAsyncWriter(&out)
	var writers sync.WaitGroup
	for range 4 {
		writers.Go(func() {
			for range 500 {
				_, _ = a.Write([]byte("x"))
			}
		})
	}
	a.Close()
	writers.Wait()
	before := a.Dropped()
	if n, err := a.Write([]byte("late")); n != 4 || err != nil || a.Dropped() != before+1 {
		t.Errorf("got %d, %v and %d dropped lines", n, err, a.Dropped()-before)
	}
	a.Close()
}
