package containment

import "github.com/damaskrudder/damaskrudder/internal/reachability"

// RefusalVerdict returns the verdict on a server that has refused a connection. Whether others accept
// one tells whether the network of this daemon is the cause.
func RefusalVerdict[S any](others []S, accepts func(S) bool) reachability.Verdict {
	if AnyAccepts(others, accepts) {
		return reachability.Refused
	}
	return reachability.Unknown
}

// AnyAccepts reports whether any of some servers accepts a connection, as soon as one does.
func AnyAccepts[S any](servers []S, accepts func(S) bool) bool {
	accepted := make(chan bool, len(servers))
	for _, server := range servers {
		go func() { accepted <- accepts(server) }()
	}
	for range servers {
		if <-accepted {
			return true
		}
	}
	return false
}
