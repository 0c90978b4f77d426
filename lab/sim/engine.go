package sim

import (
	"slices"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/routing"
)

// Job is a request submitted to an engine.
type Job struct {
	PromptTokens     int
	Blocks           []uint64
	CompletionTokens int
	Priority         int
	// OnFirstToken is called at the first token, OnDone at the end, and OnLost instead when
	// the engine is down or goes down.
	OnFirstToken func()
	OnDone       func()
	OnLost       func()
}

// Engine models an inference engine with continuous batching.
type Engine struct {
	clock *Clock
	Slots int
	// PrefillPerToken and DecodePerToken are service times; Slowdown multiplies both.
	PrefillPerToken, DecodePerToken time.Duration
	Slowdown                        float64
	// ReportDelay is the age of the load in ReportedLoad.
	ReportDelay time.Duration
	waiting     []*Job
	running     map[*Job]bool
	cache       *prefixCache
	reports     []report
	down        bool
}

type report struct {
	at   time.Duration
	load int
}

// NewEngine returns an idle engine whose prefix cache holds cacheBlocks blocks.
func NewEngine(c *Clock, slots int, prefillPerToken, decodePerToken time.Duration, cacheBlocks int) *Engine {
	return &Engine{clock: c, Slots: slots, PrefillPerToken: prefillPerToken, DecodePerToken: decodePerToken, Slowdown: 1, running: map[*Job]bool{}, cache: newPrefixCache(cacheBlocks)}
}

// Submit queues a job.
func (e *Engine) Submit(j *Job) {
	if e.down {
		e.clock.After(time.Millisecond, j.OnLost)
		return
	}
	e.waiting = append(e.waiting, j)
	e.schedule()
}

// Cancel removes a waiting or running job.
func (e *Engine) Cancel(j *Job) {
	delete(e.running, j)
	e.waiting = slices.DeleteFunc(e.waiting, func(w *Job) bool { return w == j })
	e.schedule()
}

// SetDown stops or restarts the engine. All jobs are lost and the prefix cache is cleared.
func (e *Engine) SetDown(down bool) {
	e.down = down
	lost := append([]*Job(nil), e.waiting...)
	for j := range e.running {
		lost = append(lost, j)
	}
	e.waiting, e.running = nil, map[*Job]bool{}
	e.cache = newPrefixCache(e.cache.size)
	for _, j := range lost {
		e.clock.After(time.Millisecond, j.OnLost)
	}
}

// Load returns the number of jobs waiting and running.
func (e *Engine) Load() int { return len(e.waiting) + len(e.running) }

// ReportedLoad returns the load as of ReportDelay ago.
func (e *Engine) ReportedLoad() int {
	load := 0
	cutoff := e.clock.now - e.ReportDelay
	current := 0
	for i, r := range e.reports {
		if r.at > cutoff {
			break
		}
		load, current = r.load, i
	}
	e.reports = e.reports[current:]
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
		e.startJob(j)
	}
	e.reports = append(e.reports, report{e.clock.now, e.Load()})
}

// batchOverhead is the relative slowdown per additional request in the batch.
const batchOverhead = 0.05

func (e *Engine) startJob(j *Job) {
	e.running[j] = true
	uncached := max(0, j.PromptTokens-e.cache.lookupAndStore(j.Blocks)*routing.BlockTokens)
	slowdown := e.Slowdown * (1 + batchOverhead*float64(len(e.running)-1))
	prefill := time.Duration(slowdown * float64(uncached) * float64(e.PrefillPerToken))
	firstToken := prefill + time.Duration(slowdown*float64(e.DecodePerToken))
	e.clock.After(firstToken, func() {
		if e.running[j] {
			j.OnFirstToken()
		}
	})
	e.clock.After(firstToken+time.Duration(slowdown*float64(j.CompletionTokens)*float64(e.DecodePerToken)), func() {
		if !e.running[j] {
			return
		}
		delete(e.running, j)
		j.OnDone()
		e.schedule()
	})
}

// prefixCache is a set of prefix blocks with FIFO eviction.
type prefixCache struct {
	size   int
	blocks map[uint64]bool
	order  []uint64
}

func newPrefixCache(size int) *prefixCache {
	return &prefixCache{size: size, blocks: map[uint64]bool{}}
}

// lookupAndStore returns the number of leading blocks found, and stores the others.
func (c *prefixCache) lookupAndStore(blocks []uint64) int {
	hits := 0
	for hits < len(blocks) && c.blocks[blocks[hits]] {
		hits++
	}
	for _, b := range blocks[hits:] {
		if c.blocks[b] {
			continue
		}
		c.blocks[b] = true
		c.order = append(c.order, b)
		if len(c.order) > c.size {
			delete(c.blocks, c.order[0])
			c.order = c.order[1:]
		}
	}
	return hits
}
