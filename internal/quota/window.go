// Package quota limits a workspace's requests and tokens over all daemons. The lessor
// of a meter, chosen by rendezvous hashing, leases small amounts to the other daemons.
// Nothing is persisted: a new lessor restores its state from the snapshots that the
// daemons received with their leases. The package does no I/O.
package quota

import "time"

const (
	// WindowSpan is the length of the sliding window.
	WindowSpan = time.Minute
	// bucketWidth is the window's resolution. A partly expired bucket is counted
	// in full, so up to bucketWidth/WindowSpan of a limit is not used.
	bucketWidth = 500 * time.Millisecond
	// LeaseTTL is how long a leased amount may be spent.
	LeaseTTL = time.Second
	// bucketCount covers WindowSpan and, for lessors, another LeaseTTL.
	bucketCount = int((WindowSpan+LeaseTTL)/bucketWidth) + 1
)

// Window sums amounts over a sliding time span. The zero value is empty.
type Window struct {
	buckets [bucketCount]int64
	newest  int64
}

func bucketOf(now time.Time) int64 { return now.UnixNano() / int64(bucketWidth) }

// Add adds n to the current bucket. A negative n corrects an earlier amount.
func (w *Window) Add(now time.Time, n int64) {
	w.advance(now)
	w.buckets[w.newest%int64(bucketCount)] += n
}

// AddToBucket adds n to a bucket if the window still contains it.
func (w *Window) AddToBucket(now time.Time, bucket, n int64) {
	w.advance(now)
	if bucket > w.newest || bucket <= w.newest-int64(bucketCount) || bucket < 0 {
		return
	}
	w.buckets[bucket%int64(bucketCount)] += n
}

// Sum returns the amount in the span that ends now, at least 0.
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

// TimeUntilFree returns the time until the amount in the span has fallen to limit-n, if
// nothing is added. It is used for Retry-After.
func (w *Window) TimeUntilFree(now time.Time, span time.Duration, limit, n int64) time.Duration {
	sum := w.Sum(now, span)
	spanBuckets := int64(span / bucketWidth)
	for b := w.newest - spanBuckets; b <= w.newest; b++ {
		if sum+n <= limit {
			return max(0, time.Duration(b+spanBuckets-w.newest)*bucketWidth)
		}
		if b >= 0 {
			sum -= w.buckets[b%int64(bucketCount)]
		}
	}
	return span
}

// WindowSnapshot is the encoded form of a window. Buckets are ordered from oldest to
// newest; Newest is the number of the last one.
type WindowSnapshot struct {
	Newest  int64   `cbor:"1,keyasint"`
	Buckets []int64 `cbor:"2,keyasint"`
}

// Snapshot returns the content of the window at the given time.
func (w *Window) Snapshot(now time.Time) WindowSnapshot {
	w.advance(now)
	snapshot := WindowSnapshot{Newest: w.newest, Buckets: make([]int64, bucketCount)}
	for i := range bucketCount {
		b := w.newest - int64(bucketCount-1-i)
		if b >= 0 {
			snapshot.Buckets[i] = w.buckets[b%int64(bucketCount)]
		}
	}
	return snapshot
}

// Merge sets every bucket to the larger of its own value and that of the snapshot. The
// larger value is the newer one, because a bucket only grows while it is current.
func (w *Window) Merge(now time.Time, snapshot WindowSnapshot) {
	w.advance(now)
	for i, v := range snapshot.Buckets {
		b := snapshot.Newest - int64(len(snapshot.Buckets)-1-i)
		if b > w.newest || b <= w.newest-int64(bucketCount) || b < 0 {
			continue
		}
		index := b % int64(bucketCount)
		w.buckets[index] = max(w.buckets[index], v)
	}
}
