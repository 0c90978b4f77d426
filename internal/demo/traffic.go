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

// Traffic sends requests like the callers of both operators and keeps what came back.
type Traffic struct {
	world *World
	http  *http.Client

	mu         sync.Mutex
	history    []invariant.Event
	firstToken *hdrhistogram.Histogram
	asked      int
	answered   int
	calls      int
	refused    map[string]int
	began      time.Time
	endpoints  []string
	until      time.Time
}

const (
	// maxLatency bounds the histogram, in microseconds.
	maxLatency = 60_000_000
	// sharedPromptBytes is the part of a desk's prompts that is always the same.
	sharedPromptBytes = 4096
	// pacePerWorker is the pause between two requests of one caller.
	pacePerWorker = 10 * time.Millisecond
)

// NewTraffic returns traffic for a world.
func NewTraffic(w *World) *Traffic {
	return &Traffic{
		world: w, http: &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		firstToken: hdrhistogram.New(1, maxLatency, 3), refused: map[string]int{}, began: time.Now(),
	}
}

// Run sends requests with a number of callers until the context ends.
func (t *Traffic) Run(ctx context.Context, callers int, seed uint64) {
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			for n := 0; ctx.Err() == nil; n++ {
				t.one(rng, i, n)
				time.Sleep(pacePerWorker)
			}
		})
	}
	wg.Wait()
}

// Answered returns how many requests were answered in full.
func (t *Traffic) Answered() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answered
}

// Refused returns how many requests were not answered, by reason.
func (t *Traffic) Refused() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.refused)
}

// one sends one request of the mix: desk prompts through the cascade, cheap
// look-ups, long reads, and confirmations that may not be repeated.
func (t *Traffic) one(rng *rand.Rand, caller, n int) {
	ws := Goldfields
	if caller%2 == 1 {
		ws = Largada
	}
	session := fmt.Sprintf("caller-%d-%d", caller, n)
	switch mix := rng.IntN(10); {
	case mix < 1:
		t.confirm(ws, fmt.Sprintf("confirm-%d-%d", caller, n))
	case mix < 4:
		t.chat(ws, "desk", session, strings.Repeat("warrant ", sharedPromptBytes/8)+session)
	case mix < 9:
		t.chat(ws, "bib-lookup", session, "status of bib "+session)
	default:
		t.chat(ws, "warrant-reader", session, strings.Repeat("assay ", rng.IntN(400))+session)
	}
}

// endpoint asks which address to use and keeps the answer for its time.
func (t *Traffic) endpoint() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.endpoints) == 0 || time.Now().After(t.until) {
		t.refresh()
	}
	return t.endpoints[t.asked%len(t.endpoints)]
}

func (t *Traffic) refresh() {
	known := append(t.endpoints, t.world.Addresses...)
	for _, a := range known {
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
			t.until = time.Now().Add(time.Duration(r.TTLSeconds * float64(time.Second)))
			return
		}
	}
	t.endpoints = t.world.Addresses
}

// send posts a request and books what is no answer. The caller closes the body of
// a response it gets.
func (t *Traffic) send(ws, path string, header http.Header, body []byte) (resp *http.Response, id string, ok bool) {
	resp, err := t.post(ws, path, header, body)
	if err != nil {
		t.lost("connection")
		return nil, "", false
	}
	id = resp.Header.Get(api.HeaderRequestID)
	if resp.StatusCode != http.StatusOK {
		t.refuse(id, resp)
		_ = resp.Body.Close()
		return nil, "", false
	}
	return resp, id, true
}

func (t *Traffic) post(ws, path string, header http.Header, body []byte) (*http.Response, error) {
	address := t.endpoint()
	t.mu.Lock()
	t.asked++
	t.mu.Unlock()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header = header
	req.Header.Set("Authorization", "Bearer "+Key(ws))
	return t.http.Do(req)
}

func (t *Traffic) chat(ws, model, session, prompt string) {
	body := raw(map[string]any{"model": model, "stream": true, "messages": []any{map[string]string{"role": "user", "content": prompt}}})
	sent := time.Now()
	resp, id, ok := t.send(ws, "/v1/chat/completions", http.Header{api.HeaderSessionID: {session}}, body)
	if !ok {
		return
	}
	defer resp.Body.Close()
	text, first, whole := readStream(resp.Body)
	if !whole {
		t.lost("cut")
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answered++
	_ = t.firstToken.RecordValue(first.Sub(sent).Microseconds())
	t.record(invariant.Event{Kind: invariant.Answered, Request: id, Text: text})
}

func (t *Traffic) record(e invariant.Event) {
	e.At = time.Since(t.began)
	t.history = append(t.history, e)
}

// readStream reads a streamed answer up to its terminal mark.
func readStream(r io.Reader) (text string, first time.Time, whole bool) {
	var b strings.Builder
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return b.String(), first, true
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
			if first.IsZero() {
				first = time.Now()
			}
			b.WriteString(c)
		}
	}
	return b.String(), first, false
}

func (t *Traffic) confirm(ws, key string) {
	header := http.Header{api.HeaderIdempotencyKey: {key}}
	resp, id, ok := t.send(ws, "/v1/services/confirm", header, raw(map[string]string{"lot": key}))
	if !ok {
		return
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.lost("cut")
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answered++
	t.calls++
	t.record(invariant.Event{Kind: invariant.Answered, Request: id, Text: string(data)})
}

func (t *Traffic) refuse(id string, resp *http.Response) {
	var r struct {
		Error struct {
			Type string `json:"type"`
			Ran  string `json:"ran"`
		} `json:"error"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&r)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refused[r.Error.Type+" ("+r.Error.Ran+")"]++
	if r.Error.Ran == "not_run" {
		t.record(invariant.Event{Kind: invariant.RefusedNotRun, Request: id})
	}
}

func (t *Traffic) lost(what string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refused["lost: "+what]++
}
