package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// Guards against spending the limit twice around a minute boundary, as a fixed window
// would allow.
func TestNoBurstAtMinuteBoundary(t *testing.T) {
	lessor, limiter := NewLessor(1), NewLimiter("m")
	spend := func(at time.Duration) int {
		now := start.Add(at)
		n := 0
		for range 200 {
			if !limiter.TryAcquire(now, 1) {
				limiter.ApplyLease(now, lessor.Grant(now, limiter.NewLeaseRequest(now, 1, 100, 1)))
				if !limiter.TryAcquire(now, 1) {
					break
				}
			}
			n++
		}
		return n
	}
	if got := spend(59 * time.Second); got != 100 {
		t.Fatalf("first burst %d", got)
	}
	if got := spend(60 * time.Second); got != 0 {
		t.Fatalf("second burst %d", got)
	}
	if got := spend(59*time.Second + WindowSpan + 2*LeaseTTL); got != 100 {
		t.Fatalf("burst after the window: %d", got)
	}
}

// Guards against leasing the limit again before WindowSpan+LeaseTTL has passed. A lease
// can be spent up to LeaseTTL after the lessor counted it.
func TestLeaseCountsUntilSpendingExpires(t *testing.T) {
	lessor, limiter := NewLessor(1), NewLimiter("m")
	limiter.ApplyLease(start, lessor.Grant(start, limiter.NewLeaseRequest(start, 100, 100, 1)))
	if !limiter.TryAcquire(start.Add(950*time.Millisecond), 100) {
		t.Fatal("the lease expired early")
	}
	again := start.Add(60800 * time.Millisecond)
	if lease := lessor.Grant(again, limiter.NewLeaseRequest(again, 100, 100, 1)); lease.Amount != 0 {
		t.Fatalf("leased %d again, want 0", lease.Amount)
	}
}

// Spending in any sliding minute stays within 5% above the limit while the lessor fails
// and is replaced by one without state.
func TestSpendingStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, step = 1000, 250 * time.Millisecond
		limiters := []*Limiter{NewLimiter("m"), NewLimiter("m"), NewLimiter("m")}
		epoch := uint64(1)
		lessor := NewLessor(epoch)
		var spent []int64
		down := 0
		for i := range 500 {
			now := start.Add(time.Duration(i) * step)
			if down > 0 {
				down--
			} else if i > 0 && rapid.IntRange(0, 150).Draw(t, "lose") == 0 {
				epoch++
				lessor, down = NewLessor(epoch), 8
			}
			sum := int64(0)
			for _, limiter := range limiters {
				n := rapid.Int64Range(0, 12).Draw(t, "spend")
				if n == 0 {
					continue
				}
				ok := limiter.TryAcquire(now, n)
				if !ok || limiter.HasUnleasedSpend() && down == 0 {
					req := limiter.NewLeaseRequest(now, n, limit, epoch)
					if down > 0 {
						limiter.LeaseRequestFailed(now, req)
					} else {
						limiter.ApplyLease(now, lessor.Grant(now, req))
					}
					ok = ok || limiter.TryAcquire(now, n)
				}
				if ok {
					sum += n
				}
			}
			spent = append(spent, sum)
			total := int64(0)
			for _, v := range spent[max(0, len(spent)-int(WindowSpan/step)):] {
				total += v
			}
			if total > limit*105/100 {
				t.Fatalf("step %d: %d spent in a minute", i, total)
			}
		}
	})
}

// Guards against admitting two concurrent requests for the same amount, and against
// losing the unused part of a reservation.
func TestReservationIsExclusiveAndSettled(t *testing.T) {
	lessor, limiter := NewLessor(1), NewLimiter("m")
	limiter.ApplyLease(start, lessor.Grant(start, limiter.NewLeaseRequest(start, 500, 500, 1)))
	if !limiter.TryAcquire(start, 500) || limiter.TryAcquire(start, 1) {
		t.Fatal("the second request was admitted")
	}
	limiter.Settle(start, 500, 100)
	if lease := lessor.Grant(start, limiter.NewLeaseRequest(start, 400, 500, 1)); lease.Amount != 400 {
		t.Fatalf("leased %d of 400 unused tokens", lease.Amount)
	}
}

func TestTimeUntilFree(t *testing.T) {
	w := Window{}
	w.Add(start, 60)
	w.Add(start.Add(30*time.Second), 40)
	now := start.Add(40 * time.Second)
	if wait := w.TimeUntilFree(now, WindowSpan, 100, 50); wait < 19*time.Second || wait > 22*time.Second {
		t.Fatalf("50 available in %s", wait)
	}
	if wait := w.TimeUntilFree(now, WindowSpan, 100, 0); wait != 0 {
		t.Fatalf("0 available in %s, want 0s", wait)
	}
}
