package daemon

import (
	"context"
	"errors"
	"io"
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

// unavailableLessor is a meter's home that is restarted and answers from a time on.
type unavailableLessor struct {
	lessor      *quota.Lessor
	availableAt time.Time
	requests    int
}

func (h *unavailableLessor) requestLease(ctx context.Context, _ membership.Member, req quota.LeaseRequest) (quota.Lease, error) {
	h.requests++
	if time.Now().Before(h.availableAt) {
		ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
		defer cancel()
		<-ctx.Done()
		return quota.Lease{}, errors.New("no answer")
	}
	return h.lessor.Grant(time.Now(), req), nil
}

// limitsWithLessor returns the limits of a daemon that has just started.
func limitsWithLessor(h *unavailableLessor, ownerKnown func() bool) *rateLimits {
	d := New(settings.Settings{ID: "d"}, settings.Secrets{}, Dependencies{VMs: unresponsiveVMList{}, Metrics: tally.NoopScope, Logger: log.New(io.Discard)})
	d.limits.findOwner = func(string) (membership.Member, bool) { return membership.Member{}, ownerKnown() }
	d.limits.requestLease = h.requestLease
	return d.limits
}

// Symptom: while daemons are replaced one after the other, a request of a workspace that is
// far from its limit is refused as over it.
// Sequence: a daemon starts; the home of the limit is stopped, and does not answer the
// first ask, or no home is known for a moment; the next one answers.
// Cause: without an answer a daemon goes on by what it has spent itself, and one that has
// just started has spent nothing: it refused at once.
func TestLeaseRequestIsRetriedWithoutPriorLease(t *testing.T) {
	w := fleet.Workspace{RequestsPerMinute: 100}
	for name, unknownFor := range map[string]time.Duration{"home does not answer": 0, "no home is known": 150 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				h := &unavailableLessor{lessor: quota.NewLessor(7), availableAt: start.Add(500 * time.Millisecond)}
				l := limitsWithLessor(h, func() bool { return time.Since(start) >= unknownFor })
				if _, err := l.reserve(t.Context(), "w", w, 0); err != nil {
					t.Errorf("after %s and %d asks: %v", time.Since(start), h.requests, err)
				}
			})
		})
	}
}

// A limit that is used up is refused at once, and a home that stays away is not waited for
// beyond the time in which another one takes over.
func TestExhaustedLimitIsRefusedWithoutWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &unavailableLessor{lessor: quota.NewLessor(7)}
		l := limitsWithLessor(h, func() bool { return true })
		w := fleet.Workspace{RequestsPerMinute: 1}
		if _, err := l.reserve(t.Context(), "w", w, 0); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		_, err := l.reserve(t.Context(), "w", w, 0)
		if !fault.Is(err, fault.RateLimited) || time.Since(start) > 0 {
			t.Errorf("after %s: %v", time.Since(start), err)
		}
		h.availableAt = time.Now().Add(time.Hour)
		start = time.Now()
		_, err = l.reserve(t.Context(), "other", w, 0)
		if elapsed := time.Since(start); !fault.Is(err, fault.RateLimited) || elapsed > 2*time.Second {
			t.Errorf("after %s: %v", elapsed, err)
		}
	})
}
