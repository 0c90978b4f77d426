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
	// limitsDuration is the duration of a trial in virtual time.
	limitsDuration = 6 * time.Minute
	// limitsStep is the resolution of virtual time.
	limitsStep = 100 * time.Millisecond
	// The lessor is unreachable for lessorOutageDuration from lessorOutageStart.
	lessorOutageStart, lessorOutageDuration = 3 * time.Minute, 3 * time.Second
	// demandFactor is the offered load as a multiple of the limit.
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

// zipfDaemons returns a Zipf distribution of requests over daemons.
func zipfDaemons(rng *rand.Rand, daemons int) *rand.Zipf {
	return rand.NewZipf(rng, 1.1, 1, uint64(daemons-1))
}

const tokensPerRequest = 500

// simulateSpending runs one trial and returns the tokens spent in each step.
func simulateSpending(seed uint64, daemons int, limit int64, trySpend func(now time.Time, elapsed time.Duration, daemon int) bool) []int64 {
	rng := rand.New(rand.NewPCG(seed, 9))
	zipf := zipfDaemons(rng, daemons)
	start := time.Unix(1_000_000, 0)
	perStep := demandFactor * float64(limit) / tokensPerRequest * limitsStep.Seconds() / quota.WindowSpan.Seconds()
	var spent []int64
	for elapsed := time.Duration(0); elapsed < limitsDuration; elapsed += limitsStep {
		stepTotal := int64(0)
		for range int(perStep + rng.Float64()) {
			if trySpend(start.Add(elapsed), elapsed, int(zipf.Uint64())) {
				stepTotal += tokensPerRequest
			}
		}
		spent = append(spent, stepTotal)
	}
	return spent
}

// limitDeviation returns the maximum overshoot of a sliding minute and the undershoot
// of the mean after the first minute, as fractions of the limit.
func limitDeviation(spent []int64, limit int64) (overshoot, undershoot float64) {
	windowSteps := int(quota.WindowSpan / limitsStep)
	sum, total := int64(0), int64(0)
	for i, s := range spent {
		sum += s
		if i >= windowSteps {
			sum -= spent[i-windowSteps]
			total += s
		}
		overshoot = max(overshoot, float64(sum)/float64(limit)-1)
	}
	minutes := float64(len(spent)-windowSteps) / float64(windowSteps)
	return overshoot, 1 - float64(total)/(minutes*float64(limit))
}

// leasedLimits returns the deviation from the limit and the rate of lease requests if
// daemons lease tokens from a lessor, which loses its state in an outage.
func leasedLimits(seed uint64, daemons int, limit int64) (overshoot, undershoot, requestsPerSecond float64) {
	limiters := make([]*quota.Limiter, daemons)
	for i := range limiters {
		limiters[i] = quota.NewLimiter("w/tokens")
	}
	epoch := uint64(1)
	lessor := quota.NewLessor(epoch)
	requests := 0
	requestLease := func(now time.Time, limiter *quota.Limiter, tokens int64) {
		requests++
		limiter.ApplyLease(now, lessor.Grant(now, limiter.NewLeaseRequest(now, tokens, limit, epoch)))
	}
	spent := simulateSpending(seed, daemons, limit, func(now time.Time, elapsed time.Duration, daemon int) bool {
		limiter := limiters[daemon]
		if limiter.TryAcquire(now, tokensPerRequest) {
			return true
		}
		if elapsed >= lessorOutageStart && elapsed < lessorOutageStart+lessorOutageDuration {
			limiter.LeaseRequestFailed(now, limiter.NewLeaseRequest(now, tokensPerRequest, limit, epoch))
			return limiter.TryAcquire(now, tokensPerRequest)
		}
		if elapsed >= lessorOutageStart && epoch == 1 {
			epoch = 2
			lessor = quota.NewLessor(epoch)
			for _, other := range limiters {
				if other.HasUnleasedSpend() {
					requestLease(now, other, 0)
				}
			}
		}
		if limiter.Denied(now) {
			return false
		}
		requestLease(now, limiter, tokensPerRequest)
		return limiter.TryAcquire(now, tokensPerRequest)
	})
	overshoot, undershoot = limitDeviation(spent, limit)
	return overshoot, undershoot, float64(requests) / limitsDuration.Seconds()
}

// fixedShares returns the undershoot if each daemon has an equal share of the limit.
func fixedShares(seed uint64, daemons int, limit int64) float64 {
	shares := make([]*naive.EqualShare, daemons)
	for i := range shares {
		shares[i] = naive.NewEqualShare(limit, daemons)
	}
	_, undershoot := limitDeviation(simulateSpending(seed, daemons, limit, func(now time.Time, _ time.Duration, daemon int) bool {
		return shares[daemon].TryAcquire(now, tokensPerRequest)
	}), limit)
	return undershoot
}

// countedAtEnd returns the overshoot of a single exact window that counts the tokens of a
// request only when the request ends.
func countedAtEnd(seed uint64, daemons int, limit int64) float64 {
	const requestDuration = 5 * time.Second
	type end struct {
		at     time.Duration
		tokens int64
	}
	var window quota.Window
	var running []end
	overshoot, _ := limitDeviation(simulateSpending(seed, daemons, limit, func(now time.Time, elapsed time.Duration, _ int) bool {
		for len(running) > 0 && running[0].at <= elapsed {
			window.Add(now, running[0].tokens)
			running = running[1:]
		}
		if window.Sum(now, quota.WindowSpan)+tokensPerRequest > limit {
			return false
		}
		running = append(running, end{elapsed + requestDuration, tokensPerRequest})
		return true
	}), limit)
	return overshoot
}
