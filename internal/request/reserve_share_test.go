package request

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// retrier is one daemon that retries whatever its budget allows.
type retrier struct {
	budget  WindowedRetryBudget
	share   ReserveShare
	started time.Duration
	cut     bool
}

func newRetrier(started time.Duration) *retrier {
	const window = 10 * time.Second
	return &retrier{budget: WindowedRetryBudget{Window: window, Ratio: sharedRetryRatio}, share: ReserveShare{Reserve: sharedRetryReserve, Window: window}, started: started}
}

func (r *retrier) tryRetry(daemons int, now time.Duration) bool {
	if r.cut || now-r.started < time.Second {
		daemons = 1 // it sees no other
	}
	r.budget.Reserve = r.share.Part(daemons, now-r.started)
	return r.budget.TryWithdraw(now-r.started, 0)
}

// Guards against more repeats than all daemons together may send, when daemons restart in series, or
// are cut off from each other, while nearly every send fails.
func TestRetriesOfAllDaemonsStayWithinBudget(t *testing.T) {
	for _, daemons := range []int{2, 7, 60, 520, 2000} {
		for seed := range uint64(max(2, 200/daemons)) {
			t.Run(fmt.Sprint(daemons, "/", seed), func(t *testing.T) { checkRetriesWithinBudget(t, daemons, seed) })
		}
	}
}

func checkRetriesWithinBudget(t *testing.T, daemons int, seed uint64) {
	const (
		requestChance       = 0.5
		restartChance       = 0.02
		cutChance, cutSlots = 0.01, 120
	)
	rng := rand.New(rand.NewPCG(seed, uint64(daemons)))
	fleet := newRetryFleet(daemons, rng)
	fleet.retriesPerRequest = 2
	cutUntil := 0
	for slot := range retrySlots {
		if rng.Float64() < restartChance { // all daemons but a few restart
			fleet.restart(slot, 0.9)
		}
		if rng.Float64() < cutChance {
			cutUntil = slot + cutSlots
		}
		fleet.play(slot, requestChance, true, slot < cutUntil)
	}
	fleet.checkBudget(t)
}

// Guards against retries that are paid for with the requests of a quiet time and forgotten when all
// daemons restart.
func TestRestartsForgetNoRetriesOfQuietTime(t *testing.T) {
	for _, daemons := range []int{2, 7, 60, 520, 2000} {
		for _, requestChance := range []float64{0.05, 0.5, 1} {
			for seed := range uint64(max(2, 100/daemons)) {
				t.Run(fmt.Sprint(daemons, "/", requestChance, "/", seed), func(t *testing.T) {
					rng := rand.New(rand.NewPCG(seed, uint64(daemons)))
					fleet := newRetryFleet(daemons, rng)
					fleet.retriesPerRequest = 6
					failing := 100 + rng.IntN(100)
					restart := failing + 5 + rng.IntN(25)
					for slot := range retrySlots {
						if slot == restart {
							fleet.restart(slot, 1)
							restart += 5 + rng.IntN(25)
						}
						fleet.play(slot, requestChance, slot >= failing, false)
					}
					fleet.checkBudget(t)
				})
			}
		}
	}
}

const (
	retryTick                            = 100 * time.Millisecond
	retrySlots, retryWindowSlots         = 400, 100
	sharedRetryRatio, sharedRetryReserve = 0.9, 54.0
)

// retryFleet is the daemons that retry requests, and what they have sent in each slot.
type retryFleet struct {
	daemons []*retrier
	rng     *rand.Rand
	// retriesPerRequest is the number of retries of a request that fails, if the budget allows them.
	retriesPerRequest int
	requests, retries [retrySlots]float64
}

func newRetryFleet(daemons int, rng *rand.Rand) *retryFleet {
	f := &retryFleet{daemons: make([]*retrier, daemons), rng: rng}
	for i := range f.daemons {
		f.daemons[i] = newRetrier(-time.Minute)
		f.daemons[i].tryRetry(daemons, 0)
	}
	return f
}

// restart restarts a share of the daemons.
func (f *retryFleet) restart(slot int, share float64) {
	for i := range f.daemons {
		if f.rng.Float64() < share {
			f.daemons[i] = newRetrier(time.Duration(slot) * retryTick)
		}
	}
}

// play lets each daemon send a request with some chance, and retry it if it fails.
func (f *retryFleet) play(slot int, chance float64, fails, cut bool) {
	now := time.Duration(slot) * retryTick
	for _, r := range f.daemons {
		r.cut = cut
		if f.rng.Float64() >= chance {
			continue
		}
		f.requests[slot]++
		r.budget.Deposit(now - r.started)
		for range f.retriesPerRequest {
			if fails && r.tryRetry(len(f.daemons), now) {
				f.retries[slot]++
			}
		}
	}
}

// checkBudget checks every window. The limit counts the requests of the window, the one before or the one half a
// window before.
func (f *retryFleet) checkBudget(t *testing.T) {
	t.Helper()
	sum := func(counts []float64, from int) (n float64) {
		for i := max(0, from); i < max(0, from+retryWindowSlots); i++ {
			n += counts[i]
		}
		return n
	}
	requests, retries := f.requests[:], f.retries[:]
	for from := range retrySlots - retryWindowSlots {
		sent, total := sum(retries, from), max(sum(requests, from), sum(requests, from-retryWindowSlots/2), sum(requests, from-retryWindowSlots))
		if allowed := sharedRetryRatio*total + sharedRetryReserve; sent > allowed {
			t.Fatalf("%.0f retries in the window from slot %d, for %.0f requests; allowed %.0f", sent, from, total, allowed)
		}
	}
}
