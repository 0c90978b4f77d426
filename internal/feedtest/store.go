// Package feedtest has a store for tests in virtual time: keyed topics in memory, read by
// calls that can be left without an answer.
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

// roundTrip is the time of one call: the users' store answers within some milliseconds.
const roundTrip = 4 * time.Millisecond

// Mode is how the store treats a call.
type Mode int

// The modes of a store.
const (
	// Serving answers.
	Serving Mode = iota
	// Unresponsive never answers a call that comes meanwhile; one that waits is kept.
	Unresponsive
	// Refusing refuses at once; a call that waits is kept.
	Refusing
	// Resetting breaks every connection, also of calls that wait.
	Resetting
)

// ErrBusy and ErrReset are what callers get in the modes of these names.
var (
	ErrBusy  = errors.New("the store refuses")
	ErrReset = errors.New("the store reset the connection")
)

// Store implements feed.Log for one or more callers. Create callers with Caller.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	// era is how often the store has come back from a copy.
	era uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
	mode    Mode
	calls   int
	// by counts the calls by what was asked for and the topic.
	by map[Call]int
}

// Call is a kind of call.
type Call struct{ Kind, Topic string }

// The kinds of calls.
const (
	Newest, Read, End, CallAppend = "newest", "read", "end", "append"
)

type topic struct{ records []feed.Record }

// New returns an empty store that serves.
func New() *Store {
	return &Store{topics: map[string]*topic{}, changed: make(chan struct{}), by: map[Call]int{}}
}

// SetMode changes how all callers are treated.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	s.wake()
}

// Put writes a record; a nil value removes the key.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(name, key, value)
}

// put writes a record. Callers hold mu.
func (s *Store) put(name, key string, value []byte) {
	t := s.topic(name)
	t.records = append(t.records, feed.Record{Key: key, Value: value, At: feed.NewPosition(s.era, uint64(len(t.records)))})
	s.wake()
}

// Snapshot is the store's content at a moment.
type Snapshot struct{ topics map[string][]feed.Record }

// TakeSnapshot copies the store's content.
func (s *Store) TakeSnapshot() *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &Snapshot{topics: map[string][]feed.Record{}}
	for name, t := range s.topics {
		c.topics[name] = slices.Clone(t.records)
	}
	return c
}

// Restore has the store come back from a copy: what was written since is gone, and its offsets
// are given out again.
func (s *Store) Restore(c *Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	for name, t := range s.topics {
		t.records = slices.Clone(c.topics[name])
		for i := range t.records {
			t.records[i].At = feed.NewPosition(s.era, uint64(i))
		}
	}
	s.wake()
}

// KeyCount returns how many keys of a topic have a value.
func (s *Store) KeyCount(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := map[string]bool{}
	for _, r := range s.topic(name).records {
		newest[r.Key] = r.Value != nil
	}
	n := 0
	for _, valued := range newest {
		if valued {
			n++
		}
	}
	return n
}

// end returns where a topic ends. Callers hold mu.
func (s *Store) end(name string) feed.Position {
	return feed.NewPosition(s.era, uint64(len(s.topic(name).records)))
}

// CallCounts returns how many calls were made, by kind.
func (s *Store) CallCounts() map[Call]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.by)
}

// TotalCalls returns how many calls were made.
func (s *Store) TotalCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{}
		s.topics[name] = t
	}
	return t
}

// Client is one daemon's way to the store. Its own mode comes before the store's.
type Client struct {
	store *Store
	mode  Mode
	// mute says that calls which wait now are never answered.
	mute chan struct{}
	// held is open while answers stand still on their way.
	held chan struct{}
}

// NewClient returns a new way to the store.
func (s *Store) NewClient() *Client { return &Client{store: s, mute: make(chan struct{})} }

// SetMode changes how this caller alone is treated.
func (c *Client) SetMode(m Mode) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.mode = m
	c.store.wake()
}

// HangPending makes the connections of the calls that wait now go silent for good: they are
// neither answered nor reset, while new ones work.
func (c *Client) HangPending() {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	close(c.mute)
	c.mute = make(chan struct{})
}

// DelayResponses has answers to this caller stand still on their way, as on a link that is full, and
// go on.
func (c *Client) DelayResponses(on bool) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if on {
		c.held = make(chan struct{})
	} else if c.held != nil {
		close(c.held)
		c.held = nil
	}
}

// back takes an answer to the caller.
func (c *Client) back(ctx context.Context) error {
	c.store.mu.Lock()
	held := c.held
	c.store.mu.Unlock()
	if held != nil {
		select {
		case <-held:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return half(ctx)
}

// half takes half of a round trip.
func half(ctx context.Context) error {
	loop.Pause(ctx, roundTrip/2)
	return ctx.Err()
}

func (c *Client) effective() Mode {
	if c.mode != Serving {
		return c.mode
	}
	return c.store.mode
}

// enter takes one call to the store.
func (c *Client) enter(ctx context.Context, kind, topic string) error {
	if err := half(ctx); err != nil {
		return err
	}
	c.store.mu.Lock()
	c.store.calls++
	c.store.by[Call{kind, topic}]++
	mode := c.effective()
	c.store.mu.Unlock()
	switch mode {
	case Unresponsive:
		<-ctx.Done()
		return ctx.Err()
	case Refusing:
		return ErrBusy
	case Resetting:
		return ErrReset
	}
	return nil
}

// Newest implements feed.Log.
func (c *Client) Newest(ctx context.Context, name string, heard func()) ([]feed.Record, feed.Position, error) {
	if err := c.enter(ctx, Newest, name); err != nil {
		return nil, 0, err
	}
	c.store.mu.Lock()
	all, end := c.store.topic(name).records, c.store.end(name)
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
	heard()
	return out, end, c.back(ctx)
}

// Read implements feed.Log.
func (c *Client) Read(ctx context.Context, name string, from feed.Position, wait time.Duration, heard func()) ([]feed.Record, feed.Position, error) {
	if err := c.enter(ctx, Read, name); err != nil {
		return nil, 0, err
	}
	var over <-chan time.Time // a timer that is due at once crashes: see loop.Pause
	if wait > 0 {
		over = time.After(wait)
	}
	c.store.mu.Lock()
	mute := c.mute
	c.store.mu.Unlock()
	for ended := wait == 0; ; {
		c.store.mu.Lock()
		mode, changed, all, end := c.effective(), c.store.changed, c.store.topic(name).records, c.store.end(name)
		c.store.mu.Unlock()
		switch {
		case mode == Resetting:
			return nil, 0, ErrReset
		case mode == Unresponsive:
			ended = false // what waits is answered when the store is back
		case from.Era() != end.Era():
			heard()
			return nil, end, errors.Join(feed.ErrEraChanged, c.back(ctx))
		case from < end:
			heard()
			return all[from.Offset():len(all):len(all)], end, c.back(ctx)
		case ended:
			heard()
			return nil, end, c.back(ctx)
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-mute:
			<-ctx.Done()
			return nil, 0, ctx.Err()
		case <-changed:
		case <-over:
			ended = true
		}
	}
}

// End implements feed.Log.
func (c *Client) End(ctx context.Context, name string) (feed.Position, error) {
	if err := c.enter(ctx, End, name); err != nil {
		return 0, err
	}
	c.store.mu.Lock()
	end := c.store.end(name)
	c.store.mu.Unlock()
	return end, c.back(ctx)
}

// Append implements feed.Log.
func (c *Client) Append(ctx context.Context, name, key string, value []byte, at *feed.Position) error {
	if err := c.enter(ctx, CallAppend, name); err != nil {
		return err
	}
	if err := c.append(name, key, value, at); err != nil {
		return err
	}
	return half(ctx)
}

func (c *Client) append(name, key string, value []byte, at *feed.Position) error {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if end := c.store.end(name); at != nil && *at != end {
		return &feed.ConflictError{End: end}
	}
	c.store.put(name, key, value)
	return nil
}
