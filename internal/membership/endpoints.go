package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Endpoint is a daemon that clients may connect to.
type Endpoint struct {
	// Address is the address for clients.
	Address        string
	FailureDomain  string
	Ready, Leaving bool
}

// Client identifies the client that requests endpoints; either field may be empty.
type Client struct {
	// Address is the address of the client, without a port.
	Address       string
	FailureDomain string
}

// SelectEndpoints returns up to limit addresses of ready daemons for a client. If none is
// ready, it returns those that are not leaving; if all are leaving, it returns these.
//
// If there are more than limit, those in the client's failure domain come first, ordered by
// rendezvous hashing of the client's address. Every daemon returns the same list to a client,
// which closes its connections to addresses that are missing from a response.
func SelectEndpoints(all []Endpoint, client Client, limit int) []string {
	list := bestAvailable(all)
	if len(list) > limit {
		sortForClient(list, client)
		list = list[:limit]
	}
	out := make([]string, len(list))
	for i, e := range list {
		out[i] = e.Address
	}
	return out
}

// bestAvailable returns the daemons of the best class that is not empty.
func bestAvailable(all []Endpoint) []Endpoint {
	for _, accepts := range []func(Endpoint) bool{
		func(e Endpoint) bool { return e.Ready && !e.Leaving },
		func(e Endpoint) bool { return !e.Leaving },
		func(Endpoint) bool { return true },
	} {
		list := slices.DeleteFunc(slices.Clone(all), func(e Endpoint) bool { return !accepts(e) })
		if len(list) > 0 {
			return list
		}
	}
	return nil
}

// sortForClient sorts endpoints by failure domain, the client's first, then by rendezvous
// hash.
func sortForClient(list []Endpoint, client Client) {
	type ranked struct {
		remote   bool
		weight   uint64
		endpoint Endpoint
	}
	order := make([]ranked, len(list))
	for i, e := range list {
		order[i] = ranked{e.FailureDomain != client.FailureDomain, xxhash.Sum64String(client.Address + "\x00" + e.Address), e}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		if a.remote != b.remote {
			if b.remote {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.weight, b.weight)
	})
	for i, r := range order {
		list[i] = r.endpoint
	}
}
