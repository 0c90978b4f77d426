package relay

import "time"

// peerWork is the sum of the other daemons' unfinished work by server. It is applied
// to the tracker of a service on use, since reports arrive more often than servers
// are selected.
type peerWork struct {
	byServer map[ServerKey]ServerWork
	// version counts the calls of add.
	version uint64
}

// add applies deltas.
func (p *peerWork) add(deltas []ServerWork) {
	p.version++
	for _, c := range deltas {
		w := p.byServer[c.Server]
		w = ServerWork{Server: c.Server, InFlight: w.InFlight + c.InFlight, PendingPrefill: w.PendingPrefill + c.PendingPrefill}
		if w.InFlight == 0 && w.PendingPrefill == 0 {
			delete(p.byServer, c.Server)
			continue
		}
		p.byServer[c.Server] = w
	}
}

// apply copies the sums to the tracker of a service.
func (p *peerWork) apply(sv *service) {
	sv.peerWorkVersion = p.version
	now := time.Now()
	for key, id := range sv.idByKey {
		w := p.byServer[key]
		sv.tracker.SetPeerLoad(id, float64(w.InFlight), float64(w.PendingPrefill), now)
	}
}
