package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// Symptom: a workspace gets twice its limit around the turn of a minute.
// Sequence: the whole limit is spent at 0:59 and again at 1:00.
// Cause: a fixed window forgets all at once; a sliding one does not.
func TestNoBoundaryBurst(t *testing.T) {
	home, share := NewLessor(1), NewLimiter("m")
	spend := func(at time.Duration) int {
		now := start.Add(at)
		n := 0
		for range 200 {
			if !share.TryAcquire(now, 1) {
				share.ApplyLease(now, home.Grant(now, share.NewLeaseRequest(now, 1, 100, 1)))
				if !share.TryAcquire(now, 1) {
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
	if got := spend(59*time.Second + WindowSpan + 2*LeaseTerm); got != 100 {
		t.Fatalf("a minute later %d", got)
	}
}

// Symptom: a sliding minute holds twice the limit.
// Sequence: the whole limit is leased at 0:00 and spent at the end of the lease's
// term; at 1:00.8 it is leased and spent again.
// Cause: a lease is spent up to a term after the home counted it, so the home
// must remember it for the minute and the term.
func TestLateSpendingOfALeaseCounts(t *testing.T) {
	home, share := NewLessor(1), NewLimiter("m")
	share.ApplyLease(start, home.Grant(start, share.NewLeaseRequest(start, 100, 100, 1)))
	if !share.TryAcquire(start.Add(950*time.Millisecond), 100) {
		t.Fatal("the lease ended early")
	}
	again := start.Add(60800 * time.Millisecond)
	if l := home.Grant(again, share.NewLeaseRequest(again, 100, 100, 1)); l.Amount != 0 {
		t.Fatalf("%d leased again", l.Amount)
	}
}

// Daemons spend, return, lose their home and get a new one that knows nothing;
// the home's answers are lost at times. No sliding minute ever holds more than
// the limit and the little that the new home could not know yet.
func TestSpendingStaysWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, step = 1000, 250 * time.Millisecond
		shares := []*Limiter{NewLimiter("m"), NewLimiter("m"), NewLimiter("m")}
		epoch := uint64(1)
		home := NewLessor(epoch)
		var spent []int64
		down := 0
		for i := range 500 {
			now := start.Add(time.Duration(i) * step)
			if down > 0 {
				down--
			} else if i > 0 && rapid.IntRange(0, 150).Draw(t, "lose") == 0 {
				epoch++
				home, down = NewLessor(epoch), 8
			}
			sum := int64(0)
			for _, s := range shares {
				n := rapid.Int64Range(0, 12).Draw(t, "spend")
				if n == 0 {
					continue
				}
				ok := s.TryAcquire(now, n)
				if !ok || s.HasUnleasedSpend() && down == 0 {
					a := s.NewLeaseRequest(now, n, limit, epoch)
					if down > 0 {
						s.LeaseRequestFailed(now, a)
					} else {
						s.ApplyLease(now, home.Grant(now, a))
					}
					ok = ok || s.TryAcquire(now, n)
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

// Symptom: two concurrent requests both pass on the same room.
// Sequence: the budget holds one request's tokens; two ask before either ends.
// Cause: the most a request may use must be taken before it runs; what it did
// not use comes back.
func TestReservationsHoldTheRoom(t *testing.T) {
	home, share := NewLessor(1), NewLimiter("m")
	share.ApplyLease(start, home.Grant(start, share.NewLeaseRequest(start, 500, 500, 1)))
	if !share.TryAcquire(start, 500) || share.TryAcquire(start, 1) {
		t.Fatal("the second request passed")
	}
	share.Settle(start, 500, 100)
	if l := home.Grant(start, share.NewLeaseRequest(start, 400, 500, 1)); l.Amount != 400 {
		t.Fatalf("of 400 unused tokens %d came back", l.Amount)
	}
}

func TestRetryAfterTellsWhenThereIsRoom(t *testing.T) {
	w := Window{}
	w.Add(start, 60)
	w.Add(start.Add(30*time.Second), 40)
	now := start.Add(40 * time.Second)
	if d := w.FreeAt(now, WindowSpan, 100, 50); d < 19*time.Second || d > 22*time.Second {
		t.Fatalf("room for 50 in %s", d)
	}
	if d := w.FreeAt(now, WindowSpan, 100, 0); d != 0 {
		t.Fatalf("room for nothing in %s", d)
	}
}
