package gossip

import "github.com/damaskrudder/damaskrudder/internal/relay"

// difference returns how a daemon's work at backend servers has changed.
func difference(before, after []relay.Work) []relay.Work {
	out := make([]relay.Work, 0, len(before)+len(after))
	for _, w := range before {
		out = append(out, relay.Work{Server: w.Server, Running: -w.Running, Pending: -w.Pending})
	}
	return append(out, after...)
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
