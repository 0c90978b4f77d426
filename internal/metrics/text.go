// Package metrics keeps tally's counters, gauges and histograms in memory and serves them in the
// Prometheus text format.
package metrics

import (
	"fmt"
	"io"
	"maps"
	"math"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// TextReporter stores reported metrics and serves them as text. It implements
// tally.CachedStatsReporter and http.Handler.
type TextReporter struct {
	mu      sync.Mutex
	metrics map[string]*metric
}

// metric is the value of one series: a count, or the bits of a gauge's float64.
type metric struct {
	count atomic.Int64
	gauge atomic.Uint64
	kind  kind
}

type kind uint8

const (
	counter kind = iota
	gauge
)

// New returns an empty reporter.
func New() *TextReporter { return &TextReporter{metrics: map[string]*metric{}} }

// Scope returns a scope that reports to t every period, and a closer that ends reporting.
func (t *TextReporter) Scope(prefix string, period time.Duration) (tally.Scope, io.Closer) {
	return tally.NewRootScope(tally.ScopeOptions{
		Prefix: prefix, Separator: "_", CachedReporter: t, OmitCardinalityMetrics: true,
	}, period)
}

func seriesKey(name string, tags map[string]string) string {
	if len(tags) == 0 {
		return name
	}
	parts := make([]string, 0, len(tags))
	for _, k := range slices.Sorted(maps.Keys(tags)) {
		parts = append(parts, fmt.Sprintf("%s=%q", k, tags[k]))
	}
	return name + "{" + strings.Join(parts, ",") + "}"
}

func (t *TextReporter) metric(name string, tags map[string]string, k kind) *metric {
	key := seriesKey(name, tags)
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.metrics[key]
	if v == nil {
		v = &metric{kind: k}
		t.metrics[key] = v
	}
	return v
}

// AllocateCounter implements tally.CachedStatsReporter.
func (t *TextReporter) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	return t.metric(name, tags, counter)
}

// AllocateGauge implements tally.CachedStatsReporter.
func (t *TextReporter) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	return t.metric(name, tags, gauge)
}

// AllocateTimer implements tally.CachedStatsReporter. Only the number of timings is kept; durations
// belong in histograms.
func (t *TextReporter) AllocateTimer(name string, tags map[string]string) tally.CachedTimer {
	return t.metric(name+"_count", tags, counter)
}

// AllocateHistogram implements tally.CachedStatsReporter.
func (t *TextReporter) AllocateHistogram(name string, tags map[string]string, _ tally.Buckets) tally.CachedHistogram {
	return histogram{t, name, tags}
}

// Capabilities implements tally.BaseStatsReporter.
func (t *TextReporter) Capabilities() tally.Capabilities { return t }

// Reporting implements tally.Capabilities.
func (t *TextReporter) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (t *TextReporter) Tagging() bool { return true }

// Flush implements tally.BaseStatsReporter.
func (t *TextReporter) Flush() {}

// ReportCount implements tally.CachedCount.
func (v *metric) ReportCount(n int64) { v.count.Add(n) }

// ReportGauge implements tally.CachedGauge.
func (v *metric) ReportGauge(g float64) { v.gauge.Store(math.Float64bits(g)) }

// ReportTimer implements tally.CachedTimer.
func (v *metric) ReportTimer(time.Duration) { v.count.Add(1) }

// ReportSamples implements tally.CachedHistogramBucket.
func (v *metric) ReportSamples(n int64) { v.count.Add(n) }

type histogram struct {
	text *TextReporter
	name string
	tags map[string]string
}

// ValueBucket implements tally.CachedHistogram.
func (h histogram) ValueBucket(_, upper float64) tally.CachedHistogramBucket {
	return h.bucket(fmt.Sprintf("%g", upper))
}

// DurationBucket implements tally.CachedHistogram.
func (h histogram) DurationBucket(_, upper time.Duration) tally.CachedHistogramBucket {
	if upper == time.Duration(math.MaxInt64) {
		return h.bucket("+Inf")
	}
	return h.bucket(fmt.Sprintf("%g", upper.Seconds()))
}

func (h histogram) bucket(upper string) tally.CachedHistogramBucket {
	tags := maps.Clone(h.tags)
	if tags == nil {
		tags = map[string]string{}
	}
	tags["up_to"] = upper
	return h.text.metric(h.name+"_bucket", tags, counter)
}

// ServeHTTP implements http.Handler. Histogram buckets are not cumulative.
func (t *TextReporter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	lines := make([]string, 0, len(t.metrics))
	for key, v := range t.metrics {
		if v.kind == gauge {
			lines = append(lines, fmt.Sprintf("%s %g\n", key, math.Float64frombits(v.gauge.Load())))
		} else {
			lines = append(lines, fmt.Sprintf("%s %d\n", key, v.count.Load()))
		}
	}
	t.mu.Unlock()
	slices.Sort(lines)
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_, _ = io.WriteString(w, strings.Join(lines, "")) // the client may have disconnected
}
