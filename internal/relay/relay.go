package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/cascade"
	"github.com/damaskrudder/damaskrudder/internal/containment"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/freshness"
	"github.com/damaskrudder/damaskrudder/internal/quarantine"
	"github.com/damaskrudder/damaskrudder/internal/request"
	"github.com/damaskrudder/damaskrudder/internal/route"
)

// Options are the limits that the deployment sets.
type Options struct {
	// MaxKeyStaleness is how old the newest confirmation of the configuration may be
	// for a request with an API key to be sent to a server. A key that was taken
	// away longer ago than the deployment allows must open nothing, so this lies
	// under that bound. Zero does not limit it.
	MaxKeyStaleness time.Duration
	// RetryBudgetWindow, BudgetRatio and BudgetReserve limit the repeats of all
	// daemons for one service: see request.Share.
	RetryBudgetWindow  time.Duration
	RetryBudgetRatio   float64
	RetryBudgetReserve float64
	// SessionIdleTimeout is how long after each other requests of a session belong
	// together.
	SessionIdleTimeout time.Duration
	// WarmUpRateFactor and WarmUpSlack bound what a warming server gets in any second: its
	// stated rate times the first, plus the second.
	WarmUpRateFactor, WarmUpBurst float64
}

const (
	// defaultTimeout bounds a request whose caller and route state no limit.
	defaultTimeout = 30 * time.Second
	// deadlineMargin is taken off the time a server is given: an answer that
	// arrives as the caller leaves is of no use, and a server that works longer
	// than the caller waits works in vain.
	deadlineMargin = 5 * time.Millisecond
	// failoverReserveFraction is the part of a daemon's reserve of repeats that larger models may
	// not use: it is left for requests whose server was lost. A fixed count of 3 was more
	// than the whole reserve of one daemon of sixty, so that each let its first doubtful
	// answers stand: of a deployment's first requests 0.85 of the worth was earned.
	failoverReserveFraction = 0.5
)

// Relay serves calls.
type Relay struct {
	State    *State
	Rollouts *Rollouts
	Metrics  *Metrics
	backend  Backend
	options  Options
	log      *log.Logger
	liveness *livenessMonitor
	// Guard keeps requests from servers that end when they run them.
	Guard *containment.Guard
	// ConfigOutdated reports whether other daemons have a newer configuration than the store.
	ConfigOutdated func() bool
	// started is where the steady clock of the retry budget begins.
	started time.Time

	mu             sync.Mutex
	retryBudgets   map[string]*request.Share
	valuers        map[string]*cascade.Valuer
	activeRequests int
	// shutdownAt is when the daemon stops; zero while it does not leave.
	shutdownAt time.Time
	// lastAdmitted is when the last request was admitted.
	lastAdmitted time.Time
}

// New returns a relay.
func New(state *State, b Backend, options Options, m *Metrics, logger *log.Logger) *Relay {
	r := &Relay{
		State: state, Rollouts: NewRollouts(options.SessionIdleTimeout, time.Now, logger), Metrics: m, backend: b, options: options, log: logger, started: time.Now(), ConfigOutdated: func() bool { return false },
		retryBudgets: map[string]*request.Share{}, valuers: map[string]*cascade.Valuer{},
	}
	r.liveness = newLivenessMonitor(state, b, logger, m)
	r.Guard = newGuard(r)
	return r
}

// Run watches over servers until the context ends.
func (r *Relay) Run(ctx context.Context) { r.liveness.run(ctx) }

// ServerRestarted tells that a run of a server has ended because the server has started again. What
// is known of a run is kept by its id, so that nothing of it counts for the next one; what
// waits for it, and connections to it, are ended here.
func (r *Relay) ServerRestarted(run backend.Server) {
	r.Guard.Restarted(containmentServer(run))
	moved := r.liveness.rerouteWaiting(run.ID, time.Now())
	r.backend.CloseIdleConnections(run.Address)
	r.Metrics.ServerRestarts.Inc(1)
	r.Metrics.SendsRerouted.Inc(int64(moved))
	r.log.Info("server started again", "server", run.ID, "address", run.Address, "moved", moved)
}

// RecordActivity records that bytes came from a server's address.
func (r *Relay) RecordActivity(address string) { r.liveness.recordActivity(address) }

// Drain makes the relay refuse requests that might not be answered by the end of
// the daemon: a request that is read and then cut may have run, and its caller
// cannot know.
func (r *Relay) Drain(end time.Time) {
	r.mu.Lock()
	r.shutdownAt = end
	r.mu.Unlock()
}

// ActiveRequests returns the number of requests being served.
func (r *Relay) ActiveRequests() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.activeRequests
}

// IdleTime returns how long no request was admitted.
func (r *Relay) IdleTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.lastAdmitted)
}

// retryBudget returns a service's part of the retry budget. Callers hold mu.
func (r *Relay) retryBudget(service string, daemons int) *request.Share {
	budget := r.retryBudgets[service]
	if budget == nil {
		budget = &request.Share{Window: r.options.RetryBudgetWindow, Ratio: r.options.RetryBudgetRatio}
		r.retryBudgets[service] = budget
	}
	budget.Reserve = usableReserveFraction * r.options.RetryBudgetReserve / float64(daemons)
	return budget
}

// usableReserveFraction is the part of the reserve that is used: daemons that just came
// are not counted by all others yet.
const usableReserveFraction = 0.6

// takeRetry takes a repeat out of the budget of a service, leaving a part of the
// reserve.
func (r *Relay) takeRetry(service string, reserveFraction float64) bool {
	daemons := r.State.daemonCount()
	r.mu.Lock()
	defer r.mu.Unlock()
	budget := r.retryBudget(service, daemons)
	return budget.Take(time.Since(r.started), reserveFraction*budget.Reserve)
}

func (r *Relay) recordFirstSend(service string) {
	daemons := r.State.daemonCount()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryBudget(service, daemons).First(time.Since(r.started))
}

// withValuer runs f on what a service's answers taught.
func (r *Relay) withValuer(service string, f func(v *cascade.Valuer)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.valuers[service]
	if v == nil {
		v = &cascade.Valuer{}
		r.valuers[service] = v
	}
	f(v)
}

// Serve answers one call.
func (r *Relay) Serve(ctx context.Context, c *Call, out ResponseWriter) {
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
	if !r.State.Ready() {
		r.State.WaitReady(ctx, startupWait)
	}
	x, refusal := r.admit(c, shutdownAt)
	if refusal != nil {
		r.refuse(c, out, refusal)
		return
	}
	r.mu.Lock()
	r.lastAdmitted = time.Now()
	r.mu.Unlock()
	x.out = out
	x.serve(ctx)
}

func (r *Relay) refuse(c *Call, out ResponseWriter, e *fault.Error) {
	r.Metrics.Refusals(e.Kind).Inc(1)
	age, known := r.State.ConfirmationAge(freshness.Configuration)
	version := int64(0)
	if t := r.State.Table(); t != nil {
		version = t.Version
	}
	r.log.Info("refused", "request", c.ID, "kind", e.Kind, "ran", e.State(), "why", e.Detail,
		"config", version, "config_known", known, "config_age_ms", age.Milliseconds(),
		"held_ms", time.Since(c.Received).Milliseconds())
	out.Refuse(e)
}

// admit finds what a call may use, or says why it may not.
func (r *Relay) admit(c *Call, shutdownAt time.Time) (*exchange, *fault.Error) {
	t := r.State.Table()
	if t == nil || !r.State.Ready() {
		return nil, fault.New(fault.ConfigurationStale, "no configuration is known yet").After(staleRetryAfter)
	}
	if r.ConfigOutdated() {
		return nil, fault.New(fault.ConfigurationStale, "other daemons have a newer configuration than the store").After(staleRetryAfter)
	}
	rt := t.Match(c.Host, c.Path)
	if rt == nil {
		return nil, fault.New(fault.NotFound, "no route leads to this host and path")
	}
	x := &exchange{relay: r, call: c, route: rt, lastEvent: c.LastEvent}
	x.hash = xxhash.Sum64String(c.ID)
	w, known := t.Workspace(c.Key)
	keyed := t.Keyed() && !rt.Public
	switch {
	case keyed && !r.keysFresh():
		return nil, fault.New(fault.ConfigurationStale, "the list of keys was not confirmed lately").After(staleRetryAfter)
	case keyed && !known:
		return nil, fault.New(fault.Unauthorized, "no workspace owns the presented key")
	}
	if known {
		x.workspace = w.Name
	}
	x.fingerprint = quarantine.Of(x.workspace, c.Host, c.Method, c.Target, c.Body)
	x.priority = enginePriority(rt, w)
	if limit := t.Limits.BodyBytes; limit > 0 && int64(len(c.Body)) > limit {
		return nil, fault.New(fault.TooLarge, "the body is longer than %d bytes", limit)
	}
	x.service = t.Services[rt.Service(x.hash)]
	x.deadline = requestDeadline(c, rt)
	if !shutdownAt.IsZero() && x.deadline.After(shutdownAt) {
		return nil, fault.New(fault.ShuttingDown, "this daemon is leaving").After(drainRetryAfter)
	}
	x.journey = request.Journey{Repeatable: rt.Repeatable(), MaxRuns: rt.Attempts, Deadline: x.deadline}
	return x, nil
}

// startupWait bounds the wait for the first configuration: a store that does not
// answer by then is away, and another daemon may know more.
const startupWait = 400 * time.Millisecond

const (
	// staleRetryAfter and leavingRetry are when to come back to another daemon.
	staleRetryAfter = 100 * time.Millisecond
	drainRetryAfter = 10 * time.Millisecond
)

func (r *Relay) keysFresh() bool {
	return r.options.MaxKeyStaleness == 0 || r.State.ConfirmedWithin(freshness.Configuration, r.options.MaxKeyStaleness)
}

// requestDeadline is when the caller leaves or the route's limit ends the wait.
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

// enginePriority maps priorities, 0 first, to what engines take: 0 to 9, 5 by default.
func enginePriority(rt *route.Route, workspace route.Workspace) int {
	p := rt.Priority
	if workspace.Ranked {
		p = workspace.Priority
	}
	return min(max(p, 0)+basePriority, lowestPriority)
}

const (
	// basePriority leaves the two most urgent ranks to requests that an earlier
	// server or model has already cost time.
	basePriority   = 2
	lowestPriority = 9
)
