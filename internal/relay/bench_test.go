package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/route"
)

// engineState is a daemon that knows engines of two versions.
func engineState(daemon string, engines int) *State {
	boot := time.Duration(0)
	s := NewState(daemon, "", func() time.Duration { boot += time.Microsecond; return boot })
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

func engineWant(rng *rand.Rand) *want {
	e := &route.Engine{Slots: 32, KVCacheTokens: 500_000, CostPer1kTokens: map[string]float64{"m0": 1, "m1": 8, "m2": 16}}
	parts := []PromptPart{{ID: uint64(rng.IntN(4)), Tokens: 2500}, {ID: uint64(rng.IntN(1000)), Tokens: 3800}, {ID: rng.Uint64(), Tokens: 2900}}
	return &want{service: "lm", engine: e, model: "m0", prompt: Prompt{Tokens: 9200, Parts: parts}, budget: 8 * time.Second, choice: everyVersionChoice()}
}

// One choice of an engine with its booking, beside other work on the machine: 66 us and 23 KB
// at 64 engines before candidates had room of their own and one order, 17 us and 1.3 KB
// with it; 33 us at 160.
func BenchmarkChoice(b *testing.B) {
	for _, engines := range []int{64, 160, 1600} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			s, rng := engineState("d1", engines), rand.New(rand.NewPCG(1, 2))
			wants := make([]*want, 512)
			for i := range wants {
				wants[i] = engineWant(rng)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				target, err := s.pick(wants[i%len(wants)], 1000)
				if err != nil {
					b.Fatal(err)
				}
				s.ended(target, 0, false)
			}
		})
	}
}

// Symptom: during a roll-out a canary got several times its part of the servers.
// Sequence: 63 engines run a version and 63 the next; each daemon limits the next one to
// an eighth of its servers.
// Cause: each daemon worked with 64 servers of its own choice, and took an eighth of these.
func TestCanaryPartIsTheSameForAllDaemons(t *testing.T) {
	for _, engines := range []int{12, 63, 126, 240} {
		used := map[string]bool{}
		for d := range 195 {
			s, rng := engineState(fmt.Sprint("d", d), engines), rand.New(rand.NewPCG(uint64(d), 2))
			for range 40 {
				w := engineWant(rng)
				w.choice = Choice{Prefer: func(v string) bool { return v == "v2" }, Else: everyVersion, Part: 0.125}
				target, err := s.pick(w, 1000)
				if err != nil {
					t.Fatal(err)
				}
				used[target.server.ID] = true
			}
		}
		if most := max(fewestInPart, (engines/2+7)/8); len(used) > most {
			t.Errorf("%d engines: the canary uses %d, its part is %d", engines, len(used), most)
		}
	}
}
