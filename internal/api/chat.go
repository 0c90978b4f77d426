package api

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/damaskrudder/damaskrudder/internal/daemon"
	"github.com/damaskrudder/damaskrudder/internal/fault"
)

// maxTokensBound is the largest accepted value of max_tokens and max_completion_tokens.
const maxTokensBound = 1 << 20

// chatRequestBody is the part of a chat request that the router interprets. All other
// fields are forwarded to the engine unchanged.
type chatRequestBody struct {
	Model               string    `json:"model"`
	Messages            []message `json:"messages"`
	Stream              bool      `json:"stream"`
	MaxTokens           *int64    `json:"max_tokens"`
	MaxCompletionTokens *int64    `json:"max_completion_tokens"`
	N                   *int64    `json:"n"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type message struct {
	Role    string      `json:"role"`
	Content contentText `json:"content"`
}

// contentText is the text of a message, decoded from either a string or a list of
// content parts. Parts without text are ignored.
type contentText string

// UnmarshalJSON implements json.Unmarshaler.
func (t *contentText) UnmarshalJSON(data []byte) error {
	var s string
	if json.Unmarshal(data, &s) == nil {
		*t = contentText(s)
		return nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return fmt.Errorf("content must be a string or a list of parts")
	}
	for _, p := range parts {
		*t += contentText(p.Text)
	}
	return nil
}

// ParseChat decodes and validates the body of a chat request. Errors are of kind
// fault.BadRequest.
func ParseChat(data []byte) (daemon.ChatRequest, chatRequestBody, error) {
	var body chatRequestBody
	req := daemon.ChatRequest{RawBody: data}
	if err := json.Unmarshal(data, &body); err != nil {
		return req, body, fault.NewField(fault.BadRequest, "body", "not a chat request: %v", err)
	}
	if err := json.Unmarshal(data, &req.Body); err != nil {
		return req, body, fault.NewField(fault.BadRequest, "body", "not a JSON object")
	}
	if body.Model == "" {
		return req, body, fault.NewField(fault.BadRequest, "model", "must not be empty")
	}
	if len(body.Messages) == 0 {
		return req, body, fault.NewField(fault.BadRequest, "messages", "must not be empty")
	}
	if body.N != nil && *body.N != 1 {
		return req, body, fault.NewField(fault.BadRequest, "n", "only one choice is supported, not %d", *body.N)
	}
	for _, limit := range []struct {
		name  string
		value *int64
	}{{"max_tokens", body.MaxTokens}, {"max_completion_tokens", body.MaxCompletionTokens}} {
		if limit.value == nil {
			continue
		}
		if *limit.value < 1 || *limit.value > maxTokensBound {
			return req, body, fault.NewField(fault.BadRequest, limit.name, "%d is out of 1..%d", *limit.value, maxTokensBound)
		}
		req.MaxTokens = *limit.value
	}
	req.Model = body.Model
	var prompt strings.Builder
	for _, m := range body.Messages {
		prompt.WriteString(string(m.Content))
	}
	req.Prompt = prompt.String()
	return req, body, nil
}

func (a *API) completeChat(c echo.Context) error {
	workspace, err := a.authenticate(c)
	if err != nil {
		return err
	}
	data, err := a.readBody(c)
	if err != nil {
		return err
	}
	req, body, err := ParseChat(data)
	if err != nil {
		return err
	}
	if req.IdempotencyKey, err = idempotencyKey(c); err != nil {
		return err
	}
	req.Workspace = workspace
	req.Session = c.Request().Header.Get(HeaderSessionID)
	req.Class = c.Request().Header.Get(HeaderRequestClass)
	if body.Stream {
		return a.streamChat(c, req, body)
	}
	resp, err := a.daemon.Chat(c.Request().Context(), requestID(c), req)
	if err != nil {
		return err
	}
	a.setResponseHeaders(c, resp)
	return c.JSON(http.StatusOK, newCompletion(requestID(c), body.Model, resp))
}

func (a *API) setResponseHeaders(c echo.Context, resp *daemon.ChatResponse) {
	h := c.Response().Header()
	h.Set(HeaderSessionID, resp.Session)
	h.Set("X-Model-Version", resp.Model+"@"+resp.Version)
	if resp.Replayed {
		h.Set(HeaderIdempotencyReplayed, "true")
	}
}

type usageBody struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

func newUsageBody(resp *daemon.ChatResponse) usageBody {
	return usageBody{resp.PromptTokens, resp.CompletionTokens, resp.PromptTokens + resp.CompletionTokens}
}

func newCompletion(id, model string, resp *daemon.ChatResponse) map[string]any {
	return map[string]any{
		"id": "chatcmpl-" + id, "object": "chat.completion", "created": time.Now().Unix(), "model": model,
		"choices": []any{map[string]any{
			"index": 0, "finish_reason": resp.FinishReason, "logprobs": nil,
			"message": map[string]any{"role": "assistant", "content": resp.Text, "refusal": nil},
		}},
		"usage":              newUsageBody(resp),
		"system_fingerprint": resp.Model + "@" + resp.Version,
	}
}

// sseWriter writes a chat completion as server-sent events.
type sseWriter struct {
	c       echo.Context
	id      string
	model   string
	created int64
	started bool
}

func (s *sseWriter) writeEvent(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(s.c.Response(), "data: %s\n\n", data); err != nil {
		return err
	}
	return http.NewResponseController(s.c.Response()).Flush()
}

func (s *sseWriter) newChunk(delta map[string]any, finish any) map[string]any {
	return map[string]any{
		"id": "chatcmpl-" + s.id, "object": "chat.completion.chunk", "created": s.created, "model": s.model,
		"choices": []any{map[string]any{"index": 0, "delta": delta, "finish_reason": finish}},
	}
}

func (s *sseWriter) start() error {
	s.started = true
	h := s.c.Response().Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	s.c.Response().WriteHeader(http.StatusOK)
	return s.writeEvent(s.newChunk(map[string]any{"role": "assistant", "content": ""}, nil))
}

func (s *sseWriter) writeText(text string) error {
	if !s.started {
		if err := s.start(); err != nil {
			return err
		}
	}
	return s.writeEvent(s.newChunk(map[string]any{"content": text}, nil))
}

// streamChat responds with server-sent events. The response header is sent with the
// first chunk, so that an error before it is still an ordinary HTTP error. A later error
// is sent as an event, and the final [DONE] event is omitted to mark the completion as
// truncated.
func (a *API) streamChat(c echo.Context, req daemon.ChatRequest, body chatRequestBody) error {
	s := &sseWriter{c: c, id: requestID(c), model: body.Model, created: time.Now().Unix()}
	req.OnText = s.writeText
	req.OnStart = func(head *daemon.ChatResponse) { a.setResponseHeaders(c, head) }
	resp, err := a.daemon.Chat(c.Request().Context(), s.id, req)
	if err != nil {
		if s.started {
			a.daemon.RecordRefusal(string(fault.FromError(err).Kind))
			return s.writeEvent(newErrorResponse(s.id, fault.FromError(err)))
		}
		return err
	}
	if !s.started {
		a.setResponseHeaders(c, resp)
		if err := s.start(); err != nil {
			return nil
		}
	}
	last := s.newChunk(map[string]any{}, resp.FinishReason)
	if s.writeEvent(last) != nil {
		return nil
	}
	if body.StreamOptions.IncludeUsage {
		usageChunk := s.newChunk(nil, nil)
		usageChunk["choices"], usageChunk["usage"] = []any{}, newUsageBody(resp)
		if s.writeEvent(usageChunk) != nil {
			return nil
		}
	}
	_, _ = fmt.Fprint(c.Response(), "data: [DONE]\n\n")
	return nil
}
