package reachability

// Verdict is what a daemon found when it connected to a server.
type Verdict uint8

const (
	// Unknown means that the daemon could not tell: it reached no server, or did not respond.
	Unknown Verdict = iota
	// Connected means that the server accepted a connection.
	Connected
	// Refused means that the server's VM refused a connection while another server accepted one.
	Refused
	// Silent means that nothing responded in time while another server accepted a connection.
	Silent
)

// Terminated reports whether a server that has refused a connection has terminated. Own is the
// daemon's own verdict, and others are those of other daemons. A server that accepts a connection of
// another daemon runs, and one that is silent to it may run. The own verdict alone decides only if no
// other daemon has one, since the daemon may have lost its links to some servers.
func Terminated(own Verdict, others []Verdict) bool {
	refused, silent := false, false
	for _, v := range others {
		switch v {
		case Connected:
			return false
		case Refused:
			refused = true
		case Silent:
			silent = true
		}
	}
	return refused || own == Refused && !silent
}

// String returns the verdict for logs.
func (v Verdict) String() string {
	return [...]string{"unknown", "connected", "refused", "silent"}[min(v, Silent)]
}
