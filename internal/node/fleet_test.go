package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/feedtest"
	"github.com/damaskrudder/damaskrudder/internal/gossip"
	"github.com/damaskrudder/damaskrudder/internal/loop"
	"github.com/damaskrudder/damaskrudder/internal/peer"
	"github.com/damaskrudder/damaskrudder/internal/relay"
)

// fleet is a set of daemons with a common store, in the virtual time of synctest.
type fleet struct {
	t     *testing.T
	store *feedtest.Store

	mu    sync.Mutex
	nodes map[string]*member
	limit time.Duration
	// setup functions are applied to each daemon before it runs.
	setup []func(n *Node)
	// seeds are the seed addresses of each daemon.
	seeds []string
	// snapshot is the content of the store before the first daemon ran.
	snapshot *feedtest.Snapshot
	// exchanges counts the gossip exchanges between daemons.
	exchanges atomic.Int64
	// backend serves the requests of all daemons; nil means unavailableBackend.
	backend relay.Backend
	// refuseStopped makes calls to stopped daemons fail at once, as with a process that has
	// ended; otherwise they hang, as with a lost VM.
	refuseStopped bool
	// linkRate is the rate in bytes per second at which a daemon sends records to others; zero means
	// at once.
	linkRate float64
}

// isolate cuts a daemon off from the store and the other daemons, or reconnects it.
func (f *fleet) isolate(i int, on bool) {
	m := f.member(address(i))
	f.mu.Lock()
	m.isolated = on
	f.mu.Unlock()
	m.storeClient.DelayResponses(on)
}

// member is one daemon of a fleet.
type member struct {
	*Node
	storeClient *feedtest.Client
	stop        context.CancelFunc
	// isolated daemons neither reach other daemons nor are reached by them.
	isolated bool
	// linkFreeAt is when the daemon's link has sent the records that were given to it.
	linkFreeAt time.Time
}

// sendRecords takes the time that records need on a daemon's link, behind those before them.
func (f *fleet) sendRecords(ctx context.Context, m *member, response gossip.RecordsResponse) {
	if f.linkRate == 0 {
		return
	}
	size := len(response.Packed)
	for _, r := range response.Records {
		size += len(r.Key) + len(r.Value)
	}
	f.mu.Lock()
	if now := time.Now(); m.linkFreeAt.Before(now) {
		m.linkFreeAt = now
	}
	m.linkFreeAt = m.linkFreeAt.Add(time.Duration(float64(size) / f.linkRate * float64(time.Second)))
	free := m.linkFreeAt
	f.mu.Unlock()
	loop.Sleep(ctx, time.Until(free))
}

const (
	// latency is the one-way network delay between daemons.
	latency = time.Millisecond
	// configLimit and drainLimit are the limits of the smallest deployments.
	configLimit = 2 * time.Second
	drainLimit  = 2 * time.Second
)

// play plays a case of a test in virtual time, beside other tests.
func play(t *testing.T, name string, test func(t *testing.T)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		t.Parallel()
		synctest.Test(t, test)
	})
}

// limitFor returns the propagation limit of a deployment for configurations and leaving servers.
func limitFor(daemons int) time.Duration {
	switch {
	case daemons < 50:
		return drainLimit
	case daemons < 150:
		return drainLimit + time.Second
	}
	return drainLimit + 2*time.Second
}

// newFleet starts daemons on a store with a configuration and servers a and b. The setup functions
// are applied to each daemon before it runs.
func newFleet(t *testing.T, daemons int, setup ...func(n *Node)) *fleet {
	t.Helper()
	return newFleetWithSeeds(t, daemons, []string{address(0), address(1), address(2)}, setup...)
}

// newFleetWithSeeds is newFleet with other seeds.
func newFleetWithSeeds(t *testing.T, daemons int, seeds []string, setup ...func(n *Node)) *fleet {
	t.Helper()
	f := newStoppedFleet(t, daemons, seeds, setup...)
	for i := range daemons {
		f.start(i)
	}
	return f
}

// newStoppedFleet returns a fleet of which no daemon runs yet.
func newStoppedFleet(t *testing.T, daemons int, seeds []string, setup ...func(n *Node)) *fleet {
	t.Helper()
	f := &fleet{t: t, setup: setup, store: feedtest.New(), nodes: map[string]*member{}, limit: limitFor(daemons), seeds: seeds}
	f.store.Put("op", "config", []byte("5"))
	f.store.Put("servers", "a", []byte("ready"))
	f.store.Put("servers", "b", []byte("ready"))
	f.snapshot = f.store.TakeSnapshot()
	t.Cleanup(f.stopAll)
	return f
}

// stopAll stops all daemons and lets pending calls end.
func (f *fleet) stopAll() {
	f.each(func(m *member) { m.stop() })
	time.Sleep(time.Second)
}

func address(i int) string { return fmt.Sprintf("c%03d", i) }

// start starts or restarts a daemon.
func (f *fleet) start(i int) *member {
	f.t.Helper()
	start := time.Now()
	ctx, stop := context.WithCancel(f.t.Context())
	m := &member{storeClient: f.store.NewClient(), stop: stop}
	c := Config{
		Name: fmt.Sprintf("d%03d", i), ControlAddress: address(i), ClientAddress: fmt.Sprintf("f%03d", i), Seeds: f.seeds,
		ConfigPropagationLimit: f.limit, ServerDrainLimit: f.limit,
		RelayOptions: relay.Options{RetryBudgetWindow: 10 * time.Second, RetryBudgetRatio: 0.9, RetryBudgetReserve: 50},
	}
	var backend relay.Backend = unavailableBackend{}
	if f.backend != nil {
		backend = f.backend
	}
	m.Node = New(ctx, c, Dependencies{
		Log: m.storeClient, Backend: backend, Codec: fakeCodec{}, Metrics: relay.NewMetrics(tally.NoopScope), Logger: log.New(io.Discard),
		BootTime: func() time.Duration { return time.Minute + time.Since(start) }, PeerTransport: &fakeTransport{f, address(i)}, CallForwarder: &fakeTransport{f, address(i)}, VerdictTransport: &fakeTransport{f, address(i)}, PermitTransport: &fakeTransport{f, address(i)},
	})
	f.mu.Lock()
	f.nodes[address(i)] = m
	f.mu.Unlock()
	for _, change := range f.setup {
		change(m.Node)
	}
	m.Run(ctx)
	return m
}

// kill stops a daemon without a drain.
func (f *fleet) kill(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[address(i)].stop()
	delete(f.nodes, address(i))
}

func (f *fleet) member(address string) *member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[address]
}

// each calls do for every running daemon.
func (f *fleet) each(do func(m *member)) {
	f.mu.Lock()
	all := make([]*member, 0, len(f.nodes))
	for _, m := range f.nodes {
		all = append(all, m)
	}
	f.mu.Unlock()
	for _, m := range all {
		do(m)
	}
}

// fakeTransport connects a daemon to the others of the fleet. It implements gossip.Transport.
type fakeTransport struct {
	fleet      *fleet
	ownAddress string
}

var errUnreachable = errors.New("daemon unreachable")

// connect returns the daemon at an address after the network delay. It blocks until the context
// ends if either daemon is isolated.
func (p *fakeTransport) connect(ctx context.Context, address string) (*member, error) {
	m, self := p.fleet.member(address), p.fleet.member(p.ownAddress)
	p.fleet.mu.Lock()
	isolated := m == nil || self == nil || m.isolated || self.isolated
	refused := m == nil && p.fleet.refuseStopped
	p.fleet.mu.Unlock()
	if refused {
		time.Sleep(2 * latency)
		return nil, errUnreachable
	}
	if isolated {
		<-ctx.Done()
		return nil, errUnreachable
	}
	time.Sleep(latency)
	return m, ctx.Err()
}

func (p *fakeTransport) Exchange(ctx context.Context, address string, message gossip.Message) (gossip.Message, error) {
	p.fleet.exchanges.Add(1)
	m, err := p.connect(ctx, address)
	if err != nil {
		return gossip.Message{}, err
	}
	response := m.members.HandleExchange(message)
	time.Sleep(latency)
	return response, nil
}

func (p *fakeTransport) FetchRecords(ctx context.Context, address string, request gossip.RecordsRequest) (gossip.RecordsResponse, error) {
	m, err := p.connect(ctx, address)
	if err != nil {
		return gossip.RecordsResponse{}, err
	}
	response := m.HandleRecords(request)
	p.fleet.sendRecords(ctx, m, response)
	time.Sleep(latency)
	return response, ctx.Err()
}

// RequestVerdict implements VerdictTransport.
func (p *fakeTransport) RequestVerdict(ctx context.Context, address string, request peer.VerdictRequest) (peer.VerdictResponse, error) {
	m, err := p.connect(ctx, address)
	if err != nil {
		return peer.VerdictResponse{}, err
	}
	response := m.HandleVerdict(ctx, request)
	time.Sleep(latency)
	return response, nil
}

// RequestPermit implements PermitTransport.
func (p *fakeTransport) RequestPermit(ctx context.Context, address string, request peer.PermitRequest) (peer.PermitResponse, error) {
	m, err := p.connect(ctx, address)
	if err != nil {
		return peer.PermitResponse{}, err
	}
	response := m.Relay.GivePermit(request)
	time.Sleep(latency)
	return response, nil
}

// ReportUnstated implements PermitTransport.
func (p *fakeTransport) ReportUnstated(ctx context.Context, address string, report peer.UnstatedLimit) error {
	m, err := p.connect(ctx, address)
	if err == nil {
		m.Relay.ObserveUnstated(report)
	}
	return err
}

// Forward implements CallForwarder.
func (p *fakeTransport) Forward(ctx context.Context, address string, call relay.ForwardedCall) (relay.ForwardStream, bool, error) {
	m, err := p.connect(ctx, address)
	if err != nil {
		return nil, false, err
	}
	serveCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stream := &fakeForwardStream{frames: make(chan relay.ForwardFrame), cancel: cancel}
	go func() {
		defer close(stream.frames)
		m.Relay.ServeForwarded(serveCtx, p.ownAddress, call, func(f relay.ForwardFrame) error {
			time.Sleep(latency)
			select {
			case stream.frames <- f:
				return nil
			case <-serveCtx.Done():
				return serveCtx.Err()
			}
		})
	}()
	return stream, true, nil
}

// fakeForwardStream implements relay.ForwardStream.
type fakeForwardStream struct {
	frames chan relay.ForwardFrame
	cancel context.CancelFunc
}

func (s *fakeForwardStream) Receive(ctx context.Context) (relay.ForwardFrame, error) {
	select {
	case f, open := <-s.frames:
		if !open {
			return f, io.EOF
		}
		return f, nil
	case <-ctx.Done():
		return relay.ForwardFrame{}, context.Cause(ctx)
	}
}

func (s *fakeForwardStream) Close() { s.cancel() }

// usesServer reports whether a server is usable for this daemon.
func (n *Node) usesServer(id string) (found bool) {
	n.EachServer("s", func(other string) { found = found || other == id })
	return found
}

// count returns the number of running daemons that satisfy a condition.
func (f *fleet) count(cond func(m *member) bool) (n int) {
	f.each(func(m *member) {
		if cond(m) {
			n++
		}
	})
	return n
}

// countUsing returns the number of daemons for which a server is usable.
func (f *fleet) countUsing(id string) int {
	return f.count(func(m *member) bool { return m.usesServer(id) })
}

// pollInterval is the interval at which tests poll a condition.
const pollInterval = 5 * time.Millisecond

// waitFor polls until a condition holds and returns the time that it took. It reports an error
// after the limit.
func waitFor(t *testing.T, limit time.Duration, what string, cond func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !cond() {
		if time.Since(start) > limit {
			t.Errorf("%s: timed out after %s", what, limit)
			break
		}
		time.Sleep(pollInterval)
	}
	return time.Since(start)
}
