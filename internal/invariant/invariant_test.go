package invariant

import (
	"testing"
	"time"
)

var limits = Limits{ConfigPropagation: 2 * time.Second, ServerRemoval: 3 * time.Second}

// validHistory returns a history without violations.
func validHistory() []Event {
	return []Event{
		{Kind: ConfigAccepted, ConfigNumber: 1},
		{Kind: ConfigApplied, Daemon: "d", ConfigNumber: 1},
		{Kind: RequestSent, Request: "a", Session: "s"},
		{Kind: ExecutionStarted, Request: "a", Workspace: "w", Model: "m", Version: "v1", Server: "x", Allowed: true},
		{Kind: ExecutionFinished, Request: "a", Answer: "hello"},
		{Kind: ResponseReceived, Request: "a", Answer: "hello", Workspace: "w", Session: "s", Model: "m", Version: "v1"},
		{Kind: RequestBilled, Request: "a"},
		{Kind: VersionWithdrawn, Model: "m", Version: "v1", At: time.Second},
		{Kind: ResponseReceived, Request: "a", Answer: "hello", Workspace: "w", Session: "s", Model: "m", Version: "v2", At: time.Second},
	}
}

func TestValidHistory(t *testing.T) {
	if violations := Check(validHistory(), limits); len(violations) > 0 {
		t.Fatal(violations)
	}
}

// Checks histories that violate exactly one property.
func TestEachViolationIsReported(t *testing.T) {
	cases := map[Property][]Event{
		VersionAllowed:           {{Kind: ExecutionStarted, Request: "b", Model: "m", Version: "v9"}},
		NoWorkOnWithdrawnVersion: {{Kind: ExecutionStarted, Request: "b", Model: "m", Version: "v1", Allowed: true, At: 4 * time.Second}},
		SessionAffinity: {
			{Kind: ResponseReceived, Request: "a", Answer: "hello", Workspace: "w", Session: "s", Model: "m", Version: "v3", At: 2 * time.Second},
		},
		BilledOnce:      {{Kind: RequestBilled, Request: "a"}},
		CompleteAnswer:  {{Kind: ExecutionFinished, Request: "b", Answer: "hello"}, {Kind: RequestBilled, Request: "b"}, {Kind: ResponseReceived, Request: "b", Answer: "hel"}},
		AccurateRefusal: {{Kind: ExecutionStarted, Request: "b", Allowed: true}, {Kind: RefusedNotRun, Request: "b"}},
		AtMostOnce: {
			{Kind: RequestSent, Request: "b", NonRepeatable: true}, {Kind: ExecutionStarted, Request: "b", Allowed: true}, {Kind: ExecutionStarted, Request: "b", Allowed: true},
		},
		NoWorkOnLeavingServer: {
			{Kind: ServerLeaving, Server: "x", At: 5 * time.Second}, {Kind: ExecutionStarted, Request: "b", Server: "x", Allowed: true, At: 9 * time.Second},
		},
		GracefulShutdown: {{Kind: InterruptedByShutdown, Request: "b"}},
		MonotonicConfig:  {{Kind: ConfigApplied, Daemon: "d", ConfigNumber: 0, At: time.Second}},
		TimelyConfig:     {{Kind: ConfigAccepted, ConfigNumber: 2, At: time.Second}, {Kind: ConfigApplied, Daemon: "d", ConfigNumber: 1, At: 4 * time.Second}},
	}
	for property, events := range cases {
		violations := Check(append(validHistory(), events...), limits)
		if len(violations) != 1 || violations[0].Property != property {
			t.Errorf("%s: found %v", property, violations)
		}
	}
	sharedKey := []Event{{Kind: ExecutionStarted, Request: "b", IdempotencyKey: "k", Allowed: true}, {Kind: ExecutionStarted, Request: "c", IdempotencyKey: "k", Allowed: true}}
	if violations := Check(sharedKey, limits); len(violations) != 1 || violations[0].Property != AtMostOnce {
		t.Errorf("two requests with one idempotency key: found %v", violations)
	}
}
