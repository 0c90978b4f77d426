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

// daemonsFlag overrides the fleet sizes of the tests; large sizes take minutes.
var daemonsFlag = flag.Int("daemons", 0, "run the fleet tests with this many daemons")

func smallFleetSizes() []int {
	if *daemonsFlag > 0 {
		return []int{*daemonsFlag}
	}
	return []int{1, 6}
}

// storeFault is a fault of the store that precedes a change.
type storeFault struct {
	name   string
	inject func(f *fleet)
}

// outage applies a mode to the whole store for 6 s.
func outage(name string, mode feedtest.Mode) storeFault {
	return storeFault{name, func(f *fleet) {
		f.store.SetMode(mode)
		time.Sleep(6 * time.Second)
		f.store.SetMode(feedtest.Serving)
	}}
}

// partialOutage applies a mode to the calls of every third daemon for 6 s.
func partialOutage(name string, mode feedtest.Mode) storeFault {
	return storeFault{name, func(f *fleet) {
		setMode := func(m feedtest.Mode) {
			for i := 0; f.member(address(i)) != nil; i += 3 {
				f.member(address(i)).storeClient.SetMode(m)
			}
		}
		setMode(mode)
		time.Sleep(6 * time.Second)
		setMode(feedtest.Serving)
	}}
}

var storeFaults = []storeFault{
	{"no fault", func(*fleet) {}},
	outage("unresponsive", feedtest.Unresponsive), outage("refusing", feedtest.Refusing), outage("resetting", feedtest.Resetting),
	partialOutage("unresponsive for a third", feedtest.Unresponsive), partialOutage("refusing for a third", feedtest.Refusing), partialOutage("resetting for a third", feedtest.Resetting),
	{"hanging connections", func(f *fleet) { f.each(func(m *member) { m.storeClient.HangPending() }) }},
}

// delays are the sorted times until each daemon applied a change.
type delays []time.Duration

func (d delays) String() string {
	quantile := func(q float64) time.Duration { return d[min(len(d)-1, int(q*float64(len(d))))] }
	return fmt.Sprintf("median %d ms, 99th percentile %d ms, largest %d ms", quantile(0.5).Milliseconds(), quantile(0.99).Milliseconds(), d[len(d)-1].Milliseconds())
}

// putServer writes a server entry and returns the delays until each daemon applies it.
func (f *fleet) putServer(id, value string, applied func(m *member) bool) delays {
	f.store.Put("servers", id, []byte(value))
	return f.waitEach(applied)
}

// waitEach returns the sorted times until the condition holds for each daemon.
func (f *fleet) waitEach(cond func(m *member) bool) delays {
	start, pending := time.Now(), map[string]*member{}
	f.mu.Lock()
	for a, m := range f.nodes {
		pending[a] = m
	}
	f.mu.Unlock()
	var out delays
	for len(pending) > 0 && time.Since(start) < time.Minute {
		time.Sleep(pollInterval)
		for a, m := range pending {
			if cond(m) {
				out = append(out, time.Since(start))
				delete(pending, a)
			}
		}
	}
	slices.Sort(out)
	return out
}

// Guards against a change of a server that takes more than half of its limit, after any fault of
// the store and at different phases of the long-polling reads.
func TestServerChangePropagatesWithinLimit(t *testing.T) {
	t.Parallel()
	for _, daemons := range smallFleetSizes() {
		for _, fault := range storeFaults {
			t.Run(fmt.Sprint(daemons, " daemons/", fault.name), func(t *testing.T) {
				t.Parallel()
				var all delays
				for _, phase := range []time.Duration{3 * time.Second, 9 * time.Second, 14 * time.Second} {
					synctest.Test(t, func(t *testing.T) {
						f := newFleet(t, daemons)
						time.Sleep(phase)
						fault.inject(f)
						for i, wait := range []time.Duration{3, 2, 3, 4, 3} {
							time.Sleep(wait * time.Second)
							leaves := i%2 == 0
							value := map[bool]string{true: "leaving", false: "ready"}[leaves]
							all = append(all, f.putServer("a", value, func(m *member) bool { return m.usesServer("a") != leaves })...)
						}
					})
				}
				slices.Sort(all)
				t.Logf("%s (limit %s)", all, limitFor(daemons))
				if worst := all[len(all)-1]; worst > limitFor(daemons)/2 {
					t.Errorf("slowest daemon took %s", worst)
				}
			})
		}
	}
}

// Guards against an idle call rate that grows with the number of daemons.
func TestIdleStoreCallRate(t *testing.T) {
	t.Parallel()
	const maxRate = 10 // calls per second
	for _, daemons := range append(scaleSizes(), 1) {
		play(t, fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			f := newFleet(t, daemons)
			time.Sleep(10 * time.Second)
			before := f.store.TotalCalls()
			const span = 60
			time.Sleep(span * time.Second)
			perSecond := float64(f.store.TotalCalls()-before) / span
			t.Logf("%d daemons: %.1f calls/s", daemons, perSecond)
			if perSecond > maxRate {
				t.Errorf("%d daemons make %.1f calls/s, limit %d", daemons, perSecond, maxRate)
			}
		})
	}
}
