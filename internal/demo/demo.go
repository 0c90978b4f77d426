package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/damaskrudder/damaskrudder/internal/billing"
	"github.com/damaskrudder/damaskrudder/internal/daemon"
	"github.com/damaskrudder/damaskrudder/internal/fleet"
	"github.com/damaskrudder/damaskrudder/internal/invariant"
	"github.com/damaskrudder/damaskrudder/internal/standin"
)

// Options set a demo run.
type Options struct {
	// Duration is how long traffic is sent.
	Duration time.Duration
	// Seed seeds the traffic.
	Seed uint64
	// Start starts a daemon.
	Start StartFunc
}

const (
	daemonCount = 6
	callerCount = 24
	// badVersionErrorRate is the error rate of the version that goes bad.
	badVersionErrorRate = 0.5
	// firstStagePercent is the first stage of the roll-out, in percent.
	firstStagePercent = 10
)

// Run runs the demo and writes its report.
func Run(ctx context.Context, o Options, out io.Writer) error {
	fmt.Fprintf(out, "starting %d daemons, %d model engines and %d plain services in this process\n", daemonCount, engineCount, serviceCount)
	w, err := NewCluster(daemonCount, o.Start)
	if err != nil {
		return err
	}
	defer w.Close()
	t := NewTraffic(w)
	trafficCtx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.Run(trafficCtx, callerCount, o.Seed)
	}()
	if err := w.runScenario(trafficCtx, o.Duration, out); err != nil {
		return err
	}
	<-done
	if err := w.shutdown(ctx); err != nil {
		return err
	}
	return w.writeReport(t, out)
}

// shutdown drains all daemons at once, so that every bill is in the log.
func (w *Cluster) shutdown(ctx context.Context) error {
	errs := make([]error, len(w.Nodes))
	var wg sync.WaitGroup
	for i, n := range w.Nodes {
		wg.Go(func() { errs[i] = n.Shutdown(ctx) })
	}
	wg.Wait()
	w.Nodes = nil
	return errors.Join(errs...)
}

// runScenario rolls a version out, makes it go bad, and replaces a daemon.
func (w *Cluster) runScenario(ctx context.Context, total time.Duration, out io.Writer) error {
	wait := func(d time.Duration) { <-time.After(d) }
	wait(total / 6)
	fmt.Fprintf(out, "rolling out bib-lookup@v2 to %d%% of sessions\n", firstStagePercent)
	rollout := fleet.Rollout{Model: "bib-lookup", TargetVersion: "v2", Stages: []float64{firstStagePercent, 50, 100}, State: fleet.RolloutRunning}
	if err := w.ApplyPatch(fleet.Patch{Rollouts: map[string]json.RawMessage{"bib-lookup": mustMarshal(rollout)}}); err != nil {
		return err
	}
	wait(total / 6)
	fmt.Fprintf(out, "bib-lookup@v2 goes bad: half of its runs fail\n")
	for _, e := range w.Engines {
		e.SetBehaviour("bib-lookup@v2", standin.Behaviour{ErrorRate: badVersionErrorRate})
	}
	wentBad := time.Now()
	for ctx.Err() == nil {
		var c fleet.Config
		if w.CallOperator("GET", "/config", nil, &c) == nil && c.Rollouts["bib-lookup"].State != fleet.RolloutRunning {
			fmt.Fprintf(out, "bib-lookup@v2 is %s and %s, %s after it went bad\n", c.Rollouts["bib-lookup"].State,
				c.Models["bib-lookup"].Versions["v2"].State, time.Since(wentBad).Round(10*time.Millisecond))
			return nil
		}
		wait(20 * time.Millisecond)
	}
	fmt.Fprintln(out, "bib-lookup@v2 was not withdrawn before the traffic ended")
	return nil
}

// requestID strips the attempt and the cascade step from a run id.
func requestID(run string) string {
	id, _, _ := strings.Cut(run, "-")
	return id
}

// collectHistory adds what the backend servers and the ledger know.
func (w *Cluster) collectHistory(t *Traffic) (history []invariant.Event, ledger *billing.Ledger, badRuns int) {
	ledger = billing.NewLedger()
	for _, data := range w.Log.All(daemon.UsageStream) {
		var batch []billing.UsageRecord
		if cbor.Unmarshal(data, &batch) == nil {
			for _, u := range batch {
				ledger.Apply(u)
			}
		}
	}
	history = t.history
	add := func(e invariant.Event) { history = append(history, e) }
	for _, e := range w.Engines {
		texts := e.Texts()
		for run, mv := range e.Runs() {
			model, version, _ := strings.Cut(mv, "@")
			add(invariant.Event{Kind: invariant.ExecutionStarted, Request: requestID(run), Model: model, Version: version, Allowed: true})
			if version == "v2" {
				badRuns++
			}
			if text, ok := texts[run]; ok {
				add(invariant.Event{Kind: invariant.ExecutionFinished, Request: requestID(run), Answer: text})
			}
		}
	}
	for _, s := range w.Services {
		for run, n := range s.Runs() {
			for range n {
				add(invariant.Event{Kind: invariant.ExecutionStarted, Request: run, NonRepeatable: true, IdempotencyKey: run, Allowed: true})
			}
		}
		for run, text := range s.Texts() {
			add(invariant.Event{Kind: invariant.ExecutionFinished, Request: run, Answer: text})
		}
	}
	for id := range ledger.Records() {
		add(invariant.Event{Kind: invariant.RequestBilled, Request: id})
	}
	return history, ledger, badRuns
}

func (w *Cluster) writeReport(t *Traffic, out io.Writer) error {
	history, ledger, badRuns := w.collectHistory(t)
	var micros, expensiveMicros int64
	chats := 0
	for _, u := range ledger.Records() {
		if u.Model == "confirm" {
			continue
		}
		chats++
		micros += u.Micros
		expensiveMicros += billing.Price(u.PromptTokens+u.CompletionTokens, expensivePrice)
	}
	latencyMillis := func(q float64) float64 { return float64(t.firstToken.ValueAtQuantile(q)) / 1000 }
	fmt.Fprintf(out, "\nrequests            %6d\n", t.sent)
	fmt.Fprintf(out, "answered in full    %6d\n", t.answered)
	for _, k := range slices.Sorted(maps.Keys(t.unanswered)) {
		fmt.Fprintf(out, "  not answered      %6d  %s\n", t.unanswered[k], k)
	}
	fmt.Fprintf(out, "bills               %6d  (%d duplicate records folded)\n", ledger.Len(), ledger.Duplicates)
	fmt.Fprintf(out, "cost of chats       %6.2f of always asking the dear model\n", float64(micros)/float64(max(expensiveMicros, 1)))
	fmt.Fprintf(out, "first token         p50 %.1f ms  p95 %.1f ms  p99 %.1f ms\n", latencyMillis(50), latencyMillis(95), latencyMillis(99))
	fmt.Fprintf(out, "runs on the version that went bad  %d of %d chats\n", badRuns, chats)
	violations := invariant.Check(history, invariant.Limits{ConfigPropagation: 2 * time.Second, ServerRemoval: 3 * time.Second})
	if len(violations) == 0 {
		fmt.Fprintln(out, "promises            all checked promises held")
		return nil
	}
	for _, v := range violations[:min(len(violations), maxListedViolations)] {
		fmt.Fprintf(out, "BROKEN              %s: %s\n", v.Property, v.Detail)
	}
	return fmt.Errorf("%d broken promises", len(violations))
}

const (
	// expensivePrice is the price of the dear model in micros per 1,000 tokens.
	expensivePrice = 1500
	// maxListedViolations bounds the broken promises listed.
	maxListedViolations = 10
)
