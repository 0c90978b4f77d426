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

// maxTokensLimit bounds max_tokens.
const maxTokensLimit = 1 << 20

// chatBody is the part of a chat request the router reads; the rest is passed
// on to the engine as it came.
type chatBody struct {
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

// contentText is a message's content: a string, or parts of which the text ones count.
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

// ParseChat checks the body of a chat request.
func ParseChat(data []byte) (daemon.ChatRequest, chatBody, error) {
	var b chatBody
	q := daemon.ChatRequest{RawBody: data}
	if err := json.Unmarshal(data, &b); err != nil {
		return q, b, fault.NewField(fault.BadRequest, "body", "not a chat request: %v", err)
	}
	if err := json.Unmarshal(data, &q.Body); err != nil {
		return q, b, fault.NewField(fault.BadRequest, "body", "not a JSON object")
	}
	if b.Model == "" {
		return q, b, fault.NewField(fault.BadRequest, "model", "must not be empty")
	}
	if len(b.Messages) == 0 {
		return q, b, fault.NewField(fault.BadRequest, "messages", "must not be empty")
	}
	if b.N != nil && *b.N != 1 {
		return q, b, fault.NewField(fault.BadRequest, "n", "only one choice is supported, not %d", *b.N)
	}
	for _, f := range []struct {
		name  string
		value *int64
	}{{"max_tokens", b.MaxTokens}, {"max_completion_tokens", b.MaxCompletionTokens}} {
		if f.value == nil {
			continue
		}
		if *f.value < 1 || *f.value > maxTokensLimit {
			return q, b, fault.NewField(fault.BadRequest, f.name, "%d is out of 1..%d", *f.value, maxTokensLimit)
		}
		q.MaxTokens = *f.value
	}
	q.Model = b.Model
	var prompt strings.Builder
	for _, m := range b.Messages {
		prompt.WriteString(string(m.Content))
	}
	q.Prompt = prompt.String()
	return q, b, nil
}

func (a *API) chat(c echo.Context) error {
	ws, err := a.workspace(c)
	if err != nil {
		return err
	}
	data, err := a.body(c)
	if err != nil {
		return err
	}
	q, b, err := ParseChat(data)
	if err != nil {
		return err
	}
	if q.IdempotencyKey, err = idempotencyKey(c); err != nil {
		return err
	}
	q.Workspace = ws
	q.Session = c.Request().Header.Get(HeaderSession)
	q.Class = c.Request().Header.Get(HeaderClass)
	if b.Stream {
		return a.stream(c, q, b)
	}
	ans, err := a.d.Chat(c.Request().Context(), requestID(c), q)
	if err != nil {
		return err
	}
	a.answerHeaders(c, ans)
	return c.JSON(http.StatusOK, completion(requestID(c), b.Model, ans))
}

func (a *API) answerHeaders(c echo.Context, ans *daemon.ChatResponse) {
	h := c.Response().Header()
	h.Set(HeaderSession, ans.Session)
	h.Set("X-Model-Version", ans.Model+"@"+ans.Version)
	if ans.Replayed {
		h.Set(HeaderReplayed, "true")
	}
}

type usageBody struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

func usageOf(ans *daemon.ChatResponse) usageBody {
	return usageBody{ans.PromptTokens, ans.CompletionTokens, ans.PromptTokens + ans.CompletionTokens}
}

func completion(id, model string, ans *daemon.ChatResponse) map[string]any {
	return map[string]any{
		"id": "chatcmpl-" + id, "object": "chat.completion", "created": time.Now().Unix(), "model": model,
		"choices": []any{map[string]any{
			"index": 0, "finish_reason": ans.FinishReason, "logprobs": nil,
			"message": map[string]any{"role": "assistant", "content": ans.Text, "refusal": nil},
		}},
		"usage":              usageOf(ans),
		"system_fingerprint": ans.Model + "@" + ans.Version,
	}
}

// sse writes a chat answer as server-sent events.
type sse struct {
	c       echo.Context
	id      string
	model   string
	created int64
	began   bool
}

func (s *sse) write(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(s.c.Response(), "data: %s\n\n", data); err != nil {
		return err
	}
	return http.NewResponseController(s.c.Response()).Flush()
}

func (s *sse) chunk(delta map[string]any, finish any) map[string]any {
	return map[string]any{
		"id": "chatcmpl-" + s.id, "object": "chat.completion.chunk", "created": s.created, "model": s.model,
		"choices": []any{map[string]any{"index": 0, "delta": delta, "finish_reason": finish}},
	}
}

func (s *sse) begin() error {
	s.began = true
	h := s.c.Response().Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	s.c.Response().WriteHeader(http.StatusOK)
	return s.write(s.chunk(map[string]any{"role": "assistant", "content": ""}, nil))
}

func (s *sse) deliver(text string) error {
	if !s.began {
		if err := s.begin(); err != nil {
			return err
		}
	}
	return s.write(s.chunk(map[string]any{"content": text}, nil))
}

// stream answers with server-sent events. Headers go out with the first piece,
// so that a refusal before it is still an ordinary HTTP error. After it, an
// error is an event of its own and the [DONE] mark is left out: a caller that
// sees no mark knows that the answer is not whole.
func (a *API) stream(c echo.Context, q daemon.ChatRequest, b chatBody) error {
	s := &sse{c: c, id: requestID(c), model: b.Model, created: time.Now().Unix()}
	q.OnText = s.deliver
	q.OnStart = func(head *daemon.ChatResponse) { a.answerHeaders(c, head) }
	ans, err := a.d.Chat(c.Request().Context(), s.id, q)
	if err != nil {
		if s.began {
			a.d.RecordRefusal(string(fault.FromError(err).Kind))
			return s.write(refuse(s.id, fault.FromError(err)))
		}
		return err
	}
	if !s.began {
		a.answerHeaders(c, ans)
		if err := s.begin(); err != nil {
			return nil
		}
	}
	last := s.chunk(map[string]any{}, ans.FinishReason)
	if s.write(last) != nil {
		return nil
	}
	if b.StreamOptions.IncludeUsage {
		u := s.chunk(nil, nil)
		u["choices"], u["usage"] = []any{}, usageOf(ans)
		if s.write(u) != nil {
			return nil
		}
	}
	_, _ = fmt.Fprint(c.Response(), "data: [DONE]\n\n")
	return nil
}
