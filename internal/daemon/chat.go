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
	// defaultDeadline is the request deadline of workspaces that configure none.
	defaultDeadline = 10 * time.Second
	// defaultCompletionTokens is reserved from the token limit when max_tokens is absent.
	defaultCompletionTokens = 512
	// bytesPerToken is used to estimate the token count of a text.
	bytesPerToken = 4
	// defaultClass is the class of requests without one.
	defaultClass = "default"
)

// ChatRequest is a validated chat request.
type ChatRequest struct {
	Workspace string
	// Model is a model, "model@version" or a cascade.
	Model string
	// Body is the decoded request body, passed on to the server.
	Body map[string]json.RawMessage
	// RawBody is the encoded request body. It is compared when an idempotency key
	// is repeated.
	RawBody []byte
	// Prompt is the concatenated text of all messages.
	Prompt    string
	MaxTokens int64
	// Session is a session token issued by a daemon, a name chosen by the caller,
	// or empty.
	Session string
	// Class groups requests of similar difficulty; empty means "default".
	Class string
	// IdempotencyKey is the Idempotency-Key header. A request that has one runs at
	// most once.
	IdempotencyKey string
	// OnText receives the response text in pieces. It is nil for responses that
	// are not streamed.
	OnText func(text string) error
	// OnStart is called once before the first OnText, with the model, the version
	// and the session token set.
	OnStart func(resp *ChatResponse)
}

// ChatResponse is the response to a chat request.
type ChatResponse struct {
	RequestID    string `json:"request_id"`
	Model        string `json:"model"`
	Version      string `json:"version"`
	Text         string `json:"text"`
	FinishReason string `json:"finish"`
	// Session is the token that pins the session to its version.
	Session          string `json:"session"`
	PromptTokens     int64  `json:"prompt_tokens"`
	CompletionTokens int64  `json:"answer_tokens"`
	// Replayed is set when the response is that of an earlier request with the
	// same idempotency key.
	Replayed bool `json:"-"`
}

func newID(prefix string) string { return prefix + ulid.Make().String() }

// NewRequestID returns a unique id for a request, used in its response and its
// usage record.
func NewRequestID() string { return newID("req_") }

// Chat serves a chat request. Errors are of type *fault.Error and carry the
// execution state of the request.
func (d *Daemon) Chat(ctx context.Context, id string, req ChatRequest) (*ChatResponse, error) {
	done, err := d.admit()
	if err != nil {
		return nil, err
	}
	defer done()
	start := time.Now()
	couldDeny := d.config.canDeny()
	resp, exec, err := d.serveChat(ctx, id, &req)
	err = d.withholdDenial(couldDeny, err)
	d.recordOutcome(req.Workspace, exec, start, err)
	return resp, err
}

// admit registers a request, or refuses it when the daemon is stopping or not
// ready. The returned function must be called when the request ends.
func (d *Daemon) admit() (func(), error) {
	if !d.admission.enter() {
		return nil, stoppingError()
	}
	if !d.Ready() {
		d.admission.leave()
		return nil, fault.New(fault.ConfigurationStale, "neither the log nor most daemons were heard lately")
	}
	d.metrics.requests.Inc(1)
	d.metrics.inFlight.Update(float64(d.inFlight.Add(1)))
	return func() {
		d.metrics.inFlight.Update(float64(d.inFlight.Add(-1)))
		d.admission.leave()
	}, nil
}

func (d *Daemon) serveChat(ctx context.Context, id string, req *ChatRequest) (*ChatResponse, *execution, error) {
	cfg := d.config.current()
	w, ok := cfg.Workspaces[req.Workspace]
	if !ok {
		return nil, nil, fault.New(fault.Unauthorized, "the workspace does not exist")
	}
	models, err := resolveModels(cfg, w, req.Model)
	if err != nil {
		return nil, nil, err
	}
	pin, err := d.resolvePin(req.Workspace, req.Session)
	if err != nil {
		return nil, nil, err
	}
	exec := &execution{model: models[0]}
	reserved, err := d.limits.reserve(ctx, req.Workspace, w, estimateTokens(req))
	if err != nil {
		return nil, exec, err
	}
	defer func() { reserved.settle(exec.tokens()) }()
	if err := d.usage.reserve(); err != nil {
		return nil, exec, err
	}
	resp, err := d.runOnce(ctx, id, req, func() (*ChatResponse, error) {
		return recoverPanic(d, id, func() (*ChatResponse, error) { return d.completeChat(ctx, id, req, w, models, pin, exec) })
	})
	if !d.billRequest(ctx, id, req.Workspace, exec) && err == nil {
		return nil, exec, unprotectedError()
	}
	return resp, exec, err
}

// runOnce calls f, at most once per idempotency key if the request has one. A
// repeat gets the stored response.
func (d *Daemon) runOnce(ctx context.Context, id string, req *ChatRequest, f func() (*ChatResponse, error)) (*ChatResponse, error) {
	if req.IdempotencyKey == "" {
		return f()
	}
	granted, replay, err := d.claims.acquire(ctx, req.Workspace, req.IdempotencyKey, req.RawBody, id)
	if err != nil {
		return nil, err
	}
	if replay != nil {
		return replayResponse(replay, req)
	}
	resp, err := f()
	if err != nil {
		granted.finish(fault.FromError(err).ExecutionState(), 0, nil)
		return nil, err
	}
	data, encodeErr := json.Marshal(resp)
	if encodeErr == nil {
		granted.finish(fault.Ran, 200, data)
	}
	return resp, nil
}

func replayResponse(stored *request.ClaimResult, req *ChatRequest) (*ChatResponse, error) {
	var resp ChatResponse
	if json.Unmarshal(stored.Response, &resp) != nil {
		return nil, fault.New(fault.AnswerUnavailable, "the stored answer cannot be read").WithExecution(fault.Ran)
	}
	resp.Replayed = true
	if req.OnText != nil {
		if err := req.OnText(resp.Text); err != nil {
			return nil, fault.New(fault.CallerLeft, "the caller left").WithExecution(fault.Ran)
		}
	}
	return &resp, nil
}

// keptAnswer is a smaller model's answer, which is kept until a larger model has answered.
type keptAnswer struct {
	step *step
	res  *stepResult
	// exec is the execution record up to the answer.
	exec execution
}

// completeChat runs the request on a single model or on the steps of a cascade,
// until a response is accepted.
func (d *Daemon) completeChat(ctx context.Context, id string, req *ChatRequest, w fleet.Workspace, models []string, pin session.Pin, exec *execution) (*ChatResponse, error) {
	start := time.Now()
	deadline := firstTokenTimeout(w)
	class := req.Class
	if class == "" {
		class = defaultClass
	}
	cascadeKey := req.Workspace + "/" + req.Model
	class = d.cascades.boundedClass(cascadeKey, class)
	first := 0
	var kept *keptAnswer
	if len(models) > 1 {
		cfg := d.config.current()
		if !d.cascades.useCheapFirst(cascadeKey, class, models[0]+"@"+cfg.Models[models[0]].Stable) {
			first = len(models) - 1
		}
	}
	for i := first; ; i++ {
		last := i == len(models)-1
		s := &step{requestID: id, workspace: req.Workspace, priority: w.Priority, prompt: req.Prompt, body: req.Body, deadline: start.Add(deadline)}
		s.identity = quarantine.Identity{Request: quarantine.FingerprintOf(req.Workspace, "", "chat", req.Model, req.RawBody), Parts: quarantine.PartFingerprints(models[i], promptParts(req.Body))}
		if i > 0 {
			s.requestID = id + "-" + models[i]
		}
		s.retryState = &request.RetryState{Repeatable: req.IdempotencyKey == "", Deadline: s.deadline}
		if last {
			s.onText = d.textHandler(req, s, pin)
		}
		res, err := d.completeStep(ctx, s, models[i], w, pin, exec, start)
		if err != nil && kept != nil && ctx.Err() == nil && !s.retryState.Delivered() {
			d.log.Info("low-confidence answer kept", "request", id, "model", kept.step.model, "larger", s.model, "err", err)
			*exec = kept.exec // the caller gets nothing of the larger model's
			return d.buildResponse(id, req, kept.step, kept.res, pin, false)
		}
		if err != nil {
			return nil, err
		}
		confidence := 1.0
		if res.usage.Confidence != nil {
			confidence = *res.usage.Confidence
		}
		if len(models) > 1 {
			d.sampleResponse(id, req, cascadeKey, class, s, res, confidence, i > 0)
		} else {
			d.sampleResponse(id, req, "", class, s, res, confidence, false)
		}
		if !last && !d.cascades.acceptCheap(cascadeKey, class, confidence) {
			d.metrics.escalations.Inc(1)
			kept = &keptAnswer{s, res, *exec}
			continue
		}
		return d.buildResponse(id, req, s, res, pin, last)
	}
}

// textHandler returns a function that calls OnStart once and then OnText. It
// returns nil for responses that are not streamed.
func (d *Daemon) textHandler(req *ChatRequest, s *step, pin session.Pin) func(string) error {
	if req.OnText == nil {
		return nil
	}
	started := false
	return func(text string) error {
		if !started && req.OnStart != nil {
			req.OnStart(d.responseHeader(s, pin))
		}
		started = true
		return req.OnText(text)
	}
}

// responseHeader returns the part of the response that is known before its text.
func (d *Daemon) responseHeader(s *step, pin session.Pin) *ChatResponse {
	pin = pin.WithVersion(s.model, s.version)
	return &ChatResponse{Model: s.model, Version: s.version, Session: pin.Token(d.keyring.Load())}
}

// completeStep runs one step and adds its tokens to the execution record.
func (d *Daemon) completeStep(ctx context.Context, s *step, name string, w fleet.Workspace, pin session.Pin, exec *execution, start time.Time) (*stepResult, error) {
	cfg := d.config.current()
	var err error
	if s.model, s.version, err = d.chooseVersion(cfg, w, name, pin); err != nil {
		return nil, err
	}
	if ro, ok := cfg.RolloutFor(s.model); ok && pin.VersionOf(s.model) == "" && s.version == ro.TargetVersion {
		s.fallbackVersion, _ = cfg.ResolveSuccessor(w, s.model, cfg.Models[s.model].Stable)
	}
	offset := time.Since(start)
	res, err := d.runStep(ctx, s)
	exec.model, exec.version = s.model, s.version
	v, _ := cfg.Version(s.model, s.version)
	billed := billedStep{model: s.model, version: s.version, microsPerKiloToken: v.MicrosPerKiloToken}
	if res.firstToken > 0 {
		exec.firstToken = offset + res.firstToken
	}
	switch {
	case err == nil:
		billed.promptTokens, billed.completionTokens = res.usage.PromptTokens, res.usage.CompletionTokens
		exec.failureDomain, exec.complete = res.pick.candidate.FailureDomain, true
		exec.steps = append(exec.steps, billed)
	case res.text.Len() > 0:
		exec.complete = false
		billed.promptTokens = int64(len(s.prompt) / bytesPerToken)
		billed.completionTokens = int64(max(1, res.text.Len()/bytesPerToken))
		exec.steps = append(exec.steps, billed)
	}
	return res, err
}

func (d *Daemon) sampleResponse(id string, req *ChatRequest, cascadeKey, class string, s *step, res *stepResult, confidence float64, expensive bool) {
	d.cascades.submitSample(pendingSample{cascadeKey, class, confidence, expensive}, platform.Sample{
		RequestID: id, Daemon: d.sampleOwnerID(), Workspace: req.Workspace, Class: class,
		Model: s.model, Version: s.version, Server: res.pick.candidate.ID, Answer: res.text.String(),
	})
}

// buildResponse assembles the response. Text that was buffered is passed to
// OnText if the caller streams.
func (d *Daemon) buildResponse(id string, req *ChatRequest, s *step, res *stepResult, pin session.Pin, streamed bool) (*ChatResponse, error) {
	resp := d.responseHeader(s, pin)
	resp.RequestID, resp.Text, resp.FinishReason = id, res.text.String(), res.finishReason
	resp.PromptTokens, resp.CompletionTokens = res.usage.PromptTokens, res.usage.CompletionTokens
	if streamed || req.OnText == nil {
		return resp, nil
	}
	if err := d.textHandler(req, s, pin)(resp.Text); err != nil {
		return nil, fault.New(fault.CallerLeft, "the caller left").WithExecution(fault.Ran)
	}
	return resp, nil
}
