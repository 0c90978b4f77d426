package node

import (
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/feedtest"
	"github.com/damaskrudder/damaskrudder/internal/freshness"
)

// event is something that can happen to the daemons, their store and their servers.
type event struct {
	name  string
	apply func(f *fleet)
}

// events are all events. Their effects last until another event changes them.
var events = []event{
	{"record", func(f *fleet) { f.store.Put("servers", "b", []byte("ready")) }},
	{"unresponsive", func(f *fleet) { f.store.SetMode(feedtest.Unresponsive) }},
	{"serving", func(f *fleet) { f.store.SetMode(feedtest.Serving) }},
	{"refusing", func(f *fleet) { f.store.SetMode(feedtest.Refusing) }},
	{"one unresponsive", func(f *fleet) { f.member(address(1)).storeClient.SetMode(feedtest.Unresponsive) }},
	{"hanging connections", func(f *fleet) { f.each(func(m *member) { m.storeClient.HangPending() }) }},
	{"restart", func(f *fleet) { f.kill(0); f.start(0) }},
	{"restore snapshot", func(f *fleet) { f.store.Restore(f.snapshot) }},
	{"rewrite records", func(f *fleet) {
		f.store.Put("op", "config", []byte("5"))
		f.store.Put("servers", "a", []byte("ready"))
		f.store.Put("servers", "b", []byte("ready"))
	}},
}

// sequenceLength is the number of events in each sequence.
var sequenceLength = flag.Int("orders", 3, "run every sequence of this many events")

// eventInterval is the time between two events. It exceeds the call timeout and divides no
// interval of the code, so that events meet reads, pauses and checks at varying phases.
const eventInterval = 1370 * time.Millisecond

// runSequence runs a sequence of events, ends the faults of the store, and returns how long the
// last daemon takes to apply a change made 3 s later.
func runSequence(t *testing.T, sequence []event, setup ...func(n *Node)) time.Duration {
	f := newFleet(t, 3, setup...)
	time.Sleep(readWait - 2*time.Second)
	for _, e := range sequence {
		e.apply(f)
		time.Sleep(eventInterval)
	}
	f.store.SetMode(feedtest.Serving)
	f.each(func(m *member) { m.storeClient.SetMode(feedtest.Serving) })
	time.Sleep(3 * time.Second)
	all := f.putServer("a", "leaving", func(m *member) bool { return !m.usesServer("a") })
	if len(all) < 3 {
		return time.Minute
	}
	return all[len(all)-1]
}

func describeSequence(sequence []event) (out string) {
	for _, e := range sequence {
		out += e.name + ", "
	}
	return out
}

// forEachSequence plays every sequence of a length of at least 1. Sequences that begin alike are played in turn, the
// others beside each other.
func forEachSequence[S any](t *testing.T, values []S, length int, test func(t *testing.T, sequence []S)) {
	t.Helper()
	t.Run("first event", func(t *testing.T) {
		for first, value := range values {
			t.Run(fmt.Sprint(first), func(t *testing.T) {
				t.Parallel()
				sequence := make([]S, length)
				sequence[0] = value
				var fill func(i int)
				fill = func(i int) {
					if i == length {
						synctest.Test(t, func(t *testing.T) { test(t, sequence) })
						return
					}
					for _, v := range values {
						sequence[i] = v
						fill(i + 1)
					}
				}
				fill(1)
			})
		}
	})
}

// Guards against any sequence of events after which a change of a server takes more than half of
// its limit once the store has served for 3 s.
func TestServerChangePropagatesAfterAnySequence(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	count, worst, length := 0, time.Duration(0), *sequenceLength
	if testing.Short() {
		length = 2 // the race detector makes longer sequences slow
	}
	forEachSequence(t, events, length, func(t *testing.T, sequence []event) {
		took := runSequence(t, sequence)
		if took > drainLimit/2 {
			t.Errorf("%safterwards a change takes %s", describeSequence(sequence), took)
		}
		mu.Lock()
		defer mu.Unlock()
		count, worst = count+1, max(worst, took)
	})
	t.Logf("%d sequences, slowest propagation %s", count, worst)
}

// Guards against a sequence search that cannot detect faults: it must find daemons without store
// checks.
func TestSequenceSearchDetectsMissingStoreChecks(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	found := ""
	forEachSequence(t, events, 2, func(t *testing.T, sequence []event) {
		took := runSequence(t, sequence, func(n *Node) { n.checkPlan = freshness.Plan{} })
		mu.Lock()
		defer mu.Unlock()
		if took > drainLimit/2 {
			found += fmt.Sprintf("%s%s; ", describeSequence(sequence), took)
		}
	})
	if found == "" {
		t.Fatal("no sequence exceeds the limit although store checks are disabled")
	}
	t.Log(found)
}
