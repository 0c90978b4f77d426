package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/slowstart"
)

// warming is the limit of the servers in these trials.
var warming = slowstart.Limit{WarmupPeriod: 3 * time.Second, PerSecond: 15, BurstFactor: 1.5, BurstSlack: 5}

const (
	// wanted is what a server would be sent in a second if nothing held it back: it looks
	// idle to all.
	wanted = 120
	// sendStep is the resolution of virtual time.
	sendStep = 5 * time.Millisecond
	// longestWay bounds the delay of a send on its way to the server.
	longestWay = 20 * time.Millisecond
)

// disagreement is what daemons know of each other while a server warms up.
type disagreement struct {
	name string
	// view returns what daemon i of n knows.
	view func(rng *rand.Rand, i, n int) slowstart.View
}

var disagreements = []disagreement{
	{"all agree", func(_ *rand.Rand, i, n int) slowstart.View { return among(i, 0, n, true) }},
	{"two halves apart", func(_ *rand.Rand, i, n int) slowstart.View {
		if i < n/2 {
			return among(i, 0, n/2, true)
		}
		return among(i, n/2, n, 2*(n-n/2) >= n)
	}},
	{"a sixth cut off, each alone", func(_ *rand.Rand, i, n int) slowstart.View {
		if i < n/6 {
			return slowstart.View{Self: daemonHash(i)}
		}
		return among(i, n/6, n, true)
	}},
	{"each misses a third, another one", func(rng *rand.Rand, i, n int) slowstart.View {
		v := among(i, 0, n, true)
		v.Peers = slices.DeleteFunc(v.Peers, func(uint64) bool { return rng.IntN(3) == 0 })
		return v
	}},
	{"half just started", func(_ *rand.Rand, i, n int) slowstart.View { return among(i, 0, n, i%2 == 0) }},
}

func daemonHash(i int) uint64 { return uint64(i+1) * 0x9E3779B97F4A7C15 }

// among is the view of daemon i that knows those from one number to another.
func among(i, from, to int, trusted bool) slowstart.View {
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
	may(now time.Duration) bool
	took(now time.Duration)
}

// chosen is the product's way: few daemons with a fixed part each.
type chosen struct {
	slowstart.Pacer
	share slowstart.Share
	sends bool
}

func (c *chosen) may(now time.Duration) bool { return c.sends && c.Ready(c.share, now) }
func (c *chosen) took(now time.Duration)     { c.RecordSend(now) }

// divided gives each daemon the rate divided by the number that it knows of.
type divided struct {
	every, next time.Duration
}

func (d *divided) may(now time.Duration) bool { return now >= d.next }
func (d *divided) took(now time.Duration)     { d.next = now + d.every }

// unlimited is a daemon that knows of no limit.
type unlimited struct{}

func (unlimited) may(time.Duration) bool { return true }
func (unlimited) took(time.Duration)     {}

var slowStartWays = []struct {
	name string
	make func(rng *rand.Rand, v slowstart.View, server uint64) sender
}{
	{"few chosen daemons, a fixed part each", func(_ *rand.Rand, v slowstart.View, server uint64) sender {
		s := warming.Share()
		return &chosen{share: s, sends: v.IsSender(server, s.Senders)}
	}},
	{"rate divided by the daemons known", func(rng *rand.Rand, v slowstart.View, _ uint64) sender {
		every := time.Duration(float64(len(v.Peers)+1) / warming.PerSecond * float64(time.Second))
		return &divided{every: every, next: time.Duration(rng.Int64N(int64(every)))}
	}},
	{"no limit", func(*rand.Rand, slowstart.View, uint64) sender { return unlimited{} }},
}

func slowStartTable(out io.Writer, seeds int) {
	for _, n := range []int{6, 59, 195, 520} {
		for _, d := range disagreements {
			var rows []row
			for _, w := range slowStartWays {
				rows = append(rows, row{name: w.name + ": most in a second", target: float64(warming.Bound())})
				rows = append(rows, row{name: "  used of what the server bears"})
			}
			collect(seeds, rows, func(seed uint64) []float64 {
				var values []float64
				for _, w := range slowStartWays {
					rng := rand.New(rand.NewPCG(seed, uint64(n)))
					senders := make([]sender, n)
					for i := range senders {
						senders[i] = w.make(rng, d.view(rng, i, n), seed*7919)
					}
					most, used := warmServer(rng, senders)
					values = append(values, float64(most), used)
				}
				return values
			})
			writeTable(out, fmt.Sprintf("slow start: %d daemons, %s, bound %d a second", n, d.name, warming.Bound()), rows)
		}
	}
}

// warmServer plays one server's warming up, and returns the most arrivals in any second and the
// part that is used of what it bears.
func warmServer(rng *rand.Rand, senders []sender) (most int, used float64) {
	var arrivals []time.Duration
	for now := time.Duration(0); now < warming.WarmupPeriod; now += sendStep {
		for range int(wanted*sendStep.Seconds() + rng.Float64()) {
			s := senders[rng.IntN(len(senders))]
			if s.may(now) {
				s.took(now)
				arrivals = append(arrivals, now+time.Duration(rng.Int64N(int64(longestWay))))
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
	return most, float64(len(arrivals)) / (warming.PerSecond * warming.WarmupPeriod.Seconds())
}
