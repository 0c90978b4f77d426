package membership

import (
	"fmt"
	"slices"
	"testing"
)

// told is how many addresses one caller takes.
const told = 64

// fronts are ready daemons, evenly in failure domains.
func fronts(n, domains int) []Endpoint {
	out := make([]Endpoint, n)
	for i := range out {
		out[i] = Endpoint{Address: fmt.Sprintf("10.%d.0.%d:80", i%domains, i), FailureDomain: fmt.Sprint("d", i%domains), Ready: true}
	}
	return out
}

// Symptom: with 195 daemons a third of them carried all callers and were overloaded, the
// others stood idle, and most requests crossed failure domains.
// Sequence: callers ask the directory and take 64 addresses.
// Cause: every answer held the first 64 daemons by name.
func TestEveryDaemonIsOfferedToItsPartOfTheCallers(t *testing.T) {
	const domains, callers = 6, 1200
	for _, n := range []int{6, 60, 195, 520} {
		all := fronts(n, domains)
		got := map[string]int{}
		for i := range callers {
			c := Client{Address: fmt.Sprintf("10.200.%d.%d", i/200, i%200), FailureDomain: fmt.Sprint("d", i%domains)}
			offer := SelectEndpoints(all, c, told)
			if len(offer) != min(n, told) {
				t.Fatalf("%d daemons: %d are offered", n, len(offer))
			}
			for _, a := range offer {
				got[a]++
			}
		}
		fair := callers * min(n, told) / n
		for _, f := range all {
			if got[f.Address] < fair/2 || got[f.Address] > 2*fair {
				t.Errorf("%d daemons: %s is offered to %d of %d callers, its part is %d", n, f.Address, got[f.Address], callers, fair)
			}
		}
	}
}

// A caller closes its connections to addresses that an answer lacks, so that all daemons
// have to give it the same, and a daemon that comes or goes must not change the others.
func TestOfferIsTheSameFromEveryDaemon(t *testing.T) {
	all := fronts(195, 6)
	c := Client{Address: "10.200.0.1", FailureDomain: "d3"}
	first := SelectEndpoints(all, c, told)
	slices.Reverse(all)
	second := SelectEndpoints(all, c, told)
	if !slices.Equal(first, second) {
		t.Errorf("%v and %v", first, second)
	}
	lost := slices.DeleteFunc(all, func(f Endpoint) bool { return f.Address == first[5] })
	kept := 0
	for _, a := range SelectEndpoints(lost, c, told) {
		if slices.Contains(first, a) {
			kept++
		}
	}
	if kept != told-1 {
		t.Errorf("%d of %d stay when one daemon goes", kept, told-1)
	}
}

func TestOwnFailureDomainIsOfferedFirst(t *testing.T) {
	all := fronts(195, 6)
	offer := SelectEndpoints(all, Client{Address: "10.200.0.1", FailureDomain: "d2"}, told)
	for _, f := range all {
		if f.FailureDomain == "d2" && !slices.Contains(offer, f.Address) {
			t.Errorf("%s is not offered", f.Address)
		}
	}
	if got := SelectEndpoints(all, Client{FailureDomain: "elsewhere"}, told); len(got) != told {
		t.Errorf("%d are offered to a caller from elsewhere", len(got))
	}
}

func TestOfferIsNeverEmpty(t *testing.T) {
	a, b, c := Endpoint{Address: "a", Leaving: true}, Endpoint{Address: "b"}, Endpoint{Address: "c"}
	if got := SelectEndpoints([]Endpoint{a, b, c}, Client{}, told); !slices.Equal(got, []string{"b", "c"}) {
		t.Errorf("none ready: %v", got)
	}
	if got := SelectEndpoints([]Endpoint{a}, Client{}, told); !slices.Equal(got, []string{"a"}) {
		t.Errorf("all leaving: %v", got)
	}
	c.Ready = true
	if got := SelectEndpoints([]Endpoint{a, b, c}, Client{}, told); !slices.Equal(got, []string{"c"}) {
		t.Errorf("one ready: %v", got)
	}
}

// 0.4 us at 6 daemons, 60 us at 195, 190 us at 520.
func BenchmarkOffer(b *testing.B) {
	for _, n := range []int{6, 195, 520} {
		all := fronts(n, 5)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				SelectEndpoints(all, Client{Address: "10.200.0.1", FailureDomain: "d2"}, told)
			}
		})
	}
}
