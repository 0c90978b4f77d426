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
	// For is how long traffic is sent.
	For time.Duration
	// Seed seeds the traffic.
	Seed uint64
	// Start starts a daemon.
	Start StartFunc
}

const (
	daemonCount = 6
	callerCount = 24
	// badErrors is the error rate of the version that goes bad.
	badErrors = 0.5
	// rolloutShare is the first stage of the roll-out, in percent.
	rolloutShare = 10
)

// Run runs the demo and writes its report.
func Run(ctx context.Context, o Options, out io.Writer) error {
	fmt.Fprintf(out, "starting %d daemons, %d model engines and %d plain services in this process\n", daemonCount, engineCount, serviceCount)
	w, err := NewWorld(daemonCount, o.Start)
	if err != nil {
		return err
	}
	defer w.Close()
	t := NewTraffic(w)
	trafficCtx, cancel := context.WithTimeout(ctx, o.For)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.Run(trafficCtx, callerCount, o.Seed)
	}()
	if err := w.story(trafficCtx, o.For, out); err != nil {
		return err
	}
	<-done
	if err := w.shutdown(ctx); err != nil {
		return err
	}
	return w.report(t, out)
}

// shutdown drains all daemons at once, so that every bill is in the log.
func (w *World) shutdown(ctx context.Context) error {
	errs := make([]error, len(w.Nodes))
	var wg sync.WaitGroup
	for i, n := range w.Nodes {
		wg.Go(func() { errs[i] = n.Shutdown(ctx) })
	}
	wg.Wait()
	w.Nodes = nil
	return errors.Join(errs...)
}

// story rolls a version out, makes it go bad, and replaces a daemon.
func (w *World) story(ctx context.Context, total time.Duration, out io.Writer) error {
	wait := func(d time.Duration) { <-time.After(d) }
	wait(total / 6)
	fmt.Fprintf(out, "rolling out bib-lookup@v2 to %d%% of sessions\n", rolloutShare)
	ro := fleet.Rollout{Model: "bib-lookup", TargetVersion: "v2", Stages: []float64{rolloutShare, 50, 100}, State: fleet.RolloutRunning}
	if err := w.Apply(fleet.Patch{Rollouts: map[string]json.RawMessage{"bib-lookup": raw(ro)}}); err != nil {
		return err
	}
	wait(total / 6)
	fmt.Fprintf(out, "bib-lookup@v2 goes bad: half of its runs fail\n")
	for _, e := range w.Engines {
		e.SetBehaviour("bib-lookup@v2", standin.Behaviour{ErrorRate: badErrors})
	}
	wentBad := time.Now()
	for ctx.Err() == nil {
		var c fleet.Config
		if w.Operator("GET", "/config", nil, &c) == nil && c.Rollouts["bib-lookup"].State != fleet.RolloutRunning {
			fmt.Fprintf(out, "bib-lookup@v2 is %s and %s, %s after it went bad\n", c.Rollouts["bib-lookup"].State,
				c.Models["bib-lookup"].Versions["v2"].State, time.Since(wentBad).Round(10*time.Millisecond))
			return nil
		}
		wait(20 * time.Millisecond)
	}
	fmt.Fprintln(out, "bib-lookup@v2 was not withdrawn before the traffic ended")
	return nil
}

// requestOf strips the attempt and the cascade step from a run id.
func requestOf(run string) string {
	id, _, _ := strings.Cut(run, "-")
	return id
}

// completeHistory adds what the backend servers and the ledger know.
func (w *World) completeHistory(t *Traffic) (history []invariant.Event, ledger *billing.Ledger, badRuns int) {
	ledger = billing.NewLedger()
	for _, data := range w.Log.Records(daemon.UsageStream) {
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
		texts := e.Answers()
		for run, mv := range e.RunVersions() {
			model, version, _ := strings.Cut(mv, "@")
			add(invariant.Event{Kind: invariant.Started, Request: requestOf(run), Model: model, Version: version, Allowed: true})
			if version == "v2" {
				badRuns++
			}
			if text, ok := texts[run]; ok {
				add(invariant.Event{Kind: invariant.Produced, Request: requestOf(run), Text: text})
			}
		}
	}
	for _, s := range w.Services {
		for run, n := range s.RunCounts() {
			for range n {
				add(invariant.Event{Kind: invariant.Started, Request: run, NonRepeatable: true, Key: run, Allowed: true})
			}
		}
		for run, text := range s.Replies() {
			add(invariant.Event{Kind: invariant.Produced, Request: run, Text: text})
		}
	}
	for id := range ledger.Records() {
		add(invariant.Event{Kind: invariant.Billed, Request: id})
	}
	return history, ledger, badRuns
}

func (w *World) report(t *Traffic, out io.Writer) error {
	history, ledger, badRuns := w.completeHistory(t)
	var micros, dear int64
	chats := 0
	for _, u := range ledger.Records() {
		if u.Model == "confirm" {
			continue
		}
		chats++
		micros += u.Micros
		dear += billing.Price(u.PromptTokens+u.CompletionTokens, dearPrice)
	}
	ms := func(q float64) float64 { return float64(t.firstToken.ValueAtQuantile(q)) / 1000 }
	fmt.Fprintf(out, "\nrequests            %6d\n", t.asked)
	fmt.Fprintf(out, "answered in full    %6d\n", t.answered)
	for _, k := range slices.Sorted(maps.Keys(t.refused)) {
		fmt.Fprintf(out, "  not answered      %6d  %s\n", t.refused[k], k)
	}
	fmt.Fprintf(out, "bills               %6d  (%d duplicate records folded)\n", ledger.Len(), ledger.Duplicates)
	fmt.Fprintf(out, "cost of chats       %6.2f of always asking the dear model\n", float64(micros)/float64(max(dear, 1)))
	fmt.Fprintf(out, "first token         p50 %.1f ms  p95 %.1f ms  p99 %.1f ms\n", ms(50), ms(95), ms(99))
	fmt.Fprintf(out, "runs on the version that went bad  %d of %d chats\n", badRuns, chats)
	broken := invariant.Check(history, invariant.Limits{InForce: 2 * time.Second, Leaving: 3 * time.Second})
	if len(broken) == 0 {
		fmt.Fprintln(out, "promises            all checked promises held")
		return nil
	}
	for _, v := range broken[:min(len(broken), maxShown)] {
		fmt.Fprintf(out, "BROKEN              %s: %s\n", v.Promise, v.Detail)
	}
	return fmt.Errorf("%d broken promises", len(broken))
}

const (
	// dearPrice is the price of the dear model in micros per 1,000 tokens.
	dearPrice = 1500
	// maxShown bounds the broken promises listed.
	maxShown = 10
)
