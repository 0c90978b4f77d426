package gossip

import (
	"time"

	"github.com/damaskrudder/damaskrudder/internal/relay"
)

// modelLoadInterval is the least time between two reports of the load by model to one daemon.
const modelLoadInterval = 2 * time.Second

// modelLoadFor returns the own load by model if it is due to be sent to the daemon at an address.
// Callers hold mu.
func (m *Members) modelLoadFor(address string, now time.Time) []relay.ModelLoad {
	other := m.members[address]
	if other == nil || now.Sub(other.modelLoadAt) < modelLoadInterval {
		return nil
	}
	load := m.ModelLoad()
	if len(load) > 0 {
		other.modelLoadAt = now
	}
	return load
}
