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
	keyring     atomic.Pointer[session.Keyring]
	incarnation uint64
	deps        Dependencies
	log         *log.Logger
	metrics     metrics
	engine      *engine.Client
	peers       *peer.Client

	config      *configFollower
	members     *memberlist
	balancer    *balancer
	usage       *usageRecorder
	claims      *claimManager
	limits      *rateLimits
	rollouts    *rolloutController
	cascades    *cascadePlanner
	orders      *orderController
	slo         *sloRecorder
	retryBudget *sharedRetryBudget
	guard       *containment.Guard

	inFlight       atomic.Int64
	leaving        atomic.Bool
	stopping       chan struct{}
	stopOnce       sync.Once
	activeRequests sync.WaitGroup
}

// New returns a daemon that is not running yet.
func New(s settings.Settings, secrets settings.Secrets, deps Dependencies) *Daemon {
	d := &Daemon{
		settings: s, secrets: secrets, deps: deps, log: deps.Logger,
		incarnation: uint64(time.Now().UnixNano()),
		metrics:     newMetrics(deps.Metrics),
		engine:      engine.NewClient(time.Duration(s.Silence)),
		peers:       peer.NewClient(s.ID, secrets.PeerKey, deps.PeerTLS),
		stopping:    make(chan struct{}),
	}
	d.keyring.Store(secrets.Ring())
	d.peers.OnBytes = func(n int) { d.metrics.peerBytes.Inc(int64(n)) }
	d.config = newConfigFollower(d)
	d.members = newMemberlist(d)
	d.balancer = newBalancer(d)
	d.guard = newGuard(d)
	d.usage = newUsageRecorder(d)
	d.claims = newClaimManager(d)
	d.limits = newRateLimits(d)
	d.rollouts = newRolloutController(d)
	d.cascades = newCascadePlanner(d)
	d.orders = newOrderController(d)
	d.retryBudget = &sharedRetryBudget{budget: request.NewRetryBudget()}
	d.slo = &sloRecorder{counters: slo.NewCounters()}
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
	d.slo.register(s)
	return s
}

// Run works until the context ends.
func (d *Daemon) Run(ctx context.Context) {
	loops := []func(context.Context){
		d.config.run, d.members.run, d.balancer.run, d.usage.run,
		d.rollouts.run, d.cascades.run, d.orders.run, d.claims.run, d.limits.run,
		d.broadcastHolds,
	}
	var wg sync.WaitGroup
	for _, loop := range loops {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
	d.peers.Close()
}

// SetSecrets replaces the session keys without a restart.
func (d *Daemon) SetSecrets(s settings.Secrets) { d.keyring.Store(s.Ring()) }

// Settings returns the daemon's settings.
func (d *Daemon) Settings() settings.Settings { return d.settings }

// OperatorKey returns the key that operators present.
func (d *Daemon) OperatorKey() string { return d.secrets.OperatorKey }

// Ready reports whether the daemon would dispatch a request now.
func (d *Daemon) Ready() bool { return d.config.readiness(d.members).CanServe(time.Now()) }

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
	go func() { d.activeRequests.Wait(); close(done) }()
	limit := time.NewTimer(time.Duration(d.settings.DrainLimit))
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

// runPeriodically calls f at a period until the context ends. The first call comes after
// a random part of the period, so that daemons started together spread out.
func runPeriodically(ctx context.Context, period time.Duration, f func(context.Context)) {
	delay := rand.N(period)
	for loop.Pause(ctx, delay) {
		f(ctx)
		delay = period
	}
}

// ownerID names this incarnation in records of the log.
func (d *Daemon) ownerID() string {
	return d.settings.ID + "/" + strconv.FormatUint(d.incarnation, 10)
}

// sampleOwnerID is under which name the rating service keeps our samples. It names the
// incarnation, because the cursor into them is lost with it.
func (d *Daemon) sampleOwnerID() string { return d.ownerID() }

// staticInfo is what never changes about this incarnation.
func (d *Daemon) staticInfo() membership.DaemonInfo {
	return membership.DaemonInfo{
		ID: d.settings.ID, Address: d.settings.Listen, PeerAddress: d.settings.PeerListen,
		FailureDomain: d.settings.FailureDomain, Incarnation: d.incarnation,
	}
}

// currentInfo is what this daemon says of itself now.
func (d *Daemon) currentInfo() membership.DaemonInfo {
	info := d.staticInfo()
	info.ConfigNumber = d.config.current().Number
	info.Serving, info.Leaving = d.Ready(), d.leaving.Load()
	info.InFlight = int(d.inFlight.Load())
	info.LogAgeMillis = membership.LogAgeUnknown
	if readAt := d.config.lastLogRead(); !readAt.IsZero() {
		info.LogAgeMillis = time.Since(readAt).Milliseconds()
	}
	return info
}
