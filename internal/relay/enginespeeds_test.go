package relay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/enginespeed"
	"github.com/damaskrudder/damaskrudder/internal/routing"
)

// candidatesWithSpeeds returns engines of known factors.
func candidatesWithSpeeds(factors ...float64) []routing.Candidate {
	sv := &service{tracker: routing.NewLoadTracker()}
	var estimates []enginespeed.Estimate
	for i, factor := range factors {
		id := fmt.Sprint("e", i)
		sv.members = append(sv.members, routing.Member{ID: id, Slots: 32})
		estimates = append(estimates, enginespeed.Estimate{Engine: enginespeed.Engine(ServerKeyOf(id)), LogRatio: math.Log(factor), Samples: 500})
	}
	sv.speeds.Update(estimates)
	sv.tracker.Update(sv.members)
	sv.tracker.SetPrefillPerToken(referenceTokenTime)
	candidates := sv.tracker.Snapshot(nil, time.Time{})
	sv.applySpeeds(candidates)
	return candidates
}

// Guards against homes that move, or times that change, where engines are alike.
func TestEqualEnginesAreServedAsBefore(t *testing.T) {
	candidates := candidatesWithSpeeds(1, 1.04, 0.97, 1, 1.02)
	for i := range candidates {
		c := &candidates[i]
		if c.Factor() != 1 || c.PrefillPerToken != referenceTokenTime {
			t.Errorf("factor %v, %s a token", c.Factor(), c.PrefillPerToken)
		}
		for key := range uint64(100) {
			if homeWeight(c, key) != rendezvousWeight(c.Hash, key) {
				t.Fatal("home moved")
			}
		}
	}
}

// Guards against slow engines that are home to as many prefixes as quick ones.
func TestHomesFollowSpeed(t *testing.T) {
	candidates := candidatesWithSpeeds(0.5, 1, 1, 1, 1)
	const keys = 20000
	homes := make([]int, len(candidates))
	rng := rand.New(rand.NewPCG(3, 4))
	for range keys {
		r := routing.Request{FailureDomain: "elsewhere"}
		rankAffinity(rng.Uint64(), candidates, &r)
		for i := range candidates {
			if r.AffinityRank[i] == 0 {
				homes[i]++
			}
		}
	}
	if share := float64(homes[0]) / keys; share < 0.29 || share > 0.37 {
		t.Errorf("an engine twice as quick as four others is home to %.2f of the prefixes", share)
	}
}

// lateShare plays prompts of 40 ms against engines that read them in turn, and returns the share that
// begin after 0.1 s. Known are the factors by which the times are told.
func lateShare(actual []float64, known []float64) float64 {
	const requests, prompt, objective, arrival = 20000, 40 * time.Millisecond, 100 * time.Millisecond, 3500 * time.Microsecond
	candidates := candidatesWithSpeeds(known...)
	rng := rand.New(rand.NewPCG(5, 6))
	done := make([][]time.Duration, len(actual))
	now, late := time.Duration(0), 0
	for range requests {
		now += time.Duration(rng.ExpFloat64() * float64(arrival))
		for i := range done {
			for len(done[i]) > 0 && done[i][0] <= now {
				done[i] = done[i][1:]
			}
			candidates[i].PendingPrefill = float64(len(done[i])) * float64(prompt) / float64(referenceTokenTime)
		}
		r := routing.Request{PromptTokens: int(prompt / referenceTokenTime)}
		rankAffinity(rng.Uint64N(300), candidates, &r)
		chosen := routing.EnginePipeline().Pick(&r, candidates, rng).Index
		begin := now
		if n := len(done[chosen]); n > 0 {
			begin = done[chosen][n-1]
		}
		end := begin + time.Duration(actual[chosen]*float64(prompt))
		done[chosen] = append(done[chosen], end)
		if end-now > objective {
			late++
		}
	}
	return float64(late) / requests
}

// Guards against a backlog of a slow engine that is told in the time of a quick one.
func TestKnownSpeedsCutLateFirstEvents(t *testing.T) {
	actual, alike := make([]float64, 12), make([]float64, 12)
	for i := range actual {
		actual[i], alike[i] = []float64{0.6, 1, 1.6}[i%3], 1
	}
	unknown, known := lateShare(actual, alike), lateShare(actual, actual)
	t.Logf("late: %.3f with factors 1, %.3f with the known ones", unknown, known)
	if known > unknown/2 {
		t.Errorf("late: %.3f with factors 1, %.3f with the known ones", unknown, known)
	}
}

// Guards against a slow engine that counts as late all the time, and against avoiding one that was
// slow for a moment for longer than about a second.
func TestMomentarySlownessIsAvoidedForAboutASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := engineState("d1", 3)
		sv := s.serviceFor("lm")
		send := &target{server: backend.Server{ID: "e0"}, service: "lm", model: "m0", uncached: 20_000, timeFactor: 1.6}
		usual := send.ownTime(sv.models.get("m0", nil).prefill.Predict(send.uncached))
		expectWait := func(after time.Duration, least, most time.Duration) {
			t.Helper()
			time.Sleep(after)
			candidates := sv.tracker.Snapshot(nil, time.Now())
			e0 := slices.IndexFunc(candidates, func(c routing.Candidate) bool { return c.ID == "e0" })
			if got := candidates[e0].Wait; got < least || got > most {
				t.Errorf("late by %s, want %s to %s", got, least, most)
			}
		}
		s.recordResponse(send, usual, true)
		expectWait(0, 0, time.Millisecond)
		s.recordResponse(send, usual+600*time.Millisecond, true)
		expectWait(0, 200*time.Millisecond, time.Second)
		expectWait(4*time.Second, 0, 20*time.Millisecond)
	})
}

// Guards against a restarted engine that is taken for as slow as its earlier run.
func TestRestartedEngineBeginsUnknown(t *testing.T) {
	s := engineState("d1", 8)
	observe := func(id string, ratio float64) {
		for range 200 {
			s.speeds.Observe(engineKey(xxhash.Sum64String(id)), ratio, 1, 0)
		}
	}
	for i := range 8 {
		observe(fmt.Sprint("e", i), 1)
	}
	for start, want := range []float64{1.4, 1} {
		run := backend.Incarnation{Name: "slow", StartMillis: int64(start + 1)}
		s.UpdateServers(func(r *backend.Registry, _ time.Duration) {
			_, _ = r.Put(backend.Server{Incarnation: run, Service: "lm", Address: "10.1.0.1:80", Slots: 8})
		})
		if start == 0 {
			observe(run.ID(), 1.4)
		}
		sv := s.serviceFor("lm")
		s.refreshEngineSpeeds(EngineSpeedPeers{})
		if got := sv.speeds.Factor(engineKey(xxhash.Sum64String(run.ID()))); math.Abs(got-want) > 0.13 {
			t.Errorf("run %d: factor %.2f, want %.2f", start, got, want)
		}
	}
}

// Guards against a malformed report that goes unseen.
func TestMalformedSpeedReportIsCounted(t *testing.T) {
	h, scope := newHarness(t, respond(200, "")), tally.NewTestScope("", nil)
	h.relay.Metrics = NewMetrics(scope)
	h.relay.MergeEngineSpeeds("d2", &enginespeed.Report{Contributions: []byte{1}})
	if got := scope.Snapshot().Counters()["speed_reports_dropped+"].Value(); got != 1 {
		t.Errorf("%d reports dropped", got)
	}
}
