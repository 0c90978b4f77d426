// Package daemon wires the decision packages to the clock, the network and the
// platform. Each file drives one aggregate: it gathers inputs, asks the pure
// package for a decision, and carries it out. No lock is held over I/O.
package daemon

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/containment"
	"github.com/damaskrudder/damaskrudder/internal/engine"
	"github.com/damaskrudder/damaskrudder/internal/loop"
	"github.com/damaskrudder/damaskrudder/internal/membership"
	"github.com/damaskrudder/damaskrudder/internal/peer"
	"github.com/damaskrudder/damaskrudder/internal/platform"
	"github.com/damaskrudder/damaskrudder/internal/request"
	"github.com/damaskrudder/damaskrudder/internal/session"
	"github.com/damaskrudder/damaskrudder/internal/settings"
	"github.com/damaskrudder/damaskrudder/internal/slo"
)

// Dependencies are the daemon's connections to its surroundings. Log is required; a
// nil VMs, Rater or Weights is a platform without that service.
type Dependencies struct {
	Log     platform.Log
	VMs     platform.VMList
	Rater   platform.Rater
	Weights platform.WeightStore
	Logger  *log.Logger
	Metrics tally.Scope
	// PeerTLS encrypts links to other daemons when set.
	PeerTLS *tls.Config
}

// Daemon is one router process.
type Daemon struct {
	settings    settings.Settings
	secrets     settings.Secrets
	ring        atomic.Pointer[session.Keyring]
	incarnation uint64
	ports       Dependencies
	log         *log.Logger
	metrics     metrics
	engine      *engine.Client
	links       *peer.Client

	config   *configuration
	members  *members
	pools    *pools
	usage    *usage
	claims   *claims
	limits   *limits
	rollouts *rollouts
	cascades *cascades
	orders   *orders
	burn     *burn
	retries  *retries
	guard    *containment.Guard

	inFlight atomic.Int64
	leaving  atomic.Bool
	stopping chan struct{}
	stopOnce sync.Once
	running  sync.WaitGroup
}

// New returns a daemon that is not running yet.
func New(s settings.Settings, secrets settings.Secrets, p Dependencies) *Daemon {
	d := &Daemon{
		settings: s, secrets: secrets, ports: p, log: p.Logger,
		incarnation: uint64(time.Now().UnixNano()),
		metrics:     newMetrics(p.Metrics),
		engine:      engine.NewClient(time.Duration(s.StreamIdleTimeout)),
		links:       peer.NewClient(s.ID, secrets.PeerKey, p.PeerTLS),
		stopping:    make(chan struct{}),
	}
	d.ring.Store(secrets.Keyring())
	d.links.OnBytes = func(n int) { d.metrics.peerBytes.Inc(int64(n)) }
	d.config = newConfiguration(d)
	d.members = newMembers(d)
	d.pools = newPools(d)
	d.guard = newGuard(d)
	d.usage = newUsage(d)
	d.claims = newClaims(d)
	d.limits = newLimits(d)
	d.rollouts = newRollouts(d)
	d.cascades = newCascades(d)
	d.orders = newOrders(d)
	d.retries = &retries{budget: request.NewRetryBudget()}
	d.burn = &burn{counters: slo.NewCounters()}
	return d
}

// PeerServer returns the handler for other daemons.
func (d *Daemon) PeerServer() *peer.Server {
	s := peer.NewServer(d.secrets.PeerKey)
	s.OnRefused = func() { d.metrics.peerRefused.Inc(1) }
	s.OnBytes = func(n int) { d.metrics.peerBytes.Inc(int64(n)) }
	d.members.register(s)
	d.config.register(s)
	d.usage.register(s)
	d.limits.register(s)
	d.rollouts.register(s)
	d.burn.register(s)
	return s
}

// Run works until the context ends.
func (d *Daemon) Run(ctx context.Context) {
	loops := []func(context.Context){
		d.config.loop, d.members.loop, d.pools.loop, d.usage.loop,
		d.rollouts.loop, d.cascades.loop, d.orders.loop, d.claims.loop, d.limits.loop,
		d.broadcastHolds,
	}
	var wg sync.WaitGroup
	for _, loop := range loops {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
	d.links.Close()
}

// SetSecrets replaces the session keys without a restart.
func (d *Daemon) SetSecrets(s settings.Secrets) { d.ring.Store(s.Keyring()) }

// Settings returns the daemon's settings.
func (d *Daemon) Settings() settings.Settings { return d.settings }

// OperatorKey returns the key that operators present.
func (d *Daemon) OperatorKey() string { return d.secrets.OperatorKey }

// Ready reports whether the daemon would dispatch a request now.
func (d *Daemon) Ready() bool { return d.config.sight(d.members).CanServe(time.Now()) }

// Drain ends the daemon's service without cutting a request: it leaves the
// endpoint answers at once, serves on while callers may still hold an old one,
// waits for what runs, and flushes the usage records. It returns the number of
// requests that were still running and of records still unconfirmed at the limit.
func (d *Daemon) Drain(ctx context.Context) (running int, unconfirmed int) {
	d.leaving.Store(true)
	d.members.announce()
	d.log.Info("draining", "in_flight", d.inFlight.Load())
	loop.Pause(ctx, time.Duration(d.settings.EndpointTTL+d.settings.DrainGrace))
	d.stopOnce.Do(func() { close(d.stopping) })
	done := make(chan struct{})
	go func() { d.running.Wait(); close(done) }()
	limit := time.NewTimer(time.Duration(d.settings.DrainTimeout))
	defer limit.Stop()
	select {
	case <-done:
	case <-limit.C:
	case <-ctx.Done():
	}
	d.usage.flush(context.WithoutCancel(ctx))
	return int(d.inFlight.Load()), d.usage.pending()
}

// PanicCounter counts panics of the handlers that serve for the daemon.
func (d *Daemon) PanicCounter() tally.Counter { return d.metrics.panics }

// Leaving reports whether the daemon is draining.
func (d *Daemon) Leaving() bool { return d.leaving.Load() }

// Endpoints returns the addresses callers should use and for how long.
func (d *Daemon) Endpoints() ([]string, time.Duration) {
	return d.members.endpoints(), time.Duration(d.settings.EndpointTTL)
}

// every calls f at a period until the context ends. The first call comes after
// a random part of the period, so that daemons started together spread out.
func every(ctx context.Context, period time.Duration, f func(context.Context)) {
	wait := rand.N(period)
	for loop.Pause(ctx, wait) {
		f(ctx)
		wait = period
	}
}

// owner names this incarnation in records of the log.
func (d *Daemon) owner() string {
	return d.settings.ID + "/" + strconv.FormatUint(d.incarnation, 10)
}

// raterID is under which name the rating service keeps our samples. It names the
// incarnation, because the cursor into them is lost with it.
func (d *Daemon) raterID() string { return d.owner() }

// identity is what never changes about this incarnation.
func (d *Daemon) identity() membership.DaemonInfo {
	return membership.DaemonInfo{
		ID: d.settings.ID, Address: d.settings.ListenAddress, PeerAddress: d.settings.PeerListenAddress,
		FailureDomain: d.settings.FailureDomain, Incarnation: d.incarnation,
	}
}

// self is what this daemon says of itself now.
func (d *Daemon) self() membership.DaemonInfo {
	b := d.identity()
	b.ConfigNumber = d.config.current().Number
	b.Serving, b.Leaving = d.Ready(), d.leaving.Load()
	b.InFlight = int(d.inFlight.Load())
	b.LogAgeMillis = membership.LogAgeUnknown
	if heard := d.config.heard(); !heard.IsZero() {
		b.LogAgeMillis = time.Since(heard).Milliseconds()
	}
	return b
}
