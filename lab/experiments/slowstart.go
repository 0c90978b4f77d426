package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/slowstart"
)

// warmupLimit is the limit of the servers in these trials.
var warmupLimit = slowstart.Limit{WarmupPeriod: 3 * time.Second, PerSecond: 15, BurstFactor: 1.5, BurstSlack: 5}

const (
	// offeredRate is what a server would be sent in a second if nothing held it back: it looks
	// idle to all.
	offeredRate = 120
	// sendStep is the resolution of virtual time.
	sendStep = 5 * time.Millisecond
	// maxNetworkDelay bounds the delay of a send on its way to the server.
	maxNetworkDelay = 20 * time.Millisecond
)

// membershipScenario is what daemons know of each other while a server warms up.
type membershipScenario struct {
	name string
	// view returns what daemon i of n knows.
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

// rangeView is the view of daemon i that knows those from one number to another.
func rangeView(i, from, to int, trusted bool) slowstart.View {
	v := slowstart.View{Self: daemonHash(i), Trusted: trusted}
	for o := from; o < to; o++ {
		if o != i {
			v.Peers = append(v.Peers, daemonHash(o))
		}
	}
	return v
}

// sender is one daemon's side of a way.
type sender interface {
	canSend(now time.Duration) bool
	recordSend(now time.Duration)
}

// selectedSender is the product's way: few daemons with a fixed part each.
type selectedSender struct {
	slowstart.Pacer
	share    slowstart.Share
	selected bool
}

func (c *selectedSender) canSend(now time.Duration) bool { return c.selected && c.Ready(c.share, now) }
func (c *selectedSender) recordSend(now time.Duration)   { c.RecordSend(now) }

// dividedRate gives each daemon the rate divided by the number that it knows of.
type dividedRate struct {
	interval, next time.Duration
}

func (d *dividedRate) canSend(now time.Duration) bool { return now >= d.next }
func (d *dividedRate) recordSend(now time.Duration)   { d.next = now + d.interval }

// unlimited is a daemon that knows of no limit.
type unlimited struct{}

func (unlimited) canSend(time.Duration) bool { return true }
func (unlimited) recordSend(time.Duration)   {}

var slowStartStrategies = []struct {
	name string
	make func(rng *rand.Rand, v slowstart.View, server uint64) sender
}{
	{"few chosen daemons, a fixed part each", func(_ *rand.Rand, v slowstart.View, server uint64) sender {
		s := warmupLimit.Share()
		return &selectedSender{share: s, selected: v.IsSender(server, s.Senders)}
	}},
	{"rate divided by the daemons known", func(rng *rand.Rand, v slowstart.View, _ uint64) sender {
		every := time.Duration(float64(len(v.Peers)+1) / warmupLimit.PerSecond * float64(time.Second))
		return &dividedRate{interval: every, next: time.Duration(rng.Int64N(int64(every)))}
	}},
	{"no limit", func(*rand.Rand, slowstart.View, uint64) sender { return unlimited{} }},
}

func slowStartTable(out io.Writer, seeds int) {
	for _, n := range []int{6, 59, 195, 520} {
		for _, d := range membershipScenarios {
			var rows []row
			for _, w := range slowStartStrategies {
				rows = append(rows, row{name: w.name + ": most in a second", target: float64(warmupLimit.Bound())})
				rows = append(rows, row{name: "  used of what the server bears"})
			}
			collectValues(seeds, rows, func(seed uint64) []float64 {
				var values []float64
				for _, w := range slowStartStrategies {
					rng := rand.New(rand.NewPCG(seed, uint64(n)))
					senders := make([]sender, n)
					for i := range senders {
						senders[i] = w.make(rng, d.view(rng, i, n), seed*7919)
					}
					most, used := simulateWarmup(rng, senders)
					values = append(values, float64(most), used)
				}
				return values
			})
			writeTable(out, fmt.Sprintf("slow start: %d daemons, %s, bound %d a second", n, d.name, warmupLimit.Bound()), rows)
		}
	}
}

// simulateWarmup plays one server's warming up, and returns the most arrivals in any second and the
// part that is used of what it bears.
func simulateWarmup(rng *rand.Rand, senders []sender) (most int, used float64) {
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
	first := 0
	for i, at := range arrivals {
		for at-arrivals[first] > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, float64(len(arrivals)) / (warmupLimit.PerSecond * warmupLimit.WarmupPeriod.Seconds())
}
