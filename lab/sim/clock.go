// Package sim is a discrete-event simulation of daemons in front of model engines. An
// engine has a queue, a number of slots, a prefix cache, service times, and delayed load
// reports. The same seed produces the same run.
package sim

import (
	"container/heap"
	"time"
)

// Clock runs scheduled events in virtual time. Events at the same time run in the order of
// scheduling.
type Clock struct {
	now   time.Duration
	queue eventQueue
	seq   int
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// epoch is the virtual start time. It is late enough that times before the start stay
// positive.
var epoch = time.Unix(1_000_000, 0)

// Now returns the current virtual time.
func (c *Clock) Now() time.Time { return epoch.Add(c.now) }

// Elapsed returns the virtual time since the start.
func (c *Clock) Elapsed() time.Duration { return c.now }

// After schedules run after a delay; a negative delay is zero.
func (c *Clock) After(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.queue, event{c.now + max(d, 0), c.seq, run})
}

// Run runs all events up to a time since the start, and advances the clock to it.
func (c *Clock) Run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
	c.now = until
}
