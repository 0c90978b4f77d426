package node

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/feed"
	"github.com/damaskrudder/damaskrudder/internal/feedtest"
)

// evacuated reports whether the daemon has a failure domain marked as evacuated.
func (n *Node) evacuated(domain string) bool {
	for _, evacuation := range n.state.Evacuations() {
		if evacuation.FailureDomain == domain {
			return true
		}
	}
	return false
}

// setEvacuated writes or removes an evacuation and returns the delays until each daemon applies it.
func (f *fleet) setEvacuated(domain string, on bool) delays {
	var value []byte
	if on {
		value = []byte("{}")
	}
	f.store.Put("op", "evacuate/"+domain, value)
	return f.waitEach(func(m *member) bool { return m.evacuated(domain) == on })
}

// evacuationLimit is the time within which every daemon must apply an evacuation.
const evacuationLimit = 5 * time.Second

// Guards against a daemon that keeps sending to an evacuated failure domain after a fault of the
// store.
func TestEvacuationPropagatesWithinLimit(t *testing.T) {
	t.Parallel()
	for _, daemons := range smallFleetSizes() {
		for _, fault := range storeFaults {
			t.Run(fmt.Sprint(daemons, " daemons/", fault.name), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, daemons)
					time.Sleep(9 * time.Second)
					fault.inject(f)
					var all delays
					for i := range 4 {
						time.Sleep(3 * time.Second)
						all = append(all, f.setEvacuated("east", i%2 == 0)...)
					}
					slices.Sort(all)
					t.Logf("%s", all)
					if worst := all[len(all)-1]; worst > evacuationLimit/2 {
						t.Errorf("slowest daemon took %s", worst)
					}
				})
			})
		}
	}
}

// Guards against evacuations that a restarted daemon does not know, or that outlive their removal.
func TestEvacuationSurvivesRestarts(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		time.Sleep(5 * time.Second)
		f.setEvacuated("east", true)
		for i := range 6 {
			f.kill(i)
		}
		for i := range 6 {
			f.start(i)
		}
		waitFor(t, evacuationLimit/2, "all daemons apply the evacuation after a restart", func() bool {
			return f.count(func(m *member) bool { return m.evacuated("east") }) == 6
		})
		f.setEvacuated("east", false)
		f.kill(0)
		f.start(0)
		time.Sleep(5 * time.Second)
		if n := f.count(func(m *member) bool { return m.evacuated("east") }); n > 0 {
			t.Errorf("%d daemons still apply the evacuation", n)
		}
	})
}

// Guards against a restore of the store from an older copy that ends an evacuation.
func TestRestoredStoreDoesNotEndEvacuation(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		time.Sleep(5 * time.Second)
		f.setEvacuated("east", true)
		time.Sleep(time.Second)
		f.store.SetMode(feedtest.Unresponsive)
		time.Sleep(2 * time.Second)
		f.store.Restore(f.snapshot)
		f.store.SetMode(feedtest.Serving)
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			if n := f.count(func(m *member) bool { return m.evacuated("east") }); n < 6 {
				t.Fatalf("%d of 6 daemons apply the evacuation", n)
			}
		}
		f.store.Put("op", "evacuate/east", []byte("{}"))
		time.Sleep(time.Second)
		f.setEvacuated("east", false)
		if n := f.count(func(m *member) bool { return m.evacuated("east") }); n > 0 {
			t.Errorf("%d daemons still apply the evacuation", n)
		}
	})
}

// Guards against a removal that is missed because the topic was read as a snapshot.
func TestSnapshotWithoutEvacuationEndsIt(t *testing.T) {
	n, _ := newTestNode(t)
	n.applyOperatorRecords([]feed.Record{{Key: "evacuate/east", Value: []byte("{}")}}, true)
	if !n.evacuated("east") {
		t.Fatal("evacuation was not applied")
	}
	n.applyOperatorRecords([]feed.Record{{Key: "config", Value: []byte("5")}}, false)
	if !n.evacuated("east") {
		t.Error("evacuation ended by an unrelated record")
	}
	n.applyOperatorRecords([]feed.Record{{Key: "config", Value: []byte("6")}}, true)
	if n.evacuated("east") {
		t.Error("evacuation kept although a snapshot lacks it")
	}
}
