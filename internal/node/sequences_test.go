package node

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/feedtest"
	"github.com/damaskrudder/damaskrudder/internal/freshness"
)

// event is one thing that can happen to three daemons, their store and two servers.
type event struct {
	name string
	do   func(f *fleet)
}

// events are all of them. What they leave behind lasts until another one changes it.
var events = []event{
	{"record", func(f *fleet) { f.store.Put("servers", "b", []byte("ready")) }},
	{"silent", func(f *fleet) { f.store.SetMode(feedtest.Unresponsive) }},
	{"serving", func(f *fleet) { f.store.SetMode(feedtest.Serving) }},
	{"busy", func(f *fleet) { f.store.SetMode(feedtest.Refusing) }},
	{"one silent", func(f *fleet) { f.member(address(1)).storeClient.SetMode(feedtest.Unresponsive) }},
	{"hang", func(f *fleet) { f.each(func(m *member) { m.storeClient.HangPending() }) }},
	{"restart", func(f *fleet) { f.kill(0); f.start(0) }},
	{"return from a copy", func(f *fleet) { f.store.Restore(f.snapshot) }},
	{"written again", func(f *fleet) {
		f.store.Put("op", "config", []byte("5"))
		f.store.Put("servers", "a", []byte("ready"))
		f.store.Put("servers", "b", []byte("ready"))
	}},
}

// sequenceLength is how many steps are played in every order; 4 takes a minute.
var sequenceLength = flag.Int("orders", 3, "play every order of this many steps")

// eventInterval lies between two steps: longer than an answer is waited for, and no divisor of
// any pause, so that steps meet reads, pauses and looks alike.
const eventInterval = 1370 * time.Millisecond

// runSequence plays steps, has the store serve everybody, and returns how long the last daemon
// takes to act on a server's word 3 s later.
func runSequence(t *testing.T, order []event, changes ...func(n *Node)) time.Duration {
	f := newFleet(t, 3, changes...)
	time.Sleep(readWait - 2*time.Second)
	for _, s := range order {
		s.do(f)
		time.Sleep(eventInterval)
	}
	f.store.SetMode(feedtest.Serving)
	f.each(func(m *member) { m.storeClient.SetMode(feedtest.Serving) })
	time.Sleep(3 * time.Second)
	all := f.putServer("a", "leaving", func(m *member) bool { return !m.uses("a") })
	if len(all) < 3 {
		return time.Minute
	}
	return all[len(all)-1]
}

func describeSequence(order []event) (out string) {
	for _, s := range order {
		out += s.name + ", "
	}
	return out
}

// forEachSequence calls do for every order of some of the steps.
func forEachSequence[S any](steps []S, length int, do func(order []S)) {
	order := make([]S, length)
	var fill func(i int)
	fill = func(i int) {
		if i == length {
			do(order)
			return
		}
		for _, s := range steps {
			order[i] = s
			fill(i + 1)
		}
	}
	fill(0)
}

// The promise, over every order of what can happen before: with the store back for three
// seconds, a server's word is acted on everywhere within half of the time allowed.
func TestServerChangePropagatesAfterAnySequence(t *testing.T) {
	played, worst, length := 0, time.Duration(0), *sequenceLength
	if testing.Short() {
		length = 2 // the race detector makes three take half a minute
	}
	forEachSequence(events, length, func(order []event) {
		synctest.Test(t, func(t *testing.T) {
			took := runSequence(t, order)
			if took > drainLimit/2 {
				t.Errorf("%safter it the word takes %s", describeSequence(order), took)
			}
			played, worst = played+1, max(worst, took)
		})
	})
	t.Logf("%d orders, the longest time is %s", played, worst)
}

// The search finds the fault when it is planted: daemons that do not look beside the read
// that waits.
func TestSequenceSearchDetectsMissingStoreChecks(t *testing.T) {
	found := ""
	forEachSequence(events, 2, func(order []event) {
		synctest.Test(t, func(t *testing.T) {
			took := runSequence(t, order, func(n *Node) { n.checkPlan = freshness.Plan{} })
			if took > drainLimit/2 {
				found += fmt.Sprintf("%s%s; ", describeSequence(order), took)
			}
		})
	})
	if found == "" {
		t.Fatal("no order breaks the promise although no daemon looks")
	}
	t.Log(found)
}
