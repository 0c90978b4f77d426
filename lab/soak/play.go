package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/standin"
)

// result of one seed.
type result struct {
	requests     int
	successRate  float64
	recoveryRate float64
	violations   []string
	faults       string
	// recoveryOutcomes counts what became of the requests after the faults, by daemon.
	recoveryOutcomes map[string]int
}

// cluster is everything that one seed runs against.
type cluster struct {
	rng     *rand.Rand
	store   *standin.Metadata
	servers []*standin.Opaque
	// serverProxies lead to servers, and stores to the store, one for each daemon.
	serverProxies, storeProxies []*proxy
	daemons                     []*process
	closers                     []func()

	mu            sync.Mutex
	configVersion int
	keys          []string
	revoked       map[string]time.Time
	faults        []string
	// config is the newest configuration.
	config []byte
	// serverEntries are what servers say of themselves but for their start, by place.
	serverEntries  []string
	invalidEntries []invalidEntry
	// restoreCount is how often the store came back from a copy.
	restoreCount int
	// crashTimes are the times at which the deadly request ended servers.
	crashTimes []time.Time
	// warmups are the times in which servers warmed up, and evacuated the orders on domains.
	warmups     []warmup
	evacuations []evacuation
	// restarting are the servers that have ended and not started again.
	restarting map[int]bool
	// warmupCounts counts how often each server has begun to warm up.
	warmupCounts [6]atomic.Int64
}

const (
	// clientCount is the number of callers.
	clientCount = 12
	// settleTime follows the faults, so that what they began can end: a daemon may
	// take its grace period of 8 s to leave, and callers here do not ask the
	// directory. recoverTime is when the system must serve as before.
	settleTime     = 9 * time.Second
	recoveryWindow = 4 * time.Second
	// minRecoveryRate is the part that must be served then. Servers are sound and
	// nothing is refused, but single connections may still be broken.
	minRecoveryRate = 0.95
	// startTimeout bounds the wait for daemons to get ready.
	startTimeout = 30 * time.Second
	// minFaultGap and mostGap lie between two faults; they overlap, since each lasts
	// up to mostFault.
	minFaultGap      = 100 * time.Millisecond
	maxFaultGap      = 700 * time.Millisecond
	maxFaultDuration = 3 * time.Second
)

const configTemplate = `{"version":%d,"routes":[
 {"name":"talk","host":"h.example","path_prefix":"/talk/","kind":"streaming","timeout_ms":6000,"latency_target_ms":1000,"priority":1,"sizes":["small","large"],"service":"lm","attempts":3,"resumable":true,"gap_target_ms":1000},
 {"name":"pay","host":"h.example","path_prefix":"/pay/","kind":"non_idempotent","timeout_ms":4000,"latency_target_ms":300,"priority":2,"service":"app","attempts":1},
 {"name":"look","host":"h.example","path_prefix":"/look/","kind":"idempotent","timeout_ms":4000,"latency_target_ms":300,"priority":2,"service":"app","attempts":2}],
 "services":[{"name":"lm","health_path":"/healthz","max_conns":200,"cold_s":1.5,"cold_per_s":6,"engine":{"slots":32,"kv_capacity":100000,"models":[{"name":"small","cost":0.02},{"name":"large","cost":0.3}]}},{"name":"app","health_path":"/healthz","max_conns":200,"cold_s":1.5,"cold_per_s":6}],
 "limits":{"body_bytes":100000},"tenants":[{"name":"acme","keys":[%s]}]}`

// runSeed runs one seed.
func runSeed(ctx context.Context, seed uint64, opts options, binary, dir string) (*result, error) {
	cl := &cluster{rng: rand.New(rand.NewPCG(seed, 77)), store: standin.NewMetadata(), keys: []string{"k0", "k1", "k2"}, revoked: map[string]time.Time{}, restarting: map[int]bool{}}
	defer cl.close()
	if err := cl.setUp(opts.daemons, binary, dir); err != nil {
		return nil, err
	}
	if err := cl.awaitReady(ctx); err != nil {
		return nil, err
	}
	gen := &loadGenerator{}
	for _, d := range cl.daemons {
		gen.fronts = append(gen.fronts, d.front)
	}
	clientCtx, stopClients := context.WithCancel(ctx)
	defer stopClients()
	done := make(chan struct{})
	go func() { gen.run(clientCtx, seed, clientCount, cl.clientKeys); close(done) }()
	stopRestores := func() {}
	if opts.storeRestores {
		stopRestores = cl.startStoreRestores()
	}
	deadlyCtx, stopDeadly := context.WithCancel(clientCtx)
	defer stopDeadly()
	var deadlyWG sync.WaitGroup
	if opts.deadly {
		deadlyWG.Go(func() { gen.sendDeadly(deadlyCtx, seed, cl.clientKeys) })
	}
	faultStart := time.Now()
	cl.injectFaults(opts)
	stopRestores()
	cl.clearFaults()
	time.Sleep(settleTime)
	stopDeadly()
	deadlyWG.Wait()
	recoveryStart := time.Now()
	time.Sleep(recoveryWindow)
	recoveryEnd := time.Now()
	stopClients()
	<-done
	r := &result{requests: len(gen.calls), faults: fmt.Sprintf("%s (the store returned %d times)", strings.Join(cl.faults, " "), cl.restoreCount)}
	r.violations = slices.Concat(checkCalls(gen.calls, cl.executions, cl.revoked), checkInvalidEntries(cl.invalidEntries, cl.servers), checkFalseQuarantines(gen.calls), checkQuarantine(cl.crashTimes, cl.deadlyArrivals(gen.calls)), cl.checkAdmission(), checkPanics(cl.daemons))
	r.successRate, _ = successRate(gen.calls, faultStart, recoveryStart, cl.revoked)
	r.recoveryRate, _ = successRate(gen.calls, recoveryStart, recoveryEnd, cl.revoked)
	r.recoveryOutcomes = countOutcomes(gen.calls, recoveryStart, recoveryEnd)
	return r, nil
}

// checkRecovery returns what is wrong with the service after the faults. It depends on the
// machine's speed, which the promises do not.
func (r *result) checkRecovery() []string {
	if r.recoveryRate >= minRecoveryRate {
		return nil
	}
	return []string{fmt.Sprintf("after the faults %.3f of the requests were served: %v", r.recoveryRate, r.recoveryOutcomes)}
}

func (c *cluster) setUp(daemons int, binary, dir string) error {
	store := httptest.NewServer(c.store)
	c.closers = append(c.closers, store.Close)
	c.writeConfig()
	for i := range c.warmupCounts {
		service := []string{"lm", "app"}[i%2]
		backend := standin.NewOpaque(fmt.Sprintf("%s%d", service, i), streamEvents)
		backend.Confidence["small"] = 30 + 12*i
		backend.OnDeadly(func() { c.crashServer(i) })
		server := httptest.NewServer(backend)
		p, err := newProxy(strings.TrimPrefix(server.URL, "http://"))
		if err != nil {
			return err
		}
		c.closers = append(c.closers, p.close, server.Close)
		c.servers, c.serverProxies = append(c.servers, backend), append(c.serverProxies, p)
		c.serverEntries = append(c.serverEntries, fmt.Sprintf(`{"service":%q,"addr":%q,"zone":"z%d","version":"v1","slots":32,"state":"ready","sequence":1`, service, p.address(), i%3))
		c.writeEntry(i, backend.Born())
	}
	seed := ""
	for n := range daemons {
		p, err := newProxy(strings.TrimPrefix(store.URL, "http://"))
		if err != nil {
			return err
		}
		c.closers = append(c.closers, p.close)
		c.storeProxies = append(c.storeProxies, p)
		d, control, err := newProcess(n, binary, dir, p.address(), seed)
		if err != nil {
			return err
		}
		if seed == "" {
			seed = control
		}
		c.daemons = append(c.daemons, d)
		if err := d.start(); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, d := range c.daemons {
		for {
			resp, err := http.Get("http://" + d.ready + "/-/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s is not ready within %s", d.name, startTimeout)
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

// writeConfig writes the next configuration.
func (c *cluster) writeConfig() {
	c.configVersion += 3
	quoted := make([]string, len(c.keys))
	for i, k := range c.keys {
		quoted[i] = fmt.Sprintf("%q", k)
	}
	c.config = fmt.Appendf(nil, configTemplate, c.configVersion, strings.Join(quoted, ","))
	c.store.Put("keyed.op", "config", c.config)
}

// clientKeys returns the keys that callers use: those in force, and now and then one that
// was taken away.
func (c *cluster) clientKeys() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	keys := append([]string(nil), c.keys...)
	for k, at := range c.revoked {
		if time.Since(at) < 2*maxRevocationDelay && time.Since(at) > maxRevocationDelay/2 {
			keys = append(keys, k)
		}
	}
	return keys
}

// rotateKeys takes a key away and adds another.
func (c *cluster) rotateKeys() {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := c.keys[0]
	c.keys = append(c.keys[1:], fmt.Sprint("k", c.configVersion))
	c.writeConfig()
	c.revoked[key] = time.Now()
}

func (c *cluster) executions(id string) int {
	n := 0
	for _, s := range c.servers {
		n += s.Runs(id)
	}
	return n
}

// injectFaults starts faults until the span is over. Each ends by itself.
func (c *cluster) injectFaults(opts options) {
	end := time.Now().Add(opts.duration)
	for time.Now().Before(end) {
		switch {
		case opts.deadly:
			c.stopDaemon()
		case opts.restarts:
			c.injectRestartFault()
		case opts.warming:
			c.injectWarmupFault()
		default:
			c.injectFault(time.Duration(c.rng.Int64N(int64(maxFaultDuration))))
		}
		time.Sleep(minFaultGap + time.Duration(c.rng.Int64N(int64(maxFaultGap-minFaultGap))))
	}
}

// injectFault starts one fault and lets it end after a time.
func (c *cluster) injectFault(duration time.Duration) {
	d := c.daemons[c.rng.IntN(len(c.daemons))]
	serverProxy, storeProxy := c.serverProxies[c.rng.IntN(len(c.serverProxies))], c.storeProxies[c.rng.IntN(len(c.storeProxies))]
	server := c.servers[c.rng.IntN(len(c.servers))]
	m := proxyMode(1 + c.rng.IntN(int(modeCount)-1))
	revert := func(f func()) { time.AfterFunc(duration, f) }
	faults := []struct {
		name  string
		start func()
	}{
		{"term", func() { d.signal(syscall.SIGTERM) }},
		{"kill", func() { d.signal(syscall.SIGKILL) }},
		{"pause", func() { d.signal(syscall.SIGSTOP); revert(func() { d.signal(syscall.SIGCONT) }) }},
		{"hup", func() { d.signal(syscall.SIGHUP) }},
		{"path", func() { serverProxy.setMode(m); revert(func() { serverProxy.setMode(modeForward) }) }},
		{"store-path", func() { storeProxy.setMode(m); revert(func() { storeProxy.setMode(modeForward) }) }},
		{"store-refuses", func() { c.store.Refuse("", 503); revert(func() { c.store.Refuse("", 0) }) }},
		{"store-loses", func() { c.store.LoseAnswers(3) }},
		{"store-compacts", func() { c.store.Compact("keyed.op"); c.store.Compact("keyed.servers") }},
		{"shed", func() { server.Shed(true); revert(func() { server.Shed(false) }) }},
		{"errors", func() { server.Fail(500); revert(func() { server.Fail(0) }) }},
		{"answers-lost", func() { server.LoseHeads(true); revert(func() { server.LoseHeads(false) }) }},
		{"break", func() { server.BreakAt(2 + c.rng.IntN(streamEvents-2)) }},
		{"rotate", c.rotateKeys},
	}
	f := faults[c.rng.IntN(len(faults))]
	c.faults = append(c.faults, f.name)
	f.start()
}

// clearFaults ends every fault at once.
func (c *cluster) clearFaults() {
	c.restoreEntries()
	for _, p := range append(append([]*proxy(nil), c.serverProxies...), c.storeProxies...) {
		p.setMode(modeForward)
	}
	for _, d := range c.daemons {
		d.signal(syscall.SIGCONT)
	}
	c.store.Refuse("", 0)
	for _, s := range c.servers {
		s.Shed(false)
		s.Fail(0)
		s.LoseHeads(false)
	}
}

func (c *cluster) close() {
	for _, d := range c.daemons {
		d.kill()
	}
	for _, closeFn := range c.closers {
		closeFn()
	}
}
