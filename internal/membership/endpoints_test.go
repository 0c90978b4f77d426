package membership

import (
	"fmt"
	"slices"
	"testing"
)

// clientEndpoints is the number of addresses that a client requests.
const clientEndpoints = 64

// readyEndpoints returns ready endpoints, spread evenly over failure domains.
func readyEndpoints(n, domains int) []Endpoint {
	out := make([]Endpoint, n)
	for i := range out {
		out[i] = Endpoint{Address: fmt.Sprintf("10.%d.0.%d:80", i%domains, i), FailureDomain: fmt.Sprint("d", i%domains), Ready: true}
	}
	return out
}

// Guards against responses in a fixed order, which send all clients to the same daemons.
func TestSelectEndpointsSpreadsClientsEvenly(t *testing.T) {
	const domains, clients = 6, 1200
	for _, n := range []int{6, 60, 195, 520} {
		all := readyEndpoints(n, domains)
		got := map[string]int{}
		for i := range clients {
			c := Client{Address: fmt.Sprintf("10.200.%d.%d", i/200, i%200), FailureDomain: fmt.Sprint("d", i%domains)}
			selected := SelectEndpoints(all, c, clientEndpoints)
			if len(selected) != min(n, clientEndpoints) {
				t.Fatalf("%d daemons: %d are selected", n, len(selected))
			}
			for _, a := range selected {
				got[a]++
			}
		}
		fairShare := clients * min(n, clientEndpoints) / n
		for _, e := range all {
			if got[e.Address] < fairShare/2 || got[e.Address] > 2*fairShare {
				t.Errorf("%d daemons: %s is selected for %d of %d clients, its fair share is %d", n, e.Address, got[e.Address], clients, fairShare)
			}
		}
	}
}

// Clients close connections to addresses missing from a response, so all daemons have to
// return the same list, and the loss of a daemon must not change the rest of it.
func TestSelectEndpointsIsConsistentAcrossDaemons(t *testing.T) {
	all := readyEndpoints(195, 6)
	c := Client{Address: "10.200.0.1", FailureDomain: "d3"}
	first := SelectEndpoints(all, c, clientEndpoints)
	slices.Reverse(all)
	second := SelectEndpoints(all, c, clientEndpoints)
	if !slices.Equal(first, second) {
		t.Errorf("%v and %v", first, second)
	}
	remaining := slices.DeleteFunc(all, func(f Endpoint) bool { return f.Address == first[5] })
	kept := 0
	for _, a := range SelectEndpoints(remaining, c, clientEndpoints) {
		if slices.Contains(first, a) {
			kept++
		}
	}
	if kept != clientEndpoints-1 {
		t.Errorf("%d of %d are kept after the loss of one daemon", kept, clientEndpoints-1)
	}
}

func TestSelectEndpointsPrefersOwnFailureDomain(t *testing.T) {
	all := readyEndpoints(195, 6)
	selected := SelectEndpoints(all, Client{Address: "10.200.0.1", FailureDomain: "d2"}, clientEndpoints)
	for _, e := range all {
		if e.FailureDomain == "d2" && !slices.Contains(selected, e.Address) {
			t.Errorf("%s is not selected", e.Address)
		}
	}
	if got := SelectEndpoints(all, Client{FailureDomain: "elsewhere"}, clientEndpoints); len(got) != clientEndpoints {
		t.Errorf("%d are selected for a client of another failure domain", len(got))
	}
}

func TestSelectEndpointsIsNeverEmpty(t *testing.T) {
	a, b, c := Endpoint{Address: "a", Leaving: true}, Endpoint{Address: "b"}, Endpoint{Address: "c"}
	if got := SelectEndpoints([]Endpoint{a, b, c}, Client{}, clientEndpoints); !slices.Equal(got, []string{"b", "c"}) {
		t.Errorf("none ready: %v", got)
	}
	if got := SelectEndpoints([]Endpoint{a}, Client{}, clientEndpoints); !slices.Equal(got, []string{"a"}) {
		t.Errorf("all leaving: %v", got)
	}
	c.Ready = true
	if got := SelectEndpoints([]Endpoint{a, b, c}, Client{}, clientEndpoints); !slices.Equal(got, []string{"c"}) {
		t.Errorf("one ready: %v", got)
	}
}

func BenchmarkSelectEndpoints(b *testing.B) {
	for _, n := range []int{6, 195, 520} {
		all := readyEndpoints(n, 5)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				SelectEndpoints(all, Client{Address: "10.200.0.1", FailureDomain: "d2"}, clientEndpoints)
			}
		})
	}
}
