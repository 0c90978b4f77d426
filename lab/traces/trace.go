// Command traces replays recorded traffic and faults through the routing in
// virtual time and compares what happens with the outcome stated in the trace.
//
//	go run ./lab/traces            # replay all, ours and naive
//	go run ./lab/traces -write     # make the example traces anew
//
// A trace is a file of JSON lines. The first is a Header; each other one is a
// Line, in order of time: a request, or a fault of a server.
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

// Header describes a trace and its pool, and states the outcome.
type Header struct {
	Name    string `json:"name"`
	Story   string `json:"story"`
	Servers int    `json:"servers"`
	Slots   int    `json:"slots"`
	// PrefillMicros and TokenMicros are service times per token in µs.
	PrefillMicros int64 `json:"prefill_us"`
	TokenMicros   int64 `json:"token_us"`
	CacheBlocks   int   `json:"cache_blocks"`
	// Outcome is what a replay must reach.
	Outcome Outcome `json:"outcome"`
}

// Outcome bounds a replay. Zero values bound nothing.
type Outcome struct {
	// AnsweredAtLeast is the least share of requests with a first token within
	// their deadline.
	AnsweredAtLeast float64 `json:"answered_at_least"`
	// FirstP95AtMost is the largest p95 of first tokens, in ms.
	FirstP95AtMost float64 `json:"first_p95_ms_at_most"`
	// AttemptsAtMost is the largest number of attempts per request.
	AttemptsAtMost float64 `json:"attempts_at_most"`
}

// Line is a request or a fault.
type Line struct {
	AtMillis int64 `json:"at"`
	// Group names the shared prefix, Shared and Own are prompt tokens.
	Group    uint64 `json:"group,omitempty"`
	Shared   int    `json:"shared,omitempty"`
	Own      int    `json:"own,omitempty"`
	Answer   int    `json:"answer,omitempty"`
	Priority int    `json:"priority,omitempty"`
	// Deadline bounds the first token, in ms.
	Deadline int64 `json:"deadline,omitempty"`
	// Fault is "slow", "down" or "up", of Server by Factor.
	Fault  string  `json:"fault,omitempty"`
	Server int     `json:"server,omitempty"`
	Factor float64 `json:"factor,omitempty"`
}

// Trace is a decoded trace.
type Trace struct {
	Header
	Lines []Line
}

// Read decodes a trace and checks it.
func Read(r io.Reader) (Trace, error) {
	var t Trace
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		if n == 1 {
			if err := json.Unmarshal(lines.Bytes(), &t.Header); err != nil {
				return t, fmt.Errorf("line 1: %w", err)
			}
			continue
		}
		var l Line
		if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
			return t, fmt.Errorf("line %d: %w", n, err)
		}
		if l.Fault != "" && (l.Server < 0 || l.Server >= t.Servers || !slices.Contains([]string{"slow", "down", "up"}, l.Fault)) {
			return t, fmt.Errorf("line %d: no fault %q of server %d", n, l.Fault, l.Server)
		}
		t.Lines = append(t.Lines, l)
	}
	return t, lines.Err()
}

// Result is what a replay reached.
type Result struct {
	Requests           int
	Answered, FirstP95 float64
	Attempts           float64
}

// Meets reports whether the stated outcome was reached.
func (r Result) Meets(o Outcome) bool {
	return r.Answered >= o.AnsweredAtLeast &&
		(o.FirstP95AtMost == 0 || r.FirstP95 <= o.FirstP95AtMost) &&
		(o.AttemptsAtMost == 0 || r.Attempts <= o.AttemptsAtMost)
}

const (
	replayDaemons = 6
	replayLag     = 2 * time.Second
	replayTail    = time.Minute
)

// Replay runs a trace under a policy.
func (t Trace) Replay(policy func(*sim.Cluster, int, *rand.Rand) sim.Policy) Result {
	clock := &sim.Clock{}
	var engines []*sim.Engine
	for range t.Servers {
		e := sim.NewEngine(clock, t.Slots, time.Duration(t.PrefillMicros)*time.Microsecond, time.Duration(t.TokenMicros)*time.Microsecond, t.CacheBlocks)
		e.ReportDelay = replayLag
		engines = append(engines, e)
	}
	c := sim.NewCluster(1, engines, clock, replayDaemons, policy)
	var sent []*sim.Request
	last := time.Duration(0)
	for i, l := range t.Lines {
		last = time.Duration(l.AtMillis) * time.Millisecond
		clock.After(last, func() {
			if l.Fault != "" {
				l.strike(engines[l.Server])
				return
			}
			sent = append(sent, l.request(uint64(i)))
			c.Send(sent[len(sent)-1])
		})
	}
	clock.Run(last + replayTail)
	return judge(c.Results, sent)
}

func (l Line) strike(e *sim.Engine) {
	switch l.Fault {
	case "slow":
		e.Slowdown = l.Factor
	case "down":
		e.SetDown(true)
	case "up":
		e.SetDown(false)
	}
}

func (l Line) request(n uint64) *sim.Request {
	r := &sim.Request{PromptTokens: l.Shared + l.Own, OutputTokens: l.Answer, Priority: l.Priority, Deadline: time.Duration(l.Deadline) * time.Millisecond}
	for b := range l.Shared / routing.BlockTokens {
		r.Blocks = append(r.Blocks, l.Group<<16|uint64(b)+1)
	}
	for b := range l.Own / routing.BlockTokens {
		r.Blocks = append(r.Blocks, 1<<62|n<<8|uint64(b))
	}
	return r
}

func judge(results []*sim.Result, sent []*sim.Request) Result {
	out := Result{Requests: len(results)}
	for i, r := range results {
		out.Attempts += float64(r.Attempts)
		if r.FirstToken > 0 && (sent[i].Deadline == 0 || r.FirstToken <= sent[i].Deadline) {
			out.Answered++
		}
	}
	n := float64(max(len(results), 1))
	out.Answered /= n
	out.Attempts /= n
	out.FirstP95 = float64(sim.Quantile(results, 0.95, nil)) / float64(time.Millisecond)
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
