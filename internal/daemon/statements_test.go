package daemon

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/engine"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/serverstatus"
)

// Guards against runs on a server that leaves or wants a pause, and unnamed refusals for it.
func TestPickAvoidsServersThatLeaveOrPause(t *testing.T) {
	const pause, notice = 3 * time.Second, 500 * time.Millisecond
	for name, tt := range map[string]struct {
		statements serverstatus.Statements
		refusal    fault.Kind
	}{
		"leaving": {serverstatus.Statements{Leaving: serverstatus.Stated}, fault.NoServer},
		"pause":   {serverstatus.Statements{Pause: serverstatus.Pause{Kind: serverstatus.Stated, Duration: pause}}, fault.ServerPaused},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, cfg := newSlowStartBalancer(t)
				picked, err := b.sendOne(cfg)
				if err != nil {
					t.Fatal(err)
				}
				b.observe(picked.candidate.Address, tt.statements, engine.Failed, time.Now())
				b.observe(picked.candidate.Address, serverstatus.Statements{}, engine.Succeeded, time.Now())
				if sent := b.sendsTo(cfg, picked.candidate.ID, pause-notice); sent > 0 {
					t.Errorf("%d requests sent", sent)
				}
				for _, server := range cfg.Pools["p"].Servers {
					b.observe(server.Address, tt.statements, engine.Failed, time.Now())
				}
				if _, err := b.sendOne(cfg); !fault.Is(err, tt.refusal) || fault.FromError(err).RetryDelay() <= 0 {
					t.Errorf("with all servers: %v", err)
				}
			})
		})
	}
}

// Guards against earlier reports that end a departure, and departures that outlive the process.
func TestDepartureEndsWithProcess(t *testing.T) {
	for name, end := range map[string]func(b *balancer, server string){
		"connection refused": func(b *balancer, server string) { b.observeRefusedConnection(server) },
		"later load reports": func(b *balancer, server string) {
			for range 3 {
				b.observeDraining(server, false, b.uptime())
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, cfg := newSlowStartBalancer(t)
				picked, err := b.sendOne(cfg)
				if err != nil {
					t.Fatal(err)
				}
				server, requestedAt := picked.candidate.ID, b.uptime()
				time.Sleep(time.Second)
				b.observe(picked.candidate.Address, serverstatus.Statements{Leaving: serverstatus.Stated}, engine.Succeeded, time.Now())
				for range 10 {
					b.observeDraining(server, false, requestedAt)
				}
				if sent := b.sendsTo(cfg, server, time.Second); sent > 0 || !b.isLeaving(server) {
					t.Errorf("%d requests sent to a leaving server", sent)
				}
				end(b, server)
				if sent := b.sendsTo(cfg, server, time.Second); sent == 0 {
					t.Error("the next process gets no requests")
				}
			})
		})
	}
}
