package invariant

import (
	"testing"
	"time"
)

var limits = Limits{InForce: 2 * time.Second, Leaving: 3 * time.Second}

// good is a history that breaks nothing.
func good() []Event {
	return []Event{
		{Kind: Accepted, Number: 1},
		{Kind: InForce, Daemon: "d", Number: 1},
		{Kind: Asked, Request: "a", Session: "s"},
		{Kind: Started, Request: "a", Workspace: "w", Model: "m", Version: "v1", Server: "x", Allowed: true},
		{Kind: Produced, Request: "a", Text: "hello"},
		{Kind: Answered, Request: "a", Text: "hello", Workspace: "w", Session: "s", Model: "m", Version: "v1"},
		{Kind: Billed, Request: "a"},
		{Kind: Withdrew, Model: "m", Version: "v1", At: time.Second},
		{Kind: Answered, Request: "a", Text: "hello", Workspace: "w", Session: "s", Model: "m", Version: "v2", At: time.Second},
	}
}

func TestAGoodHistoryPasses(t *testing.T) {
	if broken := Check(good(), limits); len(broken) > 0 {
		t.Fatal(broken)
	}
}

// Each promise has a history that breaks it and nothing else.
func TestEachBrokenPromiseIsFound(t *testing.T) {
	cases := map[Promise][]Event{
		Entitled:  {{Kind: Started, Request: "b", Model: "m", Version: "v9"}},
		NoNewWork: {{Kind: Started, Request: "b", Model: "m", Version: "v1", Allowed: true, At: 4 * time.Second}},
		SessionKept: {
			{Kind: Answered, Request: "a", Text: "hello", Workspace: "w", Session: "s", Model: "m", Version: "v3", At: 2 * time.Second},
		},
		BilledOnce:  {{Kind: Billed, Request: "a"}},
		WholeAnswer: {{Kind: Produced, Request: "b", Text: "hello"}, {Kind: Billed, Request: "b"}, {Kind: Answered, Request: "b", Text: "hel"}},
		TrueRefusal: {{Kind: Started, Request: "b", Allowed: true}, {Kind: RefusedNotRun, Request: "b"}},
		AtMostOnce: {
			{Kind: Asked, Request: "b", NonRepeatable: true}, {Kind: Started, Request: "b", Allowed: true}, {Kind: Started, Request: "b", Allowed: true},
		},
		LeavingIdle: {
			{Kind: ServerLeft, Server: "x", At: 5 * time.Second}, {Kind: Started, Request: "b", Server: "x", Allowed: true, At: 9 * time.Second},
		},
		GracefulEnd:    {{Kind: CutByShutdown, Request: "b"}},
		NeverReverts:   {{Kind: InForce, Daemon: "d", Number: 0, At: time.Second}},
		InForceQuickly: {{Kind: Accepted, Number: 2, At: time.Second}, {Kind: InForce, Daemon: "d", Number: 1, At: 4 * time.Second}},
	}
	for promise, events := range cases {
		broken := Check(append(good(), events...), limits)
		if len(broken) != 1 || broken[0].Promise != promise {
			t.Errorf("%s: found %v", promise, broken)
		}
	}
	twice := []Event{{Kind: Started, Request: "b", Key: "k", Allowed: true}, {Kind: Started, Request: "c", Key: "k", Allowed: true}}
	if broken := Check(twice, limits); len(broken) != 1 || broken[0].Promise != AtMostOnce {
		t.Errorf("two requests of one key: %v", broken)
	}
}
