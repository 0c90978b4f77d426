package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/enginetest"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/quarantine"
	"github.com/damaskrudder/damaskrudder/internal/relay"
	"github.com/damaskrudder/damaskrudder/internal/route"
)

// responseRecorder records the response to one request.
type responseRecorder struct {
	refusal *fault.Error
	cut     bool
	bytes   int
}

func (c *responseRecorder) Refuse(e *fault.Error)               { c.refusal = e }
func (c *responseRecorder) WriteHeader(int, http.Header, int64) {}
func (c *responseRecorder) WriteBody(p []byte) error            { c.bytes += len(p); return nil }
func (c *responseRecorder) Abort()                              { c.cut = true }

// setStreamConfig configures a service with a route of resumable streams.
func setStreamConfig(n *Node) {
	t, err := route.NewTable(route.Document{
		Version: 1 << 40, Services: []route.Service{{Name: "s", MaxConnections: 1 << 20}},
		Routes: []route.Route{{Name: "r", Host: "h", PathPrefix: "/", Kind: route.Stream, Resumable: true, MaxAttempts: 3, Timeout: 8 * time.Second, Backends: []route.Backend{{Service: "s", Weight: 1}}}},
	})
	if err != nil {
		panic(errors.Join(errors.New("test configuration"), err))
	}
	n.state.SetTable(t)
}

// send sends a request to a daemon and returns what the client received.
func (f *fleet) send(daemon int, id, body string) *responseRecorder {
	out := &responseRecorder{}
	m := f.member(address(daemon))
	if m == nil {
		out.cut = true
		time.Sleep(2 * latency)
		return out
	}
	call := &relay.Call{ID: id, Host: "h", Method: http.MethodPost, Target: "/r", Path: "/r", Body: []byte(body), LastEvent: relay.NoEvent, Received: time.Now()}
	m.Relay.Serve(f.t.Context(), call, out)
	return out
}

// crashScenario sends requests that crash their servers among harmless background requests.
type crashScenario struct {
	daemons, servers int
	// crashingRequests is the number of distinct crashing requests; zero means one.
	crashingRequests int
	// backgroundClients is the number of clients that send background requests concurrently.
	backgroundClients int
	// sharedBackground makes all background requests alike, and crashing ones come before any of them
	// has succeeded.
	sharedBackground bool
	seed             uint64
	// midway is called in the middle of the scenario. Sends before the returned time are not
	// counted as late, since daemons have just restarted.
	midway func(f *fleet) (excusedUntil time.Time)
}

// crashResult counts the effects of a scenario.
type crashResult struct {
	// crashes is the number of server crashes, lateSends the largest number of sends of one
	// crashing request later than holdPropagationLimit after its third crash.
	crashes, lateSends int
	// settleTime is the time from the third crash to the last send.
	settleTime time.Duration
	// answered, refused and quarantined count the background requests by outcome.
	answered, refused, quarantined int
	// lastQuarantined is the time from the start of the scenario to the last hold of a background
	// request.
	lastQuarantined time.Duration
	// refusalKinds counts the refusals of crashing requests by kind.
	refusalKinds map[fault.Kind]int
}

// holdPropagationLimit is the time after the third crash within which every daemon must hold the
// request, and maxLateSends the number of sends tolerated after it.
const (
	holdPropagationLimit = 3 * time.Second
	maxLateSends         = 3
)

// newFleetWithEngines starts daemons on simulated servers and waits until they serve.
func newFleetWithEngines(t *testing.T, daemons, servers int) (*fleet, *enginetest.Engines) {
	f := newStoppedFleet(t, daemons, []string{address(0), address(1), address(2)}, setStreamConfig)
	f.store.Put("op", "config", []byte("5"))
	f.store.Put("servers", "a", nil)
	f.store.Put("servers", "b", nil)
	engines := enginetest.New(servers, func(id string, value []byte) { f.store.Put("servers", id, value) })
	f.backend = engines
	for i := range daemons {
		f.start(i)
	}
	time.Sleep(4 * time.Second)
	return f, engines
}

func (p crashScenario) run(t *testing.T) (out crashResult) {
	synctest.Test(t, func(t *testing.T) {
		f, engines := newFleetWithEngines(t, p.daemons, p.servers)
		ctx, stop := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		var mu sync.Mutex
		out.refusalKinds = map[fault.Kind]int{}
		for i := range p.backgroundClients {
			wg.Go(func() { p.sendBackground(ctx, f, i, &mu, &out) })
		}
		if !p.sharedBackground {
			time.Sleep(time.Second)
		}
		var callers sync.WaitGroup
		for which := range max(1, p.crashingRequests) {
			callers.Go(func() { p.sendCrashing(f, which, &mu, &out) })
		}
		var excusedUntil time.Time
		if p.midway != nil {
			time.Sleep(4 * time.Second)
			excusedUntil = p.midway(f)
		}
		callers.Wait()
		stop()
		wg.Wait()
		out.evaluate(engines, excusedUntil)
		f.stopAll()
		time.Sleep(2 * enginetest.RestartDelay)
	})
	return out
}

// sendCrashing repeats a crashing request to random daemons without waiting for responses.
func (p crashScenario) sendCrashing(f *fleet, which int, mu *sync.Mutex, out *crashResult) {
	rng := rand.New(rand.NewPCG(p.seed, 1<<32+uint64(which)))
	var wg sync.WaitGroup
	for i := range 60 {
		time.Sleep(time.Duration(40+rng.IntN(260)) * time.Millisecond)
		to, body := rng.IntN(p.daemons), fmt.Sprint(enginetest.CrashPrefix, " ", which)
		wg.Go(func() {
			response := f.send(to, fmt.Sprint("d", which, ".", i), body)
			mu.Lock()
			defer mu.Unlock()
			if response.refusal != nil {
				out.refusalKinds[response.refusal.Kind]++
			}
		})
	}
	wg.Wait()
}

// sendBackground sends harmless requests in sequence until the context ends.
func (p crashScenario) sendBackground(ctx context.Context, f *fleet, caller int, mu *sync.Mutex, out *crashResult) {
	rng := rand.New(rand.NewPCG(p.seed, uint64(caller)+1))
	start := time.Now()
	for i := 0; ctx.Err() == nil; i++ {
		name := fmt.Sprint("h", caller, ".", i)
		body := name
		if p.sharedBackground {
			body = fmt.Sprint("shared ", p.seed)
		}
		for range 3 { // two retries
			response := f.send(rng.IntN(p.daemons), name, body)
			mu.Lock()
			switch {
			case response.refusal != nil && response.refusal.Kind == "quarantined":
				out.quarantined++
				out.lastQuarantined = max(out.lastQuarantined, time.Since(start))
			case response.refusal != nil || response.cut:
				out.refused++
			default:
				out.answered++
			}
			mu.Unlock()
			if response.refusal == nil && !response.cut {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (r *crashResult) evaluate(engines *enginetest.Engines, excusedUntil time.Time) {
	sends := engines.Sends()
	for body, crashTimes := range engines.Crashes() {
		r.crashes += len(crashTimes)
		if len(crashTimes) < 3 {
			continue
		}
		late := 0
		for _, at := range sends[body] {
			delay := at.Sub(crashTimes[2])
			r.settleTime = max(r.settleTime, delay)
			if delay > holdPropagationLimit && at.After(excusedUntil) {
				late++
			}
		}
		r.lateSends = max(r.lateSends, late)
	}
}

// Guards against a request that crashes one server after the other.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	t.Parallel()
	for _, daemons := range fleetSizes() {
		for _, background := range []int{1, 8, 64} {
			servers := max(9, daemons/3)
			t.Run(fmt.Sprint(daemons, " daemons/", background, " in the background"), func(t *testing.T) {
				t.Parallel()
				r := crashScenario{daemons: daemons, servers: servers, backgroundClients: background, seed: 1}.run(t)
				t.Logf("%+v", r)
				if r.lateSends > maxLateSends {
					t.Errorf("sent %d more times later than %s after the third crash", r.lateSends, holdPropagationLimit)
				}
			})
		}
	}
}

// Guards against the loss of holds when daemons restart.
func TestHoldSurvivesDaemonRestarts(t *testing.T) {
	t.Parallel()
	for _, daemons := range fleetSizes() {
		for name, first := range map[string]int{"all": 0, "all but one": 1} {
			t.Run(fmt.Sprint(daemons, " daemons/", name), func(t *testing.T) {
				t.Parallel()
				restart := func(f *fleet) time.Time {
					for i := first; i < daemons; i++ {
						f.kill(i)
					}
					time.Sleep(300 * time.Millisecond)
					for i := first; i < daemons; i++ {
						f.start(i)
					}
					return time.Now().Add(holdPropagationLimit)
				}
				r := crashScenario{daemons: daemons, servers: max(9, daemons/3), backgroundClients: 8, seed: 1, midway: restart}.run(t)
				t.Logf("%+v", r)
				if r.lateSends > maxLateSends {
					t.Errorf("sent %d more times after the restart", r.lateSends)
				}
			})
		}
	}
}

// minAnsweredPerFalseHold is how many harmless requests must be answered for each one that is held.
const minAnsweredPerFalseHold = 100

// Guards against holds on harmless requests that ran on the same servers as a crashing one.
func TestConcurrentRequestsAreNotHeld(t *testing.T) {
	t.Parallel()
	seedCount := uint64(20)
	if testing.Short() {
		seedCount = 4
	}
	for _, background := range []int{1, 8, 64} {
		for _, crashing := range []int{1, 2} {
			t.Run(fmt.Sprint(crashing, " crashing/", background, " in the background"), func(t *testing.T) {
				t.Parallel()
				var total crashResult
				for seed := range seedCount {
					r := crashScenario{daemons: 6, servers: 9, crashingRequests: crashing, backgroundClients: background, seed: seed + 1}.run(t)
					total.crashes += r.crashes
					total.lateSends = max(total.lateSends, r.lateSends)
					total.answered += r.answered
					total.refused += r.refused
					total.quarantined += r.quarantined
				}
				t.Logf("%d seeds: %d servers crashed, %d answered, %d refused, %d held, %d late", seedCount, total.crashes, total.answered, total.refused, total.quarantined, total.lateSends)
				if total.quarantined*minAnsweredPerFalseHold > total.answered || total.lateSends > maxLateSends {
					t.Errorf("%d harmless requests were held, %d late sends", total.quarantined, total.lateSends)
				}
			})
		}
	}
}

// maxFalseHold is the time within which a harmless request that was held with a crashing one must be
// served again, and maxCrashesBeside the number of servers that the crashing one may crash meanwhile.
const (
	maxFalseHold     = 5 * time.Second
	maxCrashesBeside = 6
)

// Guards against holding for long a harmless request that all callers send and that has not succeeded
// before it runs on the servers that a crashing one crashes.
func TestSharedRequestIsNotHeldForLong(t *testing.T) {
	t.Parallel()
	for _, daemons := range []int{3, 6} {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(10) {
				r := crashScenario{daemons: daemons, servers: 6, backgroundClients: 12, sharedBackground: true, seed: seed + 1}.run(t)
				t.Logf("seed %d: %+v", seed+1, r)
				if r.lastQuarantined > maxFalseHold || r.lateSends > maxLateSends || r.crashes > maxCrashesBeside {
					t.Errorf("seed %d: a harmless request was held until %s, %d late sends, %d crashes", seed+1, r.lastQuarantined, r.lateSends, r.crashes)
				}
			}
		})
	}
}

// Guards against a hold that spreads slowly from the one daemon that detected it.
func TestHoldReachesEveryDaemon(t *testing.T) {
	t.Parallel()
	for _, daemons := range fleetSizes() {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, daemons)
			time.Sleep(6 * time.Second)
			const held = quarantine.Fingerprint(7)
			update := quarantine.Update{}
			for run := range quarantine.IncarnationKey(3) {
				update.Crashes = append(update.Crashes, quarantine.Crash{Incarnation: run, Suspects: []quarantine.Fingerprint{held}})
			}
			before := f.exchanges.Load()
			f.member(address(daemons / 2)).Relay.Guard.Merge(update)
			start, pending := time.Now(), map[string]*member{}
			f.each(func(m *member) { pending[m.config.Name] = m })
			var all delays
			for len(pending) > 0 && time.Since(start) < holdPropagationLimit {
				time.Sleep(time.Millisecond)
				for name, m := range pending {
					if m.Relay.Guard.Check(quarantine.Identity{Request: held}).Held {
						all = append(all, time.Since(start))
						delete(pending, name)
					}
				}
			}
			if len(pending) > 0 {
				t.Fatalf("%d of %d daemons do not hold the request", len(pending), daemons)
			}
			calls := f.exchanges.Load() - before
			time.Sleep(2*time.Second - time.Since(start))
			after := f.exchanges.Load() - before
			t.Logf("%d daemons: %s; %d exchanges until then, %d in 2 s, %d in 2 s when idle", daemons, all, calls, after, f.countExchanges(2*time.Second))
			if worst := all[len(all)-1]; worst > holdPropagationLimit/6 {
				t.Errorf("slowest daemon took %s", worst)
			}
		})
	}
}

// countExchanges counts the gossip exchanges within a span.
func (f *fleet) countExchanges(span time.Duration) int64 {
	before := f.exchanges.Load()
	time.Sleep(span)
	return f.exchanges.Load() - before
}
