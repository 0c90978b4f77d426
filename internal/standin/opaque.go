package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Opaque is a backend server of the platform: it takes requests whose meaning is
// in their header fields, and answers with a body or a stream of events. Its faults
// are switched while it runs.
type Opaque struct {
	// ID is the id under which the server registers; it stays over a restart.
	ID string
	// Events is the length of a stream.
	Events int
	// Confidence is what a model says of its own answer; models not listed say 95.
	Confidence map[string]int

	mu       sync.Mutex
	runs     map[string]int
	seen     []http.Header
	breakAt  int
	shed     bool
	status   int
	loseHead bool
	born     int64
	history  []Run
	ended    func()
}

// Run is one request that began to run.
type Run struct {
	ID string
	At time.Time
}

// NewOpaque returns a server that streams some events.
func NewOpaque(id string, events int) *Opaque {
	return &Opaque{ID: id, Events: events, Confidence: map[string]int{}, runs: map[string]int{}, born: time.Now().UnixMilli()}
}

// Born returns the start of the server's present run.
func (o *Opaque) Born() int64 { o.mu.Lock(); defer o.mu.Unlock(); return o.born }

// Restart begins a new run under the same id: streams break off, and nothing is known of
// them. What ran stays counted, for those who check.
func (o *Opaque) Restart() { o.mu.Lock(); o.born++; o.mu.Unlock() }

// OnDeadly sets what happens when the server has begun to run a request whose body holds
// DeadlyMark: its connection breaks, and the server ends.
func (o *Opaque) OnDeadly(f func()) { o.mu.Lock(); o.ended = f; o.mu.Unlock() }

// untilEnd is the time from the head of an answer to the end of a server by it.
const untilEnd = 30 * time.Millisecond

// dies ends the server if a request's body does.
func (o *Opaque) dies(w http.ResponseWriter, body []byte) {
	o.mu.Lock()
	end := o.ended
	o.mu.Unlock()
	if end == nil || !bytes.Contains(body, []byte(DeadlyMark)) {
		return
	}
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush() // the connection breaks off next
	time.Sleep(untilEnd)
	end()
	panic(http.ErrAbortHandler)
}

// History returns every run since the first start.
func (o *Opaque) History() []Run {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]Run(nil), o.history...)
}

// BreakAt makes the next stream break off in the middle of an event.
func (o *Opaque) BreakAt(event int) { o.mu.Lock(); o.breakAt = event; o.mu.Unlock() }

// Shed makes the server refuse every request unrun, or mends that.
func (o *Opaque) Shed(on bool) { o.mu.Lock(); o.shed = on; o.mu.Unlock() }

// Fail makes the server answer plain requests with a status; 0 mends that.
func (o *Opaque) Fail(status int) { o.mu.Lock(); o.status = status; o.mu.Unlock() }

// LoseHeads makes the server run requests and reset their connections.
func (o *Opaque) LoseHeads(on bool) { o.mu.Lock(); o.loseHead = on; o.mu.Unlock() }

// Runs returns how often a request ran here.
func (o *Opaque) Runs(id string) int { o.mu.Lock(); defer o.mu.Unlock(); return o.runs[id] }

// Total returns how many runs there were.
func (o *Opaque) Total() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, v := range o.runs {
		n += v
	}
	return n
}

// Seen returns the header fields of the requests that ran.
func (o *Opaque) Seen() []http.Header {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]http.Header(nil), o.seen...)
}

// ServeHTTP implements http.Handler.
func (o *Opaque) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/-/report" {
		_ = json.NewEncoder(w).Encode(map[string]int64{"running": 0, "born": o.Born()}) // a reader that left gets nothing
		return
	}
	id := r.Header.Get("X-Damaskrudder-Attempt-Id")
	body, _ := io.ReadAll(r.Body) // a body that broke off ends nothing
	h := w.Header()
	h.Set("X-Damaskrudder-Attempt-Id", id)
	h.Set("X-Damaskrudder-Instance-Id", o.ID)
	if r.Header.Get("X-Damaskrudder-Expect-Instance") != o.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	o.mu.Lock()
	shed, status, lose, breakAt := o.shed, o.status, o.loseHead, o.breakAt
	if !shed {
		o.runs[id]++
		o.history = append(o.history, Run{id, time.Now()})
		o.seen = append(o.seen, r.Header.Clone())
		o.breakAt = 0
	}
	o.mu.Unlock()
	switch {
	case shed:
		h.Set("X-Damaskrudder-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case lose:
		panic(http.ErrAbortHandler)
	}
	h.Set("X-Damaskrudder-Server-Seal", "seal-"+o.ID+"-"+id)
	o.dies(w, body)
	if model := r.Header.Get("X-Damaskrudder-Model"); model != "" {
		o.stream(w, r, model, breakAt)
		return
	}
	if status != 0 {
		w.WriteHeader(status)
	}
	fmt.Fprintf(w, "answer to %s", id)
}

func (o *Opaque) stream(w http.ResponseWriter, r *http.Request, model string, breakAt int) {
	confidence, known := o.Confidence[model]
	if !known {
		confidence = 95
	}
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Damaskrudder-Confidence", strconv.Itoa(confidence))
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	born := o.Born()
	flush := http.NewResponseController(w)
	for n := last + 1; n <= o.Events; n++ {
		if n == breakAt || o.Born() != born {
			fmt.Fprintf(w, "id: %d\ndata: ha", n)
			_ = flush.Flush() // the stream breaks off next
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", n, n)
		_ = flush.Flush() // a reader that left ends the loop by its context
		select {
		case <-r.Context().Done():
			return
		case <-time.After(time.Millisecond):
		}
	}
}
