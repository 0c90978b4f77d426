package sim

import (
	"slices"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/routing"
)

// Job is one run on an engine.
type Job struct {
	Prompt   int
	Blocks   []uint64
	Answer   int
	Priority int
	// First is called at the first token, Done at the end; a run on an engine
	// that went down gets Lost instead.
	First func()
	Done  func()
	Lost  func()
}

// Engine is a model engine with continuous batching.
type Engine struct {
	clock *Clock
	Slots int
	// PrefillPerToken and PerToken are service times; Slow multiplies both.
	PrefillPerToken, PerToken time.Duration
	Slow                      float64
	// Lag delays reports.
	Lag     time.Duration
	waiting []*Job
	running map[*Job]bool
	cache   *blockSet
	reports []report
	down    bool
}

type report struct {
	at   time.Duration
	load int
}

// NewEngine returns an idle engine.
func NewEngine(c *Clock, slots int, prefill, perToken time.Duration, cacheBlocks int) *Engine {
	return &Engine{clock: c, Slots: slots, PrefillPerToken: prefill, PerToken: perToken, Slow: 1, running: map[*Job]bool{}, cache: newBlockSet(cacheBlocks)}
}

// Submit queues a job.
func (e *Engine) Submit(j *Job) {
	if e.down {
		e.clock.After(time.Millisecond, j.Lost)
		return
	}
	e.waiting = append(e.waiting, j)
	e.schedule()
}

// Cancel takes a job off the engine, whether it waits or runs.
func (e *Engine) Cancel(j *Job) {
	delete(e.running, j)
	e.waiting = slices.DeleteFunc(e.waiting, func(w *Job) bool { return w == j })
	e.schedule()
}

// SetDown takes the engine away with everything on it, or brings it back empty.
func (e *Engine) SetDown(down bool) {
	e.down = down
	lost := append([]*Job(nil), e.waiting...)
	for j := range e.running {
		lost = append(lost, j)
	}
	e.waiting, e.running = nil, map[*Job]bool{}
	e.cache = newBlockSet(e.cache.size)
	for _, j := range lost {
		e.clock.After(time.Millisecond, j.Lost)
	}
}

// Load returns the number of jobs waiting and running.
func (e *Engine) Load() int { return len(e.waiting) + len(e.running) }

// Reported returns the load as it was Lag ago.
func (e *Engine) Reported() int {
	load := 0
	cut := e.clock.now - e.Lag
	keep := 0
	for i, r := range e.reports {
		if r.at > cut {
			break
		}
		load, keep = r.load, i
	}
	e.reports = e.reports[keep:]
	return load
}

func (e *Engine) schedule() {
	for len(e.running) < e.Slots && len(e.waiting) > 0 {
		best := 0
		for i, j := range e.waiting {
			if j.Priority < e.waiting[best].Priority {
				best = i
			}
		}
		j := e.waiting[best]
		e.waiting = append(e.waiting[:best], e.waiting[best+1:]...)
		e.begin(j)
	}
	e.reports = append(e.reports, report{e.clock.now, e.Load()})
}

// batchCost is how much each request in the batch slows the others: a full
// batch of 8 decodes at 1.35 times the time of a single request.
const batchCost = 0.05

func (e *Engine) begin(j *Job) {
	e.running[j] = true
	missing := max(0, j.Prompt-e.cache.touch(j.Blocks)*routing.BlockTokens)
	share := e.Slow * (1 + batchCost*float64(len(e.running)-1))
	prefill := time.Duration(share * float64(missing) * float64(e.PrefillPerToken))
	first := prefill + time.Duration(share*float64(e.PerToken))
	e.clock.After(first, func() {
		if e.running[j] {
			j.First()
		}
	})
	e.clock.After(first+time.Duration(share*float64(j.Answer)*float64(e.PerToken)), func() {
		if !e.running[j] {
			return
		}
		delete(e.running, j)
		j.Done()
		e.schedule()
	})
}

// blockSet is a prefix cache that evicts the block stored first.
type blockSet struct {
	size  int
	held  map[uint64]bool
	order []uint64
}

func newBlockSet(size int) *blockSet { return &blockSet{size: size, held: map[uint64]bool{}} }

// touch returns how many leading blocks were cached, and stores all.
func (s *blockSet) touch(blocks []uint64) int {
	hit := 0
	for hit < len(blocks) && s.held[blocks[hit]] {
		hit++
	}
	for _, b := range blocks[hit:] {
		if s.held[b] {
			continue
		}
		s.held[b] = true
		s.order = append(s.order, b)
		if len(s.order) > s.size {
			delete(s.held, s.order[0])
			s.order = s.order[1:]
		}
	}
	return hit
}
