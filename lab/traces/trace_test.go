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

func TestTracesReachTheirOutcome(t *testing.T) {
	files, err := filepath.Glob("data/*.jsonl")
	if err != nil || len(files) != 4 {
		t.Fatal(files, err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".jsonl"), func(t *testing.T) {
			tr, err := readFile(f)
			if err != nil {
				t.Fatal(err)
			}
			if r := tr.Replay(sim.NewPipelinePolicy(routing.DefaultPipeline())); !r.Meets(tr.Outcome) {
				t.Errorf("%+v, stated %+v", r, tr.Outcome)
			}
		})
	}
}

// Where the pool is even and the load low, ours answers as round robin does;
// with a slow server round robin loses what it sends there.
func TestAgainstRoundRobin(t *testing.T) {
	tr, err := readFile("data/trading-window.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	ours, robin := tr.Replay(sim.NewPipelinePolicy(routing.DefaultPipeline())), tr.Replay(sim.NewRoundRobin)
	if ours.Answered <= robin.Answered || robin.Meets(tr.Outcome) {
		t.Errorf("with a slow server: ours %+v, round robin %+v", ours, robin)
	}
	calm := tr
	calm.Lines = nil
	for _, l := range tr.Lines {
		if l.Fault == "" && l.AtMillis < 15000 {
			calm.Lines = append(calm.Lines, l)
		}
	}
	ours, robin = calm.Replay(sim.NewPipelinePolicy(routing.DefaultPipeline())), calm.Replay(sim.NewRoundRobin)
	if ours.Answered != 1 || robin.Answered != 1 {
		t.Errorf("calm: ours %+v, round robin %+v", ours, robin)
	}
	if again := calm.Replay(sim.NewPipelinePolicy(routing.DefaultPipeline())); again != ours {
		t.Errorf("the same trace gave %+v and %+v", ours, again)
	}
}

func TestExamplesAreAsMade(t *testing.T) {
	for _, tr := range examples() {
		var want bytes.Buffer
		e := json.NewEncoder(&want)
		_ = e.Encode(tr.Header)
		for _, l := range tr.Lines {
			_ = e.Encode(l)
		}
		got, err := os.ReadFile("data/" + tr.Name + ".jsonl")
		if err != nil || !bytes.Equal(got, want.Bytes()) {
			t.Errorf("%s differs from what -write makes (%v)", tr.Name, err)
		}
	}
}

func TestReadRefusesNonsense(t *testing.T) {
	for _, s := range []string{"{", "{}\n{", `{"servers":2}` + "\n" + `{"fault":"down","server":2}`, `{"servers":2}` + "\n" + `{"fault":"burn"}`} {
		if _, err := Read(strings.NewReader(s)); err == nil {
			t.Errorf("%q was read", s)
		}
	}
}
