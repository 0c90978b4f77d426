package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/api"
	"github.com/damaskrudder/damaskrudder/internal/app"
	"github.com/damaskrudder/damaskrudder/internal/daemon"
	"github.com/damaskrudder/damaskrudder/internal/demo"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/fleet"
	"github.com/damaskrudder/damaskrudder/internal/settings"
)

// Scenario: the daemons of the own interface, in this process, with servers that fall silent for a moment and
// go on, one, two or all of a pool at a time, while daemons are restarted, the operator changes the
// configuration, and a model's versions are rolled out. Nothing fails.

const (
	// ownSettleTime is the pause after the last event. It exceeds the time in which a daemon stops.
	ownSettleTime = 6 * time.Second
	// ownRequestTimeout bounds a request. Daemons have no shorter default.
	ownRequestTimeout = 20 * time.Second
	// ownWorkTime is how long a service without a model works on a call.
	ownWorkTime = 40 * time.Millisecond
	ownModel    = "bib-lookup"
)

// ownCluster is the state of a run.
type ownCluster struct {
	*demo.Cluster
	rng *rand.Rand
	// servers are the IDs of the servers of each pool, and proxies lead to them.
	servers  map[string][]string
	proxies  map[string]*proxy
	silencer silencer
	restarts sync.WaitGroup
	// restarting is set, by daemon, while it stops and starts.
	restarting []atomic.Bool

	mu     sync.Mutex
	errs   []error
	events []string
	calls  []ownCall
}

// ownCall is a request and how it ended.
type ownCall struct {
	sending
	name, address  string
	id             string
	sentAt, endAt  time.Time
	status         int
	executionState string
	complete       bool
	err            error
	tail           string
}

// runOwnSeed runs the scenario of one seed and checks the guarantees.
func runOwnSeed(ctx context.Context, seed uint64, opts options, dir string) (*result, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // only read after a failure
	start := func(s settings.Settings, secrets settings.Secrets) (demo.Node, error) {
		s.StreamIdleTimeout = settings.Defaults().StreamIdleTimeout
		return app.Start(s, secrets, app.NewLogger(log, s.ID, s.LogLevel))
	}
	cluster, err := demo.NewCluster(opts.daemons, start)
	if err != nil {
		return nil, err
	}
	c := &ownCluster{Cluster: cluster, rng: rand.New(rand.NewPCG(seed, 77)), servers: map[string][]string{}, proxies: map[string]*proxy{}, silencer: silencer{map[string]time.Time{}}, restarting: make([]atomic.Bool, opts.daemons)}
	defer c.close()
	if err := c.insertProxies(); err != nil {
		return nil, err
	}
	clientCtx, stop := context.WithCancel(ctx)
	var clients sync.WaitGroup
	for i := range silentClientCount {
		clients.Go(func() { c.sendRequests(clientCtx, seed, i) })
	}
	c.inject(time.Now().Add(opts.duration), start)
	c.restarts.Wait()
	time.Sleep(ownSettleTime)
	stop()
	clients.Wait()
	return c.result(), errors.Join(c.errs...)
}

// insertProxies puts a proxy before each server.
func (c *ownCluster) insertProxies() error {
	var config fleet.Config
	if err := c.CallOperator(http.MethodGet, "/config", nil, &config); err != nil {
		return err
	}
	patch := fleet.Patch{Pools: map[string]json.RawMessage{}}
	for name, pool := range config.Pools {
		for i, s := range pool.Servers {
			p, err := newProxy(s.Address)
			if err != nil {
				return err
			}
			pool.Servers[i].Address, c.proxies[s.ID] = p.address(), p
			c.servers[name] = append(c.servers[name], s.ID)
		}
		data, err := json.Marshal(pool)
		if err != nil {
			return err
		}
		patch.Pools[name] = data
	}
	for _, s := range c.Services {
		s.Delay = ownWorkTime
	}
	return c.ApplyPatch(patch)
}

// inject makes servers silent, restarts daemons and changes the configuration until end.
func (c *ownCluster) inject(end time.Time, start demo.StartFunc) {
	pools := []string{}
	for pool := range c.servers {
		pools = append(pools, pool)
	}
	slices.Sort(pools)
	for time.Now().Before(end) {
		pool := pools[c.rng.IntN(len(pools))]
		silence := func(count int) string { return c.silencer.silence(c.rng, c.servers[pool], c.proxies, count) }
		some := 1 + c.rng.IntN(len(c.Nodes))
		events := []struct {
			name  string
			start func() string
		}{
			{"silent", func() string { return silence(1) }},
			{"silent", func() string { return silence(2) }},
			{"silent", func() string { return silence(len(c.proxies)) }},
			{"silent", func() string { return silence(len(c.proxies)) }},
			{"config", c.changeConfig},
			{"order", c.orderRollout},
			{"term", func() string { return c.restart(1, start) }},
			{"term", func() string { return c.restart(some, start) }},
		}
		e := events[c.rng.IntN(len(events))]
		at := time.Now().Format("05.000")
		c.addEvent(fmt.Sprintf("%s %s(%s)", at, e.name, e.start()))
		time.Sleep(minFaultGap + time.Duration(c.rng.Int64N(int64(maxFaultGap-minFaultGap))))
	}
}

// changeConfig changes a cascade and a price.
func (c *ownCluster) changeConfig() string {
	quality, price := []float64{0.5, 0.9}[c.rng.IntN(2)], 40+c.rng.IntN(20)
	return c.patch(fmt.Sprintf(`{"cascades":{"desk":{"steps":["bib-lookup","warrant-reader"],"quality_target":%g}},"services":{"confirm":{"pool":"trade-apps","non_repeatable":true,"micros":%d}}}`, quality, price))
}

// orderRollout starts a roll-out of the next version, or ends it.
func (c *ownCluster) orderRollout() string {
	if c.rng.IntN(2) == 0 {
		return c.patch(fmt.Sprintf(`{"rollouts":{%q:null}}`, ownModel))
	}
	return c.patch(fmt.Sprintf(`{"rollouts":{%q:{"model":%q,"to":"v2","stages":[20,50,100],"state":"running","min_requests":10}}}`, ownModel, ownModel))
}

// patch sends a patch to a daemon that does not stop, and returns the outcome.
func (c *ownCluster) patch(patch string) string {
	for i := range c.Nodes {
		if c.restarting[i].Load() {
			continue
		}
		var config fleet.Config
		if err := c.CallOperatorAt(i, http.MethodGet, "/config", nil, &config); err != nil {
			return err.Error()
		}
		rec := fleet.Record{PatchID: daemon.NewRequestID(), Base: config.Number, Author: "soak", Patch: json.RawMessage(patch)}
		if err := c.CallOperatorAt(i, http.MethodPost, "/patches", rec, nil); err != nil {
			return err.Error()
		}
		return fmt.Sprint(config.Number + 1)
	}
	return "no daemon"
}

// restart stops up to count daemons with a drain, starts them again and returns which.
func (c *ownCluster) restart(count int, start demo.StartFunc) string {
	var done []string
	for _, i := range c.rng.Perm(len(c.Nodes))[:count] {
		if c.restarting[i].Swap(true) {
			continue
		}
		done = append(done, c.Settings[i].ID)
		node := c.Nodes[i]
		c.restarts.Go(func() {
			defer c.restarting[i].Store(false)
			stopErr := node.Shutdown(context.Background())
			started, startErr := start(c.Settings[i], demo.Secrets)
			if stopErr != nil {
				c.addEvent(fmt.Sprintf("%s %s: %v", time.Now().Format("05.000"), c.Settings[i].ID, stopErr))
			}
			if startErr == nil {
				c.Nodes[i] = started
				return
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			c.errs = append(c.errs, startErr)
		})
	}
	return strings.Join(done, " ")
}

func (c *ownCluster) addEvent(event string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, event)
}

// sendRequests sends requests to random daemons until the context is done. Every second client opens
// a connection for each request.
func (c *ownCluster) sendRequests(ctx context.Context, seed uint64, client int) {
	rng := rand.New(rand.NewPCG(seed, uint64(client)))
	http := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableKeepAlives: client%2 == 1}}
	defer http.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		name := fmt.Sprintf("%d-%d", client, n)
		rec := c.send(http, rng.IntN(len(c.Addresses)), name, []string{"confirm", ownModel, "desk", "warrant-reader"}[rng.IntN(4)], n%4 == 0)
		c.mu.Lock()
		c.calls = append(c.calls, rec)
		c.mu.Unlock()
		time.Sleep(time.Duration(5+rng.IntN(40)) * time.Millisecond)
	}
}

// send sends a request for a model, a cascade, or the service confirm. A keyed request may run once.
func (c *ownCluster) send(client *http.Client, i int, name, target string, keyed bool) ownCall {
	rec := ownCall{name: name + " " + target, address: c.Settings[i].ID, sentAt: time.Now()}
	path, body := "/v1/chat/completions", fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"status of %s"}]}`, target, name)
	if target == "confirm" {
		path, body = "/v1/services/confirm", fmt.Sprintf(`{"lot":%q}`, name)
	}
	ctx, cancel := context.WithTimeout(context.Background(), ownRequestTimeout)
	defer cancel()
	ctx, sent := traceSending(ctx)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Addresses[i]+path, strings.NewReader(body))
	if err != nil {
		panic(err) // the URL is built from constants and a valid address
	}
	req.GetBody = nil // prevents automatic retries by net/http
	req.Header.Set("Authorization", "Bearer "+demo.APIKey(demo.Goldfields))
	req.Header.Set(api.HeaderSessionID, name)
	if target == "confirm" || keyed {
		req.Header.Set(api.HeaderIdempotencyKey, name)
	}
	resp, err := client.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close() // the body has been read
		rec.id, rec.status, rec.executionState = resp.Header.Get(api.HeaderRequestID), resp.StatusCode, resp.Header.Get(api.HeaderExecutionState)
		rec.complete = target == "confirm" || strings.HasSuffix(string(data), "data: [DONE]\n\n")
		rec.tail = string(data[max(0, len(data)-ownTailBytes):])
	}
	rec.err, rec.endAt, rec.sending = err, time.Now(), sent()
	return rec
}

// ownTailBytes is the length of the end of a response that a report shows.
const ownTailBytes = 160

// missingAnswer says how a request ended if it got neither an answer nor a refusal and that is not allowed. A
// request that ends soon on a kept connection has crossed its close; whether a server had it is not known.
func (c ownCall) missingAnswer() string {
	switch {
	case c.endAt.Sub(c.sentAt) >= ownRequestTimeout, c.writtenAt.IsZero():
		return ""
	case c.err != nil && c.status == 0 && c.keptConnection && c.endAt.Sub(c.writtenAt) <= lossSlack:
		return ""
	case c.err != nil:
		return fmt.Sprintf("no whole answer, status %d: %v", c.status, c.err)
	case c.status == http.StatusOK && !c.complete:
		return "failed in its answer"
	case c.status == http.StatusOK, c.executionState == string(fault.NotRun):
		return ""
	}
	return fmt.Sprintf("failed with %d, ran: %s", c.status, c.executionState)
}

// result checks the requests and the runs of the services.
func (c *ownCluster) result() *result {
	r := &result{requests: len(c.calls), recoveryRate: 1, faults: strings.Join(c.events, " ")}
	outcomes, answered := map[string]int{}, 0
	for _, rec := range c.calls {
		outcome := fmt.Sprint(rec.status, " ", rec.executionState)
		if rec.err == nil && rec.status == http.StatusOK && rec.complete {
			outcome, answered = "answered", answered+1
		}
		if why := rec.missingAnswer(); why != "" {
			outcome = why
			r.violations = append(r.violations, fmt.Sprintf("request %s (%s): %s at %s, sent %s, ended after %s, kept connection: %t, ends with %q", rec.name, rec.id, why, rec.address,
				rec.sentAt.Format(timeOfDay), rec.endAt.Sub(rec.sentAt).Round(time.Millisecond), rec.keptConnection, rec.tail))
		}
		outcomes[outcome]++
	}
	for _, s := range c.Services {
		for id, runs := range s.RunCounts() {
			if runs > 1 {
				r.violations = append(r.violations, fmt.Sprintf("run %s: a call that must not be repeated ran %d times", id, runs))
			}
		}
	}
	r.faults += "; " + fmt.Sprint(outcomes)
	r.successRate = float64(answered) / float64(max(1, len(c.calls)))
	return r
}

func (c *ownCluster) close() {
	for _, p := range c.proxies {
		p.close()
	}
	c.Close()
}
