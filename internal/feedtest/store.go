// Package feedtest provides an in-memory feed.Log for tests in virtual time, with injectable
// failures.
package feedtest

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/feed"
	"github.com/damaskrudder/damaskrudder/internal/loop"
)

// roundTripTime is the duration of one call.
const roundTripTime = 4 * time.Millisecond

// Mode is the way in which the store treats calls.
type Mode int

// The modes of a store.
const (
	// Serving answers calls.
	Serving Mode = iota
	// Unresponsive never answers calls made in this mode; waiting reads are kept.
	Unresponsive
	// Refusing fails new calls at once; waiting reads are kept.
	Refusing
	// Resetting fails new calls and waiting reads.
	Resetting
)

// ErrRefused and ErrReset are the errors in the modes Refusing and Resetting.
var (
	ErrRefused = errors.New("store refused the call")
	ErrReset   = errors.New("store reset the connection")
)

// Store is a store for one or more clients, which NewClient creates.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	// era is incremented by each Restore.
	era uint64
	// changed is closed and replaced on each change of content or mode.
	changed    chan struct{}
	mode       Mode
	totalCalls int
	// repliesToLose is the number of appends whose responses are lost.
	repliesToLose int
	// callCounts counts calls by kind and topic.
	callCounts map[Call]int
	// readRate is the rate in bytes per second at which all reads together are answered, one after
	// the other; zero means at once. The answers given so far end at readsEnd.
	readRate  float64
	readsEnd  time.Time
	bytesRead int64
}

// Call identifies a kind of call to a topic.
type Call struct{ Kind, Topic string }

// Kinds of calls, as in Call.Kind.
const (
	CallNewest, CallRead, CallEnd, CallAppend = "newest", "read", "end", "append"
)

type topic struct{ records []feed.Record }

// New returns an empty store in mode Serving.
func New() *Store {
	return &Store{topics: map[string]*topic{}, changed: make(chan struct{}), callCounts: map[Call]int{}}
}

// SetMode sets the mode for all clients.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	s.notifyChanged()
}

// SetReadRate limits the rate in bytes per second at which all reads together are answered. An answer
// takes its time even if its caller has given up.
func (s *Store) SetReadRate(bytesPerSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readRate = bytesPerSecond
}

// BytesRead returns the size of all answers to reads.
func (s *Store) BytesRead() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytesRead
}

// queueAnswer adds an answer to a read and returns when it begins and how long it takes.
func (s *Store) queueAnswer(records []feed.Record) (begin time.Time, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := 0
	for _, r := range records {
		size += len(r.Key) + len(r.Value)
	}
	s.bytesRead += int64(size)
	begin = time.Now()
	if s.readsEnd.After(begin) {
		begin = s.readsEnd
	}
	if s.readRate > 0 {
		took = time.Duration(float64(size) / s.readRate * float64(time.Second))
	}
	s.readsEnd = begin.Add(took)
	return begin, took
}

// LoseReplies makes the next n appends take effect but fail.
func (s *Store) LoseReplies(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.repliesToLose = n
}

// Put appends a record; a nil value removes the key.
func (s *Store) Put(topicName, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(topicName, key, value)
}

// put appends a record. Callers hold mu.
func (s *Store) put(topicName, key string, value []byte) {
	t := s.topic(topicName)
	t.records = append(t.records, feed.Record{Key: key, Value: value, At: feed.NewPosition(s.era, uint64(len(t.records)))})
	s.notifyChanged()
}

// Snapshot is a copy of the content of a store.
type Snapshot struct{ topics map[string][]feed.Record }

// TakeSnapshot copies the content of the store.
func (s *Store) TakeSnapshot() *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := &Snapshot{topics: map[string][]feed.Record{}}
	for name, t := range s.topics {
		snapshot.topics[name] = slices.Clone(t.records)
	}
	return snapshot
}

// Restore resets the content to a snapshot and begins a new era, in which offsets are reused.
func (s *Store) Restore(snapshot *Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	for name, t := range s.topics {
		t.records = slices.Clone(snapshot.topics[name])
		for i := range t.records {
			t.records[i].At = feed.NewPosition(s.era, uint64(i))
		}
	}
	s.notifyChanged()
}

// KeyCount returns the number of keys of a topic that have a value.
func (s *Store) KeyCount(topicName string) int { return len(s.Keys(topicName)) }

// Keys returns the keys of a topic that have a value.
func (s *Store) Keys(topicName string) map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := map[string]bool{}
	for _, r := range s.topic(topicName).records {
		newest[r.Key] = r.Value != nil
	}
	maps.DeleteFunc(newest, func(_ string, present bool) bool { return !present })
	return newest
}

// Latest returns the newest value of a key, or "" if it has none.
func (s *Store) Latest(topicName, key string) (value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.topic(topicName).records {
		if r.Key == key {
			value = string(r.Value)
		}
	}
	return value
}

// end returns the end of a topic. Callers hold mu.
func (s *Store) end(topicName string) feed.Position {
	return feed.NewPosition(s.era, uint64(len(s.topic(topicName).records)))
}

// CallCounts returns the number of calls by kind and topic.
func (s *Store) CallCounts() map[Call]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.callCounts)
}

// TotalCalls returns the number of all calls.
func (s *Store) TotalCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totalCalls
}

func (s *Store) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) topic(topicName string) *topic {
	t := s.topics[topicName]
	if t == nil {
		t = &topic{}
		s.topics[topicName] = t
	}
	return t
}

// Client implements feed.Log for one user of the store. Its own mode, unless Serving, takes
// precedence over that of the store.
type Client struct {
	store *Store
	mode  Mode
	// hung is closed to leave the waiting reads unanswered forever.
	hung chan struct{}
	// delayed is non-nil while responses are delayed, and closed to release them.
	delayed chan struct{}
}

// NewClient returns a new client of the store.
func (s *Store) NewClient() *Client { return &Client{store: s, hung: make(chan struct{})} }

// SetMode sets the mode for this client.
func (c *Client) SetMode(m Mode) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.mode = m
	c.store.notifyChanged()
}

// HangPending leaves the waiting reads unanswered forever, without a reset. New calls are
// answered.
func (c *Client) HangPending() {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	close(c.hung)
	c.hung = make(chan struct{})
}

// DelayResponses holds back responses to this client while enabled, like a congested link.
func (c *Client) DelayResponses(enabled bool) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if enabled {
		c.delayed = make(chan struct{})
	} else if c.delayed != nil {
		close(c.delayed)
		c.delayed = nil
	}
}

// respond delivers a response, after the delay of DelayResponses.
func (c *Client) respond(ctx context.Context) error {
	c.store.mu.Lock()
	delayed := c.delayed
	c.store.mu.Unlock()
	if delayed != nil {
		select {
		case <-delayed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return halfRoundTrip(ctx)
}

// answer delivers the records of a read. Progress is called as soon as the answer begins.
func (c *Client) answer(ctx context.Context, records []feed.Record, progress func()) error {
	begin, took := c.store.queueAnswer(records)
	loop.Sleep(ctx, time.Until(begin))
	if ctx.Err() != nil {
		return ctx.Err()
	}
	progress()
	loop.Sleep(ctx, took)
	return c.respond(ctx)
}

// halfRoundTrip takes half of a round trip.
func halfRoundTrip(ctx context.Context) error {
	loop.Sleep(ctx, roundTripTime/2)
	return ctx.Err()
}

func (c *Client) effectiveMode() Mode {
	if c.mode != Serving {
		return c.mode
	}
	return c.store.mode
}

// startCall counts a call and applies the effective mode to it.
func (c *Client) startCall(ctx context.Context, kind, topic string) error {
	if err := halfRoundTrip(ctx); err != nil {
		return err
	}
	c.store.mu.Lock()
	c.store.totalCalls++
	c.store.callCounts[Call{kind, topic}]++
	mode := c.effectiveMode()
	c.store.mu.Unlock()
	switch mode {
	case Unresponsive:
		<-ctx.Done()
		return ctx.Err()
	case Refusing:
		return ErrRefused
	case Resetting:
		return ErrReset
	}
	return nil
}

// newestPageSize is the number of records that one call of Newest returns.
const newestPageSize = 500

// Newest implements feed.Log. Each page counts as a call.
func (c *Client) Newest(ctx context.Context, topicName string, progress func(), more func() bool) ([]feed.Record, feed.Position, error) {
	if err := c.startCall(ctx, CallNewest, topicName); err != nil {
		return nil, 0, err
	}
	c.store.mu.Lock()
	all, end := c.store.topic(topicName).records, c.store.end(topicName)
	c.store.mu.Unlock()
	newest := map[string]feed.Record{}
	for _, r := range all {
		newest[r.Key] = r
	}
	var out []feed.Record
	for _, r := range all {
		if newest[r.Key].At == r.At && r.Value != nil {
			out = append(out, r)
		}
	}
	for left := out; ; {
		page := left[:min(newestPageSize, len(left))]
		if err := c.answer(ctx, page, progress); err != nil {
			return nil, 0, err
		}
		if left = left[len(page):]; len(left) == 0 {
			return out, end, nil
		}
		if !more() {
			return nil, 0, feed.ErrPartial
		}
		if err := c.startCall(ctx, CallNewest, topicName); err != nil {
			return nil, 0, err
		}
	}
}

// Read implements feed.Log.
func (c *Client) Read(ctx context.Context, topicName string, from feed.Position, wait time.Duration, progress func()) ([]feed.Record, feed.Position, error) {
	if err := c.startCall(ctx, CallRead, topicName); err != nil {
		return nil, 0, err
	}
	var expired <-chan time.Time // nil without a wait: see loop.Sleep
	if wait > 0 {
		expired = time.After(wait)
	}
	c.store.mu.Lock()
	hung := c.hung
	c.store.mu.Unlock()
	for waitOver := wait == 0; ; {
		c.store.mu.Lock()
		mode, changed, all, end := c.effectiveMode(), c.store.changed, c.store.topic(topicName).records, c.store.end(topicName)
		c.store.mu.Unlock()
		switch {
		case mode == Resetting:
			return nil, 0, ErrReset
		case mode == Unresponsive:
			waitOver = false // a waiting read is answered after the outage
		case from.Era() != end.Era():
			progress()
			return nil, end, errors.Join(feed.ErrEraChanged, c.respond(ctx))
		case from < end:
			records := all[from.Offset():len(all):len(all)]
			return records, end, c.answer(ctx, records, progress)
		case waitOver:
			progress()
			return nil, end, c.respond(ctx)
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-hung:
			<-ctx.Done()
			return nil, 0, ctx.Err()
		case <-changed:
		case <-expired:
			waitOver = true
		}
	}
}

// End implements feed.Log.
func (c *Client) End(ctx context.Context, topicName string) (feed.Position, error) {
	if err := c.startCall(ctx, CallEnd, topicName); err != nil {
		return 0, err
	}
	c.store.mu.Lock()
	end := c.store.end(topicName)
	c.store.mu.Unlock()
	return end, c.respond(ctx)
}

// Append implements feed.Log.
func (c *Client) Append(ctx context.Context, topicName, key string, value []byte, at *feed.Position) error {
	if err := c.startCall(ctx, CallAppend, topicName); err != nil {
		return err
	}
	if err := c.append(topicName, key, value, at); err != nil {
		return err
	}
	return halfRoundTrip(ctx)
}

func (c *Client) append(topicName, key string, value []byte, at *feed.Position) error {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if end := c.store.end(topicName); at != nil && *at != end {
		return &feed.ConflictError{End: end}
	}
	c.store.put(topicName, key, value)
	if c.store.repliesToLose > 0 {
		c.store.repliesToLose--
		return ErrReset
	}
	return nil
}
