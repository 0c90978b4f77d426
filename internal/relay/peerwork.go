package relay

import "time"

// peerWork is the sum of the other daemons' unfinished work by server. A daemon that is
// heard changes the few servers that it works on. Pictures are brought to it when they are
// asked, which is less often: each of 195 daemons hears 64 pulses a second, and makes some
// four choices.
type peerWork struct {
	byServer map[ServerKey]ServerWork
	// version counts them.
	version uint64
}

// add takes changes.
func (p *peerWork) add(changes []ServerWork) {
	p.version++
	for _, c := range changes {
		w := p.byServer[c.Server]
		w = ServerWork{Server: c.Server, InFlight: w.InFlight + c.InFlight, PendingPrefill: w.PendingPrefill + c.PendingPrefill}
		if w.InFlight == 0 && w.PendingPrefill == 0 {
			delete(p.byServer, c.Server)
			continue
		}
		p.byServer[c.Server] = w
	}
}

// apply brings a service's picture to the sum.
func (p *peerWork) apply(sv *service) {
	sv.peerWorkVersion = p.version
	now := time.Now()
	for key, id := range sv.idByKey {
		w := p.byServer[key]
		sv.tracker.Peers(id, float64(w.InFlight), float64(w.PendingPrefill), now)
	}
}
