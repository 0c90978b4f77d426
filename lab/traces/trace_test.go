package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/damaskrudder/damaskrudder/internal/routing"
	"github.com/damaskrudder/damaskrudder/lab/sim"
)

func TestTracesMeetExpectations(t *testing.T) {
	files, err := filepath.Glob("data/*.jsonl")
	if err != nil || len(files) != 4 {
		t.Fatal(files, err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".jsonl"), func(t *testing.T) {
			trace, err := readFile(f)
			if err != nil {
				t.Fatal(err)
			}
			if r := trace.Replay(sim.NewPipelinePolicy(routing.DefaultPipeline())); !r.Meets(trace.Expected) {
				t.Errorf("got %+v, expected %+v", r, trace.Expected)
			}
		})
	}
}

// At low load without faults the default pipeline and round robin both answer all
// requests. With a slow server the default pipeline must answer more.
func TestCompareWithRoundRobin(t *testing.T) {
	trace, err := readFile("data/trading-window.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	ours, robin := trace.Replay(sim.NewPipelinePolicy(routing.DefaultPipeline())), trace.Replay(sim.NewRoundRobin)
	if ours.AnsweredFraction <= robin.AnsweredFraction || robin.Meets(trace.Expected) {
		t.Errorf("with a slow server: ours %+v, round robin %+v", ours, robin)
	}
	beforePeak := trace
	beforePeak.Events = nil
	for _, event := range trace.Events {
		if event.Fault == "" && event.TimeMillis < 15000 {
			beforePeak.Events = append(beforePeak.Events, event)
		}
	}
	ours, robin = beforePeak.Replay(sim.NewPipelinePolicy(routing.DefaultPipeline())), beforePeak.Replay(sim.NewRoundRobin)
	if ours.AnsweredFraction != 1 || robin.AnsweredFraction != 1 {
		t.Errorf("before the peak: ours %+v, round robin %+v", ours, robin)
	}
	if again := beforePeak.Replay(sim.NewPipelinePolicy(routing.DefaultPipeline())); again != ours {
		t.Errorf("two replays of the same trace: %+v and %+v", ours, again)
	}
}

func TestCommittedExamplesMatchGenerator(t *testing.T) {
	for _, trace := range examples() {
		var want bytes.Buffer
		e := json.NewEncoder(&want)
		_ = e.Encode(trace.Header)
		for _, event := range trace.Events {
			_ = e.Encode(event)
		}
		got, err := os.ReadFile("data/" + trace.Name + ".jsonl")
		if err != nil || !bytes.Equal(got, want.Bytes()) {
			t.Errorf("%s differs from the output of -write (%v)", trace.Name, err)
		}
	}
}

func TestReadRejectsInvalidTraces(t *testing.T) {
	for _, s := range []string{"{", "{}\n{", `{"servers":2}` + "\n" + `{"fault":"down","server":2}`, `{"servers":2}` + "\n" + `{"fault":"burn"}`} {
		if _, err := Read(strings.NewReader(s)); err == nil {
			t.Errorf("%q was accepted", s)
		}
	}
}
