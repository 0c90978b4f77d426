package gossip

import (
	"testing"
	"testing/synctest"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskrudder/damaskrudder/internal/enginespeed"
)

// Guards against observations that are counted as sent to a daemon which is not known yet.
func TestEngineSpeedsAreSentToKnownDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newTestMembers()
		asked := map[uint64]int{}
		m.EngineSpeeds = func(daemon uint64) *enginespeed.Report {
			asked[daemon]++
			return &enginespeed.Report{}
		}
		m.AddAddresses("b:1")
		if m.newMessage("b:1", false).EngineSpeeds != nil {
			t.Error("sent to an unknown daemon")
		}
		m.Receive("b:1", Message{Incarnation: "b/1", Name: "b", Address: "b:1", Ready: true})
		if m.newMessage("b:1", false).EngineSpeeds == nil || asked[xxhash.Sum64String("b")] != 1 || len(asked) != 1 {
			t.Errorf("asked for %v", asked)
		}
		if peers := m.EngineSpeedPeers(); len(peers.Hashes) != 1 || peers.PartnersOnly {
			t.Errorf("peers %+v", peers)
		}
	})
}
