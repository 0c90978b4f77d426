package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// overlayNodes returns n nodes in six failure domains.
func overlayNodes(n int) []OverlayNode {
	out := make([]OverlayNode, n)
	for i := range out {
		out[i] = OverlayNode{Address: fmt.Sprintf("10.0.%d.%d:1", i>>8, i&255), FailureDomain: fmt.Sprint("d", i%6)}
	}
	return out
}

func without(nodes []OverlayNode, address string) []OverlayNode {
	return slices.DeleteFunc(slices.Clone(nodes), func(n OverlayNode) bool { return n.Address == address })
}

// partnerGraph returns the partners of each node.
func partnerGraph(nodes []OverlayNode) map[string][]string {
	out := map[string][]string{}
	for _, n := range nodes {
		out[n.Address] = Partners(n, without(nodes, n.Address))
	}
	return out
}

// Guards against partners whose number grows with the fleet, and that do not choose each other.
func TestPartnersAreFewAndMutual(t *testing.T) {
	for _, n := range []int{1, 2, 3, 30, 300, 1000} {
		nodes := overlayNodes(n)
		graph, domains := partnerGraph(nodes), map[string]string{}
		for _, node := range nodes {
			domains[node.Address] = node.FailureDomain
		}
		local, all := 0, 0
		for address, partners := range graph {
			if len(partners) > MaxPartners || len(partners) < min(n-1, MaxPartners/2) {
				t.Errorf("%d daemons: %s has %d partners", n, address, len(partners))
			}
			for _, p := range partners {
				if !slices.Contains(graph[p], address) {
					t.Errorf("%d daemons: %s is a partner of %s only in one direction", n, p, address)
				}
				if all++; domains[p] == domains[address] {
					local++
				}
			}
		}
		if n >= 300 && (local*2 < all || local*3 > all*2) {
			t.Errorf("%d daemons: %d of %d partners are in the same failure domain", n, local, all)
		}
	}
}

// hops returns the largest distance from a node, and how many nodes are reached.
func hops(graph map[string][]string, from string) (depth, reached int) {
	distance, queue := map[string]int{from: 0}, []string{from}
	for len(queue) > 0 {
		next := queue[0]
		queue = queue[1:]
		for _, p := range graph[next] {
			if _, known := distance[p]; !known && graph[p] != nil {
				distance[p] = distance[next] + 1
				depth = max(depth, distance[p])
				queue = append(queue, p)
			}
		}
	}
	return depth, len(distance)
}

// Guards against a message that takes many hops, and against a fleet that falls apart when many
// daemons are lost at once, before partners are chosen again.
func TestOverlayIsShallowAndSurvivesLosses(t *testing.T) {
	const daemons = 1000
	nodes := overlayNodes(daemons)
	graph := partnerGraph(nodes)
	if depth, reached := hops(graph, nodes[0].Address); depth > 6 || reached != daemons {
		t.Errorf("%d of %d daemons reached in %d hops", reached, daemons, depth)
	}
	rng := rand.New(rand.NewPCG(7, 7))
	for _, n := range nodes[1:] {
		if rng.Float64() < 0.55 {
			delete(graph, n.Address)
		}
	}
	if _, reached := hops(graph, nodes[0].Address); reached < len(graph)*99/100 {
		t.Errorf("%d of %d remaining daemons reached", reached, len(graph))
	}
	for _, n := range nodes {
		if n.FailureDomain == "d1" {
			delete(graph, n.Address)
		}
	}
	if _, reached := hops(graph, nodes[0].Address); reached < len(graph)*99/100 {
		t.Errorf("%d of %d daemons reached without a failure domain", reached, len(graph))
	}
}

// Guards against new connections throughout the fleet when one daemon joins.
func TestJoinChangesFewLinks(t *testing.T) {
	nodes := overlayNodes(601)
	before, after := partnerGraph(nodes[:600]), partnerGraph(nodes)
	changed := 0
	for address, partners := range before {
		if !slices.Equal(partners, after[address]) {
			changed++
		}
	}
	if changed > MaxPartners {
		t.Errorf("the partners of %d daemons changed", changed)
	}
}
