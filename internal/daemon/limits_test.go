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

// homeAway is a meter's home that is restarted and answers from a time on.
type homeAway struct {
	home *quota.Lessor
	back time.Time
	asks int
}

func (h *homeAway) ask(ctx context.Context, _ membership.Member, a quota.LeaseRequest) (quota.Lease, error) {
	h.asks++
	if time.Now().Before(h.back) {
		ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
		defer cancel()
		<-ctx.Done()
		return quota.Lease{}, errors.New("no answer")
	}
	return h.home.Grant(time.Now(), a), nil
}

// limitsWith returns the limits of a daemon that has just started.
func limitsWith(h *homeAway, known func() bool) *limits {
	d := New(settings.Settings{ID: "d"}, settings.Secrets{}, Dependencies{VMs: silentList{}, Metrics: tally.NoopScope, Logger: log.New(io.Discard)})
	d.limits.homeOf = func(string) (membership.Member, bool) { return membership.Member{}, known() }
	d.limits.ask = h.ask
	return d.limits
}

// Symptom: while daemons are replaced one after the other, a request of a workspace that is
// far from its limit is refused as over it.
// Sequence: a daemon starts; the home of the limit is stopped, and does not answer the
// first ask, or no home is known for a moment; the next one answers.
// Cause: without an answer a daemon goes on by what it has spent itself, and one that has
// just started has spent nothing: it refused at once.
func TestDaemonThatJustStartedAsksForALimitAgain(t *testing.T) {
	w := fleet.Workspace{RequestsPerMinute: 100}
	for name, unknownFor := range map[string]time.Duration{"home does not answer": 0, "no home is known": 150 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				h := &homeAway{home: quota.NewLessor(7), back: began.Add(500 * time.Millisecond)}
				l := limitsWith(h, func() bool { return time.Since(began) >= unknownFor })
				if _, err := l.reserve(t.Context(), "w", w, 0); err != nil {
					t.Errorf("after %s and %d asks: %v", time.Since(began), h.asks, err)
				}
			})
		})
	}
}

// A limit that is used up is refused at once, and a home that stays away is not waited for
// beyond the time in which another one takes over.
func TestLimitIsNotWaitedForInVain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &homeAway{home: quota.NewLessor(7)}
		l := limitsWith(h, func() bool { return true })
		w := fleet.Workspace{RequestsPerMinute: 1}
		if _, err := l.reserve(t.Context(), "w", w, 0); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		_, err := l.reserve(t.Context(), "w", w, 0)
		if !fault.Is(err, fault.RateLimited) || time.Since(began) > 0 {
			t.Errorf("after %s: %v", time.Since(began), err)
		}
		h.back = time.Now().Add(time.Hour)
		began = time.Now()
		_, err = l.reserve(t.Context(), "other", w, 0)
		if took := time.Since(began); !fault.Is(err, fault.RateLimited) || took > 2*time.Second {
			t.Errorf("after %s: %v", took, err)
		}
	})
}
