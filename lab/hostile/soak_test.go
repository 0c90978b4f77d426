package hostile

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
)

var (
	soakFirstSeed = flag.Uint64("soak-seed", 1, "first seed of the soak")
	soakSeeds     = flag.Uint64("soak-seeds", 8, "number of seeds of the soak")
)

const (
	// soakEvents is the number of events of a seed, and soakCrowd the largest crowd of an event.
	soakEvents, soakCrowd = 14, 300
)

// soakFaultSeeds are seeds that have shown a fault.
var soakFaultSeeds = []uint64{1037}

// soakClients are the clients of the soak.
var soakClients = map[string]client{
	"silent":                     silent,
	"one byte of a head":         func(c net.Conn, _ int) { write(c, "G") },
	"short lines over the limit": endless(unfinishedHead, shortLines(chunkBytes)),
	"line without end":           endless(func(n int) string { return unfinishedHead(n) + "A: " }, "x"),
	"empty lines without end":    endless(nothing, "\r\n"),
	"legal heads, body due": func(c net.Conn, n int) {
		write(c, legalHead(http.MethodPost, "/look/1", n, "Content-Length: 100\r\n"))
	},
	"legal heads, unread":  func(c net.Conn, n int) { write(c, legalHead(http.MethodGet, "/talk/1", n, "")) },
	"unread streams":       func(c net.Conn, n int) { write(c, requestHead(http.MethodGet, "/talk/1", n)+"\r\n") },
	"upgraded connections": func(c net.Conn, _ int) { write(c, upgradeRequest) },
	"trailers without end": endless(func(n int) string {
		return requestHead(http.MethodPost, "/look/1", n) + "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n"
	}, shortLines(chunkBytes)),
}

// soak is the state of one seed.
type soak struct {
	*platformDaemon
	rng *rand.Rand
	// version is that of the configuration.
	version int
	// playing are the crowds that send, and crowds those that keep their connections open until the
	// process is gone.
	playing sync.WaitGroup
	mu      sync.Mutex
	crowds  []*crowd
}

// Guards against what single crowds do not show: crowds that overlap, beside signals, restarts and changes of
// the configuration, whose connections stay open until the process is gone.
func TestCrowdsBesideSignalsAndChanges(t *testing.T) {
	seeds := slices.Clone(soakFaultSeeds)
	for i := range *soakSeeds {
		seeds = append(seeds, *soakFirstSeed+i)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := &soak{platformDaemon: startPlatformDaemon(t), rng: rand.New(rand.NewPCG(seed, 87)), version: 3}
			for range soakEvents {
				s.event(t)
			}
			expectAnswer(t, s.callers, "after all events")
			s.restart(t, syscall.SIGTERM)
			expectAnswer(t, s.callers, "after the last restart")
			s.check()
		})
	}
}

// event plays an event that the seed decides, and an ordinary request.
func (s *soak) event(t *testing.T) {
	t.Helper()
	name := ""
	switch s.rng.IntN(10) {
	case 0:
		name = "SIGTERM"
		s.restart(t, syscall.SIGTERM)
	case 1:
		name = "SIGKILL"
		s.restart(t, syscall.SIGKILL)
	case 2:
		name = "SIGHUP"
		if err := s.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	case 3, 4:
		name = "configuration"
		s.changeLimits()
	default:
		name = s.startCrowd()
	}
	expectAnswer(t, s.callers, "after "+name)
}

// startCrowd starts a crowd at a listener and does not wait for it.
func (s *soak) startCrowd() string {
	names, places := slices.Sorted(maps.Keys(soakClients)), slices.Sorted(maps.Keys(listeners))
	name, place := names[s.rng.IntN(len(names))], places[s.rng.IntN(len(places))]
	count, address := 1+s.rng.IntN(soakCrowd), listeners[place](s.platformDaemon)
	s.playing.Go(func() {
		r := play(address, count, soakClients[name])
		s.mu.Lock()
		defer s.mu.Unlock()
		s.crowds = append(s.crowds, r)
	})
	return fmt.Sprint(name, " at ", place)
}

// changeLimits puts a configuration with another limit of heads.
func (s *soak) changeLimits() {
	s.version++
	text := strings.Replace(configuration, `"version":3`, fmt.Sprintf(`"version":%d`, s.version), 1)
	limit := fmt.Sprintf(`"header_bytes":%d`, 4<<10<<s.rng.IntN(3))
	s.store.Put("keyed.op", "config", []byte(strings.Replace(text, fmt.Sprintf(`"header_bytes":%d`, headBytes), limit, 1)))
}

// restart ends the process with a signal while the crowds keep their connections open, and starts it again.
func (s *soak) restart(t *testing.T, sig syscall.Signal) {
	t.Helper()
	s.end(sig)
	s.playing.Wait()
	for _, r := range s.crowds {
		r.leave()
	}
	s.crowds = nil
	s.start(t)
}
