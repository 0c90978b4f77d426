package gossip

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/membership"
	"github.com/damaskrudder/damaskrudder/internal/relay"
)

// peerRecords returns the records of n daemons.
func peerRecords(n int) []membership.PeerRecord {
	out := make([]membership.PeerRecord, n)
	for i := range out {
		name := fmt.Sprintf("d%04d", i)
		out[i] = membership.PeerRecord{Address: name + ":1", ClientAddress: name + ":80", Name: name, Incarnation: name + "/1", Ready: true, Eligible: true}
	}
	return out
}

// newOverlayMembers returns members of a fleet of n other daemons, with partners chosen.
func newOverlayMembers(n int) *Members {
	m := newTestMembers()
	m.Receive("seed:1", Message{Incarnation: "seed/1", Name: "seed", Address: "seed:1", Peers: peerRecords(n), PeersUpTo: 9, PeersDigest: 7})
	m.nextCalls(time.Now())
	return m
}

// contact delivers a message of each partner.
func (m *Members) contact(partners []string) {
	for _, address := range partners {
		name := address[:len(address)-2]
		m.Receive(address, Message{Incarnation: name + "/1", Name: name, Address: address, Ready: true, Eligible: true})
	}
}

func (m *Members) partnerAddresses() (out []string) {
	for address := range m.overlay.partners {
		out = append(out, address)
	}
	return out
}

// failCalls marks the calls to some daemons as failed.
func (m *Members) failCalls(addresses []string) {
	for _, address := range addresses {
		m.members[address].lastCallFailed = true
	}
}

// Guards against messages to all daemons of a large fleet, of which a daemon knows each from the
// records that others pass on.
func TestLargeFleetIsKnownThroughPartners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const daemons = 900
		m := newOverlayMembers(daemons)
		if got := m.LiveCount(); got != daemons+1 {
			t.Errorf("%d live daemons", got)
		}
		if got := len(m.Endpoints()); got != daemons+1 {
			t.Errorf("%d endpoints", got)
		}
		calls := map[string]bool{}
		for range 40 {
			for _, other := range m.nextCalls(time.Now()) {
				calls[other.address], other.callPending = true, false
			}
			time.Sleep(Interval)
		}
		if len(calls) > membership.MaxPartners {
			t.Errorf("%d daemons called", len(calls))
		}
	})
}

// Guards against a small fleet whose daemons exchange messages with some of the others only, and
// so know the work of few.
func TestSmallFleetIsMesh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newOverlayMembers(membership.MeshLimit - 2)
		if m.InOverlay() {
			t.Error("a fleet within the limit has partners")
		}
	})
}

// Guards against a lost daemon that stays known until it happens to be called.
func TestSilentPartnerIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newOverlayMembers(400)
		partners := m.partnerAddresses()
		time.Sleep(2 * partnerTimeout)
		m.contact(partners[1:])
		m.failCalls(partners[:1])
		m.nextCalls(time.Now())
		if r, _ := m.table.Get(partners[0]); !r.Gone || m.live.Contains(partners[0]) {
			t.Errorf("record %+v", r)
		}
		records, _ := m.table.Since(0, membership.Receiver{Address: "x"}, 1000)
		if last := records[len(records)-1]; last.Address != partners[0] || !last.Gone {
			t.Errorf("the failure is not passed on: %+v", last)
		}
	})
}

// Guards against a daemon that is cut off and, when it is back, declares all others gone.
func TestCutOffDaemonAccusesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newOverlayMembers(400)
		partners := m.partnerAddresses()
		time.Sleep(2 * partnerTimeout)
		m.failCalls(partners)
		m.nextCalls(time.Now())
		if got := m.LiveCount(); got != 401 {
			t.Errorf("%d live daemons", got)
		}
	})
}

// Guards against a wrong report that removes a daemon with which this one is in contact.
func TestDaemonInContactOutlivesReportOfItsFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newOverlayMembers(400)
		partner := m.partnerAddresses()[0]
		m.contact([]string{partner})
		r, _ := m.table.Get(partner)
		r.Gone = true
		m.Receive("seed:1", Message{Incarnation: "seed/1", Name: "seed", Address: "seed:1", Peers: []membership.PeerRecord{r}, PeersUpTo: 10, PeersDigest: 8})
		if !m.live.Contains(partner) {
			t.Error("the daemon is no longer live")
		}
		if reply := m.newMessage(partner, false); len(reply.Peers) == 0 {
			t.Error("the reply lacks the report that the daemon has to refute")
		}
	})
}

// Guards against a daemon that stays live for good where it was in contact just before the report of
// its failure.
func TestReportedDaemonIsDroppedWithoutFurtherContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newOverlayMembers(400)
		partners := m.partnerAddresses()
		m.contact(partners)
		r, _ := m.table.Get(partners[0])
		r.Gone = true
		m.Receive("seed:1", Message{Incarnation: "seed/1", Name: "seed", Address: "seed:1", Peers: []membership.PeerRecord{r}, PeersUpTo: 10, PeersDigest: 8})
		time.Sleep(2 * partnerTimeout)
		m.nextCalls(time.Now())
		if m.live.Contains(partners[0]) {
			t.Error("the daemon is still live")
		}
	})
}

// Guards against work of a daemon that counts on after the daemon is gone.
func TestWorkOfGonePartnerIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newOverlayMembers(400)
		sum := 0
		m.OnWorkChanged = func(changes []relay.ServerWork) {
			for _, c := range changes {
				sum += c.InFlight
			}
		}
		partners := m.partnerAddresses()
		name := partners[0][:len(partners[0])-2]
		m.Receive(partners[0], Message{Incarnation: name + "/1", Name: name, Address: partners[0], Work: []relay.ServerWork{{Server: 7, InFlight: 3}}})
		time.Sleep(2 * partnerTimeout)
		m.contact(partners[1:])
		m.failCalls(partners[:1])
		m.nextCalls(time.Now())
		m.reportExpiredWork()
		if sum != 0 {
			t.Errorf("%d requests of a gone daemon are left", sum)
		}
	})
}

// Guards against evidence on a new version that reaches the evaluators late or not at all, since
// most daemons are not their partners.
func TestEvidenceReachesEvaluatorsInOverlay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newOverlayMembers(400)
		state := Evidence{Active: true}
		m.EvidenceState = func() Evidence { return state }
		evaluators := m.live.First(OverlayEvaluators, false)
		called := func() (n int) {
			for _, other := range m.nextCalls(time.Now()) {
				if other.callPending = false; other.sendsEvidence {
					n++
				}
				other.sendsEvidence = false
			}
			return n
		}
		time.Sleep(time.Minute)
		if n := called(); n != len(evaluators) || n != OverlayEvaluators {
			t.Fatalf("%d of %d evaluators called", n, len(evaluators))
		}
		if n := called(); n != 0 {
			t.Error("called again at once without news")
		}
		state.Alarms++
		if n := called(); n != OverlayEvaluators {
			t.Error("not called after a bad answer")
		}
	})
}
