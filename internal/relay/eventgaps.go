package relay

import "time"

// gapsPerWindow is the number of gaps between events of which the shortest is observed.
const gapsPerWindow = 5

// eventGaps finds the shortest of every few gaps between the events of a stream. It shows how long a
// step of the engine takes; the others may include steps that process prompts of other requests.
type eventGaps struct {
	lastAt time.Time
	// lastSingle is set if the last read brought one event. If it brought more, this daemon was late
	// to read them, and the time to the next one is too short.
	lastSingle bool
	shortest   time.Duration
	count      int
}

// record records a read that brought some events. It returns the shortest gap of a window that is
// complete, else zero.
func (g *eventGaps) record(events int, now time.Time) (shortest time.Duration) {
	if events == 0 {
		return 0
	}
	if events == 1 && g.lastSingle {
		shortest = g.add(now.Sub(g.lastAt))
	}
	g.lastAt, g.lastSingle = now, events == 1
	return shortest
}

func (g *eventGaps) add(gap time.Duration) (shortest time.Duration) {
	if g.count == 0 || gap < g.shortest {
		g.shortest = gap
	}
	if g.count++; g.count < gapsPerWindow {
		return 0
	}
	g.count = 0
	return g.shortest
}
