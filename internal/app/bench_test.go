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

// sendChat sends a chat request without streaming and reads the response.
func sendChat(b *testing.B, c *http.Client, url, key string, header http.Header, body []byte) {
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
		b.Fatalf("status %s, body %s, error %v", resp.Status, data, err)
	}
}

func reportLatency(b *testing.B, latencies *hdrhistogram.Histogram, path string) {
	b.ReportMetric(float64(latencies.ValueAtQuantile(50)), "p50-us-"+path)
	b.ReportMetric(float64(latencies.ValueAtQuantile(99)), "p99-us-"+path)
}

// BenchmarkAddedLatency compares the latency of requests sent directly to an engine with
// that of requests routed through a daemon.
func BenchmarkAddedLatency(b *testing.B) {
	engine := standin.NewEngine(demo.EngineConfig, "bib-lookup@v1")
	s, err := standin.Serve(engine)
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	cluster, err := demo.NewCluster(2, startDemoNode)
	if err != nil {
		b.Fatal(err)
	}
	defer cluster.Close()
	direct, routed := hdrhistogram.New(1, 60_000_000, 3), hdrhistogram.New(1, 60_000_000, 3)
	c := &http.Client{}
	engineBody := bytes.Replace([]byte(lookupBody), []byte("bib-lookup"), []byte("bib-lookup@v1"), 1)
	for i := 0; b.Loop(); i++ {
		start := time.Now()
		sendChat(b, c, s.URL, "", http.Header{"X-Run-Id": {time.Now().String()}}, engineBody)
		_ = direct.RecordValue(time.Since(start).Microseconds())
		start = time.Now()
		sendChat(b, c, "http://"+cluster.Addresses[0], demo.APIKey(demo.Largada), nil, []byte(lookupBody))
		_ = routed.RecordValue(time.Since(start).Microseconds())
	}
	reportLatency(b, direct, "alone")
	reportLatency(b, routed, "through")
}

// BenchmarkRequests measures the throughput of one of two daemons for concurrent callers
// and engines that return one token without delay. Callers, engines and daemons share the
// process, so that allocations include all of them.
func BenchmarkRequests(b *testing.B) {
	model := demo.EngineConfig
	defer func() { demo.EngineConfig = model }()
	demo.EngineConfig.CompletionTokens, demo.EngineConfig.DecodePerToken, demo.EngineConfig.PrefillPerToken = 1, 0, 0
	cluster, err := demo.NewCluster(2, startDemoNode)
	if err != nil {
		b.Fatal(err)
	}
	defer cluster.Close()
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	b.ReportAllocs()
	b.SetParallelism(8)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			sendChat(b, c, "http://"+cluster.Addresses[0], demo.APIKey(demo.Largada), nil, []byte(lookupBody))
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}
