// Package slo measures how fast workspaces use up the failures their
// service-level objectives allow. It does no I/O.
package slo

import (
	"slices"
	"strings"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fleet"
)

// Key is the finest grain of the counters.
type Key struct {
	Workspace     string `cbor:"1,keyasint" json:"workspace"`
	Model         string `cbor:"2,keyasint" json:"model"`
	Version       string `cbor:"3,keyasint" json:"version"`
	FailureDomain string `cbor:"4,keyasint" json:"failure_domain"`
}

// Counts are the requests of one key in one minute.
type Counts struct {
	Requests int64 `cbor:"1,keyasint" json:"requests"`
	// Failed requests were not answered in full.
	Failed int64 `cbor:"2,keyasint" json:"failed"`
	// Late answers missed the first-token objective of their workspace.
	Late int64 `cbor:"3,keyasint" json:"late"`
}

// Add sums two counts.
func (c Counts) Add(o Counts) Counts {
	return Counts{c.Requests + o.Requests, c.Failed + o.Failed, c.Late + o.Late}
}

// Windows are the spans of the report: a fast one that pages, a slow one that
// tells a lasting leak, and the one in which the budget is given.
var Windows = [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

const minutesKept = int(6 * time.Hour / time.Minute)

// Counters are one daemon's counters by minute, bounded to the longest window.
type Counters struct {
	minutes map[int64]map[Key]Counts
}

// NewCounters returns empty counters.
func NewCounters() *Counters { return &Counters{minutes: map[int64]map[Key]Counts{}} }

// Observe counts one request that ended at a time.
func (c *Counters) Observe(now time.Time, k Key, n Counts) {
	m := now.Unix() / 60
	row := c.minutes[m]
	if row == nil {
		row = map[Key]Counts{}
		c.minutes[m] = row
		c.expire(m)
	}
	row[k] = row[k].Add(n)
}

func (c *Counters) expire(newest int64) {
	for m := range c.minutes {
		if m <= newest-int64(minutesKept) {
			delete(c.minutes, m)
		}
	}
}

// WindowCounts is a key's counts in one window.
type WindowCounts struct {
	Window time.Duration `cbor:"1,keyasint" json:"window_ns"`
	Key    Key           `cbor:"2,keyasint" json:"key"`
	Counts Counts        `cbor:"3,keyasint" json:"counts"`
}

// Snapshot sums the windows that end at a time, in a fixed order.
func (c *Counters) Snapshot(now time.Time) []WindowCounts {
	var out []WindowCounts
	newest := now.Unix() / 60
	for _, w := range Windows {
		sums := map[Key]Counts{}
		for m, row := range c.minutes {
			if m > newest-int64(w/time.Minute) && m <= newest {
				for k, n := range row {
					sums[k] = sums[k].Add(n)
				}
			}
		}
		for k, n := range sums {
			out = append(out, WindowCounts{w, k, n})
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

// ObjectiveBurn is one workspace's burn of one objective in one window.
type ObjectiveBurn struct {
	Workspace string        `json:"workspace"`
	Objective string        `json:"objective"`
	Window    time.Duration `json:"window_ns"`
	Requests  int64         `json:"requests"`
	Bad       int64         `json:"bad"`
	Target    float64       `json:"target"`
	// Burn is the rate of use: 1 uses the allowance exactly, 2 in half the time.
	Burn float64 `json:"burn"`
	// Remaining is the fraction of the window's allowance that is unused; it is
	// negative when overspent.
	Remaining float64 `json:"left"`
	// ExhaustedIn is when the rest is used up at this rate; zero without burn.
	ExhaustedIn time.Duration `json:"exhausted_in_ns"`
	// Worst is the version and failure domain with the most bad requests.
	Worst string `json:"worst"`
}

// Report computes the burn of every objective from cells of all daemons.
func Report(c *fleet.Config, cells []WindowCounts) []ObjectiveBurn {
	var out []ObjectiveBurn
	names := make([]string, 0, len(c.Workspaces))
	for n := range c.Workspaces {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, name := range names {
		o := c.Workspaces[name].Objectives
		for _, w := range Windows {
			if o.Availability > 0 {
				out = append(out, line(name, "availability", w, o.Availability, cells, func(n Counts) int64 { return n.Failed }))
			}
			if o.FirstTokenFraction > 0 {
				out = append(out, line(name, "first_token", w, o.FirstTokenFraction, cells, func(n Counts) int64 { return n.Late }))
			}
		}
	}
	return out
}

func line(workspace, objective string, w time.Duration, target float64, cells []WindowCounts, bad func(Counts) int64) ObjectiveBurn {
	l := ObjectiveBurn{Workspace: workspace, Objective: objective, Window: w, Target: target, Remaining: 1}
	byCause := map[string]int64{}
	for _, c := range cells {
		if c.Window != w || c.Key.Workspace != workspace {
			continue
		}
		l.Requests += c.Counts.Requests
		l.Bad += bad(c.Counts)
		byCause[c.Key.Model+"@"+c.Key.Version+" in "+c.Key.FailureDomain] += bad(c.Counts)
	}
	if l.Requests == 0 {
		return l
	}
	l.Burn = float64(l.Bad) / float64(l.Requests) / (1 - target)
	l.Remaining = 1 - l.Burn
	if l.Burn > 0 && l.Remaining > 0 {
		l.ExhaustedIn = time.Duration(float64(w) * l.Remaining / l.Burn)
	}
	l.Worst = worst(byCause)
	return l
}

func worst(byCause map[string]int64) string {
	name, most := "", int64(0)
	for cause, n := range byCause {
		if n > most || n == most && n > 0 && cause < name {
			name, most = cause, n
		}
	}
	return name
}
