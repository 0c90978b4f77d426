package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/standin"
)

// Servers that warm up after each start and end above what they bear, and failure domains that
// are evacuated, beside daemons that stop, start and are cut off from the store.

const (
	// warmFor is how long a server warms up, and warmBound the most requests of any second
	// meanwhile; warmRate is the rate that the configuration states.
	warmFor   = 1500 * time.Millisecond
	warmRate  = 6
	warmBound = 8
	// downFor is the time between the end of a server and its next start.
	downFor = time.Second
	// evacuateWithin is the time after an order within which nothing more may arrive.
	evacuateWithin = 3 * time.Second
	// evacuatedFor is how long a domain is evacuated, longer than the time allowed.
	evacuatedFor = 4500 * time.Millisecond
)

// warmSpan is the time in which a server warms up.
type warmSpan struct {
	server   int
	from, to time.Time
}

// evacuation is the time in which nothing may be sent to a failure domain.
type evacuation struct {
	domain   int
	from, to time.Time
}

// domains is how many failure domains the servers stand in.
const domains = 3

// warmUp has a server end and start again, which then bears little. It writes its entry as it
// begins to listen.
func (w *world) warmUp(i int) {
	w.mu.Lock()
	away := w.away[i]
	w.away[i] = true
	w.mu.Unlock()
	if away {
		return
	}
	w.paths[i].down(downFor, func() {
		s := w.servers[i]
		s.Restart()
		now := time.Now()
		w.mu.Lock()
		w.away[i] = false
		w.warm = append(w.warm, warmSpan{i, now, now.Add(warmFor)})
		w.mu.Unlock()
		w.registerWarming(i)
	})
}

// registerWarming has a server write that it warms up, and then that it is warm unless it has
// begun to warm up again.
func (w *world) registerWarming(i int) {
	born := w.servers[i].StartMillis()
	w.warmings[i].Add(1)
	turn := w.warmings[i].Load()
	w.store.Put("keyed.servers", w.servers[i].ID, fmt.Appendf(nil, `%s,"cold_ms":%d,"born":%d}`, w.entries[i], warmFor.Milliseconds(), born))
	time.AfterFunc(warmFor, func() {
		if w.warmings[i].Load() == turn {
			w.register(i, born)
		}
	})
}

// evacuate closes a failure domain for a while, unless one is closed.
func (w *world) evacuate(domain int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n := len(w.evacuated); n > 0 && w.evacuated[n-1].to.IsZero() {
		return
	}
	key := fmt.Sprint("evacuate/z", domain)
	w.store.Put("keyed.op", key, []byte("{}"))
	w.evacuated = append(w.evacuated, evacuation{domain: domain, from: time.Now()})
	time.AfterFunc(evacuatedFor, func() { w.readmit(key) })
}

// readmit takes an order back; its servers warm up then.
func (w *world) readmit(key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := &w.evacuated[len(w.evacuated)-1]
	e.to = time.Now()
	w.store.Put("keyed.op", key, nil)
	for i := range w.servers {
		if i%domains == e.domain {
			w.warm = append(w.warm, warmSpan{i, e.to, e.to.Add(warmFor)})
			w.registerWarming(i)
		}
	}
}

// warmingFault starts one fault beside servers that warm up.
func (w *world) warmingFault() {
	switch w.rng.IntN(5) {
	case 0:
		w.faults = append(w.faults, "evacuate")
		w.evacuate(w.rng.IntN(domains))
	case 1:
		w.stopDaemon()
	default:
		w.faults = append(w.faults, "server-warms-up")
		w.warmUp(w.rng.IntN(len(w.servers)))
	}
}

// checkGate checks what warming servers and evacuated domains got.
func (w *world) checkGate() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	arrivals := func(server int) []standin.Run { return w.servers[server].RunHistory() }
	return append(checkWarming(w.warm, arrivals), checkEvacuated(w.evacuated, arrivals, len(w.servers))...)
}

// checkWarming returns the seconds in which a warming server got more than it bears.
func checkWarming(spans []warmSpan, arrivals func(server int) []standin.Run) (broken []string) {
	for _, s := range spans {
		var inside []standin.Run
		for _, r := range arrivals(s.server) {
			if r.At.After(s.from) && r.At.Before(s.to) {
				inside = append(inside, r)
			}
		}
		first := 0
		for i, r := range inside {
			for r.At.Sub(inside[first].At) > time.Second {
				first++
			}
			if n := i - first + 1; n > warmBound {
				broken = append(broken, fmt.Sprintf("request %s: the %dth in a second at server %d, which warms up and bears %d", r.ID, n, s.server, warmBound))
				break
			}
		}
	}
	return broken
}

// checkEvacuated returns the requests that reached a domain later than its order allows.
func checkEvacuated(orders []evacuation, arrivals func(server int) []standin.Run, servers int) (broken []string) {
	for _, e := range orders {
		for i := e.domain; i < servers; i += domains {
			for _, r := range arrivals(i) {
				if r.At.After(e.from.Add(evacuateWithin)) && (e.to.IsZero() || r.At.Before(e.to)) {
					broken = append(broken, fmt.Sprintf("request %s: reached server %d %s after its domain was evacuated", r.ID, i, r.At.Sub(e.from).Round(time.Millisecond)))
				}
			}
		}
	}
	return broken
}

// panicMarks are what a panic leaves in a daemon's output.
var panicMarks = [][]byte{[]byte("panic:"), []byte("msg=panic"), []byte("panic serving")}

// checkPanics returns the daemons whose output tells of a panic.
func checkPanics(daemons []*process) (broken []string) {
	for _, d := range daemons {
		text, err := os.ReadFile(filepath.Join(d.dir, "log"))
		if err != nil {
			broken = append(broken, fmt.Sprintf("%s: %v", d.name, err))
			continue
		}
		for _, mark := range panicMarks {
			if n := bytes.Count(text, mark); n > 0 {
				broken = append(broken, fmt.Sprintf("%s: %d times %q in its output", d.name, n, mark))
			}
		}
	}
	return broken
}
