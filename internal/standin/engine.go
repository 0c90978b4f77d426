package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/loop"
)

// Behaviour is how one version answers on an engine.
type Behaviour struct {
	// ErrorRate is the fraction of runs that end in an error, 0 to 1.
	ErrorRate float64
	// WrongRate is the fraction of answers that carry WrongMark, 0 to 1.
	WrongRate float64
	// Slow multiplies service times; 0 means 1.
	Slow float64
}

// EngineConfig sets the service-time model.
type EngineConfig struct {
	Slots int
	// Prefill is the time per uncached prompt token.
	Prefill time.Duration
	// PerToken is the time between answer tokens.
	PerToken time.Duration
	// AnswerTokens is the answer length when max_tokens does not cut it.
	AnswerTokens int
	// ChecksFencing refuses orders with an old fencing number.
	ChecksFencing bool
	// Lag delays load reports.
	Lag time.Duration
	// CacheBlocks bounds the prefix cache.
	CacheBlocks int
}

// Engine is a model engine: continuous batching over slots with priorities, a
// prefix cache, streams with resume and cancel, lagged load reports, cache
// events with gaps, and orders with or without fencing.
type Engine struct {
	cfg EngineConfig

	mu       sync.Mutex
	versions map[string]Behaviour
	runs     map[string]*run
	queue    []*run
	running  int
	cache    *blockCache
	fence    uint64
	loads    []loadReport
	silent   bool
	started  int
	canceled int
	// ended is called when a run ends the engine; see DeadlyMark.
	ended func()
}

// DeadlyMark is the text in a prompt that ends an engine which begins to run it.
const DeadlyMark = "deadly"

// OnDeadly sets what happens when a run begins whose prompt holds DeadlyMark.
func (e *Engine) OnDeadly(f func()) { e.mu.Lock(); e.ended = f; e.mu.Unlock() }

// dies ends the engine if a run's prompt does, and reports whether it did.
func (e *Engine) dies(ru *run) bool {
	e.mu.Lock()
	end := e.ended
	e.mu.Unlock()
	if end == nil || !strings.Contains(ru.prompt, DeadlyMark) {
		return false
	}
	end()
	return true
}

type loadReport struct {
	at               time.Time
	running, waiting int
}

type run struct {
	id, model string
	priority  int
	prompt    string
	want      int
	tokens    []string
	done      bool
	failed    bool
	start     chan struct{}
	changed   chan struct{}
	cancel    context.CancelFunc
	ctx       context.Context
	// confidence is the mean token probability that the end of the answer states.
	confidence float64
}

// NewEngine returns an engine that holds the given "model@version" names.
func NewEngine(cfg EngineConfig, versions ...string) *Engine {
	e := &Engine{cfg: cfg, versions: map[string]Behaviour{}, runs: map[string]*run{}, cache: newBlockCache(cfg.CacheBlocks)}
	for _, v := range versions {
		e.versions[v] = Behaviour{}
	}
	return e
}

// SetBehaviour changes how a loaded version answers.
func (e *Engine) SetBehaviour(version string, b Behaviour) {
	e.mu.Lock()
	e.versions[version] = b
	e.mu.Unlock()
}

// SetSilent makes open streams hang while new connections work.
func (e *Engine) SetSilent(s bool) { e.mu.Lock(); e.silent = s; e.mu.Unlock() }

// Holds reports whether a version is loaded.
func (e *Engine) Holds(version string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.versions[version]
	return ok
}

// Started returns how many runs were started.
func (e *Engine) Started() int { e.mu.Lock(); defer e.mu.Unlock(); return e.started }

// Canceled returns how many runs were cancelled by order.
func (e *Engine) Canceled() int { e.mu.Lock(); defer e.mu.Unlock(); return e.canceled }

// Runs returns "model@version" by run id of every run started.
func (e *Engine) Runs() map[string]string {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]string, len(e.runs))
	for id, r := range e.runs {
		out[id] = r.model
	}
	return out
}

// Texts returns the whole answer by run id of every run that ended well.
func (e *Engine) Texts() map[string]string {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]string, len(e.runs))
	for id, r := range e.runs {
		if r.done && !r.failed {
			out[id] = strings.Join(r.tokens, "")
		}
	}
	return out
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("GET /v1/runs/{id}/events", e.resume)
	mux.HandleFunc("DELETE /v1/runs/{id}", e.drop)
	mux.HandleFunc("GET /load", e.load)
	mux.HandleFunc("GET /cache/events", e.cacheEvents)
	mux.HandleFunc("POST /orders", e.order)
	mux.ServeHTTP(w, r)
}

type completionRequest struct {
	Model     string `json:"model"`
	MaxTokens int    `json:"max_tokens"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var in completionRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	id := r.Header.Get("X-Run-Id")
	ru := e.runs[id]
	if ru == nil {
		b, loaded := e.versions[in.Model]
		if !loaded {
			e.mu.Unlock()
			refuse(w, http.StatusConflict, "version is not loaded")
			return
		}
		ru = e.admit(id, in, r.Header.Get("X-Priority"), b)
	}
	e.mu.Unlock()
	e.stream(w, r, ru, 0)
}

// refuse answers with the proof that nothing was started.
func refuse(w http.ResponseWriter, status int, why string) {
	w.Header().Set("X-Started", "false")
	http.Error(w, why, status)
}

func (e *Engine) admit(id string, in completionRequest, priority string, b Behaviour) *run {
	var prompt strings.Builder
	for _, m := range in.Messages {
		prompt.WriteString(m.Content)
	}
	p, _ := strconv.Atoi(priority)
	ctx, cancel := context.WithCancel(context.Background())
	ru := &run{id: id, model: in.Model, priority: p, prompt: prompt.String(), start: make(chan struct{}), changed: make(chan struct{}), ctx: ctx, cancel: cancel}
	ru.want = e.cfg.AnswerTokens
	if in.MaxTokens > 0 {
		ru.want = min(ru.want, in.MaxTokens)
	}
	e.runs[id] = ru
	e.started++
	e.queue = append(e.queue, ru)
	e.schedule()
	go e.execute(ru, b)
	return ru
}

// schedule starts waiting runs, lowest priority number first, in order of arrival.
func (e *Engine) schedule() {
	for e.running < e.cfg.Slots && len(e.queue) > 0 {
		best := 0
		for i, q := range e.queue {
			if q.priority < e.queue[best].priority {
				best = i
			}
		}
		next := e.queue[best]
		e.queue = append(e.queue[:best], e.queue[best+1:]...)
		e.running++
		close(next.start)
	}
	e.loads = append(e.loads, loadReport{time.Now(), e.running, len(e.queue)})
	if len(e.loads) > maxLoadReports {
		e.loads = e.loads[len(e.loads)/2:]
	}
}

// maxLoadReports bounds the kept history of load reports.
const maxLoadReports = 4096

func (e *Engine) execute(ru *run, b Behaviour) {
	select {
	case <-ru.start:
	case <-ru.ctx.Done():
		e.finish(ru, true)
		return
	}
	defer e.release()
	if e.dies(ru) {
		e.finish(ru, true)
		return
	}
	slow := max(b.Slow, 1)
	e.mu.Lock()
	uncached := e.cache.touch(ru.model, ru.prompt)
	e.mu.Unlock()
	if !loop.Sleep(ru.ctx, time.Duration(slow*float64(uncached/4)*float64(e.cfg.Prefill))) {
		e.finish(ru, true)
		return
	}
	if chance(ru.id, "error") < b.ErrorRate {
		e.finish(ru, true)
		return
	}
	word := "tok"
	ru.confidence = confidentAnswer + (1-confidentAnswer)*chance(ru.id, "confidence")
	if chance(ru.id, "wrong") < b.WrongRate {
		word = WrongMark
		ru.confidence *= chance(ru.id, "confidence")
	}
	for i := range ru.want {
		if i > 0 && !loop.Sleep(ru.ctx, time.Duration(slow*float64(e.cfg.PerToken))) {
			e.finish(ru, true)
			return
		}
		e.emit(ru, fmt.Sprintf("%s%d ", word, i))
	}
	e.finish(ru, false)
}

// confidentAnswer is the least confidence of a good answer.
const confidentAnswer = 0.6

func (e *Engine) release() {
	e.mu.Lock()
	e.running--
	e.schedule()
	e.mu.Unlock()
}

// chance maps a run and a purpose to a fixed number in [0, 1).
func chance(id, purpose string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(purpose + id))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}

func (e *Engine) emit(ru *run, token string) {
	e.mu.Lock()
	ru.tokens = append(ru.tokens, token)
	close(ru.changed)
	ru.changed = make(chan struct{})
	e.mu.Unlock()
}

func (e *Engine) finish(ru *run, failed bool) {
	e.mu.Lock()
	ru.done, ru.failed = true, failed
	close(ru.changed)
	ru.changed = make(chan struct{})
	e.mu.Unlock()
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	ru := e.runs[r.PathValue("id")]
	e.mu.Unlock()
	if ru == nil {
		http.Error(w, "no such run", http.StatusNotFound)
		return
	}
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	e.stream(w, r, ru, from)
}

func (e *Engine) drop(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ru := e.runs[r.PathValue("id")]
	if ru != nil && !ru.done {
		e.canceled++
		ru.cancel()
		for i, q := range e.queue {
			if q == ru {
				e.queue = append(e.queue[:i], e.queue[i+1:]...)
				break
			}
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

// stream sends the tokens after an event id and keeps sending until the end.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, ru *run, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	rc := http.NewResponseController(w)
	_ = rc.Flush()
	e.mu.Lock()
	hangs := e.silent && from == 0
	e.mu.Unlock()
	for {
		e.mu.Lock()
		tokens, done, failed, changed := ru.tokens, ru.done, ru.failed, ru.changed
		e.mu.Unlock()
		if hangs && len(tokens) > silentAfter {
			<-r.Context().Done()
			return
		}
		for ; from < len(tokens); from++ {
			writeEvent(w, from+1, map[string]any{"run": ru.id, "choices": []any{map[string]any{"index": 0, "delta": map[string]string{"content": tokens[from]}}}})
		}
		if done {
			e.writeEnd(w, ru, from, failed)
			_ = rc.Flush()
			return
		}
		_ = rc.Flush()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// silentAfter is how many tokens a connection carries before it goes silent.
const silentAfter = 2

func (e *Engine) writeEnd(w http.ResponseWriter, ru *run, from int, failed bool) {
	if failed {
		writeEvent(w, from+1, map[string]any{"run": ru.id, "error": map[string]string{"message": "run failed"}})
		return
	}
	usage := map[string]any{"prompt_tokens": (len(ru.prompt) + 3) / 4, "completion_tokens": len(ru.tokens), "confidence": ru.confidence}
	writeEvent(w, from+1, map[string]any{"run": ru.id, "choices": []any{map[string]any{"index": 0, "delta": map[string]string{}, "finish_reason": "stop"}}, "usage": usage})
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func writeEvent(w http.ResponseWriter, id int, v any) {
	data, _ := json.Marshal(v)
	fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, data)
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var shown loadReport
	cut := time.Now().Add(-e.cfg.Lag)
	for _, l := range e.loads {
		if l.at.After(cut) {
			break
		}
		shown = l
	}
	versions := make([]string, 0, len(e.versions))
	for v := range e.versions {
		versions = append(versions, v)
	}
	writeJSON(w, http.StatusOK, map[string]any{"running": shown.running, "waiting": shown.waiting, "versions": versions, "fence": e.fence})
}

func (e *Engine) cacheEvents(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, e.cache.takeEvents())
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Fence   uint64 `json:"fence"`
		Action  string `json:"action"`
		Version string `json:"version"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFencing && in.Fence < e.fence {
		http.Error(w, "old fencing number", http.StatusPreconditionFailed)
		return
	}
	e.fence = max(e.fence, in.Fence)
	switch in.Action {
	case "load":
		if _, held := e.versions[in.Version]; !held {
			e.versions[in.Version] = Behaviour{}
		}
	case "unload":
		delete(e.versions, in.Version)
	default:
		http.Error(w, "unknown action", http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
