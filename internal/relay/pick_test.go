package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/route"
)

// engineState is the state of a daemon with engines of two versions.
func engineState(daemon string, engines int) *State {
	now := time.Duration(0)
	s := NewState(daemon, "", func() time.Duration { now += time.Microsecond; return now })
	s.UpdateServers(func(r *backend.Registry, _ time.Duration) {
		for i := range engines {
			_, _ = r.Put(backend.Server{
				Incarnation: backend.Incarnation{Name: fmt.Sprint("e", i)}, Service: "lm", Address: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200+1),
				Slots: 32, Version: fmt.Sprint("v", 1+i%2),
			})
		}
	})
	return s
}

func engineRequirements(rng *rand.Rand) *requirements {
	e := &route.Engine{Slots: 32, KVCacheTokens: 500_000, CostPerKiloToken: map[string]float64{"m0": 1, "m1": 8, "m2": 16}}
	parts := []PromptPart{{ID: uint64(rng.IntN(4)), Tokens: 2500}, {ID: uint64(rng.IntN(1000)), Tokens: 3800}, {ID: rng.Uint64(), Tokens: 2900}}
	return &requirements{service: "lm", engine: e, model: "m0", prompt: Prompt{Tokens: 9200, Parts: parts}, remainingTime: 8 * time.Second, versions: anyVersionChoice()}
}

// Measures one selection of an engine, including its bookkeeping.
func BenchmarkPick(b *testing.B) {
	for _, engines := range []int{64, 160, 1600} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			s, rng := engineState("d1", engines), rand.New(rand.NewPCG(1, 2))
			reqs := make([]*requirements, 512)
			for i := range reqs {
				reqs[i] = engineRequirements(rng)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				target, err := s.pick(reqs[i%len(reqs)], 1000)
				if err != nil {
					b.Fatal(err)
				}
				s.recordSendEnd(target, 0, false)
			}
		})
	}
}

// Guards against daemons that choose different servers for a canary, which then exceeds
// its fraction of the servers.
func TestCanaryServersAreTheSameForAllDaemons(t *testing.T) {
	for _, engines := range []int{12, 63, 126, 240} {
		used := map[string]bool{}
		for daemon := range 195 {
			s, rng := engineState(fmt.Sprint("d", daemon), engines), rand.New(rand.NewPCG(uint64(daemon), 2))
			for range 40 {
				req := engineRequirements(rng)
				req.versions = VersionChoice{Preferred: func(v string) bool { return v == "v2" }, Fallback: anyVersion, Fraction: 0.125}
				target, err := s.pick(req, 1000)
				if err != nil {
					t.Fatal(err)
				}
				used[target.server.ID] = true
			}
		}
		if most := max(minCanaryServers, (engines/2+7)/8); len(used) > most {
			t.Errorf("%d engines: the canary uses %d, want at most %d", engines, len(used), most)
		}
	}
}

// Guards against moving a session back to the old version when the canary's servers are
// tried or refused while others of the new version are free.
func TestRetryOfCanaryRequestStaysOnNewVersion(t *testing.T) {
	for _, engines := range []int{12, 63, 240} {
		s, rng := engineState("d", engines), rand.New(rand.NewPCG(1, 2))
		req := engineRequirements(rng)
		req.versions = VersionChoice{Preferred: func(v string) bool { return v == "v2" }, Fallback: anyVersion, Fraction: 0.1}
		for range engines / 2 {
			target, err := s.pick(req, 1000)
			if err != nil {
				t.Fatal(err)
			}
			if target.server.Version != "v2" {
				t.Fatalf("%d engines: version %s after %d servers of v2", engines, target.server.Version, len(req.tried))
			}
			req.tried = append(req.tried, target.server.ID)
		}
	}
}
