package daemon

import (
	"context"
	"errors"
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
	// leaseTimeout bounds a lease request to the owner of a meter.
	leaseTimeout = 300 * time.Millisecond
	// settleInterval is the period of reporting unleased spending to meter owners.
	settleInterval = time.Second
)

// rateLimits enforces workspace limits with shares leased from the owner of each
// meter, and grants leases for the meters that this daemon owns.
type rateLimits struct {
	d *Daemon
	// findOwner returns the owner of a meter, and requestLease sends a lease
	// request to it. Tests replace them.
	findOwner    func(meter string) (membership.Member, bool)
	requestLease func(ctx context.Context, owner membership.Member, req quota.LeaseRequest) (quota.Lease, error)
	mu           sync.Mutex
	limiters     map[string]*meterLimiter
	lessor       *quota.Lessor
}

type meterLimiter struct {
	*quota.Limiter
	// leasing is held during a lease request, so that one lease serves all waiting requests.
	leasing chan struct{}
	// unansweredSince is when the first lease request was sent that the owner has not responded to;
	// zero after a response.
	unansweredSince time.Time
}

func newRateLimits(d *Daemon) *rateLimits {
	l := &rateLimits{d: d, limiters: map[string]*meterLimiter{}, lessor: quota.NewLessor(d.incarnation)}
	l.findOwner, l.requestLease = l.meterOwner, l.requestLeaseFrom
	return l
}

// meterOwner returns the owner of a meter by the membership table.
func (l *rateLimits) meterOwner(meter string) (membership.Member, bool) {
	owners := l.d.members.owners(meter, 1)
	if len(owners) == 0 {
		return membership.Member{}, false
	}
	return owners[0], true
}

// requestLeaseFrom requests a lease from the owner of a meter, which may be this
// daemon.
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

// run reports spending without a lease to the owners of the meters.
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
			_, _ = l.fetchLease(ctx, limiter, meter, 0, limit) // retried in the next period
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

// reservation holds the tokens that a request acquired from its workspace's limit.
type reservation struct {
	limits *rateLimits
	meter  string
	tokens int64
}

// reserve acquires one request and the estimated tokens from the limits of a
// workspace.
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

// settle returns unused tokens and charges those beyond the reservation.
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
	select {
	case limiter.leasing <- struct{}{}:
	case <-ctx.Done():
		return fault.New(fault.RateLimited, "the client left before %s got a lease", meter)
	}
	defer func() { <-limiter.leasing }()
	if _, ok := l.tryAcquire(meter, n); ok {
		return nil
	}
	return l.acquireLease(ctx, limiter, meter, n, limit)
}

// acquireLease requests a lease that covers n and takes n of it. An owner that does not respond is
// asked again for leaseRetryPeriod, since it may restart.
func (l *rateLimits) acquireLease(ctx context.Context, limiter *meterLimiter, meter string, n, limit int64) error {
	retryAfter := time.Duration(0)
	for !l.denied(limiter) {
		var responded bool
		retryAfter, responded = l.fetchLease(ctx, limiter, meter, n, limit)
		if _, ok := l.tryAcquire(meter, n); ok {
			return nil
		}
		if responded {
			break
		}
		since := l.unansweredSince(limiter)
		if ctx.Err() != nil || time.Since(since) >= leaseRetryPeriod {
			return fault.New(fault.RateLimited, "the owner of the limit for %s has not responded since %s", meter, since.Format(time.RFC3339)).WithRetryAfter(time.Second)
		}
		loop.Sleep(ctx, leaseRetryDelay)
	}
	return fault.New(fault.RateLimited, "the limit of %d a minute for %s is used up", limit, meter).WithRetryAfter(max(retryAfter, time.Second))
}

const (
	// leaseRetryPeriod is how long requests wait for an owner that does not respond, and
	// leaseRetryDelay the pause between lease requests. Without retries, requests within the limit
	// would be refused while the owner restarts.
	leaseRetryPeriod = 1200 * time.Millisecond
	leaseRetryDelay  = 100 * time.Millisecond
)

// unansweredSince returns since when the owner of a limiter's meter has not responded.
func (l *rateLimits) unansweredSince(limiter *meterLimiter) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return limiter.unansweredSince
}

// recordUnanswered records that the owner did not respond to a lease request. After
// leaseRetryPeriod, the requests that wait for a lease are refused, and those of the next
// leaseRetryDelay. Callers hold mu.
func (m *meterLimiter) recordUnanswered(sentAt time.Time) {
	if m.unansweredSince.IsZero() {
		m.unansweredSince = sentAt
	}
	if now := time.Now(); now.Sub(m.unansweredSince) >= leaseRetryPeriod {
		m.DenyUntil(now.Add(leaseRetryDelay))
	}
}

func (l *rateLimits) tryAcquire(meter string, n int64) (*meterLimiter, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limiter := l.limiters[meter]
	if limiter == nil {
		limiter = &meterLimiter{Limiter: quota.NewLimiter(meter), leasing: make(chan struct{}, 1)}
		l.limiters[meter] = limiter
	}
	return limiter, limiter.TryAcquire(time.Now(), n)
}

func (l *rateLimits) denied(limiter *meterLimiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return limiter.Denied(time.Now())
}

// fetchLease requests a lease and applies it. It reports whether the owner
// responded, and the delay after which a refused request may be retried.
func (l *rateLimits) fetchLease(ctx context.Context, limiter *meterLimiter, meter string, need, limit int64) (retryAfter time.Duration, responded bool) {
	sentAt := time.Now()
	req, lease, err := l.callOwner(ctx, limiter, meter, need, limit)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.d.metrics.leaseRequestsFailed.Inc(1)
		limiter.recordUnanswered(sentAt)
		if !errors.Is(err, errNoOwner) {
			limiter.LeaseRequestFailed(sentAt, req)
		}
		return 0, false
	}
	limiter.unansweredSince = time.Time{}
	limiter.ApplyLease(sentAt, lease)
	return lease.RetryAfter, true
}

var errNoOwner = errors.New("no owner of the meter is known")

// callOwner sends a lease request to the owner of a meter. The lease serves all requests that wait,
// so the call does not end with the client's.
func (l *rateLimits) callOwner(ctx context.Context, limiter *meterLimiter, meter string, need, limit int64) (req quota.LeaseRequest, lease quota.Lease, err error) {
	owner, found := l.findOwner(meter)
	if !found {
		return req, lease, errNoOwner
	}
	l.mu.Lock()
	req = limiter.NewLeaseRequest(time.Now(), need, limit, owner.Incarnation)
	l.mu.Unlock()
	lease, err = l.requestLease(context.WithoutCancel(ctx), owner, req)
	return req, lease, err
}
