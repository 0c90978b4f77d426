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
	// defaultWait bounds a request whose caller and route state no limit.
	defaultWait = 30 * time.Second
	// deadlineMargin is taken off the time a server is given: an answer that
	// arrives as the caller leaves is of no use, and a server that works longer
	// than the caller waits works in vain.
	deadlineMargin = 5 * time.Millisecond
	// keepForLoss is the part of a daemon's reserve of repeats that larger models may
	// not use: it is left for requests whose server was lost. A fixed count of 3 was more
	// than the whole reserve of one daemon of sixty, so that each let its first doubtful
	// answers stand: of a deployment's first requests 0.85 of the worth was earned.
	keepForLoss = 0.5
)

// Relay serves calls.
type Relay struct {
	State    *State
	Rollouts *Rollouts
	Metrics  *Metrics
	backend  Backend
	rules    Options
	log      *log.Logger
	watch    *watch
	// Guard keeps requests from servers that end when they run them.
	Guard *containment.Guard
	// ConfigOutdated reports whether other daemons have a newer configuration than the store.
	ConfigOutdated func() bool
	// started is where the steady clock of the retry budget begins.
	started time.Time

	mu      sync.Mutex
	shares  map[string]*request.WindowedRetryBudget
	valuers map[string]*cascade.Escalator
	active  int
	// end is when the daemon stops; zero while it does not leave.
	end time.Time
	// admitted is when the last request was admitted.
	admitted time.Time
}

// New returns a relay.
func New(s *State, b Backend, rules Options, m *Metrics, l *log.Logger) *Relay {
	r := &Relay{
		State: s, Rollouts: NewRollouts(rules.SessionIdleTimeout, time.Now, l), Metrics: m, backend: b, rules: rules, log: l, started: time.Now(), ConfigOutdated: func() bool { return false },
		shares: map[string]*request.WindowedRetryBudget{}, valuers: map[string]*cascade.Escalator{},
	}
	r.watch = newWatch(s, b, l, m)
	r.Guard = newGuard(r)
	return r
}

// Run watches over servers until the context ends.
func (r *Relay) Run(ctx context.Context) { r.watch.run(ctx) }

// ServerRestarted tells that a run of a server has ended because the server has started again. What
// is known of a run is kept by its id, so that nothing of it counts for the next one; what
// waits for it, and connections to it, are ended here.
func (r *Relay) ServerRestarted(run backend.Server) {
	r.Guard.ServerRestarted(guarded(run))
	moved := r.watch.ended(run.ID, time.Now())
	r.backend.Forget(run.Address)
	r.Metrics.Restarts.Inc(1)
	r.Metrics.Moved.Inc(int64(moved))
	r.log.Info("server started again", "server", run.ID, "address", run.Address, "moved", moved)
}

// RecordActivity records that bytes came from a server's address.
func (r *Relay) RecordActivity(address string) { r.watch.heard(address) }

// Drain makes the relay refuse requests that might not be answered by the end of
// the daemon: a request that is read and then cut may have run, and its caller
// cannot know.
func (r *Relay) Drain(end time.Time) {
	r.mu.Lock()
	r.end = end
	r.mu.Unlock()
}

// ActiveRequests returns the number of requests being served.
func (r *Relay) ActiveRequests() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active
}

// IdleTime returns how long no request was admitted.
func (r *Relay) IdleTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.admitted)
}

// share returns a service's part of the retry budget. Callers hold mu.
func (r *Relay) share(service string, daemons int) *request.WindowedRetryBudget {
	s := r.shares[service]
	if s == nil {
		s = &request.WindowedRetryBudget{Window: r.rules.RetryBudgetWindow, Ratio: r.rules.RetryBudgetRatio}
		r.shares[service] = s
	}
	s.Reserve = reservePart * r.rules.RetryBudgetReserve / float64(daemons)
	return s
}

// reservePart is the part of the reserve that is used: daemons that just came
// are not counted by all others yet.
const reservePart = 0.6

// mayRepeat takes a repeat out of the budget of a service, leaving a part of the
// reserve.
func (r *Relay) mayRepeat(service string, keep float64) bool {
	daemons := r.State.daemonCount()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.share(service, daemons)
	return s.TryWithdraw(time.Since(r.started), keep*s.Reserve)
}

func (r *Relay) firstSend(service string) {
	daemons := r.State.daemonCount()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.share(service, daemons).Deposit(time.Since(r.started))
}

// valuer runs f on what a service's answers taught.
func (r *Relay) valuer(service string, f func(v *cascade.Escalator)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.valuers[service]
	if v == nil {
		v = &cascade.Escalator{}
		r.valuers[service] = v
	}
	f(v)
}

// Serve answers one call.
func (r *Relay) Serve(ctx context.Context, c *Call, out Caller) {
	r.mu.Lock()
	r.active++
	end := r.end
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.active--
		r.mu.Unlock()
	}()
	r.Metrics.Requests.Inc(1)
	if !r.State.Ready() {
		r.State.Await(ctx, startWait)
	}
	x, refusal := r.admit(c, end)
	if refusal != nil {
		r.refused(c, out, refusal)
		return
	}
	r.mu.Lock()
	r.admitted = time.Now()
	r.mu.Unlock()
	x.out = out
	x.serve(ctx)
}

func (r *Relay) refused(c *Call, out Caller, e *fault.Error) {
	r.Metrics.Refused(e.Kind).Inc(1)
	age, known := r.State.ConfirmationAge(freshness.Configuration)
	version := int64(0)
	if t := r.State.Table(); t != nil {
		version = t.Version
	}
	r.log.Info("refused", "request", c.ID, "kind", e.Kind, "ran", e.ExecutionState(), "why", e.Detail,
		"config", version, "config_known", known, "config_age_ms", age.Milliseconds(),
		"held_ms", time.Since(c.Received).Milliseconds())
	out.Refuse(e)
}

// admit finds what a call may use, or says why it may not.
func (r *Relay) admit(c *Call, end time.Time) (*exchange, *fault.Error) {
	t := r.State.Table()
	if t == nil || !r.State.Ready() {
		return nil, fault.New(fault.ConfigurationStale, "no configuration is known yet").WithRetryAfter(staleRetry)
	}
	if r.ConfigOutdated() {
		return nil, fault.New(fault.ConfigurationStale, "other daemons have a newer configuration than the store").WithRetryAfter(staleRetry)
	}
	rt := t.Match(c.Host, c.Path)
	if rt == nil {
		return nil, fault.New(fault.NotFound, "no route leads to this host and path")
	}
	x := &exchange{relay: r, call: c, route: rt, last: c.LastEvent}
	x.draw = xxhash.Sum64String(c.ID)
	w, known := t.WorkspaceByKey(c.Key)
	keyed := t.KeyRequired() && !rt.Public
	switch {
	case keyed && !r.keysFresh():
		return nil, fault.New(fault.ConfigurationStale, "the list of keys was not confirmed lately").WithRetryAfter(staleRetry)
	case keyed && !known:
		return nil, fault.New(fault.Unauthorized, "no workspace owns the presented key")
	}
	if known {
		x.workspace = w.Name
	}
	x.fingerprint = quarantine.FingerprintOf(x.workspace, c.Host, c.Method, c.Target, c.Body)
	x.urgency = urgency(rt, w)
	if limit := t.Limits.BodyBytes; limit > 0 && int64(len(c.Body)) > limit {
		return nil, fault.New(fault.TooLarge, "the body is longer than %d bytes", limit)
	}
	x.service = t.Services[rt.SelectService(x.draw)]
	x.deadline = deadline(c, rt)
	if !end.IsZero() && x.deadline.After(end) {
		return nil, fault.New(fault.ShuttingDown, "this daemon is leaving").WithRetryAfter(leavingRetry)
	}
	x.journey = request.ProxyRetryState{Repeatable: rt.Repeatable(), MaxRuns: rt.MaxAttempts, Deadline: x.deadline}
	return x, nil
}

// startWait bounds the wait for the first configuration: a store that does not
// answer by then is away, and another daemon may know more.
const startWait = 400 * time.Millisecond

const (
	// staleRetry and leavingRetry are when to come back to another daemon.
	staleRetry   = 100 * time.Millisecond
	leavingRetry = 10 * time.Millisecond
)

func (r *Relay) keysFresh() bool {
	return r.rules.MaxKeyStaleness == 0 || r.State.ConfirmedWithin(freshness.Configuration, r.rules.MaxKeyStaleness)
}

// deadline is when the caller leaves or the route's limit ends the wait.
func deadline(c *Call, rt *route.Route) time.Time {
	wait := defaultWait
	if c.Timeout > 0 {
		wait = c.Timeout
	}
	if rt.Timeout > 0 && rt.Timeout < wait {
		wait = rt.Timeout
	}
	return c.Received.Add(wait)
}

// urgency maps priorities, 0 first, to what engines take: 0 to 9, 5 by default.
func urgency(rt *route.Route, w route.Workspace) int {
	p := rt.Priority
	if w.HasPriority {
		p = w.Priority
	}
	return min(max(p, 0)+firstUrgency, lastUrgency)
}

const (
	// firstUrgency leaves the two most urgent ranks to requests that an earlier
	// server or model has already cost time.
	firstUrgency = 2
	lastUrgency  = 9
)
