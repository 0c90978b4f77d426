package relay

import (
	"fmt"
	"io"
	"runtime/debug"
	"sync"
)

// heldBackBytes is the most, in bytes, that is read of an answer that is held back.
const heldBackBytes = 32 << 10

// holdBack makes what the server responds be read and held back until it is read here, so that the
// server can go on and ends. If there is no memory for it, the server waits.
func (b *awaitedBody) holdBack() {
	if b.send.head.grow(eventCopies*heldBackBytes) != nil {
		return
	}
	h := &heldBackBody{source: b.ReadCloser, send: b.send, ended: make(chan struct{})}
	h.changed.L = &h.mu
	b.ReadCloser = h
	go h.fill()
}

// heldBackBody is a body that is read ahead.
type heldBackBody struct {
	source io.ReadCloser
	send   *send
	// ended is closed when nothing more is read from the source.
	ended chan struct{}

	mu      sync.Mutex
	changed sync.Cond
	unread  []byte
	// err ends the source, and panicked is the value of a panic in it, which the reader passes on.
	err      error
	panicked any
	closed   bool
}

// fill reads the source to its end, or until the body is closed.
func (h *heldBackBody) fill() {
	defer close(h.ended)
	defer func() {
		if p := recover(); p != nil {
			h.mu.Lock()
			h.panicked = fmt.Errorf("%v\n%s", p, debug.Stack())
			h.mu.Unlock()
			h.add(nil, errPanic)
		}
	}()
	buf := make([]byte, streamBufferSize)
	for {
		n, err := h.source.Read(buf)
		if n > 0 {
			h.send.watch.recordProgress()
		}
		if !h.add(buf[:n], err) {
			return
		}
	}
}

// add adds what was read, waits while there is too much, and reports whether to go on.
func (h *heldBackBody) add(read []byte, err error) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unread = append(h.unread, read...)
	h.err = err
	h.changed.Broadcast()
	for len(h.unread) >= heldBackBytes && !h.closed {
		h.changed.Wait()
	}
	return err == nil && !h.closed
}

// Read implements io.Reader.
func (h *heldBackBody) Read(p []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.unread) == 0 && h.err == nil {
		h.changed.Wait()
	}
	if len(h.unread) == 0 {
		if h.panicked != nil {
			panic(h.panicked)
		}
		return 0, h.err
	}
	n := copy(p, h.unread)
	h.unread = h.unread[n:]
	h.changed.Broadcast()
	return n, nil
}

// Close implements io.Closer. It cancels a send whose response has not ended.
func (h *heldBackBody) Close() error {
	h.mu.Lock()
	h.closed = true
	ended := h.err != nil
	h.mu.Unlock()
	h.changed.Broadcast()
	if !ended {
		h.send.cancel(errRerouted)
	}
	<-h.ended
	return h.source.Close()
}
