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

// step is one thing that can happen to three daemons, their store and two servers.
type step struct {
	name string
	do   func(f *fleet)
}

// steps are all of them. What they leave behind lasts until another one changes it.
var steps = []step{
	{"record", func(f *fleet) { f.store.Put("servers", "b", []byte("ready")) }},
	{"silent", func(f *fleet) { f.store.SetMode(feedtest.Unresponsive) }},
	{"serving", func(f *fleet) { f.store.SetMode(feedtest.Serving) }},
	{"busy", func(f *fleet) { f.store.SetMode(feedtest.Refusing) }},
	{"one silent", func(f *fleet) { f.member(address(1)).caller.SetMode(feedtest.Unresponsive) }},
	{"hang", func(f *fleet) { f.each(func(m *member) { m.caller.HangPending() }) }},
	{"restart", func(f *fleet) { f.kill(0); f.start(0) }},
	{"return from a copy", func(f *fleet) { f.store.Restore(f.copied) }},
	{"written again", func(f *fleet) {
		f.store.Put("op", "config", []byte("5"))
		f.store.Put("servers", "a", []byte("ready"))
		f.store.Put("servers", "b", []byte("ready"))
	}},
}

// orderLength is how many steps are played in every order; 4 takes a minute.
var orderLength = flag.Int("orders", 3, "play every order of this many steps")

// stepTime lies between two steps: longer than an answer is waited for, and no divisor of
// any pause, so that steps meet reads, pauses and looks alike.
const stepTime = 1370 * time.Millisecond

// play plays steps, has the store serve everybody, and returns how long the last daemon
// takes to act on a server's word 3 s later.
func play(t *testing.T, order []step, changes ...func(n *Node)) time.Duration {
	f := newFleet(t, 3, changes...)
	time.Sleep(storeWait - 2*time.Second)
	for _, s := range order {
		s.do(f)
		time.Sleep(stepTime)
	}
	f.store.SetMode(feedtest.Serving)
	f.each(func(m *member) { m.caller.SetMode(feedtest.Serving) })
	time.Sleep(3 * time.Second)
	all := f.word("a", "leaving", func(m *member) bool { return !m.uses("a") })
	if len(all) < 3 {
		return time.Minute
	}
	return all[len(all)-1]
}

func describe(order []step) (out string) {
	for _, s := range order {
		out += s.name + ", "
	}
	return out
}

// eachOrder calls do for every order of some of the steps.
func eachOrder[S any](steps []S, length int, do func(order []S)) {
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
func TestEveryOrderOfOutagesRestartsAndRecordsKeepsThePromise(t *testing.T) {
	played, worst, length := 0, time.Duration(0), *orderLength
	if testing.Short() {
		length = 2 // the race detector makes three take half a minute
	}
	eachOrder(steps, length, func(order []step) {
		synctest.Test(t, func(t *testing.T) {
			took := play(t, order)
			if took > leaveBound/2 {
				t.Errorf("%safter it the word takes %s", describe(order), took)
			}
			played, worst = played+1, max(worst, took)
		})
	})
	t.Logf("%d orders, the longest time is %s", played, worst)
}

// The search finds the fault when it is planted: daemons that do not look beside the read
// that waits.
func TestSearchOfOrdersFindsDaemonsThatDoNotLook(t *testing.T) {
	found := ""
	eachOrder(steps, 2, func(order []step) {
		synctest.Test(t, func(t *testing.T) {
			took := play(t, order, func(n *Node) { n.plan = freshness.Plan{} })
			if took > leaveBound/2 {
				found += fmt.Sprintf("%s%s; ", describe(order), took)
			}
		})
	})
	if found == "" {
		t.Fatal("no order breaks the promise although no daemon looks")
	}
	t.Log(found)
}
