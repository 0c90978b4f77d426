package relay

import "time"

// peerWork is the sum of the other daemons' unfinished work by server. A daemon that is
// heard changes the few servers that it works on. Pictures are brought to it when they are
// asked, which is less often: each of 195 daemons hears 64 pulses a second, and makes some
// four choices.
type peerWork struct {
	sum map[ServerKey]ServerWork
	// changes counts them.
	changes uint64
}

// add takes changes.
func (p *peerWork) add(changes []ServerWork) {
	p.changes++
	for _, c := range changes {
		w := p.sum[c.Server]
		w = ServerWork{Server: c.Server, InFlight: w.InFlight + c.InFlight, PendingPrefill: w.PendingPrefill + c.PendingPrefill}
		if w.InFlight == 0 && w.PendingPrefill == 0 {
			delete(p.sum, c.Server)
			continue
		}
		p.sum[c.Server] = w
	}
}

// show brings a service's picture to the sum.
func (p *peerWork) show(sv *service) {
	sv.othersAt = p.changes
	now := time.Now()
	for key, id := range sv.ids {
		w := p.sum[key]
		sv.picture.SetPeerLoad(id, float64(w.InFlight), float64(w.PendingPrefill), now)
	}
}
