package node

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/feedtest"
)

// measured replaces the sizes of the deployments that are measured: 60 daemons take half a
// minute of eight cores, 300 three minutes.
var measured = flag.Int("daemons", 0, "measure a deployment of this many daemons")

func sizes() []int {
	if *measured > 0 {
		return []int{*measured}
	}
	return []int{1, 6}
}

// trouble is what a store does before a server says that it leaves.
type trouble struct {
	name string
	do   func(f *fleet)
}

// outage is one of all daemons, or of every third.
func outage(name string, mode feedtest.Mode) trouble {
	return trouble{name, func(f *fleet) {
		f.store.SetMode(mode)
		time.Sleep(6 * time.Second)
		f.store.SetMode(feedtest.Serving)
	}}
}

func partial(name string, mode feedtest.Mode) trouble {
	return trouble{name, func(f *fleet) {
		struck := func(m feedtest.Mode) {
			for i := 0; f.member(address(i)) != nil; i += 3 {
				f.member(address(i)).caller.SetMode(m)
			}
		}
		struck(mode)
		time.Sleep(6 * time.Second)
		struck(feedtest.Serving)
	}}
}

var troubles = []trouble{
	{"calm", func(*fleet) {}},
	outage("silent", feedtest.Unresponsive), outage("busy", feedtest.Refusing), outage("reset", feedtest.Resetting),
	partial("silent for a third", feedtest.Unresponsive), partial("busy for a third", feedtest.Refusing), partial("reset for a third", feedtest.Resetting),
	{"silent connections", func(f *fleet) { f.each(func(m *member) { m.caller.HangPending() }) }},
}

// spread is the times until each daemon acts on a word, sorted.
type spread []time.Duration

func (s spread) String() string {
	at := func(part float64) time.Duration { return s[min(len(s)-1, int(part*float64(len(s))))] }
	return fmt.Sprintf("median %d ms, 99th percentile %d ms, largest %d ms", at(0.5).Milliseconds(), at(0.99).Milliseconds(), s[len(s)-1].Milliseconds())
}

// word writes a change of a server and returns the time until each daemon acts on it.
func (f *fleet) word(id, value string, known func(m *member) bool) spread {
	f.store.Put("servers", id, []byte(value))
	return f.untilEach(known)
}

// untilEach returns the time until something is so for each daemon, sorted.
func (f *fleet) untilEach(so func(m *member) bool) spread {
	began, left := time.Now(), map[string]*member{}
	f.mu.Lock()
	for a, m := range f.nodes {
		left[a] = m
	}
	f.mu.Unlock()
	var out spread
	for len(left) > 0 && time.Since(began) < time.Minute {
		time.Sleep(look)
		for a, m := range left {
			if so(m) {
				out = append(out, time.Since(began))
				delete(left, a)
			}
		}
	}
	slices.Sort(out)
	return out
}

// The time from a server's word to the last daemon that acts on it, under half of the
// time that the deployment allows, whatever the store did before, at every moment in the
// 15 s after it. At three moments of the waiting read: a trouble begins 3, 9 and 14 s after
// the last record.
func TestWordOfAServerIsActedOnInHalfOfTheTimeAllowed(t *testing.T) {
	for _, daemons := range sizes() {
		for _, trouble := range troubles {
			t.Run(fmt.Sprint(daemons, " daemons/", trouble.name), func(t *testing.T) {
				var all spread
				for _, phase := range []time.Duration{3 * time.Second, 9 * time.Second, 14 * time.Second} {
					synctest.Test(t, func(t *testing.T) {
						f := newFleet(t, daemons)
						time.Sleep(phase)
						trouble.do(f)
						for i, wait := range []time.Duration{3, 2, 3, 4, 3} {
							time.Sleep(wait * time.Second)
							leaves := i%2 == 0
							value := map[bool]string{true: "leaving", false: "ready"}[leaves]
							all = append(all, f.word("a", value, func(m *member) bool { return m.uses("a") != leaves })...)
						}
					})
				}
				slices.Sort(all)
				t.Logf("%s (allowed %s)", all, bound(daemons))
				if worst := all[len(all)-1]; worst > bound(daemons)/2 {
					t.Errorf("the last daemon acts after %s", worst)
				}
			})
		}
	}
}

// What looks and waiting reads cost in calls of the store while nothing happens.
func TestCallsOfTheStoreWhileNothingHappens(t *testing.T) {
	const most = 10 // a second, at any size; the users' store takes 2,000
	for _, daemons := range append(fleetSizes(), 1) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, daemons)
			time.Sleep(10 * time.Second)
			before := f.store.TotalCalls()
			const span = 60
			time.Sleep(span * time.Second)
			perSecond := float64(f.store.TotalCalls()-before) / span
			t.Logf("%d daemons: %.1f calls a second", daemons, perSecond)
			if perSecond > most {
				t.Errorf("%d daemons make %.1f calls a second, at most %d are planned", daemons, perSecond, most)
			}
		})
	}
}
