package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/damaskrudder/damaskrudder/internal/routing"
	"github.com/damaskrudder/damaskrudder/lab/sim"
)

func main() {
	dir := flag.String("dir", "lab/traces/data", "directory of traces")
	write := flag.Bool("write", false, "make the example traces anew")
	flag.Parse()
	if err := run(*dir, *write, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "traces:", err)
		os.Exit(1)
	}
}

func run(dir string, write bool, out io.Writer) error {
	if write {
		return writeExamples(dir)
	}
	files, err := filepath.Glob(filepath.Join(dir, "*.jsonl"))
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%-18s %-14s %9s %9s %12s %9s  %s\n", "trace", "policy", "requests", "answered", "p95 first ms", "attempts", "outcome")
	missed := 0
	for _, f := range files {
		trace, err := readFile(f)
		if err != nil {
			return err
		}
		if !report(out, trace) {
			missed++
		}
	}
	if missed > 0 {
		return fmt.Errorf("%d traces missed their outcome", missed)
	}
	return nil
}

// report prints the results of all policies and returns whether the default routing
// pipeline meets the expectation.
func report(out io.Writer, t Trace) bool {
	ours := t.Replay(sim.NewPipelinePolicy(routing.DefaultPipeline()))
	for _, p := range []struct {
		name string
		r    Result
	}{{"ours", ours}, {"round robin", t.Replay(sim.NewRoundRobin)}, {"least reported", t.Replay(sim.NewLeastReported)}} {
		verdict := "missed"
		if p.r.Meets(t.Expected) {
			verdict = "met"
		}
		fmt.Fprintf(out, "%-18s %-14s %9d %9.4f %12.1f %9.3f  %s\n", t.Name, p.name, p.r.Requests, p.r.AnsweredFraction, p.r.FirstTokenP95, p.r.AttemptsPerRequest, verdict)
	}
	return ours.Meets(t.Expected)
}
