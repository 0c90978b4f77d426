package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/slowstart"
)

// warmupLimit is the limit of the simulated server.
var warmupLimit = slowstart.Limit{WarmupPeriod: 3 * time.Second, PerSecond: 15, BurstFactor: 1.5, Burst: 5}

const (
	// offeredRate is the number of requests per second that all daemons together would
	// send to the server without a limit.
	offeredRate = 120
	// sendStep is the resolution of virtual time.
	sendStep = 5 * time.Millisecond
	// maxNetworkDelay is the maximum delay between a daemon and the server.
	maxNetworkDelay = 20 * time.Millisecond
)

// membershipScenario defines the membership views of the daemons during a warm-up.
type membershipScenario struct {
	name string
	// view returns the membership view of daemon i of n.
	view func(rng *rand.Rand, i, n int) slowstart.View
}

var membershipScenarios = []membershipScenario{
	{"all agree", func(_ *rand.Rand, i, n int) slowstart.View { return rangeView(i, 0, n, true) }},
	{"two halves apart", func(_ *rand.Rand, i, n int) slowstart.View {
		if i < n/2 {
			return rangeView(i, 0, n/2, true)
		}
		return rangeView(i, n/2, n, 2*(n-n/2) >= n)
	}},
	{"a sixth cut off, each alone", func(_ *rand.Rand, i, n int) slowstart.View {
		if i < n/6 {
			return slowstart.View{Self: daemonHash(i)}
		}
		return rangeView(i, n/6, n, true)
	}},
	{"each misses a third, another one", func(rng *rand.Rand, i, n int) slowstart.View {
		v := rangeView(i, 0, n, true)
		v.Peers = slices.DeleteFunc(v.Peers, func(uint64) bool { return rng.IntN(3) == 0 })
		return v
	}},
	{"half just started", func(_ *rand.Rand, i, n int) slowstart.View { return rangeView(i, 0, n, i%2 == 0) }},
}

func daemonHash(i int) uint64 { return uint64(i+1) * 0x9E3779B97F4A7C15 }

// rangeView returns the view of daemon i with the daemons from..to-1 as members.
func rangeView(i, from, to int, trusted bool) slowstart.View {
	v := slowstart.View{Self: daemonHash(i), Trusted: trusted}
	for other := from; other < to; other++ {
		if other != i {
			v.Peers = append(v.Peers, daemonHash(other))
		}
	}
	return v
}

// sender decides for one daemon when it may send to the server.
type sender interface {
	canSend(now time.Duration) bool
	recordSend(now time.Duration)
}

// selectedSender sends a share of the rate if the daemon is selected as a sender.
type selectedSender struct {
	slowstart.Pacer
	share slowstart.Share
}

func newSelectedSender(share slowstart.Share, selected bool) *selectedSender {
	s := &selectedSender{share: share}
	s.SetSender(selected, share, 0)
	return s
}

func (s *selectedSender) canSend(now time.Duration) bool { return s.Ready(s.share, now) }
func (s *selectedSender) recordSend(now time.Duration)   { s.RecordSend(now) }

// dividedRate divides the rate by the number of known daemons.
type dividedRate struct {
	interval, next time.Duration
}

func (d *dividedRate) canSend(now time.Duration) bool { return now >= d.next }
func (d *dividedRate) recordSend(now time.Duration)   { d.next = now + d.interval }

// unlimited sends without a limit.
type unlimited struct{}

func (unlimited) canSend(time.Duration) bool { return true }
func (unlimited) recordSend(time.Duration)   {}

var slowStartStrategies = []struct {
	name      string
	newSender func(rng *rand.Rand, v slowstart.View, server uint64) sender
}{
	{"few chosen daemons, a fixed part each", func(_ *rand.Rand, v slowstart.View, server uint64) sender {
		s := warmupLimit.Share()
		return newSelectedSender(s, v.IsSender(server, s.Senders))
	}},
	{"rate divided by the daemons known", func(rng *rand.Rand, v slowstart.View, _ uint64) sender {
		interval := time.Duration(float64(len(v.Peers)+1) / warmupLimit.PerSecond * float64(time.Second))
		return &dividedRate{interval: interval, next: time.Duration(rng.Int64N(int64(interval)))}
	}},
	{"no limit", func(*rand.Rand, slowstart.View, uint64) sender { return unlimited{} }},
}

func slowStartTable(out io.Writer, seeds int) {
	for _, n := range []int{6, 59, 195, 520} {
		for _, scenario := range membershipScenarios {
			var rows []row
			for _, strategy := range slowStartStrategies {
				rows = append(rows, row{name: strategy.name + ": most in a second", target: float64(warmupLimit.MaxPerSecond())})
				rows = append(rows, row{name: "  used of what the server bears"})
			}
			collectValues(seeds, rows, func(seed uint64) []float64 {
				var values []float64
				for _, strategy := range slowStartStrategies {
					rng := rand.New(rand.NewPCG(seed, uint64(n)))
					senders := make([]sender, n)
					for i := range senders {
						senders[i] = strategy.newSender(rng, scenario.view(rng, i, n), seed*7919)
					}
					maxPerSecond, utilization := simulateWarmup(rng, senders)
					values = append(values, float64(maxPerSecond), utilization)
				}
				return values
			})
			writeTable(out, fmt.Sprintf("slow start: %d daemons, %s, bound %d a second", n, scenario.name, warmupLimit.MaxPerSecond()), rows)
		}
	}
}

// simulateWarmup simulates the warm-up of one server. It returns the maximum number of
// arrivals in any second and the used fraction of the server's limit.
func simulateWarmup(rng *rand.Rand, senders []sender) (maxPerSecond int, utilization float64) {
	var arrivals []time.Duration
	for now := time.Duration(0); now < warmupLimit.WarmupPeriod; now += sendStep {
		for range int(offeredRate*sendStep.Seconds() + rng.Float64()) {
			s := senders[rng.IntN(len(senders))]
			if s.canSend(now) {
				s.recordSend(now)
				arrivals = append(arrivals, now+time.Duration(rng.Int64N(int64(maxNetworkDelay))))
			}
		}
	}
	slices.Sort(arrivals)
	return mostInWindow(arrivals, time.Second), float64(len(arrivals)) / (warmupLimit.PerSecond * warmupLimit.WarmupPeriod.Seconds())
}
