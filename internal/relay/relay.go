package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/cascade"
	"github.com/damaskrudder/damaskrudder/internal/containment"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/freshness"
	"github.com/damaskrudder/damaskrudder/internal/logs"
	"github.com/damaskrudder/damaskrudder/internal/loop"
	"github.com/damaskrudder/damaskrudder/internal/quarantine"
	"github.com/damaskrudder/damaskrudder/internal/request"
	"github.com/damaskrudder/damaskrudder/internal/route"
)

// Options are the deployment's limits.
type Options struct {
	// MaxKeyAge is the maximum age of the last confirmation of the
	// configuration at which requests with an API key are accepted. It is below the
	// bound for key revocation. Zero means no limit.
	MaxKeyAge time.Duration
	// ConfigPropagationLimit is the time within which a change of the configuration must be in
	// force. A configuration that was last confirmed that long ago denies nothing. Zero means no
	// limit.
	ConfigPropagationLimit time.Duration
	// RetryBudgetWindow, RetryBudgetRatio and RetryBudgetReserve limit the retries
	// of all daemons for one service: see request.Share.
	RetryBudgetWindow  time.Duration
	RetryBudgetRatio   float64
	RetryBudgetReserve float64
	// ExposureLimit bounds the requests to a new version that is not known to be good.
	ExposureLimit ExposureLimit
	// SessionIdleTimeout is the maximum time between two requests of a session.
	SessionIdleTimeout time.Duration
	// WarmupBurstFactor and WarmupBurst limit the requests to a warming server in any
	// second: its configured rate times the factor, plus the burst.
	WarmupBurstFactor, WarmupBurst float64
	// MemoryBudget is the number of bytes that the daemon may hold for requests. Default:
	// DefaultMemoryBudget.
	MemoryBudget int64
}

const (
	// defaultTimeout applies if neither the client nor the route sets a timeout.
	defaultTimeout = 30 * time.Second
	// deadlineMargin is subtracted from a server's timeout, so that the response
	// arrives before the client gives up.
	deadlineMargin = 5 * time.Millisecond
	// failoverReserveFraction is the part of the retry reserve that escalations to
	// larger models leave to requests whose server was lost. It is a fraction, as a
	// fixed count can exceed the reserve of one daemon of many.
	failoverReserveFraction = 0.5
)

// Relay forwards calls to backend servers.
type Relay struct {
	State    *State
	Rollouts *Rollouts
	Metrics  *Metrics
	backend  Backend
	options  Options
	log      *log.Logger
	liveness *livenessMonitor
	flow     *flowControl
	// Guard quarantines requests that are suspected of crashing servers.
	Guard *containment.Guard
	// limitBroadcast requests broadcasts of urgent reports of limits.
	limitBroadcast loop.Signal
	// Forwarder sends calls to other daemons while the servers are out of reach; nil if there are
	// none. It is set before use.
	Forwarder Forwarder
	// Verdicts asks other daemons whether they reach a server; nil if there are none. It is set
	// before use.
	Verdicts VerdictSource
	// Permits asks other daemons for permits; nil if there are none. It is set before use.
	Permits PermitSource
	// terminationChecks holds the IDs of the servers that checkTermination checks.
	terminationChecks sync.Map
	// silenceChecks holds a channel for each service that checkSilence checks, closed at the end.
	silenceChecks sync.Map
	// background counts the checks that may outlive the call which started them.
	background sync.WaitGroup
	// ConfigOutdated reports whether other daemons have a newer configuration than the store.
	ConfigOutdated func() bool
	// sleep waits for the time of a permit. Tests replace it.
	sleep func(ctx context.Context, d time.Duration) (slept bool)
	// started is the origin of the retry budget's monotonic time.
	started time.Time
	// fairShares holds the recent work of workspaces.
	fairShares *fairShares

	mu             sync.Mutex
	retryBudgets   map[string]*request.WindowedRetryBudget
	reserveShare   request.ReserveShare
	escalators     map[string]*cascade.Escalator
	activeRequests int
	// forwardedCalls is the number of requests being served for other daemons.
	forwardedCalls int
	// shutdownAt is when the daemon stops; zero unless it is draining.
	shutdownAt time.Time
	// lastAdmitted is when the last request was admitted.
	lastAdmitted time.Time
}

// New returns a relay.
func New(state *State, b Backend, options Options, m *Metrics, logger *log.Logger) *Relay {
	r := &Relay{
		State: state, Rollouts: NewRollouts(options.SessionIdleTimeout, time.Now, logger), Metrics: m, backend: b, options: options, log: logger, started: time.Now(), sleep: loop.Sleep, ConfigOutdated: func() bool { return false }, limitBroadcast: loop.NewSignal(), fairShares: newFairShares(m, logger),
		retryBudgets: map[string]*request.WindowedRetryBudget{}, escalators: map[string]*cascade.Escalator{},
	}
	r.Rollouts.exposureLimit = options.ExposureLimit
	r.reserveShare = request.ReserveShare{Reserve: options.RetryBudgetReserve, Window: options.RetryBudgetWindow}
	r.liveness = newLivenessMonitor(state, b, logger, m)
	r.liveness.onReached, r.liveness.onUnreached, r.liveness.confirmsEnd = r.recordReached, r.recordUnreached, r.confirmsEnd
	r.Guard = newGuard(r)
	r.flow = newFlowControl(options.MemoryBudget, m, logger)
	return r
}

// Run monitors the liveness and the reachability of servers until the context ends.
func (r *Relay) Run(ctx context.Context) {
	go loop.Every(ctx, reachabilityCheckInterval, r.checkReachability)
	go loop.Every(ctx, flowCheckInterval, r.flow.check)
	r.liveness.run(ctx)
}

// ServerRestarted handles the end of a server's run, known from the entry of the next one.
// Requests that wait for the run are rerouted, and its connections are closed. They leave it at once
// only if the next run has its address: elsewhere both may run. State is keyed by the run's ID, so none
// is applied to the new run.
func (r *Relay) ServerRestarted(run, next backend.Server) {
	r.Guard.ServerRestarted(containmentServer(run))
	ended := next.Address == run.Address
	rerouted := r.liveness.rerouteWaiting(run.ID, ended, time.Now())
	r.backend.CloseIdleConnections(run.Address)
	r.Metrics.ServerRestarts.Inc(1)
	if ended { // else those that move are counted then
		r.Metrics.SendsRerouted.Inc(int64(rerouted))
	}
	r.log.Info("server restarted", "server", run.ID, "address", run.Address, "next", next.ID, "next_address", next.Address, "ended", ended, "moved", rerouted)
}

// RecordActivity records that bytes arrived from a server's address.
func (r *Relay) RecordActivity(address string) { r.liveness.recordActivity(address) }

// Drain makes the relay refuse requests whose deadline is after shutdownAt: a client
// cannot determine whether a request that is aborted by the shutdown has run.
func (r *Relay) Drain(shutdownAt time.Time) {
	r.mu.Lock()
	r.shutdownAt = shutdownAt
	r.mu.Unlock()
}

// ActiveRequests returns the number of requests being served.
func (r *Relay) ActiveRequests() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.activeRequests
}

// IdleTime returns the time since the last request was admitted.
func (r *Relay) IdleTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.lastAdmitted)
}

// retryBudget returns a service's share of the retry budget. Callers hold mu.
func (r *Relay) retryBudget(service string, daemons int) *request.WindowedRetryBudget {
	budget := r.retryBudgets[service]
	if budget == nil {
		budget = &request.WindowedRetryBudget{Window: r.options.RetryBudgetWindow, Ratio: r.options.RetryBudgetRatio}
		r.retryBudgets[service] = budget
	}
	reserve := r.reserveShare.Part(daemons, time.Since(r.started))
	if reserve != budget.Reserve {
		r.log.Info("retry reserve", "service", service, "reserve", reserve, "before", budget.Reserve, "daemons", daemons)
	}
	budget.Reserve = reserve
	return budget
}

// withdrawRetry takes a retry out of the budget of a service, unless less than
// reserveFraction of its reserve would be left.
func (r *Relay) withdrawRetry(service string, reserveFraction float64) bool {
	daemons := r.State.daemonCount()
	r.mu.Lock()
	defer r.mu.Unlock()
	budget := r.retryBudget(service, daemons)
	withdrawn := budget.TryWithdraw(time.Since(r.started), reserveFraction*budget.Reserve)
	if !withdrawn {
		r.Metrics.RetriesDenied.Inc(1)
	}
	return withdrawn
}

func (r *Relay) recordFirstSend(service string) {
	daemons := r.State.daemonCount()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryBudget(service, daemons).Deposit(time.Since(r.started))
}

// withEscalator calls update on the escalator of a service, under the lock.
func (r *Relay) withEscalator(service string, update func(v *cascade.Escalator)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.escalators[service]
	if v == nil {
		v = &cascade.Escalator{}
		r.escalators[service] = v
	}
	update(v)
}

// Serve forwards one call and writes its response.
func (r *Relay) Serve(ctx context.Context, c *Call, out ResponseWriter) {
	r.serve(ctx, c, out, func(*exchange) *fault.Error { return nil })
}

// serve forwards one call. Prepare is called once the call is admitted and may refuse it.
func (r *Relay) serve(ctx context.Context, c *Call, to ResponseWriter, prepare func(x *exchange) *fault.Error) {
	r.mu.Lock()
	r.activeRequests++
	shutdownAt := r.shutdownAt
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.activeRequests--
		r.mu.Unlock()
	}()
	r.Metrics.Requests.Inc(1)
	if c.Held == nil {
		c.Held = r.Hold()
		defer c.Held.Release()
	}
	out := &trackedWriter{ResponseWriter: to}
	var x *exchange
	defer func() {
		if recovered := recover(); recovered != nil {
			r.endPanicked(ctx, c, out, x, recovered)
		}
	}()
	if !r.State.Usable() {
		r.State.WaitUsable(ctx, startupWait)
	}
	x, refusal := r.admit(c, shutdownAt)
	if refusal == nil {
		refusal = prepare(x)
	}
	if refusal != nil {
		r.Refuse(c, out, refusal)
		return
	}
	r.mu.Lock()
	r.lastAdmitted = time.Now()
	r.mu.Unlock()
	x.out, x.held = out, c.Held
	ctx, x.cancel = context.WithCancelCause(ctx)
	defer x.cancel(nil)
	defer x.interruptOnEnd(ctx)()
	x.serve(ctx)
	x.finish(ctx)
}

// Refuse logs and counts the refusal of a call, and writes it.
func (r *Relay) Refuse(c *Call, out ResponseWriter, e *fault.Error) {
	r.Metrics.Refusals(e.Kind).Inc(1)
	age, known := r.State.ConfirmationAge(freshness.Configuration)
	version := int64(0)
	if t := r.State.Table(); t != nil {
		version = t.Version
	}
	r.log.Info("refused", "request", logs.Bounded(c.ID), "kind", e.Kind, "ran", e.ExecutionState(), "why", logs.Bounded(e.Detail),
		"config", version, "config_known", known, "config_age_ms", age.Milliseconds(),
		"denial", fault.Lookup(e.Kind).Final(), "withheld", withheldKind(e), "held_ms", time.Since(c.Received).Milliseconds())
	out.Refuse(e)
}

// withheldKind returns the kind of the denial that a refusal replaces, or "".
func withheldKind(e *fault.Error) fault.Kind {
	var denial *fault.Error
	if errors.As(e.Cause, &denial) {
		return denial.Kind
	}
	return ""
}

// admit resolves a call, or returns the refusal. Every denial by the configuration passes through
// it: clients never repeat a request that was denied, so it is withheld unless the configuration
// was confirmed lately.
func (r *Relay) admit(c *Call, shutdownAt time.Time) (*exchange, *fault.Error) {
	// Read before the configuration, so that the confirmation holds for the configuration that is used.
	confirmed := r.confirmedWithin(r.options.ConfigPropagationLimit)
	x, refusal := r.resolve(c, shutdownAt)
	if refusal == nil || confirmed || !fault.Lookup(refusal.Kind).Final() {
		return x, refusal
	}
	return nil, staleError("the configuration that denies the request was not confirmed lately").WithCause(refusal)
}

// resolve resolves the route, workspace and service of a call, or returns the refusal.
func (r *Relay) resolve(c *Call, shutdownAt time.Time) (*exchange, *fault.Error) {
	t := r.State.Table()
	switch {
	case t == nil || !r.State.Usable():
		return nil, staleError("no confirmed configuration is known yet")
	case r.ConfigOutdated():
		return nil, staleError("other daemons have a newer configuration than the store")
	case t.Version < c.minConfigVersion:
		return nil, staleError("the forwarding daemon has a newer configuration")
	}
	rt := t.Match(c.Host, c.Path)
	if rt == nil {
		return nil, fault.New(fault.NotFound, "no route leads to this host and path")
	}
	x := &exchange{relay: r, call: c, route: rt, lastEvent: c.LastEvent, open: map[taker]bool{}, reportRuns: func(int) {}}
	x.hash = xxhash.Sum64String(c.ID)
	workspace, known := t.WorkspaceByKey(c.Key)
	keyed := t.KeyRequired() && !rt.Public
	switch {
	case keyed && !r.confirmedWithin(r.options.MaxKeyAge):
		return nil, staleError("the list of keys was not confirmed lately")
	case keyed && !known:
		return nil, fault.New(fault.Unauthorized, "no workspace owns the presented key")
	}
	if known {
		x.workspace = workspace.Name
	}
	x.identity.Request = quarantine.FingerprintOf(x.workspace, c.Host, c.Method, c.Target, c.Body)
	x.rank, x.ranks = rt.Rank(workspace), t.Ranks()
	if limit := t.Limits.BodyBytes; limit > 0 && int64(len(c.Body)) > limit {
		return nil, fault.New(fault.TooLarge, "the body is longer than %d bytes", limit)
	}
	x.service = t.Services[rt.SelectService(x.hash)]
	x.identity.Parts = c.Prompt.partFingerprints(x.service.Name)
	x.deadline = requestDeadline(c, rt)
	if !shutdownAt.IsZero() && x.deadline.After(shutdownAt) {
		return nil, fault.New(fault.ShuttingDown, "this daemon is leaving").WithRetryAfter(drainRetryAfter)
	}
	x.retryState = request.ProxyRetryState{Repeatable: rt.Repeatable(), MaxRuns: rt.MaxAttempts, Deadline: x.deadline}
	x.checkShare()
	return x, nil
}

// startupWait limits the wait for the first configuration. A store that has not
// responded by then is unreachable, and another daemon may have the configuration.
const startupWait = 400 * time.Millisecond

const (
	// staleRetryAfter and drainRetryAfter are the Retry-After of refusals for a stale
	// configuration and during shutdown, after which to try another daemon.
	staleRetryAfter = 100 * time.Millisecond
	drainRetryAfter = 10 * time.Millisecond
)

// staleError returns the refusal of a call that this daemon's configuration does not decide.
func staleError(detail string) *fault.Error {
	return fault.New(fault.ConfigurationStale, "%s", detail).WithRetryAfter(staleRetryAfter)
}

// confirmedWithin reports whether the configuration was confirmed within a limit; zero is no limit.
func (r *Relay) confirmedWithin(limit time.Duration) bool {
	return limit == 0 || r.State.ConfirmedWithin(freshness.Configuration, limit)
}

// requestDeadline returns the deadline by the shorter of the client's and the route's timeout.
func requestDeadline(c *Call, rt *route.Route) time.Time {
	timeout := defaultTimeout
	if c.Timeout > 0 {
		timeout = c.Timeout
	}
	if rt.Timeout > 0 && rt.Timeout < timeout {
		timeout = rt.Timeout
	}
	return c.Received.Add(timeout)
}
