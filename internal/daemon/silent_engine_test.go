package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/fleet"
	"github.com/damaskrudder/damaskrudder/internal/loop"
	"github.com/damaskrudder/damaskrudder/internal/membership"
	"github.com/damaskrudder/damaskrudder/internal/request"
	"github.com/damaskrudder/damaskrudder/internal/session"
	"github.com/damaskrudder/damaskrudder/internal/settings"
)

const (
	engineEvents   = 10
	eventInterval  = 100 * time.Millisecond
	shortSilence   = 1200 * time.Millisecond
	completeAnswer = "e1 e2 e3 e4 e5 e6 e7 e8 e9 "
)

// link is how an engine, or the path to it, behaves.
type link string

const (
	sound   link = "sound"
	mute    link = "mute"    // accepts connections and sends nothing
	late    link = "late"    // mute, and then receives new runs after other requests
	hung    link = "hung"    // connections are neither accepted nor refused
	refused link = "refused" // connections are refused
	busy    link = "busy"    // new runs and connections are rejected
	failing link = "failing" // runs fail
)

// enginePool is a pool of engines. The first to get a run of the observed model falls silent.
type enginePool struct {
	mu    sync.Mutex
	first string
	// silence is how it behaves then. Unless it is mute, its open connections are reset.
	silence            link
	offset, silentTime time.Duration
	others             link
	// earlyHead is set if the head of a response comes before the first event.
	earlyHead bool
	// deadline is the maximum time to the first token; zero means the default.
	deadline time.Duration
	from     time.Time
	runs     map[string]*engineRun
	conns    map[string][]net.Conn
	accept   map[string]chan net.Conn
}

type engineRun struct {
	engine string
	start  time.Time
	ended  bool
}

// behavior returns how an engine behaves now.
func (p *enginePool) behavior(engine string) link {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch since := time.Since(p.from); {
	case p.first == "":
		return sound
	case engine != p.first:
		return p.others
	case since >= 0 && since < p.silentTime:
		return p.silence
	}
	return sound
}

func (p *enginePool) dial(ctx context.Context, network, engine string) (net.Conn, error) {
	switch p.behavior(engine) {
	case refused:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	case hung:
		loop.Sleep(ctx, time.Second)
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ETIMEDOUT}
	}
	client, server := net.Pipe()
	p.mu.Lock()
	p.conns[engine] = append(p.conns[engine], server)
	p.mu.Unlock()
	p.accept[engine] <- server
	return client, nil
}

// pause waits while an engine sends nothing.
func (p *enginePool) pause(ctx context.Context, engine string) {
	for b := p.behavior(engine); b == mute || b == hung || b == late; b = p.behavior(engine) {
		if !loop.Sleep(ctx, 10*time.Millisecond) {
			return
		}
	}
}

func (p *enginePool) cutAt(at time.Time, engine string) {
	time.Sleep(time.Until(at))
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns[engine] {
		_ = c.Close()
	}
}

// observe makes the engine of the first run the one that falls silent.
func (p *enginePool) observe(engine string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.first != "" {
		return
	}
	p.first, p.from = engine, time.Now().Add(p.offset)
	if p.silence != mute && p.silence != late {
		go p.cutAt(p.from, engine)
	}
}

func (p *enginePool) receiveLate(engine string) {
	if p.silence == late && engine == p.first {
		time.Sleep(2 * time.Millisecond)
		p.pause(context.Background(), engine)
		time.Sleep(100 * time.Millisecond)
	}
}

func (p *enginePool) serve(engine string, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Run-Id")
	if id == "" {
		id = strings.Split(r.URL.Path, "/")[3]
	}
	var body struct{ Model string }
	if r.Method == http.MethodPost {
		_ = json.NewDecoder(r.Body).Decode(&body)
		if strings.HasPrefix(body.Model, "large") {
			p.observe(engine)
			p.receiveLate(engine)
		}
	}
	if p.behavior(engine) == busy {
		w.Header().Set("X-Started", "false")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.mu.Lock()
	run := p.runs[id+" at "+engine]
	if run == nil && r.Method == http.MethodPost {
		run = &engineRun{engine: engine, start: time.Now()}
		p.runs[id+" at "+engine] = run
	}
	p.mu.Unlock()
	p.pause(r.Context(), engine)
	switch {
	case run == nil:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		p.mu.Lock()
		run.ended = true
		p.mu.Unlock()
	default:
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
		p.stream(r.Context(), w, id, run, last)
	}
}

func (p *enginePool) hasEnded(run *engineRun) bool {
	fails := p.behavior(run.engine) == failing
	p.mu.Lock()
	defer p.mu.Unlock()
	run.ended = run.ended || fails
	return run.ended
}

func (p *enginePool) stream(ctx context.Context, w http.ResponseWriter, id string, run *engineRun, last int) {
	if p.earlyHead && http.NewResponseController(w).Flush() != nil {
		return
	}
	for i := last + 1; i <= engineEvents; i++ {
		if !loop.Sleep(ctx, time.Until(run.start.Add(time.Duration(i)*eventInterval))) {
			return
		}
		p.pause(ctx, run.engine)
		event := fmt.Sprintf(`{"run":%q,"choices":[{"delta":{"content":"e%d "}}]}`, id, i)
		switch {
		case p.hasEnded(run):
			event = fmt.Sprintf(`{"run":%q,"error":{"message":"ended"}}`, id)
		case i == engineEvents:
			event = fmt.Sprintf(`{"run":%q,"choices":[{"finish_reason":"stop"}],"usage":{"prompt_tokens":1,"completion_tokens":9,"confidence":0.1}}`, id)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, event); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

// pipeListener accepts the connections of one engine.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// newDaemonWithEngines returns a daemon, and a function that ends its engines. Model "small" has an
// engine of its own.
func newDaemonWithEngines(p *enginePool, idleTimeout time.Duration, metrics tally.Scope) (d *Daemon, end func()) {
	p.runs, p.conns, p.accept = map[string]*engineRun{}, map[string][]net.Conn{}, map[string]chan net.Conn{}
	var servers []*http.Server
	cfg := fleet.NewConfig()
	cfg.Services["s"] = fleet.Service{Pool: "large"}
	cfg.Workspaces["w"] = fleet.Workspace{Models: []string{"small", "large"}, Services: []string{"s"}, DeadlineMillis: p.deadline.Milliseconds()}
	for model, engines := range map[string]int{"small": 1, "large": 3} {
		pool := fleet.Pool{}
		for i := range engines {
			address := fmt.Sprintf("%s-%d:1", model, i)
			pool.Servers = append(pool.Servers, fleet.Server{ID: address, Address: address, Slots: 4})
			l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
			p.accept[address] = l.conns
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { p.serve(address, w, r) })}
			servers = append(servers, server)
			go func() { _ = server.Serve(l) }()
		}
		cfg.Pools[model] = pool
		cfg.Models[model] = fleet.Model{Stable: "v1", Versions: map[string]fleet.Version{"v1": {Pool: model}}}
	}
	d = New(settings.Settings{ID: "d", SubsetSize: 24, BillingBufferSize: 1, StreamIdleTimeout: settings.Duration(idleTimeout)}, settings.Secrets{},
		Dependencies{Metrics: metrics, Logger: log.New(io.Discard), DialServer: p.dial})
	d.config.active.Store(cfg)
	d.config.loaded, d.config.confirmedAt, d.config.majorityAt = true, time.Now(), time.Now()
	for _, id := range []string{"b", "c"} { // daemons that cannot be reached
		d.members.table.MarkAlive(membership.DaemonInfo{ID: id, PeerAddress: "127.0.0.1:0", Sequence: 1, Serving: true}, time.Now())
	}
	return d, func() {
		for _, s := range servers {
			_ = s.Close()
		}
	}
}

// chatResult is the result of one chat request.
type chatResult struct {
	text string
	err  error
	exec execution
	// runs are the runs of the large model, and live those that nothing waits for.
	runs, live int
	took       time.Duration
	resumes    int64
}

// chatThroughSilence sends a chat request and waits until nothing happens any more.
func chatThroughSilence(p *enginePool, idleTimeout time.Duration, models []string, streamed, keyed bool) (out chatResult) {
	metrics := tally.NewTestScope("", nil)
	d, end := newDaemonWithEngines(p, idleTimeout, metrics)
	defer synctest.Wait()
	defer end()
	req := &ChatRequest{Workspace: "w", Model: models[len(models)-1], Prompt: "p", Body: map[string]json.RawMessage{}}
	if keyed {
		req.IdempotencyKey = "k"
	}
	if streamed {
		req.OnText = func(text string) error { out.text += text; return nil }
	}
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	resp, err := d.completeChat(ctx, "r", req, d.config.current().Workspaces["w"], models, session.Pin{}, &out.exec)
	if out.err = err; err == nil && !streamed {
		out.text = resp.Text
	}
	ended := time.Now()
	out.took = ended.Sub(started)
	out.resumes = metrics.Snapshot().Counters()["resumes+"].Value()
	time.Sleep(3 * time.Second) // cancellations arrive
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, run := range p.runs {
		if !strings.HasPrefix(run.engine, "large") {
			continue
		}
		out.runs++
		if !run.ended && run.start.Add(engineEvents*eventInterval).After(ended) {
			out.live++
		}
	}
	return out
}

// Guards against requests that leave an engine that is silent for a moment although no other can
// take them, and against runs that are repeated although they may not be.
func TestRequestStaysWithSilentEngine(t *testing.T) {
	type kind struct {
		name            string
		models          []string
		streamed, keyed bool
	}
	for _, k := range []kind{
		{"plain", []string{"large"}, false, false}, {"stream", []string{"large"}, true, false},
		{"keyed", []string{"large"}, false, true}, {"keyed stream", []string{"large"}, true, true},
		{"cascade", []string{"small", "large"}, false, false}, {"cascade stream", []string{"small", "large"}, true, false},
	} {
		for at, offset := range map[string]time.Duration{"before the first event": 0, "midway": 350 * time.Millisecond} {
			for _, silentLink := range []link{mute, late, hung, refused, busy} {
				for _, others := range []link{sound, busy, refused, hung, mute, failing} {
					for _, idleTimeout := range []time.Duration{500 * time.Millisecond, 3 * time.Second} {
						name := fmt.Sprintf("%s/%s/%s/others %s/%s", k.name, at, silentLink, others, idleTimeout)
						t.Run(name, func(t *testing.T) {
							synctest.Test(t, func(t *testing.T) {
								p := &enginePool{silence: silentLink, silentTime: shortSilence, offset: offset + time.Millisecond, others: others}
								got := chatThroughSilence(p, idleTimeout, k.models, k.streamed, k.keyed)
								if got.err != nil || got.text != completeAnswer || len(got.exec.steps) != len(k.models) || got.live > 0 || k.keyed && got.runs != 1 {
									t.Errorf("%q, %v, %d steps billed, %d runs, %d left running", got.text, got.err, len(got.exec.steps), got.runs, got.live)
								}
							})
						})
					}
				}
			}
		}
	}
}

// Guards against a response that ends because its connection is lost after the deadline for the first
// token.
func TestBegunResponseIsResumedAfterDeadline(t *testing.T) {
	for _, streamed := range []bool{false, true} {
		for _, silentLink := range []link{mute, hung, refused, busy} {
			t.Run(fmt.Sprintf("streamed %t/%s", streamed, silentLink), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					p := &enginePool{silence: silentLink, silentTime: shortSilence, offset: 350 * time.Millisecond, others: refused, deadline: 300 * time.Millisecond}
					got := chatThroughSilence(p, 500*time.Millisecond, []string{"large"}, streamed, false)
					if got.err != nil || got.text != completeAnswer {
						t.Errorf("%q, %v", got.text, got.err)
					}
				})
			})
		}
	}
}

// Guards against requests that are kept without end, or resumed without pause, on engines that do not
// go on.
func TestRequestLeavesEnginesThatDoNotGoOn(t *testing.T) {
	for _, offset := range []time.Duration{0, 350 * time.Millisecond} {
		for _, silentLink := range []link{mute, hung, refused, busy} {
			for _, others := range []link{busy, refused, hung, mute, failing} {
				t.Run(fmt.Sprintf("after %s/%s/others %s", offset, silentLink, others), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						p := &enginePool{silence: silentLink, silentTime: time.Hour, offset: offset + time.Millisecond, others: others}
						got := chatThroughSilence(p, 500*time.Millisecond, []string{"large"}, false, false)
						if got.err == nil || got.took > 2*defaultDeadline || got.resumes > request.MaxAttempts*(2*request.MaxResumes+1) {
							t.Errorf("%v after %s and %d resumes", got.err, got.took, got.resumes)
						}
					})
				})
			}
		}
	}
}

// Guards against cascades that drop the smaller model's answer although the larger model cannot
// answer, and against an answer made of both.
func TestCascadeKeepsAnswerUntilLargerModelAnswers(t *testing.T) {
	for _, streamed := range []bool{false, true} {
		for _, offset := range []time.Duration{0, 350 * time.Millisecond} {
			for _, silentLink := range []link{mute, hung, refused, busy} {
				for _, others := range []link{busy, refused, hung, mute, failing} {
					t.Run(fmt.Sprintf("streamed %t/after %s/%s/others %s", streamed, offset, silentLink, others), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							p := &enginePool{silence: silentLink, silentTime: time.Hour, offset: offset + time.Millisecond, others: others}
							got := chatThroughSilence(p, 500*time.Millisecond, []string{"small", "large"}, streamed, false)
							if streamed && offset > 0 {
								if got.err == nil || got.text != "e1 e2 e3 " {
									t.Errorf("after text of the larger model: %q, %v", got.text, got.err)
								}
								return
							}
							if got.err != nil || got.text != completeAnswer || got.exec.model != "small" || !got.exec.complete || len(got.exec.steps) != 1 {
								t.Errorf("%q, %v, %+v", got.text, got.err, got.exec)
							}
						})
					})
				}
			}
		}
	}
}

// Guards against engines that count as silent because callers leave before the first event.
func TestCallerThatLeavesTellsNothingOfEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &enginePool{silence: mute, others: sound, earlyHead: true}
		d, end := newDaemonWithEngines(p, 3*time.Second, tally.NoopScope)
		defer synctest.Wait()
		defer end()
		for i := range 10 {
			ctx, cancel := context.WithTimeout(context.Background(), eventInterval/2)
			req := &ChatRequest{Workspace: "w", Model: "large", Prompt: "p", Body: map[string]json.RawMessage{}}
			_, err := d.completeChat(ctx, fmt.Sprint("r", i), req, d.config.current().Workspaces["w"], []string{"large"}, session.Pin{}, &execution{})
			cancel()
			if !fault.Is(err, fault.CallerLeft) {
				t.Errorf("got %v", err)
			}
		}
		for _, s := range d.Servers() {
			if s.Suspect {
				t.Errorf("%s is suspect", s.ID)
			}
		}
		time.Sleep(3 * time.Second) // cancellations arrive
	})
}

// Guards against service calls that leave a server that is silent for a moment, and against calls that
// may not be repeated and run twice.
func TestCallStaysWithSilentServer(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		for _, offset := range []time.Duration{0, 350 * time.Millisecond} {
			for _, silentLink := range []link{mute, late, hung, refused} {
				for _, others := range []link{sound, refused, hung, mute} {
					t.Run(fmt.Sprintf("keyed %t/after %s/%s/others %s", keyed, offset, silentLink, others), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							p := &enginePool{silence: silentLink, silentTime: shortSilence, offset: offset + time.Millisecond, others: others}
							d, end := newDaemonWithEngines(p, time.Second, tally.NoopScope)
							defer synctest.Wait()
							defer end()
							req := ServiceRequest{Workspace: "w", Service: "s", Body: []byte(`{"model":"large"}`)}
							if keyed {
								req.IdempotencyKey = "k"
							}
							cfg := d.config.current()
							resp, err := d.dispatchCall(context.Background(), "r", req, cfg.Services["s"], cfg.Workspaces["w"])
							stays := silentLink == mute || silentLink == late
							if served := err == nil && strings.Contains(string(resp.Body), "stop"); stays != served && (keyed || others != sound) {
								t.Errorf("served %t, %v", served, err)
							}
							if err != nil && fault.FromError(err).ExecutionState() == fault.NotRun {
								t.Errorf("not run: %v", err)
							}
							time.Sleep(3 * time.Second) // checks of servers end
							p.mu.Lock()
							defer p.mu.Unlock()
							if len(p.runs) != 1 && (keyed || stays) {
								t.Errorf("%d runs", len(p.runs))
							}
						})
					})
				}
			}
		}
	}
}
