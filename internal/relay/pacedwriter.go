package relay

import (
	"net/http"
	"slices"
	"sync"

	"github.com/damaskrudder/damaskrudder/internal/flowcontrol"
)

// pacedWriter writes a response in a goroutine of its own, so that a client that reads slowly does
// not keep its server waiting: servers cut off responses that remain unread. What the client has
// not read is bounded by the ledger.
type pacedWriter struct {
	out    ResponseWriter
	held   *HeldRequest
	header responseHeader
	// onFail is called when the response has failed, and onPause when it is paused for the first time.
	onFail  func(reason error)
	onPause func(unread int)
	// onPanic is called with a recovered panic of the writer.
	onPanic func(recovered any)
	done    chan struct{}

	mu      sync.Mutex
	changed sync.Cond
	// unread are the bytes to write, and spare is the buffer for further ones.
	unread, spare []byte
	// wakes is the number of times that there may have been room for more.
	wakes int
	// ended is set once there are no further bytes.
	ended bool
	// paused is set once the response has been paused.
	paused bool
	err    error
}

type responseHeader struct {
	status int
	fields http.Header
	length int64
}

// start begins to write the response. The caller must call finish.
func (w *pacedWriter) start() { go w.run() }

// WriteBody appends bytes to the response. It blocks while the response is paused.
func (w *pacedWriter) WriteBody(p []byte) error {
	for chunk := range slices.Chunk(p, writeChunkBytes) {
		if err := w.writeChunk(chunk); err != nil {
			return err
		}
	}
	return nil
}

func (w *pacedWriter) writeChunk(p []byte) error {
	for {
		w.mu.Lock()
		wakes, err := w.wakes, w.err
		w.mu.Unlock()
		if err != nil {
			return err
		}
		if w.held.growResponse(int64(len(p))) == flowcontrol.Granted {
			return w.append(p)
		}
		w.waitForRoom(wakes)
	}
}

func (w *pacedWriter) append(p []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil {
		w.unread = append(w.unread, p...)
		w.changed.Broadcast()
	}
	return w.err
}

// waitForRoom waits until the writer was woken more than a number of times, or has failed.
func (w *pacedWriter) waitForRoom(wakes int) {
	w.held.flow.addPaused(w)
	defer w.held.flow.removePaused(w)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.paused {
		w.paused = true
		w.onPause(len(w.unread))
	}
	for w.err == nil && w.wakes == wakes {
		w.changed.Wait()
	}
}

// wake makes a paused response check for room.
func (w *pacedWriter) wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wakes++
	w.changed.Broadcast()
}

// run writes the response to its end.
func (w *pacedWriter) run() {
	defer close(w.done)
	defer func() {
		if recovered := recover(); recovered != nil {
			w.onPanic(recovered)
			w.fail(errPanic)
		}
	}()
	w.out.WriteHeader(w.header.status, w.header.fields, w.header.length)
	for {
		p, more := w.next()
		if !more {
			return
		}
		w.write(p)
	}
}

// next waits for bytes to write. It returns false at the end of the response.
func (w *pacedWriter) next() ([]byte, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.unread) == 0 && !w.ended && w.err == nil {
		w.changed.Wait()
	}
	if w.err != nil || len(w.unread) == 0 {
		return nil, false
	}
	p := w.unread
	w.unread, w.spare = w.spare[:0], nil
	return p, true
}

// write writes bytes in chunks and keeps their buffer for later ones.
func (w *pacedWriter) write(p []byte) {
	for rest := p; len(rest) > 0; {
		chunk := rest[:min(len(rest), writeChunkBytes)]
		rest = rest[len(chunk):]
		if err := w.out.WriteBody(chunk); err != nil {
			w.fail(err)
			return
		}
		w.held.read(len(chunk))
		w.wake()
	}
	if cap(p) <= maxKeptBuffer {
		w.mu.Lock()
		w.spare = p[:0]
		w.mu.Unlock()
	}
}

// fail drops the bytes that are not written and makes further writes fail.
func (w *pacedWriter) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unread, w.spare = nil, nil
	if w.err != nil {
		return
	}
	w.err = err
	w.onFail(err)
	w.changed.Broadcast()
}

// interrupt fails the response and ends a blocked write. The response must not be finished.
func (w *pacedWriter) interrupt(reason error) {
	w.fail(reason)
	interrupt(w.out)
}

// finish waits until the client has the response or the response has failed.
func (w *pacedWriter) finish() error {
	w.mu.Lock()
	w.ended = true
	w.changed.Broadcast()
	w.mu.Unlock()
	<-w.done
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}
