package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/quota"
	"github.com/damaskrudder/damaskrudder/lab/naive"
)

const (
	// limitTime is the length of a limits trial.
	limitTime = 6 * time.Minute
	// limitStep is the resolution of virtual time.
	limitStep = 100 * time.Millisecond
	// homeLostAt and homeLostFor take the home away in the middle.
	homeLostAt, homeLostFor = 3 * time.Minute, 3 * time.Second
	// demand is what callers ask for, as a multiple of the limit.
	demand = 1.5
)

func limitsTable(out io.Writer, seeds int) {
	for _, n := range []int{6, 520} {
		limit := int64(600_000)
		rows := []row{
			{name: "overshoot of any sliding minute", target: 0.02},
			{name: "undershoot of the mean use", target: 0.05},
			{name: "  undershoot with fixed shares of 1/n"},
			{name: "asks of the home a second"},
			{name: "  overshoot when tokens are counted at the end of requests of 5 s"},
		}
		collect(seeds, rows, func(seed uint64) []float64 {
			over, under, asks := leased(seed, n, limit)
			return []float64{over, under, fixedShares(seed, n, limit), asks, countedLate(seed, n, limit)}
		})
		writeTable(out, fmt.Sprintf("limits: %d daemons, 600,000 tokens a minute, demand 1.5 of it, skewed, home lost for 3 s", n), rows)
	}
}

// skew draws a daemon by a Zipf law: few get most of the demand.
func skew(rng *rand.Rand, n int) *rand.Zipf { return rand.NewZipf(rng, 1.1, 1, uint64(n-1)) }

const tokensPerRequest = 500

// spend drives one trial and returns what was spent in each step.
func spend(seed uint64, n int, limit int64, try func(now time.Time, at time.Duration, daemon int) bool) []int64 {
	rng := rand.New(rand.NewPCG(seed, 9))
	zipf := skew(rng, n)
	start := time.Unix(1_000_000, 0)
	perStep := demand * float64(limit) / tokensPerRequest * limitStep.Seconds() / quota.WindowSpan.Seconds()
	var spent []int64
	for at := time.Duration(0); at < limitTime; at += limitStep {
		sum := int64(0)
		for range int(perStep + rng.Float64()) {
			if try(start.Add(at), at, int(zipf.Uint64())) {
				sum += tokensPerRequest
			}
		}
		spent = append(spent, sum)
	}
	return spent
}

// judge returns the largest excess of a sliding minute and the shortfall of the
// mean use after the first minute, both as fractions of the limit.
func judge(spent []int64, limit int64) (over, under float64) {
	width := int(quota.WindowSpan / limitStep)
	sum, total := int64(0), int64(0)
	for i, s := range spent {
		sum += s
		if i >= width {
			sum -= spent[i-width]
			total += s
		}
		over = max(over, float64(sum)/float64(limit)-1)
	}
	minutes := float64(len(spent)-width) / float64(width)
	return over, 1 - float64(total)/(minutes*float64(limit))
}

// leased runs the project's limits; the home is lost midway and a new one, which
// knows nothing, takes over.
func leased(seed uint64, n int, limit int64) (over, under, asks float64) {
	shares := make([]*quota.Limiter, n)
	for i := range shares {
		shares[i] = quota.NewLimiter("w/tokens")
	}
	epoch := uint64(1)
	home := quota.NewLessor(epoch)
	count := 0
	ask := func(now time.Time, s *quota.Limiter, need int64) {
		count++
		s.ApplyLease(now, home.Grant(now, s.NewLeaseRequest(now, need, limit, epoch)))
	}
	spent := spend(seed, n, limit, func(now time.Time, at time.Duration, d int) bool {
		s := shares[d]
		if s.TryAcquire(now, tokensPerRequest) {
			return true
		}
		if at >= homeLostAt && at < homeLostAt+homeLostFor {
			s.LeaseRequestFailed(now, s.NewLeaseRequest(now, tokensPerRequest, limit, epoch))
			return s.TryAcquire(now, tokensPerRequest)
		}
		if at >= homeLostAt && epoch == 1 {
			epoch = 2
			home = quota.NewLessor(epoch)
			for _, other := range shares {
				if other.HasUnleasedSpend() {
					ask(now, other, 0)
				}
			}
		}
		if s.Denied(now) {
			return false
		}
		ask(now, s, tokensPerRequest)
		return s.TryAcquire(now, tokensPerRequest)
	})
	over, under = judge(spent, limit)
	return over, under, float64(count) / limitTime.Seconds()
}

func fixedShares(seed uint64, n int, limit int64) float64 {
	shares := make([]*naive.EqualShare, n)
	for i := range shares {
		shares[i] = naive.NewEqualShare(limit, n)
	}
	_, under := judge(spend(seed, n, limit, func(now time.Time, _ time.Duration, d int) bool {
		return shares[d].TryAcquire(now, tokensPerRequest)
	}), limit)
	return under
}

// countedLate spends from one exact window that knows of a request's tokens only
// when it ends, as a limiter without reservations does.
func countedLate(seed uint64, n int, limit int64) float64 {
	const takes = 5 * time.Second
	type end struct {
		at     time.Duration
		tokens int64
	}
	var window quota.Window
	var running []end
	over, _ := judge(spend(seed, n, limit, func(now time.Time, at time.Duration, _ int) bool {
		for len(running) > 0 && running[0].at <= at {
			window.Add(now, running[0].tokens)
			running = running[1:]
		}
		if window.Sum(now, quota.WindowSpan)+tokensPerRequest > limit {
			return false
		}
		running = append(running, end{at + takes, tokensPerRequest})
		return true
	}), limit)
	return over
}
