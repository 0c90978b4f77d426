package app

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/damaskrudder/damaskrudder/internal/demo"
	"github.com/damaskrudder/damaskrudder/internal/standin"
)

// exchange sends one plain chat request and reads the whole answer.
func exchange(b *testing.B, c *http.Client, url, key string, header http.Header, body []byte) {
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	for k, v := range header {
		req.Header[k] = v
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := c.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		b.Fatalf("%s %s %v", resp.Status, data, err)
	}
}

func report(b *testing.B, h *hdrhistogram.Histogram, unit string) {
	b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-us-"+unit)
	b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-us-"+unit)
}

// BenchmarkAddedLatency alternates requests to an engine alone with requests
// through one daemon to engines of the same kind, and reports both.
func BenchmarkAddedLatency(b *testing.B) {
	alone := standin.NewEngine(demo.EngineConfig, "bib-lookup@v1")
	s, err := standin.Serve(alone)
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	w, err := demo.NewCluster(2, startForDemo)
	if err != nil {
		b.Fatal(err)
	}
	defer w.Close()
	direct, through := hdrhistogram.New(1, 60_000_000, 3), hdrhistogram.New(1, 60_000_000, 3)
	c := &http.Client{}
	toEngine := bytes.Replace([]byte(lookup), []byte("bib-lookup"), []byte("bib-lookup@v1"), 1)
	for i := 0; b.Loop(); i++ {
		began := time.Now()
		exchange(b, c, s.URL, "", http.Header{"X-Run-Id": {time.Now().String()}}, toEngine)
		_ = direct.RecordValue(time.Since(began).Microseconds())
		began = time.Now()
		exchange(b, c, "http://"+w.Addresses[0], demo.APIKey(demo.Largada), nil, []byte(lookup))
		_ = through.RecordValue(time.Since(began).Microseconds())
	}
	report(b, direct, "alone")
	report(b, through, "through")
}

// BenchmarkRequests sends requests through one daemon of two, from many callers,
// to engines that answer one token at once. Allocations include the callers',
// the engines' and both daemons', all of which share this process.
func BenchmarkRequests(b *testing.B) {
	model := demo.EngineConfig
	defer func() { demo.EngineConfig = model }()
	demo.EngineConfig.AnswerTokens, demo.EngineConfig.PerToken, demo.EngineConfig.Prefill = 1, 0, 0
	w, err := demo.NewCluster(2, startForDemo)
	if err != nil {
		b.Fatal(err)
	}
	defer w.Close()
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	b.ReportAllocs()
	b.SetParallelism(8)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			exchange(b, c, "http://"+w.Addresses[0], demo.APIKey(demo.Largada), nil, []byte(lookup))
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}
