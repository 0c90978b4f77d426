package gossip

import "github.com/damaskrudder/damaskrudder/internal/relay"

// TotalWork sums the work of daemons by backend server.
func TotalWork(alive []Pulse) map[relay.ServerKey]relay.Work {
	sum := map[relay.ServerKey]relay.Work{}
	for _, p := range alive {
		for _, w := range p.Work {
			total := sum[w.Server]
			sum[w.Server] = relay.Work{Server: w.Server, Running: total.Running + w.Running, Pending: total.Pending + w.Pending}
		}
	}
	return sum
}

// Fronts lists the callers' addresses of all ready daemons. If none is ready,
// all that do not leave are listed: an answer without addresses is no answer, and
// a daemon that is not ready refuses with when to come back. Last comes self.
func Fronts(alive []Pulse, self Pulse) []string {
	all := append(alive, self)
	for _, admits := range []func(Pulse) bool{
		func(p Pulse) bool { return p.Ready && !p.Leaving },
		func(p Pulse) bool { return !p.Leaving },
		func(Pulse) bool { return true },
	} {
		var out []string
		for _, p := range all {
			if admits(p) {
				out = append(out, p.Front)
			}
		}
		if len(out) > 0 {
			return out
		}
	}
	return nil
}

// First reports whether a daemon comes first by name among those that are ready.
// That one writes decisions; a conditional append keeps two that both think they
// are first from undoing each other.
func First(alive []Pulse, name string, ready bool) bool {
	if !ready {
		return false
	}
	for _, p := range alive {
		if p.Ready && !p.Leaving && p.Name < name {
			return false
		}
	}
	return true
}
