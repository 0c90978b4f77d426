package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/serverlimit"
	"github.com/damaskrudder/damaskrudder/internal/slowstart"
)

const (
	// limitPeriod is how long the simulated server states its limit.
	limitPeriod = 12 * time.Second
	// limitWindow is the period in which requests are counted. A server may get
	// limitFactor times what its limit allows in it, plus limitSlack.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitOverload is the offered load as a multiple of the limit.
	limitOverload = 8
)

// statedRates are the limits of the simulated servers, in requests per second.
var statedRates = []float64{0.5, 2, 10, 50}

var limitStrategies = []struct {
	name      string
	newSender func(rng *rand.Rand, v slowstart.View, server uint64, rate float64) sender
}{
	{"chosen daemons, more for higher limits", func(_ *rand.Rand, v slowstart.View, server uint64, rate float64) sender {
		s := serverlimit.ShareOf(rate, len(v.Peers)+1)
		return newSelectedSender(s, v.IsSender(server, s.Senders))
	}},
	{"four chosen daemons", func(_ *rand.Rand, v slowstart.View, server uint64, rate float64) sender {
		s := slowstart.Limit{PerSecond: rate, BurstFactor: limitFactor, Burst: limitSlack}.Share()
		return newSelectedSender(s, v.IsSender(server, s.Senders))
	}},
	{"rate divided by the daemons known", func(rng *rand.Rand, v slowstart.View, _ uint64, rate float64) sender {
		interval := time.Duration(float64(len(v.Peers)+1) / rate * float64(time.Second))
		return &dividedRate{interval: interval, next: time.Duration(rng.Int64N(int64(interval)))}
	}},
}

func serverLimitTable(out io.Writer, seeds int) {
	for _, n := range []int{6, 61, 195, 985, 2000} {
		for _, scenario := range membershipScenarios {
			var rows []row
			for _, strategy := range limitStrategies {
				rows = append(rows, row{name: strategy.name + ": most in a window / allowed", target: 1})
				rows = append(rows, row{name: "  used of the limit, least of all limits"})
			}
			collectValues(seeds, rows, func(seed uint64) []float64 {
				var values []float64
				for _, strategy := range limitStrategies {
					worst, used := 0.0, 1.0
					for _, rate := range statedRates {
						rng := rand.New(rand.NewPCG(seed, uint64(n)))
						senders := make([]sender, n)
						for i := range senders {
							senders[i] = strategy.newSender(rng, scenario.view(rng, i, n), seed*7919, rate)
						}
						ratio, utilization := simulateLimit(rng, senders, rate)
						worst, used = max(worst, ratio), min(used, utilization)
					}
					values = append(values, worst, used)
				}
				return values
			})
			writeTable(out, fmt.Sprintf("stated limits of %g to %g a second: %d daemons, %s", statedRates[0], statedRates[len(statedRates)-1], n, scenario.name), rows)
		}
	}
}

// simulateLimit simulates a server that states a limit. It returns the maximum number of arrivals
// in any window, relative to what is allowed, and the used fraction of the limit.
func simulateLimit(rng *rand.Rand, senders []sender, rate float64) (worst, utilization float64) {
	var arrivals []time.Duration
	for now := time.Duration(0); now < limitPeriod; now += sendStep {
		for range int(limitOverload*rate*sendStep.Seconds() + rng.Float64()) {
			s := senders[rng.IntN(len(senders))]
			if s.canSend(now) {
				s.recordSend(now)
				arrivals = append(arrivals, now+time.Duration(rng.Int64N(int64(maxNetworkDelay))))
			}
		}
	}
	slices.Sort(arrivals)
	return float64(mostInWindow(arrivals, limitWindow)) / (limitFactor*rate*limitWindow.Seconds() + limitSlack), float64(len(arrivals)) / (rate * limitPeriod.Seconds())
}
