package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/damaskrudder/damaskrudder/internal/api"
	"github.com/damaskrudder/damaskrudder/internal/invariant"
)

// Traffic sends requests to a cluster and records the responses.
type Traffic struct {
	cluster *Cluster
	http    *http.Client

	mu               sync.Mutex
	history          []invariant.Event
	firstTokenMicros *hdrhistogram.Histogram
	sent             int
	answered         int
	serviceCalls     int
	unanswered       map[string]int
	start            time.Time
	endpoints        []string
	endpointsExpire  time.Time
}

const (
	// maxLatencyMicros is the largest latency that the histogram can record.
	maxLatencyMicros = 60_000_000
	// sharedPromptBytes is the length of the common prefix of cascade prompts.
	sharedPromptBytes = 4096
	// requestPause is the pause of a caller between two requests.
	requestPause = 10 * time.Millisecond
)

// NewTraffic returns a traffic generator for a cluster.
func NewTraffic(c *Cluster) *Traffic {
	return &Traffic{
		cluster: c, http: &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		firstTokenMicros: hdrhistogram.New(1, maxLatencyMicros, 3), unanswered: map[string]int{}, start: time.Now(),
	}
}

// Run sends requests from concurrent callers until the context is done.
func (t *Traffic) Run(ctx context.Context, callers int, seed uint64) {
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			for n := 0; ctx.Err() == nil; n++ {
				t.sendNext(rng, i, n)
				time.Sleep(requestPause)
			}
		})
	}
	wg.Wait()
}

// Answered returns the number of complete responses.
func (t *Traffic) Answered() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answered
}

// Unanswered returns the number of requests without a complete response, by reason.
func (t *Traffic) Unanswered() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.unanswered)
}

// sendNext sends a random request: a service call that must not be repeated, a chat
// through the cascade, or a chat with the cheap or the expensive model.
func (t *Traffic) sendNext(rng *rand.Rand, caller, n int) {
	workspace := Goldfields
	if caller%2 == 1 {
		workspace = Largada
	}
	session := fmt.Sprintf("caller-%d-%d", caller, n)
	switch choice := rng.IntN(10); {
	case choice < 1:
		t.confirm(workspace, fmt.Sprintf("confirm-%d-%d", caller, n))
	case choice < 4:
		t.chat(workspace, "desk", session, strings.Repeat("warrant ", sharedPromptBytes/8)+session)
	case choice < 9:
		t.chat(workspace, "bib-lookup", session, "status of bib "+session)
	default:
		t.chat(workspace, "warrant-reader", session, strings.Repeat("assay ", rng.IntN(400))+session)
	}
}

// nextEndpoint returns the next daemon address in turn. It refreshes the list of
// endpoints when its TTL has expired.
func (t *Traffic) nextEndpoint() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.endpoints) == 0 || time.Now().After(t.endpointsExpire) {
		t.refreshEndpoints()
	}
	return t.endpoints[t.sent%len(t.endpoints)]
}

func (t *Traffic) refreshEndpoints() {
	addresses := append(t.endpoints, t.cluster.Addresses...)
	for _, a := range addresses {
		resp, err := t.http.Get("http://" + a + "/v1/endpoints")
		if err != nil {
			continue
		}
		var r struct {
			Endpoints  []string `json:"endpoints"`
			TTLSeconds float64  `json:"ttl_seconds"`
		}
		err = json.NewDecoder(resp.Body).Decode(&r)
		_ = resp.Body.Close()
		if err == nil && len(r.Endpoints) > 0 {
			t.endpoints = r.Endpoints
			t.endpointsExpire = time.Now().Add(time.Duration(r.TTLSeconds * float64(time.Second)))
			return
		}
	}
	t.endpoints = t.cluster.Addresses
}

// send posts a request and counts a failure or refusal. If ok is true, the caller must
// close the response body.
func (t *Traffic) send(workspace, path string, header http.Header, body []byte) (resp *http.Response, id string, ok bool) {
	resp, err := t.post(workspace, path, header, body)
	if err != nil {
		t.recordFailure("connection")
		return nil, "", false
	}
	id = resp.Header.Get(api.HeaderRequestID)
	if resp.StatusCode != http.StatusOK {
		t.recordRefusal(id, resp)
		_ = resp.Body.Close()
		return nil, "", false
	}
	return resp, id, true
}

func (t *Traffic) post(workspace, path string, header http.Header, body []byte) (*http.Response, error) {
	address := t.nextEndpoint()
	t.mu.Lock()
	t.sent++
	t.mu.Unlock()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header = header
	req.Header.Set("Authorization", "Bearer "+APIKey(workspace))
	return t.http.Do(req)
}

func (t *Traffic) chat(workspace, model, session, prompt string) {
	body := mustMarshal(map[string]any{"model": model, "stream": true, "messages": []any{map[string]string{"role": "user", "content": prompt}}})
	sent := time.Now()
	resp, id, ok := t.send(workspace, "/v1/chat/completions", http.Header{api.HeaderSessionID: {session}}, body)
	if !ok {
		return
	}
	defer resp.Body.Close()
	text, firstToken, complete := readStream(resp.Body)
	if !complete {
		t.recordFailure("cut")
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answered++
	_ = t.firstTokenMicros.RecordValue(firstToken.Sub(sent).Microseconds())
	t.record(invariant.Event{Kind: invariant.ResponseReceived, Request: id, Answer: text})
}

func (t *Traffic) record(e invariant.Event) {
	e.At = time.Since(t.start)
	t.history = append(t.history, e)
}

// readStream reads a response stream. complete is false if the stream ends without the
// terminal event.
func readStream(r io.Reader) (content string, firstToken time.Time, complete bool) {
	var text strings.Builder
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), firstToken, true
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
			continue
		}
		if c := chunk.Choices[0].Delta.Content; c != "" {
			if firstToken.IsZero() {
				firstToken = time.Now()
			}
			text.WriteString(c)
		}
	}
	return text.String(), firstToken, false
}

func (t *Traffic) confirm(workspace, key string) {
	header := http.Header{api.HeaderIdempotencyKey: {key}}
	resp, id, ok := t.send(workspace, "/v1/services/confirm", header, mustMarshal(map[string]string{"lot": key}))
	if !ok {
		return
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.recordFailure("cut")
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answered++
	t.serviceCalls++
	t.record(invariant.Event{Kind: invariant.ResponseReceived, Request: id, Answer: string(data)})
}

func (t *Traffic) recordRefusal(id string, resp *http.Response) {
	var r struct {
		Error struct {
			Type string `json:"type"`
			Ran  string `json:"ran"`
		} `json:"error"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&r)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unanswered[r.Error.Type+" ("+r.Error.Ran+")"]++
	if r.Error.Ran == "not_run" {
		t.record(invariant.Event{Kind: invariant.RefusedNotRun, Request: id})
	}
}

func (t *Traffic) recordFailure(reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unanswered["lost: "+reason]++
}
