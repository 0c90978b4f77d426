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
	// limitsDuration is the length of a limits trial.
	limitsDuration = 6 * time.Minute
	// limitsStep is the resolution of virtual time.
	limitsStep = 100 * time.Millisecond
	// lessorOutageStart and homeLostFor take the home away in the middle.
	lessorOutageStart, lessorOutageDuration = 3 * time.Minute, 3 * time.Second
	// demandFactor is what callers ask for, as a multiple of the limit.
	demandFactor = 1.5
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
		collectValues(seeds, rows, func(seed uint64) []float64 {
			overshoot, undershoot, leaseRequests := leasedLimits(seed, n, limit)
			return []float64{overshoot, undershoot, fixedShares(seed, n, limit), leaseRequests, countedAtEnd(seed, n, limit)}
		})
		writeTable(out, fmt.Sprintf("limits: %d daemons, 600,000 tokens a minute, demand 1.5 of it, skewed, home lost for 3 s", n), rows)
	}
}

// newDaemonZipf draws a daemon by a Zipf law: few get most of the demand.
func newDaemonZipf(rng *rand.Rand, n int) *rand.Zipf { return rand.NewZipf(rng, 1.1, 1, uint64(n-1)) }

const tokensPerRequest = 500

// simulateSpending drives one trial and returns what was spent in each step.
func simulateSpending(seed uint64, n int, limit int64, trySpend func(now time.Time, at time.Duration, daemon int) bool) []int64 {
	rng := rand.New(rand.NewPCG(seed, 9))
	zipf := newDaemonZipf(rng, n)
	start := time.Unix(1_000_000, 0)
	perStep := demandFactor * float64(limit) / tokensPerRequest * limitsStep.Seconds() / quota.WindowSpan.Seconds()
	var spent []int64
	for at := time.Duration(0); at < limitsDuration; at += limitsStep {
		sum := int64(0)
		for range int(perStep + rng.Float64()) {
			if trySpend(start.Add(at), at, int(zipf.Uint64())) {
				sum += tokensPerRequest
			}
		}
		spent = append(spent, sum)
	}
	return spent
}

// limitDeviation returns the largest excess of a sliding minute and the shortfall of the
// mean use after the first minute, both as fractions of the limit.
func limitDeviation(spent []int64, limit int64) (overshoot, undershoot float64) {
	width := int(quota.WindowSpan / limitsStep)
	sum, total := int64(0), int64(0)
	for i, s := range spent {
		sum += s
		if i >= width {
			sum -= spent[i-width]
			total += s
		}
		overshoot = max(overshoot, float64(sum)/float64(limit)-1)
	}
	minutes := float64(len(spent)-width) / float64(width)
	return overshoot, 1 - float64(total)/(minutes*float64(limit))
}

// leasedLimits runs the project's limits; the home is lost midway and a new one, which
// knows nothing, takes over.
func leasedLimits(seed uint64, n int, limit int64) (overshoot, undershoot, requestsPerSecond float64) {
	limiters := make([]*quota.Limiter, n)
	for i := range limiters {
		limiters[i] = quota.NewLimiter("w/tokens")
	}
	epoch := uint64(1)
	lessor := quota.NewLessor(epoch)
	requests := 0
	requestLease := func(now time.Time, s *quota.Limiter, need int64) {
		requests++
		s.ApplyLease(now, lessor.Grant(now, s.NewLeaseRequest(now, need, limit, epoch)))
	}
	spent := simulateSpending(seed, n, limit, func(now time.Time, at time.Duration, d int) bool {
		s := limiters[d]
		if s.TryAcquire(now, tokensPerRequest) {
			return true
		}
		if at >= lessorOutageStart && at < lessorOutageStart+lessorOutageDuration {
			s.LeaseRequestFailed(now, s.NewLeaseRequest(now, tokensPerRequest, limit, epoch))
			return s.TryAcquire(now, tokensPerRequest)
		}
		if at >= lessorOutageStart && epoch == 1 {
			epoch = 2
			lessor = quota.NewLessor(epoch)
			for _, other := range limiters {
				if other.HasUnleasedSpend() {
					requestLease(now, other, 0)
				}
			}
		}
		if s.Denied(now) {
			return false
		}
		requestLease(now, s, tokensPerRequest)
		return s.TryAcquire(now, tokensPerRequest)
	})
	overshoot, undershoot = limitDeviation(spent, limit)
	return overshoot, undershoot, float64(requests) / limitsDuration.Seconds()
}

func fixedShares(seed uint64, n int, limit int64) float64 {
	shares := make([]*naive.EqualShare, n)
	for i := range shares {
		shares[i] = naive.NewEqualShare(limit, n)
	}
	_, undershoot := limitDeviation(simulateSpending(seed, n, limit, func(now time.Time, _ time.Duration, d int) bool {
		return shares[d].TrySpend(now, tokensPerRequest)
	}), limit)
	return undershoot
}

// countedAtEnd spends from one exact window that knows of a request's tokens only
// when it ends, as a limiter without reservations does.
func countedAtEnd(seed uint64, n int, limit int64) float64 {
	const requestDuration = 5 * time.Second
	type end struct {
		at     time.Duration
		tokens int64
	}
	var window quota.Window
	var running []end
	overshoot, _ := limitDeviation(simulateSpending(seed, n, limit, func(now time.Time, at time.Duration, _ int) bool {
		for len(running) > 0 && running[0].at <= at {
			window.Add(now, running[0].tokens)
			running = running[1:]
		}
		if window.Sum(now, quota.WindowSpan)+tokensPerRequest > limit {
			return false
		}
		running = append(running, end{at + requestDuration, tokensPerRequest})
		return true
	}), limit)
	return overshoot
}
