package relay

import (
	"slices"
	"time"
)

const (
	// minGaps is the number of gaps from which a stream tells the speed of its engine, and maxGaps
	// bounds those that are kept.
	minGaps = 4
	maxGaps = 128
	// lowGapDivisor selects the quantile of the gaps: one in so many is shorter.
	lowGapDivisor = 8
)

// eventGaps collects the gaps between the events of a stream. The shortest ones show how long a step
// of the engine takes; the others include steps that process prompts of other requests.
type eventGaps struct {
	lastAt time.Time
	// lastSingle is set if the last read brought one event. If it brought more, this daemon was late
	// to read them, and the time to the next one is too short.
	lastSingle bool
	gaps       []time.Duration
}

// record records a read that brought some events.
func (g *eventGaps) record(events int, now time.Time) {
	if events == 0 {
		return
	}
	if events == 1 && g.lastSingle && len(g.gaps) < maxGaps {
		g.gaps = append(g.gaps, now.Sub(g.lastAt))
	}
	g.lastAt, g.lastSingle = now, events == 1
}

// low returns the low quantile of the gaps, or zero if there are too few.
func (g *eventGaps) low() time.Duration {
	if len(g.gaps) < minGaps {
		return 0
	}
	sorted := slices.Sorted(slices.Values(g.gaps))
	return sorted[len(sorted)/lowGapDivisor]
}
