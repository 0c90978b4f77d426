package main

import (
	"bufio"
	"encoding/json"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
)

// poolHeader holds the pool settings of all examples.
var poolHeader = Header{Servers: 10, Slots: 8, PrefillMicros: 200, TokenMicros: 15000, CacheBlocks: 1500}

// deskRequest returns a request with a long prompt and one of many shared prefixes.
func deskRequest(rng *rand.Rand, at int64) Event {
	return Event{TimeMillis: at, Group: uint64(rng.ExpFloat64() * 12), SharedTokens: 1024, UniqueTokens: 128 + rng.IntN(128), CompletionTokens: 30 + rng.IntN(60), DeadlineMillis: 3000}
}

// registrationRequest returns a request of lower priority with a short prompt.
func registrationRequest(rng *rand.Rand, at int64) Event {
	return Event{TimeMillis: at, Group: 1000 + uint64(rng.IntN(4)), SharedTokens: 256, UniqueTokens: 64, CompletionTokens: 20 + rng.IntN(30), Priority: 1, DeadlineMillis: 4000}
}

// appendRequests appends the requests of a Poisson process between two times in ms.
func appendRequests(rng *rand.Rand, events []Event, from, to int64, perSecond float64, newRequest func(*rand.Rand, int64) Event) []Event {
	for at := float64(from); ; {
		at += rng.ExpFloat64() / perSecond * 1000
		if int64(at) >= to {
			return events
		}
		events = append(events, newRequest(rng, int64(at)))
	}
}

// examples generates the committed traces. They are synthetic.
func examples() []Trace {
	rng := rand.New(rand.NewPCG(20261202, 5))
	all := []Trace{
		{Header: Header{Name: "trading-window", Description: "A desk with long shared prompts; the window opens for ten seconds at three times the load, and one server is slow.",
			Expected: Expectation{MinAnswered: 0.98, MaxFirstTokenP95: 1500, MaxAttempts: 1.1}},
			Events: append(appendRequests(rng, appendRequests(rng, nil, 0, 40000, 14, deskRequest), 15000, 25000, 28, deskRequest), Event{TimeMillis: 5000, Fault: "slow", Server: 2, SlowFactor: 3})},
		{Header: Header{Name: "race-morning", Description: "Entries burst for five seconds to more than the pool can start in time, beside a desk that goes first.",
			Expected: Expectation{MinAnswered: 0.85, MaxFirstTokenP95: 3500, MaxAttempts: 1.1}},
			Events: appendRequests(rng, appendRequests(rng, nil, 0, 30000, 10, deskRequest), 10000, 15000, 160, registrationRequest)},
		{Header: Header{Name: "pool-out", Description: "A failure domain with two servers is lost, and comes back empty.",
			Expected: Expectation{MinAnswered: 0.97, MaxFirstTokenP95: 1500, MaxAttempts: 1.1}},
			Events: append(appendRequests(rng, nil, 0, 40000, 28, deskRequest),
				Event{TimeMillis: 12000, Fault: "down", Server: 0}, Event{TimeMillis: 12000, Fault: "down", Server: 1},
				Event{TimeMillis: 28000, Fault: "up", Server: 0}, Event{TimeMillis: 28000, Fault: "up", Server: 1})},
		{Header: Header{Name: "both-at-once", Description: "The entries' burst while a failure domain is lost and another server is slow.",
			Expected: Expectation{MinAnswered: 0.93, MaxFirstTokenP95: 3780, MaxAttempts: 1.03}},
			Events: append(appendRequests(rng, appendRequests(rng, nil, 0, 30000, 14, deskRequest), 10000, 15000, 120, registrationRequest),
				Event{TimeMillis: 11000, Fault: "down", Server: 0}, Event{TimeMillis: 11000, Fault: "down", Server: 1}, Event{TimeMillis: 9000, Fault: "slow", Server: 5, SlowFactor: 3})},
	}
	for i := range all {
		h := poolHeader
		h.Name, h.Description, h.Expected = all[i].Name, all[i].Description, all[i].Expected
		all[i].Header = h
		slices.SortStableFunc(all[i].Events, func(a, b Event) int { return int(a.TimeMillis - b.TimeMillis) })
	}
	return all
}

func writeExamples(dir string) error {
	for _, t := range examples() {
		f, err := os.Create(filepath.Join(dir, t.Name+".jsonl"))
		if err != nil {
			return err
		}
		w := bufio.NewWriter(f)
		e := json.NewEncoder(w)
		if err := e.Encode(t.Header); err != nil {
			return err
		}
		for _, event := range t.Events {
			if err := e.Encode(event); err != nil {
				return err
			}
		}
		if err := w.Flush(); err != nil {
			return err
		}
		if err := f.Close(); err != nil {
			return err
		}
	}
	return nil
}
