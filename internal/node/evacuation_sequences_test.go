package node

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/feed"
	"github.com/damaskrudder/damaskrudder/internal/feedtest"
)

// evacuationState is the expected state while a sequence of events runs.
type evacuationState struct {
	fleet *fleet
	// stored reports that the store holds the order, lost that a restore has removed it since
	// the operator last wrote.
	stored, lost bool
}

// evacuationEvent is one event of a sequence.
type evacuationEvent struct {
	name  string
	apply func(s *evacuationState)
}

var evacuationEvents = []evacuationEvent{
	{"evacuate", func(s *evacuationState) {
		s.fleet.store.Put("op", "evacuate/east", []byte("{}"))
		s.stored, s.lost = true, false
	}},
	{"remove evacuation", func(s *evacuationState) {
		s.fleet.store.Put("op", "evacuate/east", nil)
		s.stored, s.lost = false, false
	}},
	{"unresponsive", func(s *evacuationState) { s.fleet.store.SetMode(feedtest.Unresponsive) }},
	{"serving", func(s *evacuationState) { s.fleet.store.SetMode(feedtest.Serving) }},
	{"restart", func(s *evacuationState) { s.fleet.kill(0); s.fleet.start(0) }},
	{"restart all", func(s *evacuationState) {
		for i := range 3 {
			s.fleet.kill(i)
		}
		for i := range 3 {
			s.fleet.start(i)
		}
	}},
	{"restore snapshot", func(s *evacuationState) {
		s.fleet.store.Restore(s.fleet.snapshot)
		s.lost, s.stored = s.lost || s.stored, false
	}},
}

// runEvacuationSequence runs a sequence and returns a description of what is wrong 3 s after the
// store serves again, or "".
func runEvacuationSequence(t *testing.T, sequence []evacuationEvent, setup ...func(n *Node)) string {
	s := &evacuationState{fleet: newFleet(t, 3, setup...)}
	time.Sleep(3 * time.Second)
	for _, e := range sequence {
		e.apply(s)
		time.Sleep(eventInterval)
	}
	s.fleet.store.SetMode(feedtest.Serving)
	time.Sleep(3 * time.Second)
	switch n := s.fleet.count(func(m *member) bool { return m.evacuated("east") }); {
	case s.stored && n < 3:
		return fmt.Sprintf("%d of 3 daemons apply the evacuation", n)
	case !s.stored && !s.lost && n > 0:
		return fmt.Sprintf("%d daemons apply a removed evacuation", n)
	}
	return ""
}

func describeEvacuations(sequence []evacuationEvent) (out string) {
	for _, e := range sequence {
		out += e.name + ", "
	}
	return out
}

// Guards against any sequence of outages, restarts and restores after which a daemon disagrees
// with the operator's evacuation order.
func TestEvacuationConvergesAfterAnySequence(t *testing.T) {
	t.Parallel()
	length := 3
	if testing.Short() {
		length = 2
	}
	forEachSequence(t, evacuationEvents, length, func(t *testing.T, sequence []evacuationEvent) {
		if problem := runEvacuationSequence(t, sequence); problem != "" {
			t.Errorf("%s%s", describeEvacuations(sequence), problem)
		}
	})
}

// removalIgnoringCodec ignores the removal of evacuation records.
type removalIgnoringCodec struct{ fakeCodec }

func (c removalIgnoringCodec) DecodeEvacuation(r feed.Record) (Evacuation, bool) {
	e, ok := c.fakeCodec.DecodeEvacuation(r)
	return e, ok && !e.Revoked
}

// Guards against a sequence search that cannot detect faults: it must find an injected one.
func TestSequenceSearchDetectsIgnoredRemovals(t *testing.T) {
	t.Parallel()
	var found atomic.Bool
	forEachSequence(t, evacuationEvents, 2, func(t *testing.T, sequence []evacuationEvent) {
		if runEvacuationSequence(t, sequence, func(n *Node) { n.deps.Codec = removalIgnoringCodec{} }) != "" {
			found.Store(true)
		}
	})
	if !found.Load() {
		t.Fatal("no sequence detects daemons that ignore removals")
	}
}
