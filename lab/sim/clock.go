// Package sim drives the decision packages in virtual time over small models of
// backend servers: a queue, slots, a prefix cache, a service time and lagged
// reports. The same seed gives the same run, bit for bit.
package sim

import (
	"container/heap"
	"time"
)

// Clock runs events in order of time, and of scheduling where times are equal.
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

// epoch is virtual time zero; it lies beyond every span that looks back.
var epoch = time.Unix(1_000_000, 0)

// Now returns the virtual time.
func (c *Clock) Now() time.Time { return epoch.Add(c.now) }

// Elapsed returns the virtual time since the start.
func (c *Clock) Elapsed() time.Duration { return c.now }

// After schedules an event.
func (c *Clock) After(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.queue, event{c.now + max(d, 0), c.seq, run})
}

// Run works off events until a time.
func (c *Clock) Run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
	c.now = until
}
