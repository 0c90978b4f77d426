package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/fleet"
	"github.com/damaskrudder/damaskrudder/internal/platform"
	"github.com/damaskrudder/damaskrudder/internal/quarantine"
	"github.com/damaskrudder/damaskrudder/internal/request"
	"github.com/damaskrudder/damaskrudder/internal/session"
)

const (
	// defaultDeadline bounds the wait for the first token of workspaces that
	// state none.
	defaultDeadline = 10 * time.Second
	// defaultAnswerTokens is reserved of the token limit when max_tokens is absent.
	defaultAnswerTokens = 512
	// bytesPerToken estimates the tokens of a text.
	bytesPerToken = 4
	// defaultClass is the class of requests that name none.
	defaultClass = "default"
)

// ChatRequest is a checked chat request.
type ChatRequest struct {
	Workspace string
	// Model names a model, "model@version" or a cascade.
	Model string
	// Body is the request as the caller sent it.
	Body map[string]json.RawMessage
	// RawBody is the body's bytes, for comparing repeats of an idempotency key.
	RawBody []byte
	// Prompt is the text of all messages.
	Prompt    string
	MaxTokens int64
	// Session is a session token of ours, a name of the caller's, or empty.
	Session string
	// Class groups requests whose difficulty is alike; default "default".
	Class string
	// IdempotencyKey is the Idempotency-Key; a request that has one runs at most once.
	IdempotencyKey string
	// OnText gets the answer piece by piece. It is nil for plain answers.
	OnText func(text string) error
	// OnStart is called once before the first piece with what is known by then:
	// the model, the version and the session token.
	OnStart func(a *ChatResponse)
}

// ChatResponse is a complete answer.
type ChatResponse struct {
	RequestID    string `json:"request_id"`
	Model        string `json:"model"`
	Version      string `json:"version"`
	Text         string `json:"text"`
	FinishReason string `json:"finish"`
	// Session is the token that keeps the session on its version.
	Session          string `json:"session"`
	PromptTokens     int64  `json:"prompt_tokens"`
	CompletionTokens int64  `json:"answer_tokens"`
	// Replayed says that the answer is that of an earlier request with the same key.
	Replayed bool `json:"-"`
}

func newID(prefix string) string { return prefix + ulid.Make().String() }

// NewRequestID returns the id under which a request is answered and billed.
func NewRequestID() string { return newID("req_") }

// Chat answers a chat request. Its error is always a *fault.Error that says
// truthfully whether the request ran.
func (d *Daemon) Chat(ctx context.Context, id string, q ChatRequest) (*ChatResponse, error) {
	done, err := d.enter()
	if err != nil {
		return nil, err
	}
	defer done()
	began := time.Now()
	a, st, err := d.chat(ctx, id, &q)
	d.account(q.Workspace, st, began, err)
	return a, err
}

// enter admits a request to a running daemon that may serve.
func (d *Daemon) enter() (func(), error) {
	select {
	case <-d.stopping:
		return nil, fault.New(fault.ShuttingDown, "the daemon is stopping")
	default:
	}
	if !d.Ready() {
		return nil, fault.New(fault.ConfigurationStale, "neither the log nor most daemons were heard lately")
	}
	d.running.Add(1)
	d.metrics.requests.Inc(1)
	d.metrics.inFlight.Update(float64(d.inFlight.Add(1)))
	return func() {
		d.metrics.inFlight.Update(float64(d.inFlight.Add(-1)))
		d.running.Done()
	}, nil
}

func (d *Daemon) chat(ctx context.Context, id string, q *ChatRequest) (*ChatResponse, *served, error) {
	c := d.config.current()
	w, ok := c.Workspaces[q.Workspace]
	if !ok {
		return nil, nil, fault.New(fault.Unauthorized, "the workspace does not exist")
	}
	models, err := entitled(c, w, q.Model)
	if err != nil {
		return nil, nil, err
	}
	pin, err := d.pin(q.Workspace, q.Session)
	if err != nil {
		return nil, nil, err
	}
	st := &served{model: models[0]}
	res, err := d.limits.reserve(ctx, q.Workspace, w, reserveTokens(q))
	if err != nil {
		return nil, st, err
	}
	defer func() { res.settle(st.tokens()) }()
	if err := d.usage.reserve(); err != nil {
		return nil, st, err
	}
	a, err := d.once(ctx, id, q, func() (*ChatResponse, error) {
		return d.answer(ctx, id, q, w, models, pin, st)
	})
	if !d.bill(ctx, id, q.Workspace, st) && err == nil {
		return nil, st, unprotected()
	}
	return a, st, err
}

// once runs f at most once for a request that has an idempotency key.
func (d *Daemon) once(ctx context.Context, id string, q *ChatRequest, f func() (*ChatResponse, error)) (*ChatResponse, error) {
	if q.IdempotencyKey == "" {
		return f()
	}
	t, replay, err := d.claims.acquire(ctx, q.Workspace, q.IdempotencyKey, q.RawBody, id)
	if err != nil {
		return nil, err
	}
	if replay != nil {
		return replayed(replay, q)
	}
	a, err := f()
	if err != nil {
		t.finish(fault.FromError(err).ExecutionState(), 0, nil)
		return nil, err
	}
	data, encodeErr := json.Marshal(a)
	if encodeErr == nil {
		t.finish(fault.Ran, 200, data)
	}
	return a, nil
}

func replayed(v *request.ClaimResult, q *ChatRequest) (*ChatResponse, error) {
	var a ChatResponse
	if json.Unmarshal(v.Response, &a) != nil {
		return nil, fault.New(fault.AnswerUnavailable, "the stored answer cannot be read").WithExecution(fault.Ran)
	}
	a.Replayed = true
	if q.OnText != nil {
		if err := q.OnText(a.Text); err != nil {
			return nil, fault.New(fault.CallerLeft, "the caller left").WithExecution(fault.Ran)
		}
	}
	return &a, nil
}

// answer asks the models in turn: one model, or the steps of a cascade.
func (d *Daemon) answer(ctx context.Context, id string, q *ChatRequest, w fleet.Workspace, models []string, pin session.Pin, st *served) (*ChatResponse, error) {
	began := time.Now()
	deadline := defaultDeadline
	if w.DeadlineMillis > 0 {
		deadline = time.Duration(w.DeadlineMillis) * time.Millisecond
	}
	class := q.Class
	if class == "" {
		class = defaultClass
	}
	key := q.Workspace + "/" + q.Model
	first := 0
	if len(models) > 1 {
		c := d.config.current()
		if !d.cascades.cheapFirst(key, class, models[0]+"@"+c.Models[models[0]].Stable) {
			first = len(models) - 1
		}
	}
	for i := first; ; i++ {
		last := i == len(models)-1
		s := &step{requestID: id, workspace: q.Workspace, priority: w.Priority, prompt: q.Prompt, body: q.Body, deadline: began.Add(deadline)}
		s.fingerprint = quarantine.FingerprintOf(q.Workspace, "", "chat", q.Model, q.RawBody)
		if i > 0 {
			s.requestID = id + "-" + models[i]
		}
		s.life = &request.RetryState{Repeatable: q.IdempotencyKey == "", Deadline: s.deadline}
		if last {
			s.deliver = d.deliverer(q, s, pin)
		}
		r, err := d.ask(ctx, s, models[i], w, pin, st, began)
		if err != nil {
			return nil, err
		}
		confidence := 1.0
		if r.usage.Confidence != nil {
			confidence = *r.usage.Confidence
		}
		if len(models) > 1 {
			d.offerSample(id, q, key, class, s, r, confidence, i > 0)
		} else {
			d.offerSample(id, q, "", class, s, r, confidence, false)
		}
		if !last && !d.cascades.accepts(key, class, confidence) {
			d.metrics.escalations.Inc(1)
			continue
		}
		return d.finish(id, q, s, r, pin, last)
	}
}

// deliverer passes pieces on to the caller, after Begin.
func (d *Daemon) deliverer(q *ChatRequest, s *step, pin session.Pin) func(string) error {
	if q.OnText == nil {
		return nil
	}
	begun := false
	return func(text string) error {
		if !begun && q.OnStart != nil {
			q.OnStart(d.heading(s, pin))
		}
		begun = true
		return q.OnText(text)
	}
}

// heading is what is known of an answer before its first piece.
func (d *Daemon) heading(s *step, pin session.Pin) *ChatResponse {
	pin = pin.WithVersion(s.model, s.version)
	return &ChatResponse{Model: s.model, Version: s.version, Session: pin.Token(d.ring.Load())}
}

// ask runs one step and books what it cost.
func (d *Daemon) ask(ctx context.Context, s *step, name string, w fleet.Workspace, pin session.Pin, st *served, began time.Time) (*stepResult, error) {
	c := d.config.current()
	var err error
	if s.model, s.version, err = d.version(c, w, name, pin); err != nil {
		return nil, err
	}
	if ro, ok := c.RolloutFor(s.model); ok && pin.VersionOf(s.model) == "" && s.version == ro.TargetVersion {
		s.fallback, _ = c.ResolveSuccessor(w, s.model, c.Models[s.model].Stable)
	}
	offset := time.Since(began)
	r, err := d.run(ctx, s)
	st.model, st.version = s.model, s.version
	v, _ := c.Version(s.model, s.version)
	b := billedStep{model: s.model, version: s.version, microsPerKiloTokens: v.MicrosPerKiloToken}
	if r.firstToken > 0 {
		st.firstToken = offset + r.firstToken
	}
	switch {
	case err == nil:
		b.prompt, b.answer = r.usage.PromptTokens, r.usage.AnswerTokens
		st.domain, st.complete = r.choice.candidate.FailureDomain, true
		st.steps = append(st.steps, b)
	case r.text.Len() > 0:
		st.complete = false
		b.prompt = int64(len(s.prompt) / bytesPerToken)
		b.answer = int64(max(1, r.text.Len()/bytesPerToken))
		st.steps = append(st.steps, b)
	}
	return r, err
}

func (d *Daemon) offerSample(id string, q *ChatRequest, key, class string, s *step, r *stepResult, confidence float64, dear bool) {
	d.cascades.sample(sampleInfo{key, class, confidence, dear}, platform.Sample{
		RequestID: id, Daemon: d.raterID(), Workspace: q.Workspace, Class: class,
		Model: s.model, Version: s.version, Server: r.choice.candidate.ID, Answer: r.text.String(),
	})
}

// finish hands over a buffered answer and pins the session.
func (d *Daemon) finish(id string, q *ChatRequest, s *step, r *stepResult, pin session.Pin, streamed bool) (*ChatResponse, error) {
	a := d.heading(s, pin)
	a.RequestID, a.Text, a.FinishReason = id, r.text.String(), r.finish
	a.PromptTokens, a.CompletionTokens = r.usage.PromptTokens, r.usage.AnswerTokens
	if streamed || q.OnText == nil {
		return a, nil
	}
	if err := d.deliverer(q, s, pin)(a.Text); err != nil {
		return nil, fault.New(fault.CallerLeft, "the caller left").WithExecution(fault.Ran)
	}
	return a, nil
}
