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
	// settleEvery is the period of telling homes what was spent without them.
	settleEvery = time.Second
)

// limits spends leased shares of workspace limits, and leases as home.
type limits struct {
	d *Daemon
	// homeOf returns the home of a meter, if there is one, and ask asks it.
	homeOf func(meter string) (membership.Member, bool)
	ask    func(ctx context.Context, home membership.Member, a quota.LeaseRequest) (quota.Lease, error)
	mu     sync.Mutex
	shares map[string]*share
	home   *quota.Lessor
}

type share struct {
	*quota.Limiter
	// asking is held while one request fetches a lease for all.
	asking sync.Mutex
}

func newLimits(d *Daemon) *limits {
	l := &limits{d: d, shares: map[string]*share{}, home: quota.NewLessor(d.incarnation)}
	l.homeOf, l.ask = l.currentHome, l.askHome
	return l
}

// currentHome returns a meter's home as this daemon sees it.
func (l *limits) currentHome(meter string) (membership.Member, bool) {
	homes := l.d.members.homes(meter, 1)
	if len(homes) == 0 {
		return membership.Member{}, false
	}
	return homes[0], true
}

// askHome asks a meter's home for a lease, this daemon included.
func (l *limits) askHome(ctx context.Context, home membership.Member, a quota.LeaseRequest) (quota.Lease, error) {
	if home.ID == l.d.settings.ID {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.home.Grant(time.Now(), a), nil
	}
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	return peer.Call[peer.LeaseRequest, quota.Lease](ctx, l.d.links, home.PeerAddress, "lease", peer.LeaseRequest{Request: a})
}

func (l *limits) register(s *peer.Server) {
	peer.Handle(s, "lease", func(_ context.Context, _ string, q peer.LeaseRequest) (quota.Lease, error) {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.home.Grant(time.Now(), q.Request), nil
	})
}

// loop tells homes what was spent while none answered.
func (l *limits) loop(ctx context.Context) {
	every(ctx, settleEvery, func(ctx context.Context) {
		cfg := l.d.config.current()
		for _, meter := range l.owing() {
			workspace, what, _ := strings.Cut(meter, "/")
			limit := cfg.Workspaces[workspace].TokensPerMinute
			if what == "requests" {
				limit = cfg.Workspaces[workspace].RequestsPerMinute
			}
			l.mu.Lock()
			s := l.shares[meter]
			l.mu.Unlock()
			_, _ = l.fetch(ctx, s, meter, 0, limit) // tried again at the next turn
		}
	})
}

func (l *limits) owing() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for meter, s := range l.shares {
		if s.HasUnleasedSpend() {
			out = append(out, meter)
		}
	}
	return out
}

// reservation is what a request took from its workspace's limits.
type reservation struct {
	limits *limits
	meter  string
	tokens int64
}

// reserve takes one request and an upper bound of its tokens.
func (l *limits) reserve(ctx context.Context, workspace string, w fleet.Workspace, tokens int64) (*reservation, error) {
	if err := l.spend(ctx, workspace+"/requests", 1, w.RequestsPerMinute); err != nil {
		return nil, err
	}
	if err := l.spend(ctx, workspace+"/tokens", tokens, w.TokensPerMinute); err != nil {
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

func (l *limits) settle(meter string, reserved, used int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.shares[meter]; s != nil {
		s.Settle(time.Now(), reserved, used)
	}
}

func (l *limits) spend(ctx context.Context, meter string, n, limit int64) error {
	if limit == 0 {
		return nil
	}
	if n > limit {
		return fault.New(fault.RateLimited, "%d exceeds the whole limit of %d a minute for %s", n, limit, meter)
	}
	s, ok := l.try(meter, n)
	if ok {
		return nil
	}
	s.asking.Lock()
	defer s.asking.Unlock()
	if _, ok := l.try(meter, n); ok {
		return nil
	}
	retry := time.Duration(0)
	for tries := homeTries; tries > 0 && !l.denied(s); tries-- {
		var answered bool
		retry, answered = l.fetch(ctx, s, meter, n, limit)
		if _, ok := l.try(meter, n); ok {
			return nil
		}
		if answered || l.leased(s) {
			break
		}
		loop.Pause(ctx, homeRetry)
	}
	return fault.New(fault.RateLimited, "the limit of %d a minute for %s is used up", limit, meter).WithRetryAfter(max(retry, time.Second))
}

const (
	// homeTries is how often a daemon that was never told anything of a meter asks its
	// home, and homeRetry the pause between. It has no window of its own to go on by, so
	// that it would refuse what the limit has room for: a daemon that had just started
	// refused the requests of a workspace while the home of its limit was restarted too.
	// Other daemons hear within a second that a home has left or is back, and a caller
	// that is refused comes back after a second at the earliest.
	homeTries = 4
	homeRetry = 100 * time.Millisecond
)

// leased reports whether a home has ever told this daemon of the meter.
func (l *limits) leased(s *share) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return s.LessorEpoch() != 0
}

func (l *limits) try(meter string, n int64) (*share, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shares[meter]
	if s == nil {
		s = &share{Limiter: quota.NewLimiter(meter)}
		l.shares[meter] = s
	}
	return s, s.TryAcquire(time.Now(), n)
}

func (l *limits) denied(s *share) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return s.Denied(time.Now())
}

// fetch asks the meter's home for a lease, and reports whether one answered.
func (l *limits) fetch(ctx context.Context, s *share, meter string, need, limit int64) (retry time.Duration, answered bool) {
	home, any := l.homeOf(meter)
	if !any {
		return 0, false
	}
	now := time.Now()
	l.mu.Lock()
	ask := s.NewLeaseRequest(now, need, limit, home.Incarnation)
	l.mu.Unlock()
	lease, err := l.ask(ctx, home, ask)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.d.metrics.limitsHomeless.Inc(1)
		s.LeaseRequestFailed(now, ask)
		return 0, false
	}
	s.ApplyLease(now, lease)
	return lease.RetryAfter, true
}
