package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/feed"
	"github.com/damaskrudder/damaskrudder/internal/feedtest"
)

// evacuationState is what the operator has ordered while steps are played.
type evacuationState struct {
	f *fleet
	// stored says that the store holds the order, and lost that it has lost one since the
	// operator last wrote.
	stored, lost bool
}

// evacuationEvent is one thing that can happen.
type evacuationEvent struct {
	name string
	do   func(p *evacuationState)
}

var evacuationEvents = []evacuationEvent{
	{"evacuate", func(p *evacuationState) {
		p.f.store.Put("op", "evacuate/east", []byte("{}"))
		p.stored, p.lost = true, false
	}},
	{"take back", func(p *evacuationState) { p.f.store.Put("op", "evacuate/east", nil); p.stored, p.lost = false, false }},
	{"silent", func(p *evacuationState) { p.f.store.SetMode(feedtest.Unresponsive) }},
	{"serving", func(p *evacuationState) { p.f.store.SetMode(feedtest.Serving) }},
	{"restart", func(p *evacuationState) { p.f.kill(0); p.f.start(0) }},
	{"restart all", func(p *evacuationState) {
		for i := range 3 {
			p.f.kill(i)
		}
		for i := range 3 {
			p.f.start(i)
		}
	}},
	{"return from a copy", func(p *evacuationState) {
		p.f.store.Restore(p.f.snapshot)
		p.lost, p.stored = p.lost || p.stored, false
	}},
}

// runEvacuationSequence plays steps and returns what is wrong 3 s after the store
// serves again.
func runEvacuationSequence(t *testing.T, order []evacuationEvent, changes ...func(n *Node)) string {
	p := &evacuationState{f: newFleet(t, 3, changes...)}
	time.Sleep(3 * time.Second)
	for _, s := range order {
		s.do(p)
		time.Sleep(eventInterval)
	}
	p.f.store.SetMode(feedtest.Serving)
	time.Sleep(3 * time.Second)
	switch n := p.f.count(func(m *member) bool { return m.evacuated("east") }); {
	case p.stored && n < 3:
		return fmt.Sprintf("%d of 3 daemons know of the order", n)
	case !p.stored && !p.lost && n > 0:
		return fmt.Sprintf("%d daemons go on with an order that was taken back", n)
	}
	return ""
}

func describeEvacuations(order []evacuationEvent) (out string) {
	for _, s := range order {
		out += s.name + ", "
	}
	return out
}

// Guards against an order of outages, restarts and returns after which a daemon disagrees with
// the operator.
func TestEvacuationConvergesAfterAnySequence(t *testing.T) {
	length := 3
	if testing.Short() {
		length = 2
	}
	forEachSequence(evacuationEvents, length, func(order []evacuationEvent) {
		synctest.Test(t, func(t *testing.T) {
			if wrong := runEvacuationSequence(t, order); wrong != "" {
				t.Errorf("%s%s", describeEvacuations(order), wrong)
			}
		})
	})
}

// removalIgnoringCodec misses that an order was taken back.
type removalIgnoringCodec struct{ fakeCodec }

func (d removalIgnoringCodec) DecodeEvacuation(r feed.Record) (Evacuation, bool) {
	e, about := d.fakeCodec.DecodeEvacuation(r)
	return e, about && !e.Revoked
}

// Guards against a search that would find nothing: a planted fault is found.
func TestSequenceSearchDetectsIgnoredRemovals(t *testing.T) {
	found := 0
	forEachSequence(evacuationEvents, 2, func(order []evacuationEvent) {
		synctest.Test(t, func(t *testing.T) {
			if runEvacuationSequence(t, order, func(n *Node) { n.deps.Codec = removalIgnoringCodec{} }) != "" {
				found++
			}
		})
	})
	if found == 0 {
		t.Fatal("no order shows daemons that miss the end of an order")
	}
}
