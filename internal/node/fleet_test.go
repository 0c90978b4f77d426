package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/feedtest"
	"github.com/damaskrudder/damaskrudder/internal/gossip"
	"github.com/damaskrudder/damaskrudder/internal/relay"
)

// fleet is daemons on one store that call each other, in the virtual time of synctest: a
// sleep in such a test takes no time, and the verdict is the same every run.
type fleet struct {
	t     *testing.T
	store *feedtest.Store

	mu    sync.Mutex
	nodes map[string]*member
	limit time.Duration
	// setup are made to each daemon before it runs.
	setup []func(n *Node)
	// seeds are what each daemon is told of others.
	seeds []string
	// snapshot is the store's content before the first daemon ran.
	snapshot *feedtest.Snapshot
	// exchanges counts the calls between daemons.
	exchanges atomic.Int64
	// backend are the backend servers of all daemons; nil has none that answers.
	backend relay.Backend
	// refuseStopped says that a call to a daemon that does not run is refused at once, as by a VM
	// that is up; it hangs else, as to one that is gone.
	refuseStopped bool
}

// isolate has what a daemon asks, and what it is asked and told, stand still, and go on.
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
	// isolated daemons are reached by no other, and reach none.
	isolated bool
}

const (
	// latency is the time between two daemons.
	latency = time.Millisecond
	// configLimit and leaveBound are what the smallest deployments ask for.
	configLimit = 2 * time.Second
	drainLimit  = 2 * time.Second
)

// limitFor is the time that deployments of a size allow for a configuration and for a
// server that leaves.
func limitFor(daemons int) time.Duration {
	switch {
	case daemons < 50:
		return drainLimit
	case daemons < 150:
		return drainLimit + time.Second
	}
	return drainLimit + 2*time.Second
}

// newFleet starts daemons on a store with a configuration and servers a and b. Changes
// are made to each daemon before it runs.
func newFleet(t *testing.T, daemons int, changes ...func(n *Node)) *fleet {
	t.Helper()
	return newFleetWithSeeds(t, daemons, []string{address(0), address(1), address(2)}, changes...)
}

// newFleetWithSeeds is newFleet with other seeds.
func newFleetWithSeeds(t *testing.T, daemons int, seeds []string, changes ...func(n *Node)) *fleet {
	t.Helper()
	f := newStoppedFleet(t, daemons, seeds, changes...)
	for i := range daemons {
		f.start(i)
	}
	return f
}

// newStoppedFleet is a fleet of which no daemon runs yet.
func newStoppedFleet(t *testing.T, daemons int, seeds []string, changes ...func(n *Node)) *fleet {
	t.Helper()
	f := &fleet{t: t, setup: changes, store: feedtest.New(), nodes: map[string]*member{}, limit: limitFor(daemons), seeds: seeds}
	f.store.Put("op", "config", []byte("5"))
	f.store.Put("servers", "a", []byte("ready"))
	f.store.Put("servers", "b", []byte("ready"))
	f.snapshot = f.store.TakeSnapshot()
	t.Cleanup(f.stopAll)
	return f
}

// stopAll stops all daemons, and lets calls that are on their way end.
func (f *fleet) stopAll() {
	f.each(func(m *member) { m.stop() })
	time.Sleep(time.Second)
}

func address(i int) string { return fmt.Sprintf("c%03d", i) }

// start starts a daemon, or starts it again.
func (f *fleet) start(i int) *member {
	f.t.Helper()
	began := time.Now()
	ctx, stop := context.WithCancel(f.t.Context())
	m := &member{storeClient: f.store.NewClient(), stop: stop}
	c := Config{
		Name: fmt.Sprintf("d%03d", i), ControlAddress: address(i), ClientAddress: fmt.Sprintf("f%03d", i), Seeds: f.seeds,
		ConfigPropagationLimit: f.limit, ServerDrainLimit: f.limit,
		RelayOptions: relay.Options{RetryBudgetWindow: 10 * time.Second, RetryBudgetRatio: 0.9, RetryBudgetReserve: 50},
	}
	var servers relay.Backend = unavailableBackend{}
	if f.backend != nil {
		servers = f.backend
	}
	m.Node = New(ctx, c, Dependencies{
		Log: m.storeClient, Backend: servers, Codec: fakeCodec{}, Metrics: relay.NewMetrics(tally.NoopScope), Logger: log.New(io.Discard),
		BootTime: func() time.Duration { return time.Minute + time.Since(began) }, PeerTransport: &fakeTransport{f, address(i)},
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

// kill ends a daemon without a word.
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

// each calls do for every daemon that runs.
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

// fakeTransport is a daemon's way to the others. It implements gossip.Caller.
type fakeTransport struct {
	fleet      *fleet
	ownAddress string
}

var errUnreachable = errors.New("no way to the daemon")

// connect returns the daemon at an address after the time that a call takes to it. Between
// daemons that are cut off from each other a call hangs.
func (p *fakeTransport) connect(ctx context.Context, address string) (*member, error) {
	m, self := p.fleet.member(address), p.fleet.member(p.ownAddress)
	p.fleet.mu.Lock()
	cut := m == nil || self == nil || m.isolated || self.isolated
	refused := m == nil && p.fleet.refuseStopped
	p.fleet.mu.Unlock()
	if refused {
		time.Sleep(2 * latency)
		return nil, errUnreachable
	}
	if cut {
		<-ctx.Done()
		return nil, errUnreachable
	}
	time.Sleep(latency)
	return m, ctx.Err()
}

func (p *fakeTransport) Pulse(ctx context.Context, address string, pulse gossip.Message) (gossip.Message, error) {
	p.fleet.exchanges.Add(1)
	m, err := p.connect(ctx, address)
	if err != nil {
		return gossip.Message{}, err
	}
	answer := m.members.HandleExchange(pulse)
	time.Sleep(latency)
	return answer, nil
}

func (p *fakeTransport) Records(ctx context.Context, address string, q gossip.RecordsRequest) (gossip.RecordsResponse, error) {
	m, err := p.connect(ctx, address)
	if err != nil {
		return gossip.RecordsResponse{}, err
	}
	answer := gossip.HandleRecords(q, m.recordsSince)
	time.Sleep(latency)
	return answer, nil
}

// uses reports whether a daemon may send to a server.
func (n *Node) uses(id string) (found bool) {
	n.EachServer("s", func(other string) { found = found || other == id })
	return found
}

// count counts the daemons of which something is so.
func (f *fleet) count(so func(m *member) bool) (n int) {
	f.each(func(m *member) {
		if so(m) {
			n++
		}
	})
	return n
}

// countUsing counts the daemons that may send to a server.
func (f *fleet) countUsing(id string) int { return f.count(func(m *member) bool { return m.uses(id) }) }

// pollInterval is how often a test looks whether something has come about.
const pollInterval = 5 * time.Millisecond

// waitFor waits until something is so and returns how long that took. It fails after a
// limit.
func waitFor(t *testing.T, limit time.Duration, what string, so func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for !so() {
		if time.Since(began) > limit {
			t.Errorf("%s: not within %s", what, limit)
			break
		}
		time.Sleep(pollInterval)
	}
	return time.Since(began)
}
