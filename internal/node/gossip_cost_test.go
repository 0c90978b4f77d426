package node

import (
	"fmt"
	"testing"

	"github.com/damaskrudder/damaskrudder/internal/gossip"
	"github.com/damaskrudder/damaskrudder/internal/relay"
)

// addPeers delivers a message from each of some peers to the daemon and returns the messages.
func addPeers(n *Node, peers int) []gossip.Message {
	out := make([]gossip.Message, peers)
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

// Measures the cost of one received message, including the rank and the reply.
func BenchmarkReceiveMessage(b *testing.B) {
	for _, daemons := range []int{6, 60, 195, 520, 1000} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			n, _ := newTestNode(b)
			n.loadTestState()
			messages := addPeers(n, daemons-1)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				message := messages[i%len(messages)]
				n.members.Receive(message.Address, message)
				_, _ = n.rank(), n.buildMessage(false)
			}
		})
	}
}

// Guards against a cost per gossip message that grows with the number of daemons.
func TestMessageCostIsIndependentOfFleetSize(t *testing.T) {
	cost := func(daemons int) float64 {
		n, _ := newTestNode(t)
		n.loadTestState()
		messages, i := addPeers(n, daemons-1), 0
		return testing.AllocsPerRun(2000, func() {
			message := messages[i%len(messages)]
			n.members.Receive(message.Address, message)
			_, _ = n.rank(), n.buildMessage(false)
			i++
		})
	}
	small := cost(6)
	for _, daemons := range []int{60, 195, 520} {
		if allocs := cost(daemons); allocs > small {
			t.Errorf("%.0f allocations with %d daemons, %.0f with 6", allocs, daemons, small)
		}
	}
}
