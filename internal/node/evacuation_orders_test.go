package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/feed"
	"github.com/damaskrudder/damaskrudder/internal/feedtest"
)

// evacuationPlay is what the operator has ordered while steps are played.
type evacuationPlay struct {
	f *fleet
	// stored says that the store holds the order, and lost that it has lost one since the
	// operator last wrote.
	stored, lost bool
}

// evacuationStep is one thing that can happen.
type evacuationStep struct {
	name string
	do   func(p *evacuationPlay)
}

var evacuationSteps = []evacuationStep{
	{"evacuate", func(p *evacuationPlay) {
		p.f.store.Put("op", "evacuate/east", []byte("{}"))
		p.stored, p.lost = true, false
	}},
	{"take back", func(p *evacuationPlay) { p.f.store.Put("op", "evacuate/east", nil); p.stored, p.lost = false, false }},
	{"silent", func(p *evacuationPlay) { p.f.store.SetMode(feedtest.Unresponsive) }},
	{"serving", func(p *evacuationPlay) { p.f.store.SetMode(feedtest.Serving) }},
	{"restart", func(p *evacuationPlay) { p.f.kill(0); p.f.start(0) }},
	{"restart all", func(p *evacuationPlay) {
		for i := range 3 {
			p.f.kill(i)
		}
		for i := range 3 {
			p.f.start(i)
		}
	}},
	{"return from a copy", func(p *evacuationPlay) { p.f.store.Restore(p.f.copied); p.lost, p.stored = p.lost || p.stored, false }},
}

// playEvacuation plays steps and returns what is wrong 3 s after the store
// serves again.
func playEvacuation(t *testing.T, order []evacuationStep, changes ...func(n *Node)) string {
	p := &evacuationPlay{f: newFleet(t, 3, changes...)}
	time.Sleep(3 * time.Second)
	for _, s := range order {
		s.do(p)
		time.Sleep(stepTime)
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

func evacuationNames(order []evacuationStep) (out string) {
	for _, s := range order {
		out += s.name + ", "
	}
	return out
}

// Guards against an order of outages, restarts and returns after which a daemon disagrees with
// the operator.
func TestEveryOrderOfEvacuationsIsInForce(t *testing.T) {
	length := 3
	if testing.Short() {
		length = 2
	}
	eachOrder(evacuationSteps, length, func(order []evacuationStep) {
		synctest.Test(t, func(t *testing.T) {
			if wrong := playEvacuation(t, order); wrong != "" {
				t.Errorf("%s%s", evacuationNames(order), wrong)
			}
		})
	})
}

// deafToRemovals misses that an order was taken back.
type deafToRemovals struct{ words }

func (d deafToRemovals) Evacuation(r feed.Record) (Evacuation, bool) {
	e, about := d.words.Evacuation(r)
	return e, about && !e.Revoked
}

// Guards against a search that would find nothing: a planted fault is found.
func TestSearchOfEvacuationsFindsDaemonsThatMissTheEnd(t *testing.T) {
	found := 0
	eachOrder(evacuationSteps, 2, func(order []evacuationStep) {
		synctest.Test(t, func(t *testing.T) {
			if playEvacuation(t, order, func(n *Node) { n.ports.Codec = deafToRemovals{} }) != "" {
				found++
			}
		})
	})
	if found == 0 {
		t.Fatal("no order shows daemons that miss the end of an order")
	}
}
