package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/enginetest"
	"github.com/damaskrudder/damaskrudder/internal/relay"
)

const (
	// crashesBeforeLimit is the number of crashes after which requests with a part that crashes servers
	// must stop, within partSettleTime.
	crashesBeforeLimit = 5
	partSettleTime     = 3 * time.Second
	// minSoundShare is the share of sound requests that must be served at the first attempt from
	// 2 x partSettleTime on, relative to that before.
	minSoundShare = 0.95
	// minJudgedRequests is the number of requests from which a share is judged.
	minJudgedRequests = 20
)

// partScenario sends requests whose prompts have a part that crashes servers among sound ones, which
// share their other parts.
type partScenario struct {
	daemons, servers int
	// crashParts is the number of parts that crash servers, first their position in the prompt.
	crashParts, position int
	// warmup is the time for which only sound requests come, interval that between crashing ones.
	warmup, interval time.Duration
	// restartDaemons restarts all daemons but one while the requests come.
	restartDaemons bool
	seed           uint64
}

type partResult struct {
	crashes, lateSends       int
	served, sent             int
	servedBefore, sentBefore int
}

// soundShare relates the share of sound requests that are served to that before, which is taken for
// all if there were too few.
func (r partResult) soundShare() float64 {
	before := 1.0
	if r.sentBefore >= minJudgedRequests {
		before = float64(r.servedBefore) / float64(r.sentBefore)
	}
	return float64(r.served) / float64(max(1, r.sent)) / before
}

// soundRequest is the outcome of the first attempt of a sound request.
type soundRequest struct {
	at     time.Time
	served bool
}

const (
	partScenarioDuration = 20 * time.Second
	soundInterval        = 20 * time.Millisecond
	firstParts, ownParts = 4, 200
)

func (p partScenario) run(t *testing.T) (out partResult) {
	synctest.Test(t, func(t *testing.T) {
		f, engines := newFleetWithEngines(t, p.daemons, p.servers)
		start := time.Now()
		ctx, stop := context.WithTimeout(t.Context(), p.warmup+partScenarioDuration)
		defer stop()
		var mu sync.Mutex
		var sound []soundRequest
		var wg sync.WaitGroup
		wg.Go(func() {
			p.sendSound(ctx, f, &wg, func(r soundRequest) { mu.Lock(); sound = append(sound, r); mu.Unlock() })
		})
		time.Sleep(p.warmup)
		crashingFrom := time.Now()
		for which := range p.crashParts {
			wg.Go(func() { p.sendCrashing(ctx, f, which, &wg) })
		}
		if p.restartDaemons {
			time.Sleep(partScenarioDuration / 2)
			f.restartAllBut(0, p.daemons)
		}
		<-ctx.Done()
		wg.Wait()
		out.evaluate(engines, sound, start, crashingFrom)
		f.stopAll()
		time.Sleep(2 * enginetest.RestartDelay)
	})
	return out
}

func (f *fleet) restartAllBut(kept, daemons int) {
	for i := range daemons {
		if i != kept {
			f.kill(i)
		}
	}
	time.Sleep(300 * time.Millisecond)
	for i := range daemons {
		if i != kept {
			f.start(i)
		}
	}
}

// sendSound sends sound requests until the context ends.
func (p partScenario) sendSound(ctx context.Context, f *fleet, wg *sync.WaitGroup, record func(soundRequest)) {
	rng := rand.New(rand.NewPCG(p.seed, 1))
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(soundInterval)
		daemon, parts := rng.IntN(p.daemons), p.prompt(rng, i, 0)
		wg.Go(func() {
			at := time.Now()
			out := f.sendPrompt(daemon, fmt.Sprint("s", i), parts)
			record(soundRequest{at, out.refusal == nil && !out.cut})
		})
	}
}

// sendCrashing sends requests with a part that crashes servers until the context ends.
func (p partScenario) sendCrashing(ctx context.Context, f *fleet, which int, wg *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(p.seed, 100+uint64(which)))
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(p.interval)
		daemon, parts := rng.IntN(p.daemons), p.prompt(rng, i, enginetest.FirstCrashPart+uint64(which))
		wg.Go(func() { f.sendPrompt(daemon, fmt.Sprint("c", which, ".", i), parts) })
	}
}

// prompt returns the parts of a prompt: one of many requests, one of a workspace, one of its own.
// CrashPart, unless zero, replaces one of the first two.
func (p partScenario) prompt(rng *rand.Rand, i int, crashPart uint64) []relay.PromptPart {
	ids := []uint64{1 + uint64(rng.IntN(firstParts)), 1000 + uint64(rng.IntN(ownParts)), 100_000 + rng.Uint64N(1<<30)}
	if crashPart != 0 {
		ids[p.position] = crashPart
	}
	out := make([]relay.PromptPart, len(ids))
	for j, id := range ids {
		out[j] = relay.PromptPart{ID: id, Tokens: 100}
	}
	return out
}

// sendPrompt sends a request with a prompt to a daemon.
func (f *fleet) sendPrompt(daemon int, id string, parts []relay.PromptPart) *responseRecorder {
	out := &responseRecorder{}
	m := f.member(address(daemon))
	if m == nil {
		out.cut = true
		return out
	}
	call := &relay.Call{ID: id, Host: "h", Method: http.MethodPost, Target: "/r", Path: "/r", Body: []byte(id), Prompt: relay.Prompt{Tokens: 300, Parts: parts}, LastEvent: relay.NoEvent, Received: time.Now()}
	m.Relay.Serve(f.t.Context(), call, out)
	return out
}

func (r *partResult) evaluate(engines *enginetest.Engines, sound []soundRequest, start, crashingFrom time.Time) {
	var settled time.Time
	sends := engines.Sends()
	for cause, crashes := range engines.Crashes() {
		r.crashes += len(crashes)
		last := crashes[min(len(crashes), crashesBeforeLimit)-1]
		if settled.Before(last.Add(2 * partSettleTime)) {
			settled = last.Add(2 * partSettleTime)
		}
		late := 0
		for _, at := range sends[cause] {
			if len(crashes) >= crashesBeforeLimit && at.After(last.Add(partSettleTime)) {
				late++
			}
		}
		r.lateSends = max(r.lateSends, late)
	}
	for _, s := range sound {
		switch {
		case s.at.Before(crashingFrom):
			r.sentBefore++
			if s.served {
				r.servedBefore++
			}
		case s.at.After(settled):
			r.sent++
			if s.served {
				r.served++
			}
		}
	}
}

// Guards against unlike requests that crash one server after the other by a part of their prompts, and
// against holding the sound requests that share their other parts.
func TestPartOfPromptThatCrashesServersIsQuarantined(t *testing.T) {
	t.Parallel()
	seeds := uint64(4)
	sizes := []int{6, 60}
	if testing.Short() {
		seeds = 1
	} else {
		sizes = append(sizes, 195)
	}
	for name, p := range map[string]partScenario{
		"second part":         {position: 1, crashParts: 1, warmup: 5 * time.Second, interval: 200 * time.Millisecond},
		"first part":          {position: 0, crashParts: 1, warmup: 5 * time.Second, interval: 200 * time.Millisecond},
		"seldom":              {position: 1, crashParts: 1, warmup: 5 * time.Second, interval: 1500 * time.Millisecond},
		"two parts":           {position: 1, crashParts: 2, warmup: 5 * time.Second, interval: 200 * time.Millisecond},
		"from the start":      {position: 1, crashParts: 1, warmup: 200 * time.Millisecond, interval: 200 * time.Millisecond},
		"restarts of daemons": {position: 1, crashParts: 1, warmup: 5 * time.Second, interval: 200 * time.Millisecond, restartDaemons: true},
	} {
		for _, daemons := range sizes {
			t.Run(fmt.Sprint(name, "/", daemons), func(t *testing.T) {
				t.Parallel()
				p := p
				for seed := range max(1, seeds*6/uint64(daemons)) {
					p.daemons, p.servers, p.seed = daemons, max(9, daemons/3)+3*(p.crashParts-1), seed+1
					r := p.run(t)
					t.Logf("seed %d: %+v, %.2f of the sound requests before", p.seed, r, r.soundShare())
					if r.lateSends > maxLateSends || r.soundShare() < minSoundShare {
						t.Errorf("seed %d: %d sends later than %s after the fifth crash, %d crashes; sound requests served %.2f times as often as before", p.seed, r.lateSends, partSettleTime, r.crashes, r.soundShare())
					}
				}
			})
		}
	}
}
