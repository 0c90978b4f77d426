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

// evacuated reports whether a daemon sends nothing to a failure domain.
func (n *Node) evacuated(domain string) bool {
	for _, e := range n.state.Evacuations() {
		if e.FailureDomain == domain {
			return true
		}
	}
	return false
}

// order writes or removes an evacuation and returns the time until each daemon acts on it.
func (f *fleet) order(domain string, on bool) spread {
	var value []byte
	if on {
		value = []byte("{}")
	}
	f.store.Put("op", "evacuate/"+domain, value)
	return f.untilEach(func(m *member) bool { return m.evacuated(domain) == on })
}

// evacuateBound is the time within which an evacuation is in force on the smallest deployments.
const evacuateBound = 5 * time.Second

// Guards against a daemon that goes on sending to an evacuated failure domain, whatever the
// store did before the order.
func TestEvacuationIsInForceInHalfOfTheTimeAllowed(t *testing.T) {
	for _, daemons := range sizes() {
		for _, trouble := range troubles {
			t.Run(fmt.Sprint(daemons, " daemons/", trouble.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, daemons)
					time.Sleep(9 * time.Second)
					trouble.do(f)
					var all spread
					for i := range 4 {
						time.Sleep(3 * time.Second)
						all = append(all, f.order("east", i%2 == 0)...)
					}
					slices.Sort(all)
					t.Logf("%s", all)
					if worst := all[len(all)-1]; worst > evacuateBound/2 {
						t.Errorf("the last daemon acts after %s", worst)
					}
				})
			})
		}
	}
}

// Guards against a daemon that starts, or reads all records again, and sends to a domain that
// is evacuated, or to none for good after the order was taken back.
func TestEvacuationOutlastsRestartsAndEndsWithItsRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		time.Sleep(5 * time.Second)
		f.order("east", true)
		for i := range 6 {
			f.kill(i)
		}
		for i := range 6 {
			f.start(i)
		}
		within(t, evacuateBound/2, "all know after a restart", func() bool {
			return f.count(func(m *member) bool { return m.evacuated("east") }) == 6
		})
		f.order("east", false)
		f.kill(0)
		f.start(0)
		time.Sleep(5 * time.Second)
		if n := f.count(func(m *member) bool { return m.evacuated("east") }); n > 0 {
			t.Errorf("%d daemons keep a domain closed", n)
		}
	})
}

// Guards against a store that comes back from a copy without the order and so ends it.
func TestCopyWithoutTheEvacuationDoesNotEndIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		time.Sleep(5 * time.Second)
		f.order("east", true)
		time.Sleep(time.Second)
		f.store.SetMode(feedtest.Unresponsive)
		time.Sleep(2 * time.Second)
		f.store.Restore(f.copied)
		f.store.SetMode(feedtest.Serving)
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			if n := f.count(func(m *member) bool { return m.evacuated("east") }); n < 6 {
				t.Fatalf("%d of 6 daemons know of the order", n)
			}
		}
		f.store.Put("op", "evacuate/east", []byte("{}"))
		time.Sleep(time.Second)
		f.order("east", false)
		if n := f.count(func(m *member) bool { return m.evacuated("east") }); n > 0 {
			t.Errorf("%d daemons keep a domain closed", n)
		}
	})
}

// Guards against a removal that is lost because the records are read in one piece.
func TestCompleteRecordsWithoutAnOrderEndIt(t *testing.T) {
	n, _ := testNode(t)
	n.operator([]feed.Record{{Key: "evacuate/east", Value: []byte("{}")}}, true)
	if !n.evacuated("east") {
		t.Fatal("the order is not taken")
	}
	n.operator([]feed.Record{{Key: "config", Value: []byte("5")}}, false)
	if !n.evacuated("east") {
		t.Error("ended by records that do not mention it")
	}
	n.operator([]feed.Record{{Key: "config", Value: []byte("6")}}, true)
	if n.evacuated("east") {
		t.Error("kept although the complete records lack it")
	}
}
