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

// Options configures a demo run.
type Options struct {
	// Duration is the time during which traffic is sent.
	Duration time.Duration
	// Seed is the random seed of the traffic.
	Seed uint64
	// Start starts each daemon.
	Start StartFunc
}

const (
	daemonCount = 6
	clientCount = 24
	// badVersionErrorRate is the error rate of bib-lookup@v2 once it fails.
	badVersionErrorRate = 0.5
	// firstStagePercent is the share of sessions in the first stage of the roll-out.
	firstStagePercent = 10
)

// Run runs the demo and writes the report to out. It returns an error if a property
// of package invariant is violated.
func Run(ctx context.Context, o Options, out io.Writer) error {
	fmt.Fprintf(out, "starting %d daemons, %d model engines and %d plain services in this process\n", daemonCount, engineCount, serviceCount)
	cluster, err := NewCluster(daemonCount, o.Start)
	if err != nil {
		return err
	}
	defer cluster.Close()
	traffic := NewTraffic(cluster)
	trafficCtx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		traffic.Run(trafficCtx, clientCount, o.Seed)
	}()
	if err := cluster.runScenario(trafficCtx, o.Duration, out); err != nil {
		return err
	}
	<-done
	if err := cluster.shutdown(ctx); err != nil {
		return err
	}
	return cluster.writeReport(traffic, out)
}

// shutdown stops all daemons gracefully, which writes all usage records to the log.
func (c *Cluster) shutdown(ctx context.Context) error {
	errs := make([]error, len(c.Nodes))
	var wg sync.WaitGroup
	for i, n := range c.Nodes {
		wg.Go(func() { errs[i] = n.Shutdown(ctx) })
	}
	wg.Wait()
	c.Nodes = nil
	return errors.Join(errs...)
}

// runScenario rolls out bib-lookup@v2, makes it fail, and waits until the roll-out
// has been stopped.
func (c *Cluster) runScenario(ctx context.Context, total time.Duration, out io.Writer) error {
	wait := func(d time.Duration) { <-time.After(d) }
	wait(total / 6)
	fmt.Fprintf(out, "rolling out bib-lookup@v2 to %d%% of sessions\n", firstStagePercent)
	rollout := fleet.Rollout{Model: "bib-lookup", TargetVersion: "v2", Stages: []float64{firstStagePercent, 50, 100}, State: fleet.RolloutRunning}
	if err := c.ApplyPatch(fleet.Patch{Rollouts: map[string]json.RawMessage{"bib-lookup": mustMarshal(rollout)}}); err != nil {
		return err
	}
	wait(total / 6)
	fmt.Fprintf(out, "bib-lookup@v2 goes bad: half of its runs fail\n")
	for _, e := range c.Engines {
		e.SetBehaviour("bib-lookup@v2", standin.Behaviour{ErrorRate: badVersionErrorRate})
	}
	failingSince := time.Now()
	for ctx.Err() == nil {
		var config fleet.Config
		if c.CallOperator("GET", "/config", nil, &config) == nil && config.Rollouts["bib-lookup"].State != fleet.RolloutRunning {
			fmt.Fprintf(out, "bib-lookup@v2 is %s and %s, %s after it went bad\n", config.Rollouts["bib-lookup"].State,
				config.Models["bib-lookup"].Versions["v2"].State, time.Since(failingSince).Round(10*time.Millisecond))
			return nil
		}
		wait(20 * time.Millisecond)
	}
	fmt.Fprintln(out, "bib-lookup@v2 was not withdrawn before the traffic ended")
	return nil
}

// requestID strips the attempt and the cascade step from an execution ID.
func requestID(run string) string {
	id, _, _ := strings.Cut(run, "-")
	return id
}

// collectHistory returns the history of responses, executions and bills, the ledger, and
// the number of runs on bib-lookup@v2.
func (c *Cluster) collectHistory(traffic *Traffic) (history []invariant.Event, ledger *billing.Ledger, badVersionRuns int) {
	ledger = billing.NewLedger()
	for _, data := range c.Log.Records(daemon.UsageStream) {
		var batch []billing.UsageRecord
		if cbor.Unmarshal(data, &batch) == nil {
			for _, u := range batch {
				ledger.Apply(u)
			}
		}
	}
	history = traffic.history
	add := func(e invariant.Event) { history = append(history, e) }
	for _, e := range c.Engines {
		texts := e.Answers()
		for run, modelVersion := range e.RunVersions() {
			model, version, _ := strings.Cut(modelVersion, "@")
			add(invariant.Event{Kind: invariant.ExecutionStarted, Request: requestID(run), Model: model, Version: version, Allowed: true})
			if version == "v2" {
				badVersionRuns++
			}
			if text, ok := texts[run]; ok {
				add(invariant.Event{Kind: invariant.ExecutionFinished, Request: requestID(run), Answer: text})
			}
		}
	}
	for _, s := range c.Services {
		for run, n := range s.RunCounts() {
			for range n {
				add(invariant.Event{Kind: invariant.ExecutionStarted, Request: run, NonRepeatable: true, IdempotencyKey: run, Allowed: true})
			}
		}
		for run, text := range s.Replies() {
			add(invariant.Event{Kind: invariant.ExecutionFinished, Request: run, Answer: text})
		}
	}
	for id := range ledger.Records() {
		add(invariant.Event{Kind: invariant.RequestBilled, Request: id})
	}
	return history, ledger, badVersionRuns
}

func (c *Cluster) writeReport(traffic *Traffic, out io.Writer) error {
	history, ledger, badVersionRuns := c.collectHistory(traffic)
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
	latencyMillis := func(q float64) float64 { return float64(traffic.firstTokenMicros.ValueAtQuantile(q)) / 1000 }
	fmt.Fprintf(out, "\nrequests            %6d\n", traffic.sent)
	fmt.Fprintf(out, "answered in full    %6d\n", traffic.answered)
	for _, k := range slices.Sorted(maps.Keys(traffic.unanswered)) {
		fmt.Fprintf(out, "  not answered      %6d  %s\n", traffic.unanswered[k], k)
	}
	fmt.Fprintf(out, "bills               %6d  (%d duplicate records folded)\n", ledger.Len(), ledger.Duplicates)
	fmt.Fprintf(out, "cost of chats       %6.2f of always asking the dear model\n", float64(micros)/float64(max(expensiveMicros, 1)))
	fmt.Fprintf(out, "first token         p50 %.1f ms  p95 %.1f ms  p99 %.1f ms\n", latencyMillis(50), latencyMillis(95), latencyMillis(99))
	fmt.Fprintf(out, "runs on the version that went bad  %d of %d chats\n", badVersionRuns, chats)
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
	// expensivePrice is the price of warrant-reader in micros per 1,000 tokens.
	expensivePrice = 1500
	// maxListedViolations is the maximum number of violations in the report.
	maxListedViolations = 10
)
