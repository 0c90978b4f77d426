package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/feed"
	"github.com/damaskrudder/damaskrudder/internal/feedtest"
	"github.com/damaskrudder/damaskrudder/internal/gossip"
	"github.com/damaskrudder/damaskrudder/internal/loop"
	"github.com/damaskrudder/damaskrudder/internal/node"
	"github.com/damaskrudder/damaskrudder/internal/relay"
)

const (
	// startWindow is the time in which all daemons start.
	startWindow = 300 * time.Millisecond
	// linkBytesPerSecond is the rate at which a daemon sends.
	linkBytesPerSecond = 1.25e6
	// networkDelay is the one-way delay between daemons.
	networkDelay = time.Millisecond
	// failureDomains is the number of failure domains of the fleet.
	failureDomains = 6
	// propagationLimit is the limit for configurations and leaving servers.
	propagationLimit = 5 * time.Second
	// seeds is the number of daemons that the others know from the start.
	seeds = 3
	// pollInterval is how often conditions are checked.
	pollInterval = 10 * time.Millisecond
	// configRoutes is the number of routes of the configuration.
	configRoutes = 600
	// sampledMessages is the fraction of messages, as a divisor, whose size is measured.
	sampledMessages = 8
)

// fleet is a set of daemons with a common store.
type fleet struct {
	t     *testing.T
	store *feedtest.Store
	mu    sync.Mutex
	nodes map[string]*daemon
}

// daemon is one daemon of a fleet and its traffic.
type daemon struct {
	*node.Node
	fleet        *fleet
	name, domain string
	client       *feedtest.Client
	stop         context.CancelFunc
	messages     atomic.Int64
	bytes        atomic.Int64
	bytesAcross  atomic.Int64
	sampled      atomic.Int64
	seenPeers    sync.Map
	// linkFreeAt is when the daemon's link has sent all that was given to it.
	linkMu          sync.Mutex
	linkFreeAt      time.Time
	transportServer func(req gossip.RecordsRequest) gossip.RecordsResponse
	exchange        func(msg gossip.Message) gossip.Message
}

func newFleet(t *testing.T, servers int) *fleet {
	f := &fleet{t: t, store: feedtest.New(), nodes: map[string]*daemon{}}
	f.store.Put(topicOperator, "config", configRecord(1))
	for i := range servers {
		f.store.Put(topicServers, serverID(i), []byte("ready"))
	}
	return f
}

// configRecord returns a configuration of the length that one has with hundreds of routes.
func configRecord(version int) []byte {
	var out bytes.Buffer
	fmt.Fprintln(&out, version)
	for i := range configRoutes {
		fmt.Fprintf(&out, `{"host":"h%d.example","path_prefix":"/r%d/","service":"lm","timeout_ms":6000,"attempts":3,"kind":"streaming"}`, i*7919%1000, i)
	}
	return out.Bytes()
}

func address(i int) string  { return fmt.Sprintf("10.%d.%d.%d:7000", i>>16, i>>8&255, i&255) }
func serverID(i int) string { return fmt.Sprintf("server-%05d", i) }

// start starts a daemon.
func (f *fleet) start(i int) {
	ctx, stop := context.WithCancel(f.t.Context())
	d := &daemon{fleet: f, name: fmt.Sprintf("daemon-%04d", i), domain: fmt.Sprint("domain-", i%failureDomains), client: f.store.NewClient(), stop: stop}
	c := node.Config{
		Name: d.name, FailureDomain: d.domain, ControlAddress: address(i), ClientAddress: fmt.Sprintf("10.%d.%d.%d:80", i>>16, i>>8&255, i&255),
		ConfigPropagationLimit: propagationLimit, ServerDrainLimit: propagationLimit,
		RelayOptions: relay.Options{RetryBudgetWindow: 10 * time.Second, RetryBudgetRatio: 0.9, RetryBudgetReserve: 50},
	}
	for s := range seeds {
		c.Seeds = append(c.Seeds, address(s))
	}
	started := time.Now()
	d.Node = node.New(ctx, c, node.Dependencies{
		Log: d.client, Backend: idleBackend{}, Codec: codec{}, Metrics: relay.NewMetrics(tally.NoopScope), Logger: log.New(io.Discard),
		BootTime: func() time.Duration { return time.Minute + time.Since(started) }, PeerTransport: &transport{d},
	})
	d.exchange, d.transportServer = d.HandleExchange, d.HandleRecords
	f.mu.Lock()
	f.nodes[address(i)] = d
	f.mu.Unlock()
	d.Run(ctx)
}

// startAll starts daemons within startWindow, the seeds last.
func (f *fleet) startAll(n int) {
	for i := n - 1; i >= 0; i-- {
		f.start(i)
		time.Sleep(startWindow / time.Duration(n))
	}
}

// kill ends a daemon without a drain.
func (f *fleet) kill(i int) {
	f.mu.Lock()
	d := f.nodes[address(i)]
	delete(f.nodes, address(i))
	f.mu.Unlock()
	d.stop()
}

func (f *fleet) daemon(address string) *daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[address]
}

func (f *fleet) all() []*daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]*daemon, 0, len(f.nodes))
	for _, d := range f.nodes {
		out = append(out, d)
	}
	return out
}

// waitAll returns the time until a condition holds for all daemons, or an error after a limit.
func (f *fleet) waitAll(what string, limit time.Duration, cond func(d *daemon) bool) (time.Duration, error) {
	start, pending := time.Now(), f.all()
	for {
		pending = slices.DeleteFunc(pending, cond)
		elapsed := time.Since(start)
		switch {
		case len(pending) == 0:
			return elapsed, nil
		case elapsed > limit:
			return elapsed, fmt.Errorf("%s: not at %d of %d daemons after %s", what, len(pending), len(f.all()), limit)
		}
		time.Sleep(pollInterval)
	}
}

// stopAll ends all daemons and their pending calls.
func (f *fleet) stopAll() {
	for _, d := range f.all() {
		d.stop()
	}
	time.Sleep(time.Second)
}

// transport connects a daemon to the others. A daemon that does not run refuses connections.
type transport struct{ from *daemon }

var errRefused = errors.New("connection refused")

func (p *transport) connect(ctx context.Context, address string) (*daemon, error) {
	time.Sleep(networkDelay)
	d := p.from.fleet.daemon(address)
	if d == nil {
		time.Sleep(networkDelay)
		return nil, errRefused
	}
	return d, ctx.Err()
}

// Exchange implements gossip.Transport.
func (p *transport) Exchange(ctx context.Context, address string, msg gossip.Message) (gossip.Message, error) {
	to, err := p.connect(ctx, address)
	if err != nil {
		return gossip.Message{}, err
	}
	if err := p.from.send(ctx, gossipBytes(msg)); err != nil {
		return gossip.Message{}, err
	}
	resp := to.exchange(msg)
	if err := to.send(ctx, gossipBytes(resp)); err != nil {
		return gossip.Message{}, err
	}
	time.Sleep(networkDelay)
	p.from.seenPeers.Store(address, true)
	countTraffic(p.from, to, msg)
	countTraffic(p.from, to, resp)
	return resp, nil
}

// FetchRecords implements gossip.Transport.
func (p *transport) FetchRecords(ctx context.Context, address string, req gossip.RecordsRequest) (gossip.RecordsResponse, error) {
	to, err := p.connect(ctx, address)
	if err != nil {
		return gossip.RecordsResponse{}, err
	}
	resp := to.transportServer(req)
	if err := to.send(ctx, len(resp.Packed)); err != nil {
		return gossip.RecordsResponse{}, err
	}
	time.Sleep(networkDelay)
	countTraffic(p.from, to, resp)
	return resp, nil
}

// send takes the time that a message needs on the daemon's link, behind those before it. A message
// whose caller has given up takes it as well.
func (d *daemon) send(ctx context.Context, size int) error {
	d.linkMu.Lock()
	now := time.Now()
	if d.linkFreeAt.Before(now) {
		d.linkFreeAt = now
	}
	d.linkFreeAt = d.linkFreeAt.Add(time.Duration(float64(size) / linkBytesPerSecond * float64(time.Second)))
	wait := d.linkFreeAt.Sub(now)
	d.linkMu.Unlock()
	loop.Sleep(ctx, wait)
	return ctx.Err()
}

const (
	// messageOverhead, recordBytes and addressBytes estimate the size of a gossip message.
	messageOverhead = 250
	recordBytes     = 110
	addressBytes    = 18
)

func gossipBytes(msg gossip.Message) int {
	return messageOverhead + recordBytes*len(msg.Peers) + addressBytes*len(msg.KnownAddresses)
}

// countTraffic counts a message for both sides.
func countTraffic(a, b *daemon, msg any) {
	a.messages.Add(1)
	b.messages.Add(1)
	if a.sampled.Add(1)%sampledMessages != 0 {
		return
	}
	data, err := cbor.Marshal(msg)
	if err != nil {
		a.fleet.t.Errorf("encode %T: %v", msg, err)
		return
	}
	size := int64(len(data)) * sampledMessages
	a.bytes.Add(size)
	b.bytes.Add(size)
	if a.domain != b.domain {
		a.bytesAcross.Add(size)
		b.bytesAcross.Add(size)
	}
}

// idleBackend has no servers.
type idleBackend struct{ relay.Backend }

func (idleBackend) CloseIdleConnections(string) {}

var _ feed.Log = (*feedtest.Client)(nil)
