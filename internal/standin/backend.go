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

// BackendServer is a fake backend server of the platform with fault injection. It responds
// with a body or a stream of events. Of request bodies it only interprets CrashMarker.
type BackendServer struct {
	// ID is the ID of the server. Restart does not change it.
	ID string
	// StreamEvents is the number of events of a stream.
	StreamEvents int
	// ConfidenceByModel is the reported confidence of each model in percent, 95 by default.
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
	// limitField returns the limit that the next response states; empty for none.
	limitField func() string
	// statements returns what the response to the nth request states.
	statements func(n int) Statements
	arrivals   []Run
}

// Statements is what a response states about its server.
type Statements struct {
	// Leaving, RetryAfter and Tolerance are the values of the fields; empty for none.
	Leaving, RetryAfter, Tolerance string
	// Shed makes the server reject the request without executing it.
	Shed bool
}

// Run is a request whose execution has started, or one that was received.
type Run struct {
	ID string
	At time.Time
	// Stated is what the response to a received request states.
	Stated Statements
}

// NewBackendServer returns a server whose streams have the given number of events.
func NewBackendServer(id string, streamEvents int) *BackendServer {
	return &BackendServer{ID: id, StreamEvents: streamEvents, ConfidenceByModel: map[string]int{}, runCounts: map[string]int{}, startMillis: time.Now().UnixMilli(), limitField: func() string { return "" }, statements: func(int) Statements { return Statements{} }}
}

// StartMillis returns the start time of the current incarnation in Unix milliseconds.
func (s *BackendServer) StartMillis() int64 { s.mu.Lock(); defer s.mu.Unlock(); return s.startMillis }

// Restart starts a new incarnation with the same ID. Open streams are aborted; the recorded
// runs are kept for later checks.
func (s *BackendServer) Restart() { s.mu.Lock(); s.startMillis++; s.mu.Unlock() }

// OnCrash sets the function that is called when the server starts to run a request whose
// body contains CrashMarker. The connection is aborted afterwards.
func (s *BackendServer) OnCrash(onCrash func()) { s.mu.Lock(); s.onCrash = onCrash; s.mu.Unlock() }

// crashDelay is the time between sending the response header and crashing.
const crashDelay = 30 * time.Millisecond

// crashIfMarked crashes the server if the body contains CrashMarker.
func (s *BackendServer) crashIfMarked(w http.ResponseWriter, body []byte) {
	s.mu.Lock()
	onCrash := s.onCrash
	s.mu.Unlock()
	if onCrash == nil || !bytes.Contains(body, []byte(CrashMarker)) {
		return
	}
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush() // the connection is aborted below
	time.Sleep(crashDelay)
	onCrash()
	panic(http.ErrAbortHandler)
}

// RunHistory returns the runs of all incarnations.
func (s *BackendServer) RunHistory() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runHistory...)
}

// BreakNextStreamAt makes the next stream abort in the middle of the given event.
func (s *BackendServer) BreakNextStreamAt(event int) {
	s.mu.Lock()
	s.breakAtEvent = event
	s.mu.Unlock()
}

// SetShedding sets whether the server rejects all requests without executing them.
func (s *BackendServer) SetShedding(on bool) { s.mu.Lock(); s.shedding = on; s.mu.Unlock() }

// SetFailureStatus sets the HTTP status of non-streaming responses; 0 restores 200.
func (s *BackendServer) SetFailureStatus(status int) {
	s.mu.Lock()
	s.failureStatus = status
	s.mu.Unlock()
}

// SetLoseResponses sets whether the server executes requests but aborts their connections.
func (s *BackendServer) SetLoseResponses(on bool) { s.mu.Lock(); s.loseResponses = on; s.mu.Unlock() }

// SetStatedLimit makes all responses state a limit; empty states none.
func (s *BackendServer) SetStatedLimit(value string) {
	s.SetLimitField(func() string { return value })
}

// SetLimitField sets the function that returns the limit which a response states; empty for
// a response without one.
func (s *BackendServer) SetLimitField(field func() string) {
	s.mu.Lock()
	s.limitField = field
	s.mu.Unlock()
}

// SetStatements sets the function that returns what the response to a request states, by the
// number of requests that the server has received.
func (s *BackendServer) SetStatements(statements func(n int) Statements) {
	s.mu.Lock()
	s.statements = statements
	s.mu.Unlock()
}

// set adds the statements to a response.
func (st Statements) set(h http.Header) {
	if st.Tolerance != "" {
		h.Set("Server-Brittle", st.Tolerance)
	}
	if st.Leaving != "" {
		h.Set("Server-Leaving", st.Leaving)
	}
	if st.RetryAfter != "" {
		h.Set("Retry-After", st.RetryAfter)
	}
}

// Arrivals returns all requests that were received, also those that did not run.
func (s *BackendServer) Arrivals() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.arrivals...)
}

// RunCount returns how often a request was executed.
func (s *BackendServer) RunCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runCounts[id]
}

// TotalRuns returns the number of runs.
func (s *BackendServer) TotalRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, count := range s.runCounts {
		total += count
	}
	return total
}

// RunHeaders returns the headers of the executed requests.
func (s *BackendServer) RunHeaders() []http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]http.Header(nil), s.runHeaders...)
}

// ServeHTTP implements http.Handler.
func (s *BackendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/-/report" {
		_ = json.NewEncoder(w).Encode(map[string]int64{"running": 0, "born": s.StartMillis()}) // fails only if the client has disconnected
		return
	}
	id := r.Header.Get("X-Damaskrudder-Attempt-Id")
	body, _ := io.ReadAll(r.Body) // an incomplete body is accepted
	h := w.Header()
	h.Set("X-Damaskrudder-Attempt-Id", id)
	h.Set("X-Damaskrudder-Instance-Id", s.ID)
	if r.Header.Get("X-Damaskrudder-Expect-Instance") != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	shedding, failureStatus, loseResponse, breakAtEvent := s.shedding, s.failureStatus, s.loseResponses, s.breakAtEvent
	stated := s.statements(len(s.arrivals) + 1)
	s.arrivals = append(s.arrivals, Run{id, time.Now(), stated})
	stated.set(h)
	shedding = shedding || stated.Shed
	if limit := s.limitField(); limit != "" {
		h.Set("Server-Limit", limit)
	}
	if !shedding {
		s.runCounts[id]++
		s.runHistory = append(s.runHistory, Run{ID: id, At: time.Now()})
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
			_ = controller.Flush() // the stream is aborted below
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", n, n)
		_ = controller.Flush() // a disconnected client is detected by its context below
		select {
		case <-r.Context().Done():
			return
		case <-time.After(time.Millisecond):
		}
	}
}
