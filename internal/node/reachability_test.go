package node

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/enginetest"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/route"
)

const (
	// stableWindow is the time after a cut from which requests must be served.
	stableWindow = 3 * time.Second
	// cutServers is the number of servers that a daemon loses.
	cutServers = 6
	// sampledDaemons is the largest number of daemons on each side of a cut that get requests.
	sampledDaemons = 8
)

// cutFleet is a fleet of which the first daemons lose their links to all servers.
type cutFleet struct {
	*fleet
	engines *enginetest.Engines
	links   map[string]*enginetest.Link
	cut     int
}

func newCutFleet(t *testing.T, daemons, cut int) *cutFleet {
	return newCutFleetWith(t, daemons, cut, setStreamConfig)
}

// newCutFleetWith is newCutFleet with another configuration.
func newCutFleetWith(t *testing.T, daemons, cut int, setConfig func(n *Node)) *cutFleet {
	f := newStoppedFleet(t, daemons, []string{address(0), address(1), address(2)}, setConfig)
	f.store.Put("op", "config", []byte("5"))
	f.store.Put("servers", "a", nil)
	f.store.Put("servers", "b", nil)
	c := &cutFleet{fleet: f, links: map[string]*enginetest.Link{}, cut: cut}
	c.engines = enginetest.New(cutServers, func(id string, value []byte) { f.store.Put("servers", id, value) })
	for i := range daemons {
		f.backend = c.engines.NewLink()
		c.links[address(i)] = f.backend.(*enginetest.Link)
		f.start(i)
	}
	time.Sleep(4 * time.Second)
	return c
}

// setLinks sets the links of the cut daemons.
func (c *cutFleet) setLinks(state enginetest.LinkState) {
	for i := range c.cut {
		c.links[address(i)].Set(state)
	}
}

// sample returns some of the daemons from a first to an end.
func sample(from, to int) (out []int) {
	step := max(1, (to-from)/sampledDaemons)
	for i := from; i < to; i += step {
		out = append(out, i)
	}
	return out
}

// counts are the first tries at one side of a cut.
type counts struct{ sent, served int }

func (c counts) String() string { return fmt.Sprintf("%d of %d", c.served, c.sent) }

func (c counts) share() float64 { return float64(c.served) / float64(max(1, c.sent)) }

// sendFor sends requests to daemons for a while. It returns the outcome by the second in which the
// request was sent.
func (c *cutFleet) sendFor(period time.Duration, daemons []int, body string) []counts {
	const interval = 250 * time.Millisecond
	out := make([]counts, int(period/time.Second)+1)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, daemon := range daemons {
		wg.Go(func() {
			start := time.Now()
			time.Sleep(time.Duration(daemon) * 7 * time.Millisecond % interval)
			for n := 0; time.Since(start) < period; n++ {
				second := int(time.Since(start) / time.Second)
				wg.Go(func() {
					response := c.send(daemon, fmt.Sprintf("%d.%d.%s", daemon, n, body), body)
					mu.Lock()
					defer mu.Unlock()
					out[second].sent++
					if response.refusal == nil && !response.cut && response.bytes > 0 {
						out[second].served++
					}
				})
				time.Sleep(interval)
			}
		})
	}
	wg.Wait()
	return out
}

func total(list []counts, from time.Duration) (sum counts) {
	for _, c := range list[min(len(list), int(from/time.Second)):] {
		sum.sent += c.sent
		sum.served += c.served
	}
	return sum
}

// cutShares are the cut daemons of a fleet.
var cutShares = map[string]func(daemons int) int{
	"one":  func(int) int { return 1 },
	"zone": func(daemons int) int { return daemons / 3 },
	"most": func(daemons int) int { return daemons * 5 / 6 },
}

var linkFailures = map[string]enginetest.LinkState{
	"reset": enginetest.LinkReset, "silent": enginetest.LinkSilent, "no new connections": enginetest.LinkNoNew,
}

// cutSizes are the fleets in which links are cut; large ones only without -short.
func cutSizes() []int {
	if testing.Short() {
		return []int{6, 60}
	}
	return []int{6, 60, 300}
}

// Guards against daemons that refuse requests because they reach no server, while others do.
func TestDaemonsCutOffFromServersServeRequests(t *testing.T) {
	t.Parallel()
	for _, daemons := range cutSizes() {
		for share, cutOf := range cutShares {
			for failure, state := range linkFailures {
				t.Run(fmt.Sprintf("%d daemons/%s/%s", daemons, share, failure), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						c := newCutFleet(t, daemons, cutOf(daemons))
						c.sendFor(time.Second, sample(0, daemons), "before")
						c.setLinks(state)
						var atCut, atOthers []counts
						var wg sync.WaitGroup
						wg.Go(func() { atCut = c.sendFor(2*stableWindow, sample(0, c.cut), "cut") })
						wg.Go(func() { atOthers = c.sendFor(2*stableWindow, sample(c.cut, daemons), "other") })
						wg.Wait()
						cut, others := total(atCut, stableWindow), total(atOthers, stableWindow)
						t.Logf("by second at cut daemons %v, at others %v", atCut, atOthers)
						if cut.share() < others.share()*2/3 || others.share() < 0.9 {
							t.Errorf("cut daemons served %s, the others %s", cut, others)
						}
					})
				})
			}
		}
	}
}

// Guards against a daemon whose own links fail that reports servers as crashed and holds requests.
func TestDaemonCutOffFromServersReportsNoCrash(t *testing.T) {
	t.Parallel()
	for _, daemons := range []int{6, 60} {
		for share, cutOf := range cutShares {
			for failure, state := range linkFailures {
				t.Run(fmt.Sprintf("%d daemons/%s/%s", daemons, share, failure), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						c := newCutFleet(t, daemons, cutOf(daemons))
						time.AfterFunc(1500*time.Millisecond, func() { c.setLinks(state) })
						c.sendFor(3*time.Second, sample(0, daemons), "harmless")
						held := c.count(func(m *member) bool { return len(m.Relay.Guard.Holds()) > 0 })
						misled := c.count(func(m *member) bool { return len(m.state.TerminatedServers()) > 0 })
						if held+misled > 0 {
							t.Errorf("%d daemons hold harmless requests, %d take running servers for terminated", held, misled)
						}
					})
				})
			}
		}
	}
}

// Guards against a daemon that refuses requests after its links are back, since it takes the
// servers for restarted or suspects them.
func TestDaemonServesAsBeforeWhenItsLinksAreBack(t *testing.T) {
	t.Parallel()
	for failure, state := range linkFailures {
		t.Run(failure, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newCutFleet(t, 6, 1)
				c.sendFor(time.Second, []int{0}, "before")
				c.setLinks(state)
				c.sendFor(6*time.Second, []int{0}, "cut")
				c.setLinks(enginetest.LinkUp)
				time.Sleep(time.Second)
				before := c.links[address(0)].Sent()
				after := total(c.sendFor(3*time.Second, []int{0}, "after"), 0)
				if sent := c.links[address(0)].Sent() - before; after.served < after.sent || sent < after.sent {
					t.Errorf("served %s, %d over its own links", after, sent)
				}
			})
		})
	}
}

// maxRefusalTime is how long a request may be held that no daemon can serve.
const maxRefusalTime = 100 * time.Millisecond

// Guards against requests that are held although no daemon reaches a server, and refusals that do not
// say when to come back.
func TestRequestsAreRefusedAtOnceWhileNoDaemonReachesServers(t *testing.T) {
	t.Parallel()
	for failure, state := range map[string]enginetest.LinkState{"reset": enginetest.LinkReset, "silent": enginetest.LinkSilent} {
		t.Run(failure, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newCutFleet(t, 6, 6)
				c.sendFor(time.Second, sample(0, 6), "before")
				time.Sleep(time.Second)
				c.setLinks(state)
				c.sendFor(stableWindow, sample(0, 6), "cut")
				for i := range 30 {
					start := time.Now()
					response := c.send(i%6, fmt.Sprint("late", i), "late")
					held := time.Since(start)
					if r := response.refusal; held > maxRefusalTime || r == nil || r.ExecutionState() != fault.NotRun || r.RetryDelay() == 0 {
						t.Errorf("daemon %d: held for %s, refused with %v", i%6, held, r)
					}
				}
			})
		})
	}
}

// setOnceConfig configures a service with a route of requests that may run once at most.
func setOnceConfig(n *Node) {
	t, err := route.NewTable(route.Document{
		Version: 1 << 40, Services: []route.Service{{Name: "s", MaxConnections: 1 << 20}},
		Routes: []route.Route{{Name: "r", Host: "h", PathPrefix: "/", Kind: route.NonIdempotent, MaxAttempts: 1, Timeout: 8 * time.Second, Backends: []route.Backend{{Service: "s", Weight: 1}}}},
	})
	if err != nil {
		panic(errors.Join(errors.New("test configuration"), err))
	}
	n.state.SetTable(t)
}

// Guards against a daemon with little traffic that notices the loss of its servers late, since one
// silent server alone shows nothing.
func TestLossOfServersIsNoticedByOneRequest(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCutFleetWith(t, 6, 1, setOnceConfig)
		c.sendFor(time.Second, []int{0}, "before")
		time.Sleep(time.Second)
		c.setLinks(enginetest.LinkSilent)
		var wg sync.WaitGroup
		wg.Go(func() { c.send(0, "first", "first") })
		time.Sleep(1500 * time.Millisecond)
		if !c.member(address(0)).OutOfReach() {
			t.Error("not noticed")
		}
		start := time.Now()
		if r := c.send(0, "second", "second"); r.refusal != nil || r.bytes == 0 || time.Since(start) > time.Second {
			t.Errorf("the second request took %s, %v", time.Since(start), r.refusal)
		}
		wg.Wait()
	})
}
