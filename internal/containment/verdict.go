package containment

import "github.com/damaskrudder/damaskrudder/internal/reachability"

// RefusalVerdict returns the verdict on a server that has refused a connection. Whether others accept
// one tells whether the network of this daemon is the cause.
func RefusalVerdict[S any](others []S, accepts func(S) bool) reachability.Verdict {
	accepted := make(chan bool, len(others))
	for _, server := range others {
		go func() { accepted <- accepts(server) }()
	}
	for range others {
		if <-accepted {
			return reachability.Refused
		}
	}
	return reachability.Unknown
}
