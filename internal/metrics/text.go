// Package metrics keeps tally's counters, gauges and histograms in memory and
// serves them as text. It is a fraction of the size of a metrics client library,
// which matters on VMs whose memory is paid for.
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

// Text is a tally reporter that serves what it was told. It implements
// tally.CachedStatsReporter and http.Handler.
type Text struct {
	mu     sync.Mutex
	values map[string]*value
}

// value is one line: a count, or a gauge's bits.
type value struct {
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
func New() *Text { return &Text{values: map[string]*value{}} }

// Scope returns a scope that reports to t at a period; the closer ends it.
func (t *Text) Scope(prefix string, period time.Duration) (tally.Scope, io.Closer) {
	return tally.NewRootScope(tally.ScopeOptions{
		Prefix: prefix, Separator: "_", CachedReporter: t, OmitCardinalityMetrics: true,
	}, period)
}

func line(name string, tags map[string]string) string {
	if len(tags) == 0 {
		return name
	}
	parts := make([]string, 0, len(tags))
	for _, k := range slices.Sorted(maps.Keys(tags)) {
		parts = append(parts, fmt.Sprintf("%s=%q", k, tags[k]))
	}
	return name + "{" + strings.Join(parts, ",") + "}"
}

func (t *Text) value(name string, tags map[string]string, k kind) *value {
	key := line(name, tags)
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.values[key]
	if v == nil {
		v = &value{kind: k}
		t.values[key] = v
	}
	return v
}

// AllocateCounter implements tally.CachedStatsReporter.
func (t *Text) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	return t.value(name, tags, counter)
}

// AllocateGauge implements tally.CachedStatsReporter.
func (t *Text) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	return t.value(name, tags, gauge)
}

// AllocateTimer implements tally.CachedStatsReporter. Only the number of timings
// is kept; durations go to histograms.
func (t *Text) AllocateTimer(name string, tags map[string]string) tally.CachedTimer {
	return t.value(name+"_count", tags, counter)
}

// AllocateHistogram implements tally.CachedStatsReporter.
func (t *Text) AllocateHistogram(name string, tags map[string]string, _ tally.Buckets) tally.CachedHistogram {
	return histogram{t, name, tags}
}

// Capabilities implements tally.BaseStatsReporter.
func (t *Text) Capabilities() tally.Capabilities { return t }

// Reporting implements tally.Capabilities.
func (t *Text) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (t *Text) Tagging() bool { return true }

// Flush implements tally.BaseStatsReporter.
func (t *Text) Flush() {}

// ReportCount implements tally.CachedCount.
func (v *value) ReportCount(n int64) { v.count.Add(n) }

// ReportGauge implements tally.CachedGauge.
func (v *value) ReportGauge(g float64) { v.gauge.Store(math.Float64bits(g)) }

// ReportTimer implements tally.CachedTimer.
func (v *value) ReportTimer(time.Duration) { v.count.Add(1) }

// ReportSamples implements tally.CachedHistogramBucket.
func (v *value) ReportSamples(n int64) { v.count.Add(n) }

type histogram struct {
	text *Text
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
	return h.text.value(h.name+"_bucket", tags, counter)
}

// ServeHTTP implements http.Handler. Buckets count what fell into them alone.
func (t *Text) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	lines := make([]string, 0, len(t.values))
	for key, v := range t.values {
		if v.kind == gauge {
			lines = append(lines, fmt.Sprintf("%s %g\n", key, math.Float64frombits(v.gauge.Load())))
		} else {
			lines = append(lines, fmt.Sprintf("%s %d\n", key, v.count.Load()))
		}
	}
	t.mu.Unlock()
	slices.Sort(lines)
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_, _ = io.WriteString(w, strings.Join(lines, "")) // a reader that left gets nothing
}
