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

// fleetShape is the size of a fleet and its load.
type fleetShape struct {
	daemons, servers, workspaces int
	// changes and requests are rates per second for the whole fleet.
	changes, requests int
}

// memoryLog is an in-memory platform.Log, which adds little to the measured cost.
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
		batch := platform.Batch{Next: uint64(len(all))}
		for offset := from; offset < batch.Next && len(batch.Records) < limit; offset++ {
			batch.Records = append(batch.Records, platform.Record{Offset: offset, Data: all[offset]})
		}
		l.mu.Unlock()
		if len(batch.Records) > 0 || wait == 0 {
			return batch, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return batch, ctx.Err()
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
	// settleTime and settleTimePerDaemon are the time that a fleet runs before the
	// measurement. Membership traffic is higher while daemons join.
	settleTime          = 4 * time.Second
	settleTimePerDaemon = 400 * time.Millisecond
	// loadPrompt is the prompt of the measured requests.
	loadPrompt = "status of bib 7"
)

// startFleet starts a fleet. All servers of its pool are one engine stand-in.
func startFleet(s fleetShape) (*testFleet, error) {
	f := &testFleet{log: newMemoryLog()}
	engine := standin.NewEngine(standin.EngineConfig{Slots: 1 << 20, CompletionTokens: 8, ChecksFencing: true}, "m@v1")
	engineServer, err := standin.Serve(engine)
	if err != nil {
		return nil, err
	}
	f.closers = append(f.closers, engineServer.Close)
	if err := f.appendInitialConfig(s, engineServer.Address); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	var listeners []net.Listener
	for range s.daemons {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
	}
	for i, l := range listeners {
		config := settings.Defaults()
		config.ID, config.Region, config.FailureDomain = fmt.Sprintf("d%03d", i), "r", fmt.Sprintf("fd%d", i%failureDomains)
		config.ListenAddress, config.PeerListenAddress = l.Addr().String(), l.Addr().String()
		config.Peers = []string{listeners[0].Addr().String(), listeners[len(listeners)/2].Addr().String()}
		scope := tally.NewTestScope("", nil)
		d := daemon.New(config, demo.Secrets, daemon.Dependencies{Log: f.log, Logger: log.New(io.Discard), Metrics: scope})
		f.daemons, f.scopes = append(f.daemons, d), append(f.scopes, scope)
		srv := &http.Server{Handler: d.PeerServer()}
		go func() { _ = srv.Serve(l) }()
		f.closers = append(f.closers, func() { _ = srv.Close() })
		f.running.Go(func() { d.Run(ctx) })
	}
	return f, nil
}

func (f *testFleet) appendInitialConfig(s fleetShape, address string) error {
	pool := fleet.Pool{}
	for i := range s.servers {
		pool.Servers = append(pool.Servers, fleet.Server{ID: fmt.Sprintf("s%04d", i), Address: address, FailureDomain: fmt.Sprintf("fd%d", i%failureDomains), Slots: 8})
	}
	patch := map[string]any{
		"pools":  map[string]any{"p": pool},
		"models": map[string]any{"m": fleet.Model{Stable: "v1", Versions: map[string]fleet.Version{"v1": {Pool: "p", MicrosPerKiloToken: 100}}}},
	}
	workspaces := map[string]any{}
	for i := range s.workspaces {
		workspaces[fmt.Sprintf("w%04d", i)] = fleet.Workspace{KeyHashes: []string{fleet.HashAPIKey(fmt.Sprint(i))}, Models: []string{"m"}, TokensPerMinute: 100_000_000}
	}
	patch["workspaces"] = workspaces
	return f.appendPatch("first", 0, patch)
}

func (f *testFleet) appendPatch(id string, base uint64, p any) error {
	data, err := json.Marshal(p)
	if err != nil {
		return err
	}
	rec, err := json.Marshal(fleet.Record{PatchID: id, Base: base, Patch: data})
	if err != nil {
		return err
	}
	_, err = f.log.Append(context.Background(), "config", [][]byte{rec})
	return err
}

// generateLoad appends patches and sends requests at the rates of the shape until ctx is
// done.
func (f *testFleet) generateLoad(ctx context.Context, s fleetShape) {
	if s.changes > 0 {
		go f.every(ctx, time.Second/time.Duration(s.changes), func(n int) {
			_ = f.appendPatch(fmt.Sprint("change", n), uint64(n+1), map[string]any{"workspaces": map[string]any{"w0001": map[string]any{"priority": n % 9}}})
		})
	}
	if s.requests > 0 {
		go f.every(ctx, time.Second/time.Duration(s.requests), func(n int) {
			go func() {
				d := f.daemons[n%len(f.daemons)]
				_, _ = d.Chat(ctx, daemon.NewRequestID(), daemon.ChatRequest{Workspace: fmt.Sprintf("w%04d", n%s.workspaces), Model: "m", Prompt: loadPrompt,
					Body: map[string]json.RawMessage{"messages": json.RawMessage(`[{"role":"user","content":"` + loadPrompt + `"}]`)}})
			}()
		})
	}
}

// every calls a function periodically, with the number of previous calls.
func (f *testFleet) every(ctx context.Context, period time.Duration, call func(n int)) {
	t := time.NewTicker(period)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-t.C:
			call(n)
		case <-ctx.Done():
			return
		}
	}
}

func (f *testFleet) shutdown() {
	f.cancel()
	f.running.Wait()
	for _, c := range f.closers {
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
	// The second collection frees objects that finalizers have released.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc+m.StackInuse) / 1024
}

func (f *testFleet) peerBytes() float64 {
	sum := int64(0)
	for _, s := range f.scopes {
		if c, ok := s.Snapshot().Counters()["peer_bytes+"]; ok {
			sum += c.Value()
		}
	}
	return float64(sum)
}

// measureShape runs a fleet for window and returns the mean cost of a daemon.
func measureShape(s fleetShape, window time.Duration) (point, error) {
	time.Sleep(settleTime / 4)
	before := heapKB()
	f, err := startFleet(s)
	if err != nil {
		return point{}, err
	}
	defer f.shutdown()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	time.Sleep(settleTime + time.Duration(s.daemons)*settleTimePerDaemon)
	for _, d := range f.daemons {
		if !d.Ready() {
			return point{}, fmt.Errorf("daemon %s is not ready", d.Settings().ID)
		}
	}
	f.generateLoad(ctx, s)
	time.Sleep(settleTime / 2)
	cpu, bytes, reads, appends, started := cpuSeconds(), f.peerBytes(), f.log.reads.Load(), f.log.appends.Load(), time.Now()
	time.Sleep(window)
	n, seconds := float64(s.daemons), time.Since(started).Seconds()
	p := point{
		cpu:     100 * (cpuSeconds() - cpu) / seconds / n,
		bytes:   (f.peerBytes() - bytes) / seconds / n,
		reads:   float64(f.log.reads.Load()-reads) / seconds / n,
		appends: float64(f.log.appends.Load()-appends) / seconds / n,
	}
	p.heap = (heapKB() - before) / n
	return p, nil
}
