// Package slo computes the burn rates of the error budgets of workspaces. It does no I/O.
package slo

import (
	"slices"
	"strings"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fleet"
)

// Key is the set of labels of a counter.
type Key struct {
	Workspace     string `cbor:"1,keyasint" json:"workspace"`
	Model         string `cbor:"2,keyasint" json:"model"`
	Version       string `cbor:"3,keyasint" json:"version"`
	FailureDomain string `cbor:"4,keyasint" json:"failure_domain"`
}

// Counts are the requests of one key in an interval.
type Counts struct {
	Requests int64 `cbor:"1,keyasint" json:"requests"`
	// Failed requests were not answered in full.
	Failed int64 `cbor:"2,keyasint" json:"failed"`
	// Late requests missed the first-token objective of their workspace.
	Late int64 `cbor:"3,keyasint" json:"late"`
}

// Add returns the sum of two counts.
func (c Counts) Add(o Counts) Counts {
	return Counts{c.Requests + o.Requests, c.Failed + o.Failed, c.Late + o.Late}
}

// Windows are the windows of the report: a short one for paging, a longer one for slow burns, and
// the budget window.
var Windows = [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

const retentionMinutes = int(6 * time.Hour / time.Minute)

// Counters are the request counters of one daemon by minute, kept for the longest window.
type Counters struct {
	minutes map[int64]map[Key]Counts
}

// NewCounters returns empty counters.
func NewCounters() *Counters { return &Counters{minutes: map[int64]map[Key]Counts{}} }

// Observe adds the counts of requests that ended at a time.
func (c *Counters) Observe(now time.Time, key Key, n Counts) {
	minute := now.Unix() / 60
	row := c.minutes[minute]
	if row == nil {
		row = map[Key]Counts{}
		c.minutes[minute] = row
		c.expire(minute)
	}
	row[key] = row[key].Add(n)
}

func (c *Counters) expire(newest int64) {
	for minute := range c.minutes {
		if minute <= newest-int64(retentionMinutes) {
			delete(c.minutes, minute)
		}
	}
}

// WindowCounts are the counts of one key in one window.
type WindowCounts struct {
	Window time.Duration `cbor:"1,keyasint" json:"window_ns"`
	Key    Key           `cbor:"2,keyasint" json:"key"`
	Counts Counts        `cbor:"3,keyasint" json:"counts"`
}

// Snapshot returns the counts of all windows that end at a time, sorted by window and key.
func (c *Counters) Snapshot(now time.Time) []WindowCounts {
	var out []WindowCounts
	newest := now.Unix() / 60
	for _, w := range Windows {
		sums := map[Key]Counts{}
		for minute, row := range c.minutes {
			if minute > newest-int64(w/time.Minute) && minute <= newest {
				for key, n := range row {
					sums[key] = sums[key].Add(n)
				}
			}
		}
		for key, n := range sums {
			out = append(out, WindowCounts{w, key, n})
		}
	}
	slices.SortFunc(out, func(a, b WindowCounts) int {
		return strings.Compare(a.sortKey(), b.sortKey())
	})
	return out
}

func (c WindowCounts) sortKey() string {
	return c.Window.String() + "\x00" + c.Key.Workspace + "\x00" + c.Key.Model + "\x00" + c.Key.Version + "\x00" + c.Key.FailureDomain
}

// ObjectiveBurn is the error budget burn of one objective of a workspace in one window.
type ObjectiveBurn struct {
	Workspace string        `json:"workspace"`
	Objective string        `json:"objective"`
	Window    time.Duration `json:"window_ns"`
	Requests  int64         `json:"requests"`
	Bad       int64         `json:"bad"`
	Target    float64       `json:"target"`
	// Burn is the burn rate: 1 uses up the budget in exactly one window, 2 in half of it.
	Burn float64 `json:"burn"`
	// Remaining is the unused fraction of the window's budget; negative if it is exceeded.
	Remaining float64 `json:"left"`
	// ExhaustedIn is the time until the budget is used up at this rate; zero without burn.
	ExhaustedIn time.Duration `json:"exhausted_in_ns"`
	// Worst is the model, version and failure domain with the most bad requests.
	Worst string `json:"worst"`
}

// Report computes the burn of every objective from the counts of all daemons.
func Report(c *fleet.Config, counts []WindowCounts) []ObjectiveBurn {
	var out []ObjectiveBurn
	names := make([]string, 0, len(c.Workspaces))
	for n := range c.Workspaces {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, name := range names {
		objectives := c.Workspaces[name].Objectives
		for _, w := range Windows {
			if objectives.Availability > 0 {
				out = append(out, computeBurn(name, "availability", w, objectives.Availability, counts, func(n Counts) int64 { return n.Failed }))
			}
			if objectives.FirstTokenFraction > 0 {
				out = append(out, computeBurn(name, "first_token", w, objectives.FirstTokenFraction, counts, func(n Counts) int64 { return n.Late }))
			}
		}
	}
	return out
}

func computeBurn(workspace, objective string, w time.Duration, target float64, counts []WindowCounts, bad func(Counts) int64) ObjectiveBurn {
	b := ObjectiveBurn{Workspace: workspace, Objective: objective, Window: w, Target: target, Remaining: 1}
	byCause := map[string]int64{}
	for _, c := range counts {
		if c.Window != w || c.Key.Workspace != workspace {
			continue
		}
		b.Requests += c.Counts.Requests
		b.Bad += bad(c.Counts)
		byCause[c.Key.Model+"@"+c.Key.Version+" in "+c.Key.FailureDomain] += bad(c.Counts)
	}
	if b.Requests == 0 {
		return b
	}
	b.Burn = float64(b.Bad) / float64(b.Requests) / (1 - target)
	b.Remaining = 1 - b.Burn
	if b.Burn > 0 && b.Remaining > 0 {
		b.ExhaustedIn = time.Duration(float64(w) * b.Remaining / b.Burn)
	}
	b.Worst = worstCause(byCause)
	return b
}

func worstCause(byCause map[string]int64) string {
	name, worst := "", int64(0)
	for cause, n := range byCause {
		if n > worst || n == worst && n > 0 && cause < name {
			name, worst = cause, n
		}
	}
	return name
}
