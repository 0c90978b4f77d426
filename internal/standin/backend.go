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

// BackendServer is a backend server of the platform: it takes requests whose meaning is
// in their header fields, and answers with a body or a stream of events. Its faults
// are switched while it runs.
type BackendServer struct {
	// ID is the id under which the server registers; it stays over a restart.
	ID string
	// StreamEvents is the length of a stream.
	StreamEvents int
	// ConfidenceByModel is what a model says of its own answer; models not listed say 95.
	ConfidenceByModel map[string]int

	mu            sync.Mutex
	runCounts     map[string]int
	runHeaders    []http.Header
	breakAtEvent  int
	shedding      bool
	failureStatus int
	loseResponses bool
	startMillis   int64
	runHistory    []Run
	onCrash       func()
}

// Run is one request that began to run.
type Run struct {
	ID string
	At time.Time
}

// NewBackendServer returns a server that streams some events.
func NewBackendServer(id string, streamEvents int) *BackendServer {
	return &BackendServer{ID: id, StreamEvents: streamEvents, ConfidenceByModel: map[string]int{}, runCounts: map[string]int{}, startMillis: time.Now().UnixMilli()}
}

// StartMillis returns the start of the server's present run.
func (s *BackendServer) StartMillis() int64 { s.mu.Lock(); defer s.mu.Unlock(); return s.startMillis }

// Restart begins a new run under the same id: streams break off, and nothing is known of
// them. What ran stays counted, for those who check.
func (s *BackendServer) Restart() { s.mu.Lock(); s.startMillis++; s.mu.Unlock() }

// OnCrash sets what happens when the server has begun to run a request whose body holds
// DeadlyMark: its connection breaks, and the server ends.
func (s *BackendServer) OnCrash(onCrash func()) { s.mu.Lock(); s.onCrash = onCrash; s.mu.Unlock() }

// crashDelay is the time from the head of an answer to the end of a server by it.
const crashDelay = 30 * time.Millisecond

// crashIfMarked ends the server if a request's body does.
func (s *BackendServer) crashIfMarked(w http.ResponseWriter, body []byte) {
	s.mu.Lock()
	onCrash := s.onCrash
	s.mu.Unlock()
	if onCrash == nil || !bytes.Contains(body, []byte(CrashMarker)) {
		return
	}
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush() // the connection breaks off next
	time.Sleep(crashDelay)
	onCrash()
	panic(http.ErrAbortHandler)
}

// RunHistory returns every run since the first start.
func (s *BackendServer) RunHistory() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runHistory...)
}

// BreakNextStreamAt makes the next stream break off in the middle of an event.
func (s *BackendServer) BreakNextStreamAt(event int) {
	s.mu.Lock()
	s.breakAtEvent = event
	s.mu.Unlock()
}

// SetShedding makes the server refuse every request unrun, or mends that.
func (s *BackendServer) SetShedding(on bool) { s.mu.Lock(); s.shedding = on; s.mu.Unlock() }

// SetFailureStatus makes the server answer plain requests with a status; 0 mends that.
func (s *BackendServer) SetFailureStatus(status int) {
	s.mu.Lock()
	s.failureStatus = status
	s.mu.Unlock()
}

// SetLoseResponses makes the server run requests and reset their connections.
func (s *BackendServer) SetLoseResponses(on bool) { s.mu.Lock(); s.loseResponses = on; s.mu.Unlock() }

// RunCount returns how often a request ran here.
func (s *BackendServer) RunCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runCounts[id]
}

// TotalRuns returns how many runs there were.
func (s *BackendServer) TotalRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, count := range s.runCounts {
		total += count
	}
	return total
}

// RunHeaders returns the header fields of the requests that ran.
func (s *BackendServer) RunHeaders() []http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]http.Header(nil), s.runHeaders...)
}

// ServeHTTP implements http.Handler.
func (s *BackendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/-/report" {
		_ = json.NewEncoder(w).Encode(map[string]int64{"running": 0, "born": s.StartMillis()}) // a reader that left gets nothing
		return
	}
	id := r.Header.Get("X-Damaskrudder-Attempt-Id")
	body, _ := io.ReadAll(r.Body) // a body that broke off ends nothing
	h := w.Header()
	h.Set("X-Damaskrudder-Attempt-Id", id)
	h.Set("X-Damaskrudder-Instance-Id", s.ID)
	if r.Header.Get("X-Damaskrudder-Expect-Instance") != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	shedding, failureStatus, loseResponse, breakAtEvent := s.shedding, s.failureStatus, s.loseResponses, s.breakAtEvent
	if !shedding {
		s.runCounts[id]++
		s.runHistory = append(s.runHistory, Run{id, time.Now()})
		s.runHeaders = append(s.runHeaders, r.Header.Clone())
		s.breakAtEvent = 0
	}
	s.mu.Unlock()
	switch {
	case shedding:
		h.Set("X-Damaskrudder-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case loseResponse:
		panic(http.ErrAbortHandler)
	}
	h.Set("X-Damaskrudder-Server-Seal", "seal-"+s.ID+"-"+id)
	s.crashIfMarked(w, body)
	if model := r.Header.Get("X-Damaskrudder-Model"); model != "" {
		s.streamEvents(w, r, model, breakAtEvent)
		return
	}
	if failureStatus != 0 {
		w.WriteHeader(failureStatus)
	}
	fmt.Fprintf(w, "answer to %s", id)
}

func (s *BackendServer) streamEvents(w http.ResponseWriter, r *http.Request, model string, breakAtEvent int) {
	confidence, ok := s.ConfidenceByModel[model]
	if !ok {
		confidence = 95
	}
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Damaskrudder-Confidence", strconv.Itoa(confidence))
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	startMillis := s.StartMillis()
	controller := http.NewResponseController(w)
	for n := last + 1; n <= s.StreamEvents; n++ {
		if n == breakAtEvent || s.StartMillis() != startMillis {
			fmt.Fprintf(w, "id: %d\ndata: ha", n)
			_ = controller.Flush() // the stream breaks off next
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", n, n)
		_ = controller.Flush() // a reader that left ends the loop by its context
		select {
		case <-r.Context().Done():
			return
		case <-time.After(time.Millisecond):
		}
	}
}
