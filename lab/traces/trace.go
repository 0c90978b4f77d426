// Command traces replays traces of requests and server faults in virtual time and
// compares the results with the expectations of each trace.
//
//	go run ./lab/traces            # replay all traces with all policies
//	go run ./lab/traces -write     # write the example traces
//
// A trace is a file of JSON lines: a Header, followed by Events in order of time.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/routing"
	"github.com/damaskrudder/damaskrudder/lab/sim"
)

// Header describes a trace, its pool and the expected result.
type Header struct {
	Name        string `json:"name"`
	Description string `json:"story"`
	Servers     int    `json:"servers"`
	Slots       int    `json:"slots"`
	// PrefillMicros and TokenMicros are the times per prompt and answer token in µs.
	PrefillMicros int64       `json:"prefill_us"`
	TokenMicros   int64       `json:"token_us"`
	CacheBlocks   int         `json:"cache_blocks"`
	Expected      Expectation `json:"outcome"`
}

// Expectation holds the limits on the result of a replay. A zero value is no limit.
type Expectation struct {
	// MinAnswered is the minimum fraction of requests with a first token within their
	// deadline.
	MinAnswered float64 `json:"answered_at_least"`
	// MaxFirstTokenP95 is the maximum p95 of the time to the first token, in ms.
	MaxFirstTokenP95 float64 `json:"first_p95_ms_at_most"`
	// MaxAttempts is the maximum mean number of attempts per request.
	MaxAttempts float64 `json:"attempts_at_most"`
}

// Event is a request, or a fault if Fault is set.
type Event struct {
	// TimeMillis is the time since the start of the trace, in ms.
	TimeMillis int64 `json:"at"`
	// Group identifies the prompt prefix of SharedTokens that requests share.
	Group            uint64 `json:"group,omitempty"`
	SharedTokens     int    `json:"shared,omitempty"`
	UniqueTokens     int    `json:"own,omitempty"`
	CompletionTokens int    `json:"answer,omitempty"`
	Priority         int    `json:"priority,omitempty"`
	// DeadlineMillis is the maximum time to the first token, in ms. Zero is no limit.
	DeadlineMillis int64 `json:"deadline,omitempty"`
	// Fault is "slow", "down" or "up". It applies to Server.
	Fault  string `json:"fault,omitempty"`
	Server int    `json:"server,omitempty"`
	// SlowFactor is the factor of the service times of a slow server.
	SlowFactor float64 `json:"factor,omitempty"`
}

// Trace is a decoded trace.
type Trace struct {
	Header
	Events []Event
}

// Read decodes and validates a trace. Errors contain the line number.
func Read(r io.Reader) (Trace, error) {
	var t Trace
	scanner := bufio.NewScanner(r)
	for n := 1; scanner.Scan(); n++ {
		if n == 1 {
			if err := json.Unmarshal(scanner.Bytes(), &t.Header); err != nil {
				return t, fmt.Errorf("line 1: %w", err)
			}
			continue
		}
		var event Event
		if err := json.Unmarshal(scanner.Bytes(), &event); err != nil {
			return t, fmt.Errorf("line %d: %w", n, err)
		}
		if event.Fault != "" && (event.Server < 0 || event.Server >= t.Servers || !slices.Contains([]string{"slow", "down", "up"}, event.Fault)) {
			return t, fmt.Errorf("line %d: invalid fault %q of server %d", n, event.Fault, event.Server)
		}
		t.Events = append(t.Events, event)
	}
	return t, scanner.Err()
}

// Result is the result of a replay. FirstTokenP95 is in ms.
type Result struct {
	Requests                        int
	AnsweredFraction, FirstTokenP95 float64
	AttemptsPerRequest              float64
}

// Meets reports whether a result meets an expectation.
func (r Result) Meets(expected Expectation) bool {
	return r.AnsweredFraction >= expected.MinAnswered &&
		(expected.MaxFirstTokenP95 == 0 || r.FirstTokenP95 <= expected.MaxFirstTokenP95) &&
		(expected.MaxAttempts == 0 || r.AttemptsPerRequest <= expected.MaxAttempts)
}

const (
	replayDaemons   = 6
	replayReportLag = 2 * time.Second
	replayDrainTime = time.Minute
)

// Replay runs a trace with a routing policy.
func (t Trace) Replay(policy func(*sim.Cluster, int, *rand.Rand) sim.Policy) Result {
	clock := &sim.Clock{}
	var engines []*sim.Engine
	for range t.Servers {
		e := sim.NewEngine(clock, t.Slots, time.Duration(t.PrefillMicros)*time.Microsecond, time.Duration(t.TokenMicros)*time.Microsecond, t.CacheBlocks)
		e.ReportDelay = replayReportLag
		engines = append(engines, e)
	}
	c := sim.NewCluster(1, engines, clock, replayDaemons, policy)
	var sent []*sim.Request
	last := time.Duration(0)
	for i, event := range t.Events {
		last = time.Duration(event.TimeMillis) * time.Millisecond
		clock.After(last, func() {
			if event.Fault != "" {
				event.applyTo(engines[event.Server])
				return
			}
			sent = append(sent, event.simRequest(uint64(i)))
			c.Send(sent[len(sent)-1])
		})
	}
	clock.Run(last + replayDrainTime)
	return summarize(c.Results, sent)
}

func (event Event) applyTo(e *sim.Engine) {
	switch event.Fault {
	case "slow":
		e.Slowdown = event.SlowFactor
	case "down":
		e.SetDown(true)
	case "up":
		e.SetDown(false)
	}
}

func (event Event) simRequest(n uint64) *sim.Request {
	r := &sim.Request{PromptTokens: event.SharedTokens + event.UniqueTokens, CompletionTokens: event.CompletionTokens, Priority: event.Priority, Deadline: time.Duration(event.DeadlineMillis) * time.Millisecond}
	for b := range event.SharedTokens / routing.BlockTokens {
		r.Blocks = append(r.Blocks, event.Group<<16|uint64(b)+1)
	}
	for b := range event.UniqueTokens / routing.BlockTokens {
		r.Blocks = append(r.Blocks, 1<<62|n<<8|uint64(b))
	}
	return r
}

func summarize(results []*sim.Result, sent []*sim.Request) Result {
	out := Result{Requests: len(results)}
	for i, r := range results {
		out.AttemptsPerRequest += float64(r.Attempts)
		if r.FirstToken > 0 && (sent[i].Deadline == 0 || r.FirstToken <= sent[i].Deadline) {
			out.AnsweredFraction++
		}
	}
	n := float64(max(len(results), 1))
	out.AnsweredFraction /= n
	out.AttemptsPerRequest /= n
	out.FirstTokenP95 = float64(sim.Quantile(results, 0.95, nil)) / float64(time.Millisecond)
	return out
}

func readFile(name string) (Trace, error) {
	f, err := os.Open(name)
	if err != nil {
		return Trace{}, err
	}
	defer f.Close()
	t, err := Read(f)
	if err != nil {
		return t, fmt.Errorf("%s: %w", name, err)
	}
	return t, nil
}
