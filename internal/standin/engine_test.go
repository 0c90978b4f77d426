package standin

import (
	"bufio"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against a stalled stream without a token, which cannot be resumed after one.
func TestStalledStreamHasTokens(t *testing.T) {
	e := NewEngine(EngineConfig{Slots: 1, CompletionTokens: 5, DecodePerToken: time.Microsecond}, "m@v1")
	server := httptest.NewServer(e)
	defer server.Close()
	const body = `{"model":"m@v1","messages":[{"content":"x"}]}`
	stream := func() *http.Response {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/v1/chat/completions", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("X-Run-Id", "r1")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		return resp
	}
	readEvents := func(resp *http.Response, n int) (events int) {
		defer resp.Body.Close()
		lines := bufio.NewScanner(resp.Body)
		for events < n && lines.Scan() {
			if strings.HasPrefix(lines.Text(), "id: ") {
				events++
			}
		}
		return events
	}
	if events := readEvents(stream(), 6); events != 6 {
		t.Fatalf("%d events of the whole run", events)
	}
	e.SetStalled(true)
	if events := readEvents(stream(), tokensBeforeStall); events != tokensBeforeStall {
		t.Errorf("%d events before the stall, want %d", events, tokensBeforeStall)
	}
}
