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
	bound time.Duration
	// changes are made to each daemon before it runs.
	changes []func(n *Node)
	// seeds are what each daemon is told of others.
	seeds []string
	// copied is the store's content before the first daemon ran.
	copied *feedtest.Snapshot
	// pulses counts the calls between daemons.
	pulses atomic.Int64
	// backend are the backend servers of all daemons; nil has none that answers.
	backend relay.Backend
	// refuses says that a call to a daemon that does not run is refused at once, as by a VM
	// that is up; it hangs else, as to one that is gone.
	refuses bool
}

// isolate has what a daemon asks, and what it is asked and told, stand still, and go on.
func (f *fleet) isolate(i int, on bool) {
	m := f.member(address(i))
	f.mu.Lock()
	m.deaf = on
	f.mu.Unlock()
	m.caller.DelayResponses(on)
}

// member is one daemon of a fleet.
type member struct {
	*Node
	caller *feedtest.Client
	stop   context.CancelFunc
	// deaf daemons are reached by no other, and reach none.
	deaf bool
}

const (
	// oneWay is the time between two daemons.
	oneWay = time.Millisecond
	// inForce and leaveBound are what the smallest deployments ask for.
	inForce    = 2 * time.Second
	leaveBound = 2 * time.Second
)

// bound is the time that deployments of a size allow for a configuration and for a
// server that leaves.
func bound(daemons int) time.Duration {
	switch {
	case daemons < 50:
		return leaveBound
	case daemons < 150:
		return leaveBound + time.Second
	}
	return leaveBound + 2*time.Second
}

// newFleet starts daemons on a store with a configuration and servers a and b. Changes
// are made to each daemon before it runs.
func newFleet(t *testing.T, daemons int, changes ...func(n *Node)) *fleet {
	t.Helper()
	return newFleetWith(t, daemons, []string{address(0), address(1), address(2)}, changes...)
}

// newFleetWith is newFleet with other seeds.
func newFleetWith(t *testing.T, daemons int, seeds []string, changes ...func(n *Node)) *fleet {
	t.Helper()
	f := newStore(t, daemons, seeds, changes...)
	for i := range daemons {
		f.start(i)
	}
	return f
}

// newStore is a fleet of which no daemon runs yet.
func newStore(t *testing.T, daemons int, seeds []string, changes ...func(n *Node)) *fleet {
	t.Helper()
	f := &fleet{t: t, changes: changes, store: feedtest.New(), nodes: map[string]*member{}, bound: bound(daemons), seeds: seeds}
	f.store.Put("op", "config", []byte("5"))
	f.store.Put("servers", "a", []byte("ready"))
	f.store.Put("servers", "b", []byte("ready"))
	f.copied = f.store.TakeSnapshot()
	t.Cleanup(f.end)
	return f
}

// end stops all daemons, and lets calls that are on their way end.
func (f *fleet) end() {
	f.each(func(m *member) { m.stop() })
	time.Sleep(time.Second)
}

func address(i int) string { return fmt.Sprintf("c%03d", i) }

// start starts a daemon, or starts it again.
func (f *fleet) start(i int) *member {
	f.t.Helper()
	began := time.Now()
	ctx, stop := context.WithCancel(f.t.Context())
	m := &member{caller: f.store.NewClient(), stop: stop}
	c := Config{
		Name: fmt.Sprintf("d%03d", i), ControlAddress: address(i), ClientAddress: fmt.Sprintf("f%03d", i), Seeds: f.seeds,
		ConfigPropagationLimit: f.bound, ServerDrainLimit: f.bound,
		RelayOptions: relay.Options{RetryBudgetWindow: 10 * time.Second, RetryBudgetRatio: 0.9, RetryBudgetReserve: 50},
	}
	var servers relay.Backend = noBackend{}
	if f.backend != nil {
		servers = f.backend
	}
	m.Node = New(ctx, c, Dependencies{
		Log: m.caller, Backend: servers, Codec: words{}, Metrics: relay.NewMetrics(tally.NoopScope), Logger: log.New(io.Discard),
		BootTime: func() time.Duration { return time.Minute + time.Since(began) }, Peers: &path{f, address(i)},
	})
	f.mu.Lock()
	f.nodes[address(i)] = m
	f.mu.Unlock()
	for _, change := range f.changes {
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

// path is a daemon's way to the others. It implements gossip.Caller.
type path struct {
	fleet *fleet
	own   string
}

var errCut = errors.New("no way to the daemon")

// to returns the daemon at an address after the time that a call takes to it. Between
// daemons that are cut off from each other a call hangs.
func (p *path) to(ctx context.Context, address string) (*member, error) {
	m, self := p.fleet.member(address), p.fleet.member(p.own)
	p.fleet.mu.Lock()
	cut := m == nil || self == nil || m.deaf || self.deaf
	refused := m == nil && p.fleet.refuses
	p.fleet.mu.Unlock()
	if refused {
		time.Sleep(2 * oneWay)
		return nil, errCut
	}
	if cut {
		<-ctx.Done()
		return nil, errCut
	}
	time.Sleep(oneWay)
	return m, ctx.Err()
}

func (p *path) Pulse(ctx context.Context, address string, pulse gossip.Message) (gossip.Message, error) {
	p.fleet.pulses.Add(1)
	m, err := p.to(ctx, address)
	if err != nil {
		return gossip.Message{}, err
	}
	answer := m.members.HandleExchange(pulse)
	time.Sleep(oneWay)
	return answer, nil
}

func (p *path) Records(ctx context.Context, address string, q gossip.RecordsRequest) (gossip.RecordsResponse, error) {
	m, err := p.to(ctx, address)
	if err != nil {
		return gossip.RecordsResponse{}, err
	}
	answer := gossip.HandleRecords(q, m.recordsSince)
	time.Sleep(oneWay)
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

// using counts the daemons that may send to a server.
func (f *fleet) using(id string) int { return f.count(func(m *member) bool { return m.uses(id) }) }

// look is how often a test looks whether something has come about.
const look = 5 * time.Millisecond

// within waits until something is so and returns how long that took. It fails after a
// limit.
func within(t *testing.T, limit time.Duration, what string, so func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for !so() {
		if time.Since(began) > limit {
			t.Errorf("%s: not within %s", what, limit)
			break
		}
		time.Sleep(look)
	}
	return time.Since(began)
}
