package app

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"

	"github.com/damaskrudder/damaskrudder/internal/api"
	"github.com/damaskrudder/damaskrudder/internal/demo"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/fleet"
	"github.com/damaskrudder/damaskrudder/internal/standin"
)

// newCluster starts daemons and fake services on loopback and stops them when the test ends.
func newCluster(t *testing.T, daemons int) *demo.Cluster {
	t.Helper()
	cluster, err := demo.NewCluster(daemons, startDemoNode)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	return cluster
}

// waitUntil polls a condition and fails the test if it does not hold within a minute.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 6000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("never: %s", what)
}

// post sends a request with an API key and returns the status, header and body of the
// response.
func post(t *testing.T, address, path, key string, header http.Header, body string) (int, http.Header, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range header {
		req.Header[k] = v
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header, string(data)
}

const lookupBody = `{"model":"bib-lookup","messages":[{"role":"user","content":"status of bib 7"}]}`

func TestOpenAIClient(t *testing.T) {
	cluster := newCluster(t, 1)
	c := openai.NewClient(option.WithBaseURL("http://"+cluster.Addresses[0]+"/v1/"), option.WithAPIKey(demo.APIKey(demo.Largada)))
	params := openai.ChatCompletionNewParams{
		Model:    "bib-lookup",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("status of bib 7")},
	}
	plain, err := c.Chat.Completions.New(t.Context(), params)
	if err != nil {
		t.Fatal(err)
	}
	if plain.Choices[0].FinishReason != "stop" || plain.Usage.CompletionTokens != int64(demo.EngineConfig.CompletionTokens) {
		t.Fatalf("plain answer: %+v", plain)
	}
	stream := c.Chat.Completions.NewStreaming(t.Context(), params)
	accumulator := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		accumulator.AddChunk(stream.Current())
	}
	if err := stream.Err(); err != nil {
		t.Fatal(err)
	}
	if accumulator.Choices[0].Message.Content != plain.Choices[0].Message.Content {
		t.Fatalf("streamed %q, plain %q", accumulator.Choices[0].Message.Content, plain.Choices[0].Message.Content)
	}
	models, err := c.Models.List(t.Context())
	if err != nil || len(models.Data) != 3 {
		t.Fatalf("models: %v, error %v", models, err)
	}
}

// TestStalePatchIsRejected checks that a patch with a stale base is rejected, with a list
// of the newer patches, and that resubmitting an accepted patch is idempotent.
func TestStalePatchIsRejected(t *testing.T) {
	cluster := newCluster(t, 2)
	submit := func(address, id, body string) (int, api.PatchErrorResponse, fleet.PatchOutcome) {
		status, _, data := post(t, address, "/operator/v1/patches", demo.Secrets.OperatorKey, nil, `{"patch_id":"`+id+`","base":1,"author":"`+id+`","patch":`+body+`}`)
		var rejection api.PatchErrorResponse
		var outcome fleet.PatchOutcome
		_ = json.Unmarshal([]byte(data), &rejection)
		_ = json.Unmarshal([]byte(data), &outcome)
		return status, rejection, outcome
	}
	if status, _, outcome := submit(cluster.Addresses[0], "ana", `{"workspaces":{"largada-sul":{"priority":3}}}`); status != http.StatusOK || outcome.Number != 2 {
		t.Fatalf("first patch: status %d, %+v", status, outcome)
	}
	status, rejection, _ := submit(cluster.Addresses[1], "bea", `{"workspaces":{"largada-sul":{"priority":5}}}`)
	if status != http.StatusConflict || rejection.Error.Code != fault.BaseStale || rejection.CurrentNumber != 2 || len(rejection.NewerPatches) != 1 || rejection.NewerPatches[0].Author != "ana" {
		t.Fatalf("stale patch: status %d, %+v", status, rejection)
	}
	if status, _, outcome := submit(cluster.Addresses[0], "ana", `{"workspaces":{"largada-sul":{"priority":3}}}`); status != http.StatusOK || outcome.Number != 2 {
		t.Fatalf("resubmitted patch: status %d, %+v", status, outcome)
	}
}

// TestClientDisconnectCancelsRun checks that the engine's run is cancelled when the caller
// closes a stream before its end.
func TestClientDisconnectCancelsRun(t *testing.T) {
	cluster := newCluster(t, 1)
	for _, e := range cluster.Engines {
		e.SetBehaviour("bib-lookup@v1", standin.Behaviour{SlowFactor: 100})
	}
	ctx, disconnect := context.WithCancel(t.Context())
	body := strings.Replace(lookupBody, "{", `{"stream":true,`, 1)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+cluster.Addresses[0]+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+demo.APIKey(demo.Largada))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := resp.Body.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	disconnect()
	_ = resp.Body.Close()
	waitUntil(t, "the run is cancelled", func() bool {
		n := 0
		for _, e := range cluster.Engines {
			n += e.CanceledRuns()
		}
		return n == 1
	})
}

// TestWithdrawnVersionGetsNoNewRequests checks that a session pinned to a withdrawn version
// moves to its successor on every daemon, and that explicit requests for it are rejected.
func TestWithdrawnVersionGetsNoNewRequests(t *testing.T) {
	cluster := newCluster(t, 2)
	key := demo.APIKey(demo.Goldfields)
	status, header, _ := post(t, cluster.Addresses[0], "/v1/chat/completions", key, nil, lookupBody)
	if status != http.StatusOK || header.Get("X-Model-Version") != "bib-lookup@v1" {
		t.Fatalf("before the withdrawal: status %d, header %v", status, header)
	}
	pin := http.Header{api.HeaderSessionID: {header.Get(api.HeaderSessionID)}}
	err := cluster.ApplyPatch(fleet.Patch{Models: map[string]json.RawMessage{
		"bib-lookup": json.RawMessage(`{"stable":"v2","versions":{"v1":{"state":"withdrawn","successor":"v2"}}}`),
	}})
	if err != nil {
		t.Fatal(err)
	}
	before := countRuns(cluster, "bib-lookup@v1")
	status, header, _ = post(t, cluster.Addresses[1], "/v1/chat/completions", key, pin, lookupBody)
	if status != http.StatusOK || header.Get("X-Model-Version") != "bib-lookup@v2" {
		t.Fatalf("after the withdrawal: status %d, header %v", status, header)
	}
	explicit := strings.Replace(lookupBody, "bib-lookup", "bib-lookup@v1", 1)
	status, header, _ = post(t, cluster.Addresses[1], "/v1/chat/completions", key, nil, explicit)
	if status != http.StatusGone || header.Get(api.HeaderExecutionState) != "not_run" {
		t.Fatalf("explicit request for the withdrawn version: status %d, header %v", status, header)
	}
	if after := countRuns(cluster, "bib-lookup@v1"); after != before {
		t.Fatalf("%d runs started on the withdrawn version", after-before)
	}
}

func countRuns(cluster *demo.Cluster, version string) int {
	n := 0
	for _, e := range cluster.Engines {
		for _, v := range e.RunVersions() {
			if v == version {
				n++
			}
		}
	}
	return n
}

func TestInvalidInputIsRejected(t *testing.T) {
	cluster := newCluster(t, 1)
	key, operator := demo.APIKey(demo.Largada), demo.Secrets.OperatorKey
	chat, patches := "/v1/chat/completions", "/operator/v1/patches"
	cases := []struct {
		name, path, key string
		header          http.Header
		body            string
		status          int
		kind            fault.Kind
	}{
		{"broken JSON", chat, key, nil, `{"model":`, 400, fault.BadRequest},
		{"no messages", chat, key, nil, `{"model":"bib-lookup"}`, 400, fault.BadRequest},
		{"unknown model", chat, key, nil, strings.Replace(lookupBody, "bib-lookup", "no-such", 1), 404, fault.UnknownModel},
		{"unknown version", chat, key, nil, strings.Replace(lookupBody, "bib-lookup", "bib-lookup@v9", 1), 404, fault.UnknownModel},
		{"negative tokens", chat, key, nil, strings.Replace(lookupBody, "{", `{"max_tokens":-5,`, 1), 400, fault.BadRequest},
		{"two choices", chat, key, nil, strings.Replace(lookupBody, "{", `{"n":2,`, 1), 400, fault.BadRequest},
		{"wrong key", chat, "no-such-key", nil, lookupBody, 401, fault.Unauthorized},
		{"oversize body", chat, key, nil, `{"model":"` + strings.Repeat("x", 1<<20) + `"}`, 413, fault.TooLarge},
		{"session with blanks", chat, key, http.Header{"X-Session-Id": {"a b"}}, lookupBody, 400, fault.BadRequest},
		{"forged session", chat, key, http.Header{"X-Session-Id": {"s1.k1.abc.def"}}, lookupBody, 403, fault.SessionRefused},
		{"forged minted key", chat, key, http.Header{"Idempotency-Key": {"dk1.k1.abc.def"}}, lookupBody, 400, fault.BadRequest},
		{"service without key", "/v1/services/confirm", key, nil, `{}`, 400, fault.BadRequest},
		{"unknown service", "/v1/services/none", key, nil, `{}`, 404, fault.UnknownModel},
		{"service body", "/v1/services/confirm", key, http.Header{"Idempotency-Key": {"k"}}, `{`, 400, fault.BadRequest},
		{"unknown path", "/v1/none", key, nil, `{}`, 404, fault.NotFound},
		{"caller as operator", patches, key, nil, `{}`, 401, fault.Unauthorized},
		{"unknown patch field", patches, operator, nil, `{"patch_id":"a","base":1,"patch":{"pool":{}}}`, 422, fault.InvalidPatch},
		{"unknown entity field", patches, operator, nil, `{"patch_id":"b","base":1,"patch":{"workspaces":{"x":{"prio":1}}}}`, 422, fault.InvalidPatch},
		{"negative limit", patches, operator, nil, `{"patch_id":"c","base":1,"patch":{"workspaces":{"x":{"tokens_per_minute":-1}}}}`, 422, fault.InvalidPatch},
		{"no patch id", patches, operator, nil, `{"base":1,"patch":{}}`, 400, fault.BadRequest},
		{"a checkpoint", patches, operator, nil, `{"patch_id":"d","base":1,"checkpoint":{"config":null,"through":1,"recent":null}}`, 400, fault.BadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			status, header, data := post(t, cluster.Addresses[0], c.path, c.key, c.header, c.body)
			var r api.PatchErrorResponse
			if err := json.Unmarshal([]byte(data), &r); err != nil {
				t.Fatalf("status %d, body %q: %v", status, data, err)
			}
			if status != c.status || r.Error.Code != c.kind || r.Error.ExecutionState != fault.NotRun || r.Error.RequestID == "" || header.Get(api.HeaderRequestID) != r.Error.RequestID {
				t.Fatalf("status %d: %s", status, data)
			}
		})
	}
	var cfg fleet.Config
	if err := cluster.CallOperator(http.MethodGet, "/config", nil, &cfg); err != nil || cfg.Number != 1 {
		t.Fatalf("configuration %d, error %v", cfg.Number, err)
	}
	if n := countRuns(cluster, "bib-lookup@v1"); n != 0 {
		t.Fatalf("%d runs were started", n)
	}
}

// TestMalformedHeadersAreRejected guards against header injection and request smuggling:
// a malformed request must be rejected before it is routed.
func TestMalformedHeadersAreRejected(t *testing.T) {
	cluster := newCluster(t, 1)
	for name, header := range map[string]string{
		"a bare carriage return": "X-Session-Id: a\rX-Evil: b",
		"a NUL":                  "X-Session-Id: a\x00b",
		"two lengths":            "Content-Length: 5\r\nContent-Length: 6",
		"a blank in a name":      "X Session: a",
	} {
		conn, err := net.Dial("tcp", cluster.Addresses[0])
		if err != nil {
			t.Fatal(err)
		}
		_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nConnection: close\r\n%s\r\n\r\n%s", demo.APIKey(demo.Largada), header, lookupBody)
		if err != nil {
			t.Fatal(err)
		}
		answer, err := io.ReadAll(conn)
		if err != nil || !bytes.HasPrefix(answer, []byte("HTTP/1.1 400 ")) {
			t.Errorf("%s: response %q, error %v", name, answer, err)
		}
		_ = conn.Close()
	}
	if n := countRuns(cluster, "bib-lookup@v1"); n != 0 {
		t.Fatalf("%d runs were started", n)
	}
}

// TestRollingRestartLosesNoRequests checks that a draining daemon is removed from endpoint
// responses and keeps serving until the cached responses have expired.
func TestRollingRestartLosesNoRequests(t *testing.T) {
	cluster := newCluster(t, 3)
	traffic := demo.NewTraffic(cluster)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); traffic.Run(ctx, 6, 1) }()
	waitUntil(t, "traffic flows", func() bool { return traffic.Answered() > 20 })
	for i := range cluster.Nodes {
		if err := cluster.Restart(t.Context(), i); err != nil {
			t.Errorf("daemon %d: %v", i, err)
		}
	}
	stop()
	<-done
	if refused := traffic.Unanswered(); len(refused) > 0 {
		t.Fatalf("refused requests: %v", refused)
	}
}

func TestMetricsEndpoint(t *testing.T) {
	cluster := newCluster(t, 1)
	if status, _, _ := post(t, cluster.Addresses[0], "/v1/chat/completions", demo.APIKey(demo.Largada), nil, lookupBody); status != http.StatusOK {
		t.Fatal(status)
	}
	waitUntil(t, "the request is counted", func() bool {
		resp, err := http.Get("http://" + cluster.Addresses[0] + "/metrics")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		data, _ := io.ReadAll(resp.Body)
		return bytes.Contains(data, []byte("damaskrudder_answered 1\n"))
	})
}
