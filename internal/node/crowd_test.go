package node

import (
	"fmt"
	"testing"

	"github.com/damaskrudder/damaskrudder/internal/gossip"
	"github.com/damaskrudder/damaskrudder/internal/relay"
)

// crowd has a daemon hear others, each with work on six servers, and returns their pulses.
func crowd(n *Node, others int) []gossip.Message {
	out := make([]gossip.Message, others)
	for i := range out {
		name := fmt.Sprintf("d%03d", i+1)
		work := make([]relay.ServerWork, 6)
		for j := range work {
			work[j] = relay.ServerWork{Server: relay.ServerKeyOf(fmt.Sprint("e", (i+7*j)%63)), InFlight: 1, PendingPrefill: 100}
		}
		out[i] = gossip.Message{Incarnation: name + "/1", Name: name, Address: "c" + name, Ready: true, Ages: []int64{1, 1, 1, 1}, Work: work}
		n.members.AddAddresses(out[i].Address)
		n.members.Receive(out[i].Address, out[i])
	}
	return out
}

// One pulse heard and the questions that its answer asks: 28 us at 6 daemons, 1,360 us at
// 195 and 8,040 us at 1,000 before the roster kept their answers, 3 us at each of them
// with it.
func BenchmarkPulseHeard(b *testing.B) {
	for _, daemons := range []int{6, 60, 195, 520, 1000} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			n, _ := testNode(b)
			n.know()
			pulses := crowd(n, daemons-1)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				p := pulses[i%len(pulses)]
				n.members.Receive(p.Address, p)
				_, _ = n.rank(), n.pulse(false)
			}
		})
	}
}

// Guards against this failure: a deployment of 195 daemons spent all of its processor time
// before it had served anything.
func TestPulseCostsTheSameAtEverySize(t *testing.T) {
	cost := func(daemons int) float64 {
		n, _ := testNode(t)
		n.know()
		pulses, i := crowd(n, daemons-1), 0
		return testing.AllocsPerRun(2000, func() {
			p := pulses[i%len(pulses)]
			n.members.Receive(p.Address, p)
			_, _ = n.rank(), n.pulse(false)
			i++
		})
	}
	small := cost(6)
	for _, daemons := range []int{60, 195, 520} {
		if c := cost(daemons); c > small {
			t.Errorf("%.0f allocations with %d daemons, %.0f with 6", c, daemons, small)
		}
	}
}
