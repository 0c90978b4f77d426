package gossip

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskrudder/damaskrudder/internal/enginespeed"
	"github.com/damaskrudder/damaskrudder/internal/relay"
)

// engineSpeedsFor returns the observations of engines' speeds for the daemon at an address, or nil
// for one that was never in contact. Callers hold mu.
func (m *Members) engineSpeedsFor(address string) *enginespeed.Report {
	other := m.members[address]
	if other == nil || other.latest.Name == "" || !m.overlay.includes(address) {
		return nil
	}
	return m.EngineSpeeds(xxhash.Sum64String(other.latest.Name))
}

// EngineSpeedPeers returns the daemons that share observations of engines' speeds with this one: all
// live ones, or in the overlay the partners.
func (m *Members) EngineSpeedPeers() relay.EngineSpeedPeers {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireSilent(time.Now())
	if !m.overlay.active {
		_, others := m.live.Hashes()
		return relay.EngineSpeedPeers{Hashes: others}
	}
	out := relay.EngineSpeedPeers{PartnersOnly: true}
	for address := range m.overlay.partners {
		if name := m.members[address].latest.Name; name != "" {
			out.Hashes = append(out.Hashes, xxhash.Sum64String(name))
		}
	}
	return out
}
