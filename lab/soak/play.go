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
	requests  int
	served    float64
	recovered float64
	broken    []string
	faults    string
	// after counts what became of the requests after the faults, by daemon.
	after map[string]int
}

// world is everything that one seed runs against.
type world struct {
	rng     *rand.Rand
	store   *standin.MetadataStore
	servers []*standin.BackendServer
	// paths lead to servers, and stores to the store, one for each daemon.
	paths, stores []*proxy
	daemons       []*process
	closers       []func()

	mu      sync.Mutex
	version int
	keys    []string
	revoked map[string]time.Time
	faults  []string
	// config is the newest configuration.
	config []byte
	// entries are what servers say of themselves but for their start, by place.
	entries []string
	barred  []bar
	// returned is how often the store came back from a copy.
	returned int
	// ends are the times at which the deadly request ended servers.
	ends []time.Time
	// warm are the times in which servers warmed up, and evacuated the orders on domains.
	warm      []warmSpan
	evacuated []evacuation
	// away are the servers that have ended and not started again.
	away map[int]bool
	// warmings counts how often each server has begun to warm up.
	warmings [6]atomic.Int64
}

const (
	// callersCount is the number of callers.
	callersCount = 12
	// settleTime follows the faults, so that what they began can end: a daemon may
	// take its grace period of 8 s to leave, and callers here do not ask the
	// directory. recoverTime is when the system must serve as before.
	settleTime  = 9 * time.Second
	recoverTime = 4 * time.Second
	// recoveredPart is the part that must be served then. Servers are sound and
	// nothing is refused, but single connections may still be broken.
	recoveredPart = 0.95
	// startLimit bounds the wait for daemons to get ready.
	startLimit = 30 * time.Second
	// leastGap and mostGap lie between two faults; they overlap, since each lasts
	// up to mostFault.
	leastGap  = 100 * time.Millisecond
	mostGap   = 700 * time.Millisecond
	mostFault = 3 * time.Second
)

const configuration = `{"version":%d,"routes":[
 {"name":"talk","host":"h.example","path_prefix":"/talk/","kind":"streaming","timeout_ms":6000,"latency_target_ms":1000,"priority":1,"sizes":["small","large"],"service":"lm","attempts":3,"resumable":true,"gap_target_ms":1000},
 {"name":"pay","host":"h.example","path_prefix":"/pay/","kind":"non_idempotent","timeout_ms":4000,"latency_target_ms":300,"priority":2,"service":"app","attempts":1},
 {"name":"look","host":"h.example","path_prefix":"/look/","kind":"idempotent","timeout_ms":4000,"latency_target_ms":300,"priority":2,"service":"app","attempts":2}],
 "services":[{"name":"lm","health_path":"/healthz","max_conns":200,"cold_s":1.5,"cold_per_s":6,"engine":{"slots":32,"kv_capacity":100000,"models":[{"name":"small","cost":0.02},{"name":"large","cost":0.3}]}},{"name":"app","health_path":"/healthz","max_conns":200,"cold_s":1.5,"cold_per_s":6}],
 "limits":{"body_bytes":100000},"tenants":[{"name":"acme","keys":[%s]}]}`

// play runs one seed.
func play(ctx context.Context, seed uint64, o options, binary, dir string) (*result, error) {
	w := &world{rng: rand.New(rand.NewPCG(seed, 77)), store: standin.NewMetadataStore(), keys: []string{"k0", "k1", "k2"}, revoked: map[string]time.Time{}, away: map[int]bool{}}
	defer w.close()
	if err := w.build(o.daemons, binary, dir); err != nil {
		return nil, err
	}
	if err := w.awaitReady(ctx); err != nil {
		return nil, err
	}
	c := &callers{}
	for _, d := range w.daemons {
		c.fronts = append(c.fronts, d.front)
	}
	calling, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() { c.run(calling, seed, callersCount, w.known); close(done) }()
	stopReturns := func() {}
	if o.returns {
		stopReturns = w.keepReturning()
	}
	harming, calm := context.WithCancel(calling)
	defer calm()
	var harm sync.WaitGroup
	if o.deadly {
		harm.Go(func() { c.harm(harming, seed, w.known) })
	}
	began := time.Now()
	w.inject(o)
	stopReturns()
	w.mend()
	time.Sleep(settleTime)
	calm()
	harm.Wait()
	from := time.Now()
	time.Sleep(recoverTime)
	to := time.Now()
	stop()
	<-done
	r := &result{requests: len(c.calls), faults: fmt.Sprintf("%s (the store returned %d times)", strings.Join(w.faults, " "), w.returned)}
	r.broken = slices.Concat(check(c.calls, w.runs, w.revoked), checkBarred(w.barred, w.servers), checkReleased(c.calls), checkContained(w.ends, w.arrivals(c.calls)), w.checkGate(), checkPanics(w.daemons))
	r.served, _ = servedPart(c.calls, began, from, w.revoked)
	r.recovered, _ = servedPart(c.calls, from, to, w.revoked)
	r.after = outcomes(c.calls, from, to)
	return r, nil
}

// slow returns what is wrong with the service after the faults. It depends on the
// machine's speed, which the promises do not.
func (r *result) slow() []string {
	if r.recovered >= recoveredPart {
		return nil
	}
	return []string{fmt.Sprintf("after the faults %.3f of the requests were served: %v", r.recovered, r.after)}
}

func (w *world) build(daemons int, binary, dir string) error {
	store := httptest.NewServer(w.store)
	w.closers = append(w.closers, store.Close)
	w.configure()
	for i := range w.warmings {
		service := []string{"lm", "app"}[i%2]
		s := standin.NewBackendServer(fmt.Sprintf("%s%d", service, i), events)
		s.ConfidenceByModel["small"] = 30 + 12*i
		s.OnCrash(func() { w.deadlyEnd(i) })
		server := httptest.NewServer(s)
		p, err := newProxy(strings.TrimPrefix(server.URL, "http://"))
		if err != nil {
			return err
		}
		w.closers = append(w.closers, p.close, server.Close)
		w.servers, w.paths = append(w.servers, s), append(w.paths, p)
		w.entries = append(w.entries, fmt.Sprintf(`{"service":%q,"addr":%q,"zone":"z%d","version":"v1","slots":32,"state":"ready","sequence":1`, service, p.address(), i%3))
		w.register(i, s.StartMillis())
	}
	seed := ""
	for n := range daemons {
		p, err := newProxy(strings.TrimPrefix(store.URL, "http://"))
		if err != nil {
			return err
		}
		w.closers = append(w.closers, p.close)
		w.stores = append(w.stores, p)
		d, control, err := newProcess(n, binary, dir, p.address(), seed)
		if err != nil {
			return err
		}
		if seed == "" {
			seed = control
		}
		w.daemons = append(w.daemons, d)
		if err := d.start(); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for _, d := range w.daemons {
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
				return fmt.Errorf("%s is not ready within %s", d.name, startLimit)
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

// configure writes the next configuration.
func (w *world) configure() {
	w.version += 3
	quoted := make([]string, len(w.keys))
	for i, k := range w.keys {
		quoted[i] = fmt.Sprintf("%q", k)
	}
	w.config = fmt.Appendf(nil, configuration, w.version, strings.Join(quoted, ","))
	w.store.Put("keyed.op", "config", w.config)
}

// known returns the keys that callers use: those in force, and now and then one that
// was taken away.
func (w *world) known() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := append([]string(nil), w.keys...)
	for k, at := range w.revoked {
		if time.Since(at) < 2*revokeWithin && time.Since(at) > revokeWithin/2 {
			out = append(out, k)
		}
	}
	return out
}

// rotate takes a key away and adds another.
func (w *world) rotate() {
	w.mu.Lock()
	defer w.mu.Unlock()
	gone := w.keys[0]
	w.keys = append(w.keys[1:], fmt.Sprint("k", w.version))
	w.configure()
	w.revoked[gone] = time.Now()
}

func (w *world) runs(id string) int {
	n := 0
	for _, s := range w.servers {
		n += s.RunCount(id)
	}
	return n
}

// inject starts faults until the span is over. Each ends by itself.
func (w *world) inject(o options) {
	end := time.Now().Add(o.span)
	for time.Now().Before(end) {
		switch {
		case o.deadly:
			w.stopDaemon()
		case o.restarts:
			w.restart()
		case o.warming:
			w.warmingFault()
		default:
			w.fault(time.Duration(w.rng.Int64N(int64(mostFault))))
		}
		time.Sleep(leastGap + time.Duration(w.rng.Int64N(int64(mostGap-leastGap))))
	}
}

// fault starts one fault and lets it end after a time.
func (w *world) fault(lasts time.Duration) {
	d := w.daemons[w.rng.IntN(len(w.daemons))]
	path, store := w.paths[w.rng.IntN(len(w.paths))], w.stores[w.rng.IntN(len(w.stores))]
	server := w.servers[w.rng.IntN(len(w.servers))]
	m := mode(1 + w.rng.IntN(int(modes)-1))
	after := func(f func()) { time.AfterFunc(lasts, f) }
	faults := []struct {
		name  string
		start func()
	}{
		{"term", func() { d.signal(syscall.SIGTERM) }},
		{"kill", func() { d.signal(syscall.SIGKILL) }},
		{"pause", func() { d.signal(syscall.SIGSTOP); after(func() { d.signal(syscall.SIGCONT) }) }},
		{"hup", func() { d.signal(syscall.SIGHUP) }},
		{"path", func() { path.set(m); after(func() { path.set(passing) }) }},
		{"store-path", func() { store.set(m); after(func() { store.set(passing) }) }},
		{"store-refuses", func() { w.store.SetFailure("", 503); after(func() { w.store.SetFailure("", 0) }) }},
		{"store-loses", func() { w.store.LoseReplies(3) }},
		{"store-compacts", func() { w.store.Compact("keyed.op"); w.store.Compact("keyed.servers") }},
		{"shed", func() { server.SetShedding(true); after(func() { server.SetShedding(false) }) }},
		{"errors", func() { server.SetFailureStatus(500); after(func() { server.SetFailureStatus(0) }) }},
		{"answers-lost", func() { server.SetLoseResponses(true); after(func() { server.SetLoseResponses(false) }) }},
		{"break", func() { server.BreakNextStreamAt(2 + w.rng.IntN(events-2)) }},
		{"rotate", w.rotate},
	}
	f := faults[w.rng.IntN(len(faults))]
	w.faults = append(w.faults, f.name)
	f.start()
}

// mend ends every fault at once.
func (w *world) mend() {
	w.unbar()
	for _, p := range append(append([]*proxy(nil), w.paths...), w.stores...) {
		p.set(passing)
	}
	for _, d := range w.daemons {
		d.signal(syscall.SIGCONT)
	}
	w.store.SetFailure("", 0)
	for _, s := range w.servers {
		s.SetShedding(false)
		s.SetFailureStatus(0)
		s.SetLoseResponses(false)
	}
}

func (w *world) close() {
	for _, d := range w.daemons {
		d.end()
	}
	for _, c := range w.closers {
		c()
	}
}
