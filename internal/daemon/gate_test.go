package daemon

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/engine"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/fleet"
	"github.com/damaskrudder/damaskrudder/internal/request"
	"github.com/damaskrudder/damaskrudder/internal/routing"
	"github.com/damaskrudder/damaskrudder/internal/serverlimit"
	"github.com/damaskrudder/damaskrudder/internal/serverstatus"
	"github.com/damaskrudder/damaskrudder/internal/settings"
	"github.com/damaskrudder/damaskrudder/internal/slowstart"
)

// newSlowStartBalancer returns the balancer of a single daemon, and a configuration
// with a pool of two servers in two failure domains.
func newSlowStartBalancer(t *testing.T) (*balancer, *fleet.Config) {
	t.Helper()
	d := New(settings.Settings{ID: "d", SubsetSize: 24}, settings.Secrets{}, Dependencies{Metrics: tally.NoopScope, Logger: log.New(io.Discard)})
	cfg := fleet.NewConfig()
	pool := fleet.Pool{SlowStart: &fleet.SlowStart{Seconds: 3, PerSecond: 15, Burst: 5}}
	for i, domain := range []string{"east", "west"} {
		pool.Servers = append(pool.Servers, fleet.Server{ID: domain, Address: fmt.Sprint("10.0.0.", i, ":1"), FailureDomain: domain})
	}
	cfg.Pools["p"] = pool
	d.balancer.gate.SetView(slowstart.View{Self: 1, Trusted: true}, 0)
	return d.balancer, cfg
}

func (b *balancer) sendOne(cfg *fleet.Config) (pick, error) {
	return b.pickServer(cfg, "p", "", &routing.Request{}, nil)
}

// Guards against requests to an evacuated failure domain, and against a domain that
// stays excluded after its evacuation ended.
func TestPickExcludesEvacuatedDomains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, cfg := newSlowStartBalancer(t)
		cfg.Number, cfg.Evacuations = 1, map[string]fleet.Evacuation{"east": {}}
		for range 50 {
			if picked, err := b.sendOne(cfg); err != nil || picked.candidate.ID != "west" {
				t.Fatalf("sent to %s, %v", picked.candidate.ID, err)
			}
		}
		cfg.Number, cfg.Evacuations = 2, map[string]fleet.Evacuation{"east": {}, "west": {}}
		if _, err := b.sendOne(cfg); !fault.Is(err, fault.Evacuated) {
			t.Errorf("all domains evacuated: %v", err)
		}
		cfg.Number, cfg.Evacuations = 3, nil
		time.Sleep(4 * time.Second)
		seen := map[string]bool{}
		for range 50 {
			picked, err := b.sendOne(cfg)
			if err == nil {
				seen[picked.candidate.ID] = true
			}
			time.Sleep(100 * time.Millisecond)
		}
		if len(seen) != 2 {
			t.Errorf("servers used after the evacuations ended: %v", seen)
		}
	})
}

// Guards against exceeding the slow-start limit of a restarted server.
func TestPickLimitsRestartedServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, cfg := newSlowStartBalancer(t)
		picked, err := b.sendOne(cfg)
		if err != nil {
			t.Fatal(err)
		}
		b.recordTermination(picked.candidate.ID)
		time.Sleep(5 * time.Second)
		sent := 0
		for range 100 {
			if got, err := b.sendOne(cfg); err == nil && got.candidate.ID == picked.candidate.ID {
				sent++
			}
			time.Sleep(10 * time.Millisecond)
		}
		if bound := slowStartLimit(cfg.Pools["p"].SlowStart).MaxPerSecond(); sent == 0 || sent > bound/2 {
			t.Errorf("%d requests sent in the first second, limit %d", sent, bound)
		}
	})
}

// Guards against refusing a request as not run although an earlier attempt may have
// run it.
func TestRefusalAfterRunIsNotReportedAsNotRun(t *testing.T) {
	for _, kind := range []fault.Kind{fault.Warming, fault.ServerLimited, fault.Evacuated, fault.NoServer, fault.Quarantined} {
		state := &request.RetryState{Repeatable: true}
		if got := withExecutionState(fault.New(kind, "none"), state); got.Kind != kind || got.ExecutionState() != fault.NotRun {
			t.Errorf("%s before a run: %v", kind, got)
		}
		state.RecordAttempt()
		state.RecordExecution()
		state.Next(request.RunNotFound, time.Now(), request.NewRetryBudget())
		if got := withExecutionState(fault.New(kind, "none"), state); got.Kind != fault.EngineFailed || got.ExecutionState() == fault.NotRun {
			t.Errorf("%s after a run: %v", kind, got)
		}
	}
}

// Guards against sending a server more than the limit that it states, and against a limit that
// is kept after the server has lifted it.
func TestPickKeepsToStatedLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, cfg := newSlowStartBalancer(t)
		picked, err := b.sendOne(cfg)
		if err != nil {
			t.Fatal(err)
		}
		b.observe(picked.candidate.Address, serverstatus.Statements{Limit: serverlimit.StatedRate(2)}, engine.Succeeded, time.Now())
		const window = 4 * time.Second
		sent := b.sendsTo(cfg, picked.candidate.ID, window)
		if allowed := 1.5*2*window.Seconds() + 5; sent < 4 || float64(sent) > allowed {
			t.Errorf("%d requests sent in %s, allowed %.0f", sent, window, allowed)
		}
		for range 10 {
			time.Sleep(200 * time.Millisecond)
			b.observe(picked.candidate.Address, serverstatus.Statements{}, engine.Succeeded, time.Now())
		}
		if sent := b.sendsTo(cfg, picked.candidate.ID, window); sent < 100 {
			t.Errorf("%d requests sent after the limit was lifted", sent)
		}
	})
}

// Guards against resumed streams that reach a limited server beside its other requests.
func TestResumedStreamCountsForStatedLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, cfg := newSlowStartBalancer(t)
		picked, err := b.sendOne(cfg)
		if err != nil {
			t.Fatal(err)
		}
		b.observe(picked.candidate.Address, serverstatus.Statements{Limit: serverlimit.StatedRate(2)}, engine.Succeeded, time.Now())
		for range 40 {
			b.recordResume(picked)
			if sent := b.sendsTo(cfg, picked.candidate.ID, 100*time.Millisecond); sent > 0 {
				t.Fatalf("%d requests sent beside resumed streams", sent)
			}
		}
	})
}

// sendsTo counts the requests to a server in a period of constant load.
func (b *balancer) sendsTo(cfg *fleet.Config, server string, period time.Duration) (sent int) {
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if got, err := b.sendOne(cfg); err == nil && got.candidate.ID == server {
			sent++
		}
	}
	return sent
}

// Guards against a refusal with another kind, or without Retry-After, if all servers state limits.
func TestAllServersLimitedIsRefusedAsServerLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, cfg := newSlowStartBalancer(t)
		if _, err := b.sendOne(cfg); err != nil { // creates the pool's candidates
			t.Fatal(err)
		}
		for _, server := range cfg.Pools["p"].Servers {
			b.observe(server.Address, serverstatus.Statements{Limit: serverlimit.StatedRate(0.5)}, engine.Succeeded, time.Now())
		}
		for range cfg.Pools["p"].Servers {
			if _, err := b.sendOne(cfg); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := b.sendOne(cfg); !fault.Is(err, fault.ServerLimited) || fault.FromError(err).RetryDelay() <= 0 {
			t.Errorf("got %v", err)
		}
	})
}
