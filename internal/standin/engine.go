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

// Behaviour configures the faults of a model version on an engine.
type Behaviour struct {
	// ErrorRate is the fraction of runs that fail, 0 to 1.
	ErrorRate float64
	// BadAnswerRate is the fraction of answers that contain BadAnswerMarker, 0 to 1.
	BadAnswerRate float64
	// SlowFactor multiplies the service time. Values below 1 count as 1.
	SlowFactor float64
}

// EngineConfig configures the capacity and service times of an engine.
type EngineConfig struct {
	Slots int
	// PrefillPerToken is the prefill time per uncached prompt token.
	PrefillPerToken time.Duration
	// DecodePerToken is the time between two tokens of an answer.
	DecodePerToken time.Duration
	// CompletionTokens is the length of an answer unless max_tokens is lower.
	CompletionTokens int
	// ChecksFencing enables the rejection of orders with an outdated fencing token.
	ChecksFencing bool
	// LoadReportLag is the age of the reported load.
	LoadReportLag time.Duration
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
}

// Engine is a fake model engine with continuous batching, priorities, a prefix cache,
// resumable streams, delayed load reports, lossy cache events and fenced orders.
type Engine struct {
	cfg EngineConfig

	mu           sync.Mutex
	versions     map[string]Behaviour
	runs         map[string]*run
	queue        []*run
	running      int
	cache        *blockCache
	fence        uint64
	loadReports  []loadReport
	stalled      bool
	startedRuns  int
	canceledRuns int
	// onCrash is called when a run crashes the engine.
	onCrash func()
	// statedLimit is the stated number of requests per second; zero states none.
	statedLimit int
}

// CrashMarker in a request crashes the fake server that starts to run it.
const CrashMarker = "deadly"

// OnCrash sets the function that is called when a run starts whose prompt contains
// CrashMarker. The run then fails.
func (e *Engine) OnCrash(onCrash func()) { e.mu.Lock(); e.onCrash = onCrash; e.mu.Unlock() }

// crashIfMarked crashes the engine if the prompt contains CrashMarker, and reports whether it
// did.
func (e *Engine) crashIfMarked(ru *run) bool {
	e.mu.Lock()
	onCrash := e.onCrash
	e.mu.Unlock()
	if onCrash == nil || !strings.Contains(ru.prompt, CrashMarker) {
		return false
	}
	onCrash()
	return true
}

type loadReport struct {
	at               time.Time
	running, waiting int
}

type run struct {
	id, model    string
	priority     int
	prompt       string
	targetTokens int
	tokens       []string
	done         bool
	failed       bool
	scheduled    chan struct{}
	updated      chan struct{}
	cancel       context.CancelFunc
	ctx          context.Context
	// confidence is the mean token probability reported with the usage.
	confidence float64
}

// NewEngine returns an engine with the given versions loaded, named "model@version".
func NewEngine(cfg EngineConfig, versions ...string) *Engine {
	e := &Engine{cfg: cfg, versions: map[string]Behaviour{}, runs: map[string]*run{}, cache: newBlockCache(cfg.CacheBlocks)}
	for _, v := range versions {
		e.versions[v] = Behaviour{}
	}
	return e
}

// SetBehaviour loads a version, if necessary, and sets its behaviour.
func (e *Engine) SetBehaviour(version string, b Behaviour) {
	e.mu.Lock()
	e.versions[version] = b
	e.mu.Unlock()
}

// SetStalled makes streams stall after a few tokens, unless they are resumed after an event.
func (e *Engine) SetStalled(stalled bool) { e.mu.Lock(); e.stalled = stalled; e.mu.Unlock() }

// HasVersion reports whether a version is loaded.
func (e *Engine) HasVersion(version string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.versions[version]
	return ok
}

// StartedRuns returns the number of accepted runs.
func (e *Engine) StartedRuns() int { e.mu.Lock(); defer e.mu.Unlock(); return e.startedRuns }

// CanceledRuns returns the number of runs cancelled by a request.
func (e *Engine) CanceledRuns() int { e.mu.Lock(); defer e.mu.Unlock(); return e.canceledRuns }

// RunVersions returns the "model@version" of all accepted runs by run ID.
func (e *Engine) RunVersions() map[string]string {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]string, len(e.runs))
	for id, r := range e.runs {
		out[id] = r.model
	}
	return out
}

// Answers returns the answers of all successful runs by run ID.
func (e *Engine) Answers() map[string]string {
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
	mux.HandleFunc("POST /v1/chat/completions", e.handleCompletion)
	mux.HandleFunc("GET /v1/runs/{id}/events", e.handleResume)
	mux.HandleFunc("DELETE /v1/runs/{id}", e.handleCancel)
	mux.HandleFunc("GET /load", e.handleLoad)
	mux.HandleFunc("GET /cache/events", e.handleCacheEvents)
	mux.HandleFunc("POST /orders", e.handleOrder)
	mux.ServeHTTP(w, r)
}

type completionRequest struct {
	Model     string `json:"model"`
	MaxTokens int    `json:"max_tokens"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

// SetStatedLimit makes responses state a number of requests per second; zero states none.
func (e *Engine) SetStatedLimit(perSecond int) { e.mu.Lock(); e.statedLimit = perSecond; e.mu.Unlock() }

// writeStatedLimit adds the stated limit to a response.
func (e *Engine) writeStatedLimit(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.statedLimit > 0 {
		w.Header().Set("RateLimit-Policy", fmt.Sprintf(`"engine";q=%d;w=1`, e.statedLimit))
	}
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	e.writeStatedLimit(w)
	var in completionRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		rejectNotStarted(w, http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	id := r.Header.Get("X-Run-Id")
	ru := e.runs[id]
	if ru == nil {
		b, loaded := e.versions[in.Model]
		if !loaded {
			e.mu.Unlock()
			rejectNotStarted(w, http.StatusConflict, "version is not loaded")
			return
		}
		ru = e.enqueue(id, in, r.Header.Get("X-Priority"), b)
	}
	e.mu.Unlock()
	e.streamRun(w, r, ru, 0)
}

// rejectNotStarted responds with an error and a header stating that no run was started.
func rejectNotStarted(w http.ResponseWriter, status int, message string) {
	w.Header().Set("X-Started", "false")
	http.Error(w, message, status)
}

func (e *Engine) enqueue(id string, in completionRequest, priority string, b Behaviour) *run {
	var prompt strings.Builder
	for _, m := range in.Messages {
		prompt.WriteString(m.Content)
	}
	parsedPriority, _ := strconv.Atoi(priority)
	ctx, cancel := context.WithCancel(context.Background())
	ru := &run{id: id, model: in.Model, priority: parsedPriority, prompt: prompt.String(), scheduled: make(chan struct{}), updated: make(chan struct{}), ctx: ctx, cancel: cancel}
	ru.targetTokens = e.cfg.CompletionTokens
	if in.MaxTokens > 0 {
		ru.targetTokens = min(ru.targetTokens, in.MaxTokens)
	}
	e.runs[id] = ru
	e.startedRuns++
	e.queue = append(e.queue, ru)
	e.schedule()
	go e.execute(ru, b)
	return ru
}

// schedule starts queued runs while slots are free, those with the lowest priority number
// first and in order of arrival. The caller must hold e.mu.
func (e *Engine) schedule() {
	for e.running < e.cfg.Slots && len(e.queue) > 0 {
		first := 0
		for i, queued := range e.queue {
			if queued.priority < e.queue[first].priority {
				first = i
			}
		}
		next := e.queue[first]
		e.queue = append(e.queue[:first], e.queue[first+1:]...)
		e.running++
		close(next.scheduled)
	}
	e.loadReports = append(e.loadReports, loadReport{time.Now(), e.running, len(e.queue)})
	if len(e.loadReports) > maxLoadReports {
		e.loadReports = e.loadReports[len(e.loadReports)/2:]
	}
}

// maxLoadReports is the maximum number of stored load reports.
const maxLoadReports = 4096

func (e *Engine) execute(ru *run, b Behaviour) {
	select {
	case <-ru.scheduled:
	case <-ru.ctx.Done():
		e.finish(ru, true)
		return
	}
	defer e.releaseSlot()
	if e.crashIfMarked(ru) {
		e.finish(ru, true)
		return
	}
	slowFactor := max(b.SlowFactor, 1)
	e.mu.Lock()
	uncached := e.cache.lookupAndStore(ru.model, ru.prompt)
	e.mu.Unlock()
	if !loop.Sleep(ru.ctx, time.Duration(slowFactor*float64(uncached/4)*float64(e.cfg.PrefillPerToken))) {
		e.finish(ru, true)
		return
	}
	if hashFraction(ru.id, "error") < b.ErrorRate {
		e.finish(ru, true)
		return
	}
	tokenPrefix := "tok"
	ru.confidence = minGoodConfidence + (1-minGoodConfidence)*hashFraction(ru.id, "confidence")
	if hashFraction(ru.id, "wrong") < b.BadAnswerRate {
		tokenPrefix = BadAnswerMarker
		ru.confidence *= hashFraction(ru.id, "confidence")
	}
	for i := range ru.targetTokens {
		if i > 0 && !loop.Sleep(ru.ctx, time.Duration(slowFactor*float64(e.cfg.DecodePerToken))) {
			e.finish(ru, true)
			return
		}
		e.emit(ru, fmt.Sprintf("%s%d ", tokenPrefix, i))
	}
	e.finish(ru, false)
}

// minGoodConfidence is the minimum confidence of an answer without BadAnswerMarker.
const minGoodConfidence = 0.6

func (e *Engine) releaseSlot() {
	e.mu.Lock()
	e.running--
	e.schedule()
	e.mu.Unlock()
}

// hashFraction returns a deterministic pseudo-random number in [0, 1) for a run ID and a
// purpose.
func hashFraction(id, purpose string) float64 {
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
	close(ru.updated)
	ru.updated = make(chan struct{})
	e.mu.Unlock()
}

func (e *Engine) finish(ru *run, failed bool) {
	e.mu.Lock()
	ru.done, ru.failed = true, failed
	close(ru.updated)
	ru.updated = make(chan struct{})
	e.mu.Unlock()
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	ru := e.runs[r.PathValue("id")]
	e.mu.Unlock()
	if ru == nil {
		http.Error(w, "no such run", http.StatusNotFound)
		return
	}
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	e.streamRun(w, r, ru, from)
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ru := e.runs[r.PathValue("id")]
	if ru != nil && !ru.done {
		e.canceledRuns++
		ru.cancel()
		for i, queued := range e.queue {
			if queued == ru {
				e.queue = append(e.queue[:i], e.queue[i+1:]...)
				break
			}
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

// streamRun streams the tokens of a run after the given event ID until the run ends.
func (e *Engine) streamRun(w http.ResponseWriter, r *http.Request, ru *run, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	rc := http.NewResponseController(w)
	_ = rc.Flush()
	e.mu.Lock()
	stalls := e.stalled && from == 0
	e.mu.Unlock()
	for {
		e.mu.Lock()
		tokens, done, failed, changed := ru.tokens, ru.done, ru.failed, ru.updated
		e.mu.Unlock()
		stall := stalls && len(tokens) > tokensBeforeStall
		if stall {
			tokens = tokens[:tokensBeforeStall]
		}
		for ; from < len(tokens); from++ {
			writeEvent(w, from+1, map[string]any{"run": ru.id, "choices": []any{map[string]any{"index": 0, "delta": map[string]string{"content": tokens[from]}}}})
		}
		if done && !stall {
			e.writeEnd(w, ru, from, failed)
			_ = rc.Flush()
			return
		}
		_ = rc.Flush()
		if stall {
			<-r.Context().Done()
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// tokensBeforeStall is the number of tokens after which a stalled stream stops.
const tokensBeforeStall = 2

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

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var latest loadReport
	cutoff := time.Now().Add(-e.cfg.LoadReportLag)
	for _, l := range e.loadReports {
		if l.at.After(cutoff) {
			break
		}
		latest = l
	}
	versions := make([]string, 0, len(e.versions))
	for v := range e.versions {
		versions = append(versions, v)
	}
	writeJSON(w, http.StatusOK, map[string]any{"running": latest.running, "waiting": latest.waiting, "versions": versions, "fence": e.fence})
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, e.cache.drainEvents())
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
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
		if _, loaded := e.versions[in.Version]; !loaded {
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
