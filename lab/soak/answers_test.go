package main

import (
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fault"
)

// Guards against a check that misses a request without an answer, or reports one that the rules allow.
func TestCheckAnswersReportsViolations(t *testing.T) {
	now := time.Now()
	const daemon = "d"
	rules := answerRules{
		timeouts: []timeoutPeriod{
			{now.Add(-time.Minute), [routeKindCount]time.Duration{time.Second, time.Second, time.Second}},
			{now.Add(-maxConfigDelay - time.Second), [routeKindCount]time.Duration{5 * time.Second, 5 * time.Second, 5 * time.Second}},
		},
		terms:   map[string][]time.Time{daemon: {now.Add(-2 * time.Second)}},
		arrived: func(id string) bool { return id == "passed on" },
	}
	cut := func(change func(c *call)) call {
		c := call{clientAddr: daemon, sentAt: now, endedAt: now.Add(2 * time.Second), err: errViolations, sending: sending{writtenAt: now}}
		change(&c)
		return c
	}
	status := func(status int, seal string) call {
		return cut(func(c *call) { c.err, c.status, c.seal = nil, status, seal })
	}
	crossing := func(id string, after time.Duration) call {
		return cut(func(c *call) { c.id, c.keptConnection, c.endedAt = id, true, now.Add(after) })
	}
	for name, tt := range map[string]struct {
		c    call
		want bool
	}{
		"cut":                                 {cut(func(*call) {}), true},
		"cut in its answer":                   {cut(func(c *call) { c.status, c.seal = 200, "seal" }), true},
		"own failure":                         {status(502, ""), true},
		"own failure before the timeout":      {status(504, ""), true},
		"answer":                              {status(200, "seal"), false},
		"failure of the server":               {status(500, "seal"), false},
		"refusal":                             {status(503, ""), false},
		"not sent":                            {cut(func(c *call) { c.writtenAt = time.Time{} }), false},
		"passed on before it was whole":       {cut(func(c *call) { c.id, c.writtenAt = "passed on", time.Time{} }), true},
		"timeout of the route":                {cut(func(c *call) { c.endedAt = now.Add(5 * time.Second) }), false},
		"crosses the close":                   {crossing("", lossSlack), false},
		"crosses the close, passed on":        {crossing("passed on", lossSlack), true},
		"longer on a kept connection":         {crossing("", lossSlack+time.Millisecond), true},
		"reset on a new connection":           {cut(func(c *call) { c.endedAt = now }), true},
		"served at the end of the grace time": {cut(func(c *call) { c.endedAt = now.Add(4900 * time.Millisecond) }), false},
		"sent late, served at the end":        {cut(func(c *call) { c.sentAt, c.endedAt = now.Add(1100*time.Millisecond), now.Add(5900*time.Millisecond) }), true},
	} {
		if why := rules.missingAnswer(tt.c); (why != "") != tt.want {
			t.Errorf("%s: %q, want a report: %t", name, why, tt.want)
		}
	}
}

// Guards against the same of the own interface.
func TestOwnCallReportsViolations(t *testing.T) {
	now := time.Now()
	for name, tt := range map[string]struct {
		change func(c *ownCall)
		want   bool
	}{
		"answer":              {func(*ownCall) {}, false},
		"refusal":             {func(c *ownCall) { c.status, c.executionState = 503, string(fault.NotRun) }, false},
		"failure":             {func(c *ownCall) { c.status, c.executionState = 502, string(fault.Unknown) }, true},
		"failure in a stream": {func(c *ownCall) { c.complete = false }, true},
		"cut in its answer":   {func(c *ownCall) { c.err = errViolations }, true},
		"reset":               {func(c *ownCall) { c.status, c.err = 0, errViolations }, true},
		"crosses the close":   {func(c *ownCall) { c.status, c.err, c.keptConnection = 0, errViolations, true }, false},
		"not sent":            {func(c *ownCall) { c.status, c.err, c.writtenAt = 0, errViolations, time.Time{} }, false},
		"timeout":             {func(c *ownCall) { c.status, c.endAt = 504, now.Add(ownRequestTimeout) }, false},
	} {
		c := ownCall{sentAt: now, endAt: now.Add(lossSlack), status: 200, complete: true, sending: sending{writtenAt: now}}
		tt.change(&c)
		if why := c.missingAnswer(); (why != "") != tt.want {
			t.Errorf("%s: %q, want a report: %t", name, why, tt.want)
		}
	}
}
