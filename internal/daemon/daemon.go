// Package daemon implements the router daemon. Packages such as routing, request and
// rollout make decisions without I/O; this package collects their inputs and carries out
// the decisions. No lock is held during I/O, except the one that serializes lease requests.
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
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/logs"
	"github.com/damaskrudder/damaskrudder/internal/loop"
	"github.com/damaskrudder/damaskrudder/internal/membership"
	"github.com/damaskrudder/damaskrudder/internal/peer"
	"github.com/damaskrudder/damaskrudder/internal/platform"
	"github.com/damaskrudder/damaskrudder/internal/recovery"
	"github.com/damaskrudder/damaskrudder/internal/request"
	"github.com/damaskrudder/damaskrudder/internal/session"
	"github.com/damaskrudder/damaskrudder/internal/settings"
	"github.com/damaskrudder/damaskrudder/internal/slo"
)

// Dependencies are the external services of a daemon. Log is required. VMs, Ratings
// and Weights are nil on platforms without that service.
type Dependencies struct {
	Log     platform.Log
	VMs     platform.VMList
	Ratings platform.RatingService
	Weights platform.WeightStore
	Logger  *log.Logger
	Metrics tally.Scope
	// PeerTLS encrypts connections to other daemons when set.
	PeerTLS *tls.Config
	// DialServer opens connections to backend servers; nil selects TCP.
	DialServer engine.DialFunc
}

// Daemon routes requests to backend servers.
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
	retryBudget *retryBudget
	guard       *containment.Guard

	inFlight atomic.Int64
	// forwardedRequests is the number of requests being served for other daemons.
	forwardedRequests atomic.Int64
	// terminationChecks holds the IDs of the servers that checkTermination checks.
	terminationChecks sync.Map
	// helperProbe is how daemons that serve forwarded requests are probed.
	helperProbe probeTimes
	leaving     atomic.Bool
	admission   *admission
}

// New returns a daemon. Run starts its background work.
func New(s settings.Settings, secrets settings.Secrets, deps Dependencies) *Daemon {
	d := &Daemon{
		settings: s, secrets: secrets, deps: deps, log: deps.Logger,
		incarnation: uint64(time.Now().UnixNano()),
		metrics:     newMetrics(deps.Metrics),
		engine:      engine.NewClient(time.Duration(s.StreamIdleTimeout), deps.DialServer),
		peers:       peer.NewClient(s.ID, secrets.PeerKey, deps.PeerTLS),
		admission:   newAdmission(),
		helperProbe: probeTimes{interval: helperProbeInterval, timeout: helperProbeTimeout},
	}
	d.keyring.Store(secrets.Keyring())
	d.peers.OnBytes = func(n int) { d.metrics.peerBytes.Inc(int64(n)) }
	d.config = newConfigFollower(d)
	d.members = newMemberlist(d)
	d.balancer = newBalancer(d)
	d.engine.ObserveStatements = d.balancer.observe
	d.guard = newGuard(d)
	d.usage = newUsageRecorder(d)
	d.claims = newClaimManager(d)
	d.limits = newRateLimits(d)
	d.rollouts = newRolloutController(d)
	d.cascades = newCascadePlanner(d)
	d.orders = newOrderController(d)
	d.retryBudget = &retryBudget{budget: request.NewRetryBudget()}
	d.slo = &sloRecorder{counters: slo.NewCounters()}
	return d
}

// PeerServer returns the handler for calls of other daemons.
func (d *Daemon) PeerServer() *peer.Server {
	s := peer.NewServer(d.secrets.PeerKey)
	s.OnRefused = func() { d.metrics.peerRefused.Inc(1) }
	overloads := logs.NewLimiter()
	s.OnOverload = func(from string) {
		d.metrics.peerRefused.Inc(1)
		if allowed, omitted := overloads.Allow(); allowed {
			d.log.Warn("message of a daemon refused", "from", from, "why", "no memory", "omitted", omitted)
		}
	}
	s.OnBytes = func(n int) { d.metrics.peerBytes.Inc(int64(n)) }
	s.OnPanic = func(kind string, recovered any) { d.reportPanic(recovered, "call", kind) }
	d.members.register(s)
	d.config.register(s)
	d.usage.register(s)
	d.limits.register(s)
	d.rollouts.register(s)
	d.slo.register(s)
	d.registerForwarding(s)
	d.registerVerdicts(s)
	return s
}

// Run runs the background loops until the context ends.
func (d *Daemon) Run(ctx context.Context) {
	loops := []func(context.Context){
		d.config.run, d.members.run, d.balancer.run, d.usage.run,
		d.rollouts.run, d.cascades.run, d.orders.run, d.claims.run, d.limits.run,
		d.broadcastHolds, d.broadcastLimits,
	}
	var wg sync.WaitGroup
	for _, loop := range loops {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
	d.peers.Close()
}

// SetSecrets replaces the session keys. Other secrets change on restart only.
func (d *Daemon) SetSecrets(s settings.Secrets) { d.keyring.Store(s.Keyring()) }

// Settings returns the daemon's settings.
func (d *Daemon) Settings() settings.Settings { return d.settings }

// OperatorKey returns the key that authorizes operator requests.
func (d *Daemon) OperatorKey() string { return d.secrets.OperatorKey }

// Ready reports whether the daemon would dispatch a request now.
func (d *Daemon) Ready() bool { return d.config.readiness(d.members).CanServe(time.Now()) }

// Drain shuts the daemon down gracefully. It removes the daemon from the endpoint
// lists, keeps serving until cached lists have expired, waits for running
// requests and flushes the usage records. It returns the number of requests still
// running and of usage records still unconfirmed when the drain limit is reached.
func (d *Daemon) Drain(ctx context.Context) (running int, unconfirmed int) {
	d.leaving.Store(true)
	d.members.announce()
	d.log.Info("draining", "in_flight", d.inFlight.Load())
	loop.Sleep(ctx, time.Duration(d.settings.EndpointTTL+d.settings.DrainGrace))
	d.admission.stop()
	limit := time.NewTimer(time.Duration(d.settings.DrainTimeout))
	defer limit.Stop()
	select {
	case <-d.admission.idle:
	case <-limit.C:
	case <-ctx.Done():
	}
	d.usage.flush(context.WithoutCancel(ctx))
	return int(d.inFlight.Load()), d.usage.pending()
}

// reportPanic counts and logs a recovered panic.
func (d *Daemon) reportPanic(recovered any, fields ...any) {
	recovery.Report(recovered, d.metrics.panics, d.log, fields...)
}

// PanicCounter returns the counter of panics in request handlers.
func (d *Daemon) PanicCounter() tally.Counter { return d.metrics.panics }

// Leaving reports whether the daemon is draining.
func (d *Daemon) Leaving() bool { return d.leaving.Load() }

// RefuseIfStopping returns the refusal of requests after the daemon has stopped to admit any.
func (d *Daemon) RefuseIfStopping() error {
	if d.admission.hasStopped() {
		return stoppingError()
	}
	return nil
}

func stoppingError() error { return fault.New(fault.ShuttingDown, "the daemon is stopping") }

// Endpoints returns the daemon addresses that callers should use, and how long
// they may cache them.
func (d *Daemon) Endpoints() ([]string, time.Duration) {
	return d.members.endpoints(), time.Duration(d.settings.EndpointTTL)
}

// runPeriodically calls f with the given pause until the context ends. The first
// call is delayed by a random part of the period, so that daemons started together
// do not run in step.
func runPeriodically(ctx context.Context, period time.Duration, f func(context.Context)) {
	delay := rand.N(period)
	for loop.Sleep(ctx, delay) {
		f(ctx)
		delay = period
	}
}

// ownerID identifies this incarnation in log records.
func (d *Daemon) ownerID() string {
	return d.settings.ID + "/" + strconv.FormatUint(d.incarnation, 10)
}

// sampleOwnerID identifies this daemon at the rating service. It includes the
// incarnation, because the rating cursor does not survive a restart.
func (d *Daemon) sampleOwnerID() string { return d.ownerID() }

// staticInfo returns the part of the membership entry that is fixed for this
// incarnation.
func (d *Daemon) staticInfo() membership.DaemonInfo {
	return membership.DaemonInfo{
		ID: d.settings.ID, Address: d.settings.ListenAddress, PeerAddress: d.settings.PeerListenAddress,
		FailureDomain: d.settings.FailureDomain, Incarnation: d.incarnation,
	}
}

// currentInfo returns the membership entry of this daemon.
func (d *Daemon) currentInfo() membership.DaemonInfo {
	info := d.staticInfo()
	info.ConfigNumber = d.config.current().Number
	info.Serving, info.Leaving = d.Ready(), d.leaving.Load()
	info.InFlight = int(d.inFlight.Load())
	info.OutOfReach = d.balancer.anyOutOfReach()
	info.LogAgeMillis = membership.LogAgeUnknown
	if readAt := d.config.lastLogRead(); !readAt.IsZero() {
		info.LogAgeMillis = time.Since(readAt).Milliseconds()
	}
	return info
}
