package daemon

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/fleet"
	"github.com/damaskrudder/damaskrudder/internal/request"
	"github.com/damaskrudder/damaskrudder/internal/routing"
	"github.com/damaskrudder/damaskrudder/internal/settings"
	"github.com/damaskrudder/damaskrudder/internal/slowstart"
)

// gatedPools has servers of a pool in two failure domains, and is the only daemon.
func gatedPools(t *testing.T) (*pools, *fleet.Config) {
	t.Helper()
	d := New(settings.Settings{ID: "d", SubsetSize: 24}, settings.Secrets{}, Dependencies{Metrics: tally.NoopScope, Logger: log.New(io.Discard)})
	c := fleet.NewConfig()
	pool := fleet.Pool{SlowStart: &fleet.SlowStart{Seconds: 3, PerSecond: 15, Burst: 5}}
	for i, domain := range []string{"east", "west"} {
		pool.Servers = append(pool.Servers, fleet.Server{ID: domain, Address: fmt.Sprint("10.0.0.", i, ":1"), FailureDomain: domain})
	}
	c.Pools["p"] = pool
	d.pools.gate.SetView(slowstart.View{Self: 1, Trusted: true}, 0)
	return d.pools, c
}

func (p *pools) sendTo(c *fleet.Config) (choice, error) {
	return p.pick(c, "p", "", &routing.Request{}, nil)
}

// Guards against sends of the own interface to an evacuated domain, and one that stays closed.
func TestOwnInterfaceKeepsEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, c := gatedPools(t)
		c.Number, c.Evacuations = 1, map[string]fleet.Evacuation{"east": {}}
		for range 50 {
			if ch, err := p.sendTo(c); err != nil || ch.candidate.ID != "west" {
				t.Fatalf("sent to %s, %v", ch.candidate.ID, err)
			}
		}
		c.Number, c.Evacuations = 2, map[string]fleet.Evacuation{"east": {}, "west": {}}
		if _, err := p.sendTo(c); !fault.Is(err, fault.Evacuated) {
			t.Errorf("all domains evacuated: %v", err)
		}
		c.Number, c.Evacuations = 3, nil
		time.Sleep(4 * time.Second)
		seen := map[string]bool{}
		for range 50 {
			ch, err := p.sendTo(c)
			if err == nil {
				seen[ch.candidate.ID] = true
			}
			time.Sleep(100 * time.Millisecond)
		}
		if len(seen) != 2 {
			t.Errorf("used after the order was taken back: %v", seen)
		}
	})
}

// Guards against a rush of the own interface at a server that comes back.
func TestOwnInterfaceLimitsAServerThatComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, c := gatedPools(t)
		ch, err := p.sendTo(c)
		if err != nil {
			t.Fatal(err)
		}
		p.unreachable(ch)
		time.Sleep(5 * time.Second)
		sent := 0
		for range 100 {
			if got, err := p.sendTo(c); err == nil && got.candidate.ID == ch.candidate.ID {
				sent++
			}
			time.Sleep(10 * time.Millisecond)
		}
		if bound := limitOf(c.Pools["p"].SlowStart).Bound(); sent == 0 || sent > bound/2 {
			t.Errorf("%d sends in the first second, %d are borne", sent, bound)
		}
	})
}

// Guards against a refusal that promises that a request has not run although an earlier attempt
// may have.
func TestRefusalAfterARunDoesNotPromiseThatItDidNotRun(t *testing.T) {
	for _, kind := range []fault.Kind{fault.Warming, fault.Evacuated, fault.NoServer, fault.Quarantined} {
		life := &request.RetryState{Repeatable: true}
		if got := truthful(fault.New(kind, "none"), life); got.Kind != kind || got.ExecutionState() != fault.NotRun {
			t.Errorf("%s before a run: %v", kind, got)
		}
		life.RecordAttempt()
		life.RecordExecution()
		life.Next(request.RunNotFound, time.Now(), request.NewRetryBudget())
		if got := truthful(fault.New(kind, "none"), life); got.Kind != fault.EngineFailed || got.ExecutionState() == fault.NotRun {
			t.Errorf("%s after a run: %v", kind, got)
		}
	}
}
