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
	for _, delta := range deltas {
		work := p.byServer[delta.Server]
		work = ServerWork{Server: delta.Server, InFlight: work.InFlight + delta.InFlight, PendingPrefill: work.PendingPrefill + delta.PendingPrefill}
		if work.InFlight == 0 && work.PendingPrefill == 0 {
			delete(p.byServer, delta.Server)
			continue
		}
		p.byServer[delta.Server] = work
	}
}

// apply copies the sums to the tracker of a service.
func (p *peerWork) apply(sv *service) {
	sv.peerWorkVersion = p.version
	now := time.Now()
	for key, id := range sv.idByKey {
		work := p.byServer[key]
		sv.tracker.SetPeerLoad(id, float64(work.InFlight), float64(work.PendingPrefill), now)
	}
}
