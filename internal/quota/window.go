// Package quota limits a workspace's requests and tokens over many daemons. A
// home, chosen by rendezvous hashing, leases small amounts to the daemons that
// ask; nothing is stored, and a lost home is replaced from what its leases told.
// It does no I/O.
package quota

import "time"

const (
	// WindowSpan is the length of the sliding window.
	WindowSpan = time.Minute
	// bucketWidth is the window's resolution. A partly expired bucket counts
	// whole, so a limit is undershot by up to bucketWidth/Span (0.8%).
	bucketWidth = 500 * time.Millisecond
	// LeaseTerm is how long a leased amount may be spent.
	LeaseTerm = time.Second
	// bucketCount covers Span and, for homes, one LeaseTerm more.
	bucketCount = int((WindowSpan+LeaseTerm)/bucketWidth) + 1
)

// Window sums amounts over a sliding span.
type Window struct {
	buckets [bucketCount]int64
	newest  int64
}

func bucketOf(now time.Time) int64 { return now.UnixNano() / int64(bucketWidth) }

// Add counts n (which may be negative for a correction) at a time.
func (w *Window) Add(now time.Time, n int64) {
	w.advance(now)
	w.buckets[w.newest%int64(bucketCount)] += n
}

// AddAt counts n in a bucket if the window still holds it.
func (w *Window) AddAt(now time.Time, bucket, n int64) {
	w.advance(now)
	if bucket > w.newest || bucket <= w.newest-int64(bucketCount) || bucket < 0 {
		return
	}
	w.buckets[bucket%int64(bucketCount)] += n
}

// Sum returns the amount in the span that ends at a time.
func (w *Window) Sum(now time.Time, span time.Duration) int64 {
	w.advance(now)
	var sum int64
	for b := w.newest; b > w.newest-int64(span/bucketWidth)-1 && b >= 0; b-- {
		sum += w.buckets[b%int64(bucketCount)]
	}
	return max(sum, 0)
}

func (w *Window) advance(now time.Time) {
	b := bucketOf(now)
	if b-w.newest >= int64(bucketCount) {
		w.buckets = [bucketCount]int64{}
		w.newest = b
	}
	for w.newest < b {
		w.newest++
		w.buckets[w.newest%int64(bucketCount)] = 0
	}
}

// FreeAt returns when the span will hold at most limit-n, assuming nothing is
// added: the advice for Retry-After.
func (w *Window) FreeAt(now time.Time, span time.Duration, limit, n int64) time.Duration {
	sum := w.Sum(now, span)
	depth := int64(span / bucketWidth)
	for b := w.newest - depth; b <= w.newest; b++ {
		if sum+n <= limit {
			return max(0, time.Duration(b+depth-w.newest)*bucketWidth)
		}
		if b >= 0 {
			sum -= w.buckets[b%int64(bucketCount)]
		}
	}
	return span
}

// History is the compact form of a window that rides on leases, oldest first.
type History struct {
	Newest  int64   `cbor:"1,keyasint"`
	Buckets []int64 `cbor:"2,keyasint"`
}

// History returns the window's content at a time.
func (w *Window) History(now time.Time) History {
	w.advance(now)
	h := History{Newest: w.newest, Buckets: make([]int64, bucketCount)}
	for i := range bucketCount {
		b := w.newest - int64(bucketCount-1-i)
		if b >= 0 {
			h.Buckets[i] = w.buckets[b%int64(bucketCount)]
		}
	}
	return h
}

// Merge raises every bucket to at least the value a history gives for it. Taking
// the larger value is safe: a bucket only ever grows while it is current.
func (w *Window) Merge(now time.Time, h History) {
	w.advance(now)
	for i, v := range h.Buckets {
		b := h.Newest - int64(len(h.Buckets)-1-i)
		if b > w.newest || b <= w.newest-int64(bucketCount) || b < 0 {
			continue
		}
		at := b % int64(bucketCount)
		w.buckets[at] = max(w.buckets[at], v)
	}
}
