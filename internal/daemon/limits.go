package daemon

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/fleet"
	"github.com/damaskrudder/damaskrudder/internal/loop"
	"github.com/damaskrudder/damaskrudder/internal/membership"
	"github.com/damaskrudder/damaskrudder/internal/peer"
	"github.com/damaskrudder/damaskrudder/internal/quota"
)

const (
	// leaseTimeout bounds the wait for a meter's home.
	leaseTimeout = 300 * time.Millisecond
	// settleInterval is the period of telling homes what was spent without them.
	settleInterval = time.Second
)

// rateLimits spends leased shares of workspace limits, and leases as home.
type rateLimits struct {
	d *Daemon
	// findOwner returns the home of a meter, if there is one, and ask asks it.
	findOwner    func(meter string) (membership.Member, bool)
	requestLease func(ctx context.Context, home membership.Member, a quota.LeaseRequest) (quota.Lease, error)
	mu           sync.Mutex
	limiters     map[string]*meterLimiter
	lessor       *quota.Lessor
}

type meterLimiter struct {
	*quota.Limiter
	// leaseMu is held while one request fetches a lease for all.
	leaseMu sync.Mutex
}

func newRateLimits(d *Daemon) *rateLimits {
	l := &rateLimits{d: d, limiters: map[string]*meterLimiter{}, lessor: quota.NewLessor(d.incarnation)}
	l.findOwner, l.requestLease = l.meterOwner, l.requestLeaseFrom
	return l
}

// meterOwner returns a meter's home as this daemon sees it.
func (l *rateLimits) meterOwner(meter string) (membership.Member, bool) {
	owners := l.d.members.owners(meter, 1)
	if len(owners) == 0 {
		return membership.Member{}, false
	}
	return owners[0], true
}

// requestLeaseFrom asks a meter's home for a lease, this daemon included.
func (l *rateLimits) requestLeaseFrom(ctx context.Context, owner membership.Member, req quota.LeaseRequest) (quota.Lease, error) {
	if owner.ID == l.d.settings.ID {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.lessor.Grant(time.Now(), req), nil
	}
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	return peer.Call[peer.LeaseRequest, quota.Lease](ctx, l.d.peers, owner.PeerAddress, "lease", peer.LeaseRequest{Request: req})
}

func (l *rateLimits) register(server *peer.Server) {
	peer.Handle(server, "lease", func(_ context.Context, _ string, req peer.LeaseRequest) (quota.Lease, error) {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.lessor.Grant(time.Now(), req.Request), nil
	})
}

// run tells homes what was spent while none answered.
func (l *rateLimits) run(ctx context.Context) {
	runPeriodically(ctx, settleInterval, func(ctx context.Context) {
		cfg := l.d.config.current()
		for _, meter := range l.unleasedMeters() {
			workspace, kind, _ := strings.Cut(meter, "/")
			limit := cfg.Workspaces[workspace].TokensPerMinute
			if kind == "requests" {
				limit = cfg.Workspaces[workspace].RequestsPerMinute
			}
			l.mu.Lock()
			limiter := l.limiters[meter]
			l.mu.Unlock()
			_, _ = l.fetchLease(ctx, limiter, meter, 0, limit) // tried again at the next turn
		}
	})
}

func (l *rateLimits) unleasedMeters() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var meters []string
	for meter, limiter := range l.limiters {
		if limiter.HasUnleasedSpend() {
			meters = append(meters, meter)
		}
	}
	return meters
}

// reservation is what a request took from its workspace's limits.
type reservation struct {
	limits *rateLimits
	meter  string
	tokens int64
}

// reserve takes one request and an upper bound of its tokens.
func (l *rateLimits) reserve(ctx context.Context, workspace string, w fleet.Workspace, tokens int64) (*reservation, error) {
	if err := l.acquire(ctx, workspace+"/requests", 1, w.RequestsPerMinute); err != nil {
		return nil, err
	}
	if err := l.acquire(ctx, workspace+"/tokens", tokens, w.TokensPerMinute); err != nil {
		l.settle(workspace+"/requests", 1, 0)
		return nil, err
	}
	r := &reservation{limits: l}
	if w.TokensPerMinute > 0 {
		r.meter, r.tokens = workspace+"/tokens", tokens
	}
	return r, nil
}

// settle gives back what was reserved and not used.
func (r *reservation) settle(used int64) {
	if r != nil && r.meter != "" {
		r.limits.settle(r.meter, r.tokens, used)
	}
}

func (l *rateLimits) settle(meter string, reserved, used int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limiter := l.limiters[meter]; limiter != nil {
		limiter.Settle(time.Now(), reserved, used)
	}
}

func (l *rateLimits) acquire(ctx context.Context, meter string, n, limit int64) error {
	if limit == 0 {
		return nil
	}
	if n > limit {
		return fault.New(fault.RateLimited, "%d exceeds the whole limit of %d a minute for %s", n, limit, meter)
	}
	limiter, ok := l.tryAcquire(meter, n)
	if ok {
		return nil
	}
	limiter.leaseMu.Lock()
	defer limiter.leaseMu.Unlock()
	if _, ok := l.tryAcquire(meter, n); ok {
		return nil
	}
	retryAfter := time.Duration(0)
	for attempts := maxLeaseAttempts; attempts > 0 && !l.denied(limiter); attempts-- {
		var answered bool
		retryAfter, answered = l.fetchLease(ctx, limiter, meter, n, limit)
		if _, ok := l.tryAcquire(meter, n); ok {
			return nil
		}
		if answered || l.everLeased(limiter) {
			break
		}
		loop.Pause(ctx, leaseRetryDelay)
	}
	return fault.New(fault.RateLimited, "the limit of %d a minute for %s is used up", limit, meter).WithRetryAfter(max(retryAfter, time.Second))
}

const (
	// maxLeaseAttempts is how often a daemon that was never told anything of a meter asks its
	// home, and homeRetry the pause between. It has no window of its own to go on by, so
	// that it would refuse what the limit has room for: a daemon that had just started
	// refused the requests of a workspace while the home of its limit was restarted too.
	// Other daemons hear within a second that a home has left or is back, and a caller
	// that is refused comes back after a second at the earliest.
	maxLeaseAttempts = 4
	leaseRetryDelay  = 100 * time.Millisecond
)

// everLeased reports whether a home has ever told this daemon of the meter.
func (l *rateLimits) everLeased(limiter *meterLimiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return limiter.LessorEpoch() != 0
}

func (l *rateLimits) tryAcquire(meter string, n int64) (*meterLimiter, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limiter := l.limiters[meter]
	if limiter == nil {
		limiter = &meterLimiter{Limiter: quota.NewLimiter(meter)}
		l.limiters[meter] = limiter
	}
	return limiter, limiter.TryAcquire(time.Now(), n)
}

func (l *rateLimits) denied(limiter *meterLimiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return limiter.Denied(time.Now())
}

// fetchLease asks the meter's home for a lease, and reports whether one answered.
func (l *rateLimits) fetchLease(ctx context.Context, limiter *meterLimiter, meter string, need, limit int64) (retryAfter time.Duration, answered bool) {
	owner, found := l.findOwner(meter)
	if !found {
		return 0, false
	}
	now := time.Now()
	l.mu.Lock()
	req := limiter.NewLeaseRequest(now, need, limit, owner.Incarnation)
	l.mu.Unlock()
	lease, err := l.requestLease(ctx, owner, req)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.d.metrics.limitsHomeless.Inc(1)
		limiter.LeaseRequestFailed(now, req)
		return 0, false
	}
	limiter.ApplyLease(now, lease)
	return lease.RetryAfter, true
}
