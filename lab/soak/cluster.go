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

// result summarizes the run of one seed.
type result struct {
	requests     int
	successRate  float64
	recoveryRate float64
	violations   []string
	faults       string
	// recoveryOutcomes counts requests after the faults by daemon and status.
	recoveryOutcomes map[string]int
}

// cluster holds the store, backend servers, proxies, and daemons of one run.
type cluster struct {
	rng     *rand.Rand
	store   *standin.MetadataStore
	servers []*standin.BackendServer
	// specs are the services and versions of the servers.
	specs []serverSpec
	// serverProxies has one proxy per server, storeProxies one to the store per daemon.
	serverProxies, storeProxies []*proxy
	daemons                     []*process
	closers                     []func()

	mu            sync.Mutex
	configVersion int
	keys          []string
	revoked       map[string]time.Time
	faults        []string
	// config is the latest configuration written to the store, and renderConfig returns the next one.
	config       []byte
	renderConfig func(version int, keys string) []byte
	silence      silenceState
	// serverEntries holds, by server index, the JSON entry without the start time and the
	// closing brace.
	serverEntries  []string
	invalidEntries []invalidEntry
	// restoreCount is the number of restores of the store from a snapshot.
	restoreCount int
	// crashTimes are the times at which deadly requests crashed servers.
	crashTimes  []time.Time
	warmups     []warmup
	limits      []limitPeriod
	statements  []statementPeriod
	evacuations []evacuation
	// restarting is the set of servers, by index, that are down until their next start.
	restarting map[int]bool
	// broken counts the requests that got broken answers.
	broken brokenRequests
	// warmupCounts is the number of warm-ups started, by server.
	warmupCounts [6]atomic.Int64
}

const (
	clientCount = 12
	// silentClientCount is the number of clients where half of them open a connection for each request.
	silentClientCount = 24
	// settleTime is the pause after the last fault. It exceeds the shutdown grace period of
	// daemons, because the clients keep sending to a daemon that shuts down.
	settleTime     = 9 * time.Second
	recoveryWindow = 4 * time.Second
	// minRecoveryRate is the minimum success rate during recoveryWindow, which follows
	// settleTime. It allows for individual broken connections.
	minRecoveryRate = 0.95
	// startTimeout bounds the wait for all daemons to become ready.
	startTimeout = 30 * time.Second
	// minFaultGap and maxFaultGap bound the time between the starts of two faults. Faults
	// last up to maxFaultDuration, so they overlap.
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

// runSeed runs the scenario of one seed and checks the guarantees.
func runSeed(ctx context.Context, seed uint64, opts options, binary, dir string) (*result, error) {
	cl := &cluster{rng: rand.New(rand.NewPCG(seed, 77)), store: standin.NewMetadataStore(), keys: []string{"k0", "k1", "k2"}, revoked: map[string]time.Time{}, restarting: map[int]bool{}, broken: brokenRequests{runs: map[string]int{}}, specs: opts.servers(), renderConfig: standardConfig}
	cl.silence = silenceState{silencer: silencer{map[string]time.Time{}}, orders: map[string]*orderState{}}
	switch {
	case opts.silent:
		cl.renderConfig = cl.silentConfig
	case opts.broken:
		cl.renderConfig = longUploadConfig
	}
	defer cl.close()
	if err := cl.setUp(opts, binary, dir); err != nil {
		return nil, err
	}
	cl.breakable()
	if err := cl.awaitReady(ctx); err != nil {
		return nil, err
	}
	gen := &loadGenerator{crashingParts: opts.crashingParts, newConnections: opts.silent, longUploads: opts.broken}
	for _, d := range cl.daemons {
		gen.clientAddrs = append(gen.clientAddrs, d.clientAddr)
	}
	clientCtx, stopClients := context.WithCancel(ctx)
	defer stopClients()
	done := make(chan struct{})
	go func() { gen.run(clientCtx, seed, opts.clients(), cl.clientKeys); close(done) }()
	stopRestores := func() {}
	if opts.storeRestores {
		stopRestores = cl.startStoreRestores()
	}
	deadlyCtx, stopDeadly := context.WithCancel(clientCtx)
	defer stopDeadly()
	var deadlyWG sync.WaitGroup
	if opts.crashingRequests {
		deadlyWG.Go(func() { gen.sendCrashing(deadlyCtx, seed, cl.clientKeys) })
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
	r.violations = slices.Concat(checkCalls(gen.calls, cl.executions, cl.revoked), checkInvalidEntries(cl.invalidEntries, cl.servers), checkFalseQuarantines(gen.calls), checkQuarantine(cl.crashTimes, cl.crashingArrivals(gen.calls), opts.quarantineThreshold()), cl.checkAdmission(), cl.checkLimits(), cl.checkStatements(gen.calls), checkPanics(cl.daemons))
	if opts.silent {
		r.violations = append(r.violations, cl.checkAnswers(gen.calls)...)
		r.faults += "; " + summarizeOutcomes(gen.calls)
	}
	r.successRate, _ = successRate(gen.calls, faultStart, recoveryStart, cl.revoked)
	r.recoveryRate, _ = successRate(gen.calls, recoveryStart, recoveryEnd, cl.revoked)
	r.recoveryOutcomes = countOutcomes(gen.calls, recoveryStart, recoveryEnd)
	return r, nil
}

// checkRecovery reports a low success rate after the faults. Unlike the other checks, it
// depends on the speed of the machine.
func (r *result) checkRecovery() []string {
	if r.recoveryRate >= minRecoveryRate {
		return nil
	}
	return []string{fmt.Sprintf("after the faults %.3f of the requests were served: %v", r.recoveryRate, r.recoveryOutcomes)}
}

func (c *cluster) setUp(opts options, binary, dir string) error {
	store := httptest.NewServer(c.store)
	c.closers = append(c.closers, store.Close)
	c.writeConfig()
	for i, spec := range c.specs {
		backend := standin.NewBackendServer(fmt.Sprintf("%s%d", spec.service, i), streamEvents)
		backend.ConfidenceByModel["small"] = 30 + 12*(i%len(standardServers))
		backend.OnCrash(func() { c.crashServer(i) })
		var handler http.Handler = backend
		if opts.silent {
			handler = working(backend)
		}
		server := httptest.NewServer(handler)
		p, err := newProxy(strings.TrimPrefix(server.URL, "http://"))
		if err != nil {
			return err
		}
		c.closers = append(c.closers, p.close, server.Close)
		c.servers, c.serverProxies = append(c.servers, backend), append(c.serverProxies, p)
		c.serverEntries = append(c.serverEntries, fmt.Sprintf(`{"service":%q,"addr":%q,"zone":"z%d","version":%q,"slots":32,"state":"ready","sequence":1`, spec.service, p.address(), i%3, spec.version))
		if spec.version == runningVersion {
			c.writeEntry(i, backend.StartMillis())
		}
	}
	seedAddr := ""
	for n := range opts.daemons {
		p, err := newProxy(strings.TrimPrefix(store.URL, "http://"))
		if err != nil {
			return err
		}
		c.closers = append(c.closers, p.close)
		c.storeProxies = append(c.storeProxies, p)
		d, controlAddr, err := newProcess(n, binary, dir, p.address(), seedAddr)
		if err != nil {
			return err
		}
		if seedAddr == "" {
			seedAddr = controlAddr
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
			resp, err := http.Get("http://" + d.readyAddr + "/-/readyz")
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

// writeConfig writes the next configuration version to the store.
func (c *cluster) writeConfig() {
	c.configVersion += 3
	quoted := make([]string, len(c.keys))
	for i, k := range c.keys {
		quoted[i] = fmt.Sprintf("%q", k)
	}
	c.config = c.renderConfig(c.configVersion, strings.Join(quoted, ","))
	c.store.Put("keyed.op", "config", c.config)
}

func standardConfig(version int, keys string) []byte {
	return fmt.Appendf(nil, configTemplate, version, keys)
}

// clientKeys returns the keys that clients use: the valid and the recently revoked ones.
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

// rotateKeys revokes the oldest key and adds a new one.
func (c *cluster) rotateKeys() {
	c.mu.Lock()
	defer c.mu.Unlock()
	revokedKey := c.keys[0]
	c.keys = append(c.keys[1:], fmt.Sprint("k", c.configVersion))
	c.writeConfig()
	c.revoked[revokedKey] = time.Now()
}

func (c *cluster) executions(id string) int {
	n := c.broken.count(id)
	for _, s := range c.servers {
		n += s.RunCount(id)
	}
	return n
}

// injectFaults starts faults for opts.duration. Each fault ends on its own.
func (c *cluster) injectFaults(opts options) {
	end := time.Now().Add(opts.duration)
	for time.Now().Before(end) {
		switch {
		case opts.crashingRequests:
			c.stopDaemon()
		case opts.restarts:
			c.injectRestartFault()
		case opts.warming:
			c.injectWarmupFault()
		case opts.limits:
			c.injectLimitFault()
		case opts.statements:
			c.injectStatementFault()
		case opts.silent:
			c.injectSilence()
		case opts.broken:
			c.injectBrokenAnswers()
		default:
			c.injectFault(time.Duration(c.rng.Int64N(int64(maxFaultDuration))))
		}
		time.Sleep(minFaultGap + time.Duration(c.rng.Int64N(int64(maxFaultGap-minFaultGap))))
	}
}

// injectFault starts a random fault, which is reverted after duration if it persists.
func (c *cluster) injectFault(duration time.Duration) {
	d := c.daemons[c.rng.IntN(len(c.daemons))]
	serverProxy, storeProxy := c.serverProxies[c.rng.IntN(len(c.serverProxies))], c.storeProxies[c.rng.IntN(len(c.storeProxies))]
	server := c.servers[c.rng.IntN(len(c.servers))]
	mode := proxyMode(1 + c.rng.IntN(int(modeCount)-1))
	revert := func(f func()) { time.AfterFunc(duration, f) }
	faults := []struct {
		name  string
		start func()
	}{
		{"term", func() { d.signal(syscall.SIGTERM) }},
		{"kill", func() { d.signal(syscall.SIGKILL) }},
		{"pause", func() { d.signal(syscall.SIGSTOP); revert(func() { d.signal(syscall.SIGCONT) }) }},
		{"hup", func() { d.signal(syscall.SIGHUP) }},
		{"path", func() { serverProxy.setMode(mode); revert(func() { serverProxy.setMode(modeForward) }) }},
		{"store-path", func() { storeProxy.setMode(mode); revert(func() { storeProxy.setMode(modeForward) }) }},
		{"store-refuses", func() { c.store.SetFailure("", 503); revert(func() { c.store.SetFailure("", 0) }) }},
		{"store-loses", func() { c.store.LoseReplies(3) }},
		{"store-compacts", func() { c.store.Compact("keyed.op"); c.store.Compact("keyed.servers") }},
		{"shed", func() { server.SetShedding(true); revert(func() { server.SetShedding(false) }) }},
		{"errors", func() { server.SetFailureStatus(500); revert(func() { server.SetFailureStatus(0) }) }},
		{"answers-lost", func() { server.SetLoseResponses(true); revert(func() { server.SetLoseResponses(false) }) }},
		{"break", func() { server.BreakNextStreamAt(2 + c.rng.IntN(streamEvents-2)) }},
		{"rotate", c.rotateKeys},
	}
	f := faults[c.rng.IntN(len(faults))]
	c.faults = append(c.faults, f.name)
	f.start()
}

// clearFaults reverts all persistent faults.
func (c *cluster) clearFaults() {
	c.restoreEntries()
	c.liftLimits()
	c.endStatements()
	for _, p := range append(append([]*proxy(nil), c.serverProxies...), c.storeProxies...) {
		p.setMode(modeForward)
	}
	for _, d := range c.daemons {
		d.signal(syscall.SIGCONT)
	}
	c.store.SetFailure("", 0)
	for _, s := range c.servers {
		s.SetShedding(false)
		s.SetFailureStatus(0)
		s.SetLoseResponses(false)
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
