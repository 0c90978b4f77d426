package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/daemon"
	"github.com/damaskrudder/damaskrudder/internal/demo"
	"github.com/damaskrudder/damaskrudder/internal/fleet"
	"github.com/damaskrudder/damaskrudder/internal/platform"
	"github.com/damaskrudder/damaskrudder/internal/settings"
	"github.com/damaskrudder/damaskrudder/internal/standin"
)

// fleetShape is one size to measure.
type fleetShape struct {
	daemons, servers, workspaces int
	// changes and requests are rates a second for the whole fleet.
	changes, requests int
}

// memoryLog is the log without a network, so that its own cost stays small.
type memoryLog struct {
	mu             sync.Mutex
	streams        map[string][][]byte
	changed        chan struct{}
	reads, appends atomic.Int64
}

func newMemoryLog() *memoryLog {
	return &memoryLog{streams: map[string][][]byte{}, changed: make(chan struct{})}
}

// Append implements platform.Log.
func (l *memoryLog) Append(_ context.Context, stream string, records [][]byte) (uint64, error) {
	l.appends.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	first := uint64(len(l.streams[stream]))
	l.streams[stream] = append(l.streams[stream], records...)
	close(l.changed)
	l.changed = make(chan struct{})
	return first, nil
}

// Read implements platform.Log.
func (l *memoryLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (platform.Batch, error) {
	l.reads.Add(1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l.mu.Lock()
		all, changed := l.streams[stream], l.changed
		b := platform.Batch{Next: uint64(len(all))}
		for o := from; o < b.Next && len(b.Records) < limit; o++ {
			b.Records = append(b.Records, platform.Record{Offset: o, Data: all[o]})
		}
		l.mu.Unlock()
		if len(b.Records) > 0 || wait == 0 {
			return b, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return b, nil
		case <-ctx.Done():
			return b, ctx.Err()
		}
	}
}

// testFleet is a running fleet under measurement.
type testFleet struct {
	log     *memoryLog
	daemons []*daemon.Daemon
	scopes  []tally.TestScope
	cancel  context.CancelFunc
	closers []func()
	running sync.WaitGroup
}

const (
	failureDomains = 5
	// settleTime is how long a fleet runs before it is measured, and settlePer how
	// much longer for each daemon: all starting at once is news about everybody,
	// which travels for a while.
	settleTime          = 4 * time.Second
	settleTimePerDaemon = 400 * time.Millisecond
	// loadPrompt is the prompt of the measured requests.
	loadPrompt = "status of bib 7"
)

// startFleet brings a fleet up. All servers of a pool share one engine stand-in.
func startFleet(s fleetShape) (*testFleet, error) {
	r := &testFleet{log: newMemoryLog()}
	engine := standin.NewEngine(standin.EngineConfig{Slots: 1 << 20, AnswerTokens: 8, ChecksFencing: true}, "m@v1")
	es, err := standin.Serve(engine)
	if err != nil {
		return nil, err
	}
	r.closers = append(r.closers, es.Close)
	if err := r.configure(s, es.Address); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	var listeners []net.Listener
	for range s.daemons {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
	}
	for i, l := range listeners {
		set := settings.Defaults()
		set.ID, set.Region, set.FailureDomain = fmt.Sprintf("d%03d", i), "r", fmt.Sprintf("fd%d", i%failureDomains)
		set.ListenAddress, set.PeerListenAddress = l.Addr().String(), l.Addr().String()
		set.Peers = []string{listeners[0].Addr().String(), listeners[len(listeners)/2].Addr().String()}
		scope := tally.NewTestScope("", nil)
		d := daemon.New(set, demo.Secrets, daemon.Dependencies{Log: r.log, Logger: log.New(io.Discard), Metrics: scope})
		r.daemons, r.scopes = append(r.daemons, d), append(r.scopes, scope)
		srv := &http.Server{Handler: d.PeerServer()}
		go func() { _ = srv.Serve(l) }()
		r.closers = append(r.closers, func() { _ = srv.Close() })
		r.running.Go(func() { d.Run(ctx) })
	}
	return r, nil
}

func (r *testFleet) configure(s fleetShape, address string) error {
	pool := fleet.Pool{}
	for i := range s.servers {
		pool.Servers = append(pool.Servers, fleet.Server{ID: fmt.Sprintf("s%04d", i), Address: address, FailureDomain: fmt.Sprintf("fd%d", i%failureDomains), Slots: 8})
	}
	p := map[string]any{
		"pools":  map[string]any{"p": pool},
		"models": map[string]any{"m": fleet.Model{Stable: "v1", Versions: map[string]fleet.Version{"v1": {Pool: "p", MicrosPerKiloToken: 100}}}},
	}
	ws := map[string]any{}
	for i := range s.workspaces {
		ws[fmt.Sprintf("w%04d", i)] = fleet.Workspace{KeyHashes: []string{fleet.HashAPIKey(fmt.Sprint(i))}, Models: []string{"m"}, TokensPerMinute: 100_000_000}
	}
	p["workspaces"] = ws
	return r.patch("first", 0, p)
}

func (r *testFleet) patch(id string, base uint64, p any) error {
	data, err := json.Marshal(p)
	if err != nil {
		return err
	}
	rec, err := json.Marshal(fleet.Record{PatchID: id, Base: base, Patch: data})
	if err != nil {
		return err
	}
	_, err = r.log.Append(context.Background(), "config", [][]byte{rec})
	return err
}

// generateLoad changes the configuration and sends requests at the shape's rates.
func (r *testFleet) generateLoad(ctx context.Context, s fleetShape) {
	if s.changes > 0 {
		go r.every(ctx, time.Second/time.Duration(s.changes), func(n int) {
			_ = r.patch(fmt.Sprint("change", n), uint64(n+1), map[string]any{"workspaces": map[string]any{"w0001": map[string]any{"priority": n % 9}}})
		})
	}
	if s.requests > 0 {
		go r.every(ctx, time.Second/time.Duration(s.requests), func(n int) {
			go func() {
				d := r.daemons[n%len(r.daemons)]
				_, _ = d.Chat(ctx, daemon.NewRequestID(), daemon.ChatRequest{Workspace: fmt.Sprintf("w%04d", n%s.workspaces), Model: "m", Prompt: loadPrompt,
					Body: map[string]json.RawMessage{"messages": json.RawMessage(`[{"role":"user","content":"` + loadPrompt + `"}]`)}})
			}()
		})
	}
}

func (r *testFleet) every(ctx context.Context, period time.Duration, f func(n int)) {
	t := time.NewTicker(period)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-t.C:
			f(n)
		case <-ctx.Done():
			return
		}
	}
}

func (r *testFleet) shutdown() {
	r.cancel()
	r.running.Wait()
	for _, c := range r.closers {
		c()
	}
}

func cpuSeconds() float64 {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return float64(u.Utime.Sec+u.Stime.Sec) + float64(u.Utime.Usec+u.Stime.Usec)/1e6
}

func heapKB() float64 {
	var m runtime.MemStats
	// The second collection frees what finalizers of the first let go.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc+m.StackInuse) / 1024
}

func (r *testFleet) peerBytes() float64 {
	sum := int64(0)
	for _, s := range r.scopes {
		if c, ok := s.Snapshot().Counters()["peer_bytes+"]; ok {
			sum += c.Value()
		}
	}
	return float64(sum)
}

// measureShape runs one size and returns the mean cost of a daemon.
func measureShape(s fleetShape, window time.Duration) (point, error) {
	time.Sleep(settleTime / 4)
	before := heapKB()
	r, err := startFleet(s)
	if err != nil {
		return point{}, err
	}
	defer r.shutdown()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	time.Sleep(settleTime + time.Duration(s.daemons)*settleTimePerDaemon)
	for _, d := range r.daemons {
		if !d.Ready() {
			return point{}, fmt.Errorf("daemon %s is not ready", d.Settings().ID)
		}
	}
	r.generateLoad(ctx, s)
	time.Sleep(settleTime / 2)
	cpu, bytes, reads, appends, started := cpuSeconds(), r.peerBytes(), r.log.reads.Load(), r.log.appends.Load(), time.Now()
	time.Sleep(window)
	n, seconds := float64(s.daemons), time.Since(started).Seconds()
	p := point{
		cpu:     100 * (cpuSeconds() - cpu) / seconds / n,
		bytes:   (r.peerBytes() - bytes) / seconds / n,
		reads:   float64(r.log.reads.Load()-reads) / seconds / n,
		appends: float64(r.log.appends.Load()-appends) / seconds / n,
	}
	p.heap = (heapKB() - before) / n
	return p, nil
}
