package daemon

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/fleet"
	"github.com/damaskrudder/damaskrudder/internal/membership"
	"github.com/damaskrudder/damaskrudder/internal/quota"
	"github.com/damaskrudder/damaskrudder/internal/settings"
)

// unavailableLessor is a meter owner that does not respond before availableAt.
type unavailableLessor struct {
	lessor      *quota.Lessor
	availableAt time.Time
	requests    int
}

func (u *unavailableLessor) requestLease(ctx context.Context, _ membership.Member, req quota.LeaseRequest) (quota.Lease, error) {
	u.requests++
	if time.Now().Before(u.availableAt) {
		ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
		defer cancel()
		<-ctx.Done()
		return quota.Lease{}, errors.New("no response")
	}
	return u.lessor.Grant(time.Now(), req), nil
}

// limitsWithLessor returns the rate limits of a daemon without any lease. ownerKnown
// reports whether the owner of a meter is known.
func limitsWithLessor(lessor *unavailableLessor, ownerKnown func() bool) *rateLimits {
	d := New(settings.Settings{ID: "d"}, settings.Secrets{}, Dependencies{VMs: unresponsiveVMList{}, Metrics: tally.NoopScope, Logger: log.New(io.Discard)})
	d.limits.findOwner = func(string) (membership.Member, bool) { return membership.Member{}, ownerKnown() }
	d.limits.requestLease = lessor.requestLease
	return d.limits
}

// Guards against a daemon without a lease refusing requests within the limit while the
// owner of the meter is restarting or unknown.
func TestLeaseRequestIsRetriedWithoutPriorLease(t *testing.T) {
	w := fleet.Workspace{RequestsPerMinute: 100}
	for name, unknownFor := range map[string]time.Duration{"owner does not respond": 0, "no owner is known": 150 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				lessor := &unavailableLessor{lessor: quota.NewLessor(7), availableAt: start.Add(500 * time.Millisecond)}
				l := limitsWithLessor(lessor, func() bool { return time.Since(start) >= unknownFor })
				if _, err := l.reserve(t.Context(), "w", w, 0); err != nil {
					t.Errorf("after %s and %d lease requests: %v", time.Since(start), lessor.requests, err)
				}
			})
		})
	}
}

// Guards against a daemon with a spent lease refusing requests within the limit while the owner of
// the meter restarts.
func TestLeaseRequestIsRetriedWithSpentLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lessor := &unavailableLessor{lessor: quota.NewLessor(7)}
		l := limitsWithLessor(lessor, func() bool { return true })
		for _, restart := range []time.Duration{0, 500 * time.Millisecond, 500 * time.Millisecond} {
			lessor.availableAt = time.Now().Add(restart)
			if _, err := l.reserve(t.Context(), "w", fleet.Workspace{RequestsPerMinute: 100}, 0); err != nil {
				t.Errorf("owner away for %s: %v", restart, err)
			}
			time.Sleep(10 * time.Second)
		}
	})
}

// Guards against concurrent requests that wait for an unavailable owner one after the other, and
// against each later one waiting anew.
func TestRequestsShareWaitForUnavailableOwner(t *testing.T) {
	const requests, maxWait = 50, 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		l := limitsWithLessor(&unavailableLessor{lessor: quota.NewLessor(7), availableAt: start.Add(time.Hour)}, func() bool { return true })
		reserveAll := func() time.Duration {
			start := time.Now()
			var wg sync.WaitGroup
			for range requests {
				wg.Go(func() { _, _ = l.reserve(t.Context(), "w", fleet.Workspace{RequestsPerMinute: 100}, 0) })
			}
			wg.Wait()
			return time.Since(start)
		}
		if took := reserveAll(); took > maxWait {
			t.Errorf("the first requests were refused after %s", took)
		}
		if took := reserveAll(); took > leaseTimeout {
			t.Errorf("later requests were refused after %s", took)
		}
	})
}

// Guards against waiting when the limit is exhausted, and against waiting indefinitely
// for an unavailable owner.
func TestExhaustedLimitIsRefusedWithoutWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lessor := &unavailableLessor{lessor: quota.NewLessor(7)}
		l := limitsWithLessor(lessor, func() bool { return true })
		w := fleet.Workspace{RequestsPerMinute: 1}
		if _, err := l.reserve(t.Context(), "w", w, 0); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		_, err := l.reserve(t.Context(), "w", w, 0)
		if !fault.Is(err, fault.RateLimited) || time.Since(start) > 0 {
			t.Errorf("after %s: %v", time.Since(start), err)
		}
		lessor.availableAt = time.Now().Add(time.Hour)
		start = time.Now()
		_, err = l.reserve(t.Context(), "other", w, 0)
		if elapsed := time.Since(start); !fault.Is(err, fault.RateLimited) || elapsed > 2*time.Second {
			t.Errorf("after %s: %v", elapsed, err)
		}
	})
}
