package node

import (
	"cmp"
	"slices"
	"sync"

	"github.com/damaskrudder/damaskrudder/internal/feed"
	"github.com/damaskrudder/damaskrudder/internal/freshness"
)

// maxDeferred bounds the deferred confirmations of a subject.
const maxDeferred = 8

// deferredConfirmations holds confirmations by peers that have read further than this daemon. While
// a topic changes all the time, a daemon is always behind some peer; each confirmation holds once
// the daemon has read as far as the peer had.
type deferredConfirmations struct {
	mu        sync.Mutex
	bySubject [freshness.Subjects][]deferredConfirmation
}

type deferredConfirmation struct {
	position feed.Position
	freshness.Confirmation
}

// add defers a confirmation until a position has been read. Only the newest one of a position is
// kept. Of more than maxDeferred, those of the nearest positions are kept, since they are reached
// first.
func (d *deferredConfirmations) add(subject freshness.Subject, position feed.Position, c freshness.Confirmation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	deferred := d.bySubject[subject]
	if i := slices.IndexFunc(deferred, func(other deferredConfirmation) bool { return other.position == position }); i >= 0 {
		deferred[i].At = max(deferred[i].At, c.At)
		return
	}
	deferred = append(deferred, deferredConfirmation{position, c})
	slices.SortStableFunc(deferred, func(a, b deferredConfirmation) int { return cmp.Compare(a.position, b.position) })
	d.bySubject[subject] = deferred[:min(len(deferred), maxDeferred)]
}

// take returns the newest confirmation that holds at a position, and drops those up to it.
func (d *deferredConfirmations) take(subject freshness.Subject, next feed.Position) (newest freshness.Confirmation, found bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var left []deferredConfirmation
	for _, c := range d.bySubject[subject] {
		switch {
		case c.position > next:
			left = append(left, c)
		case !found || c.At > newest.At:
			newest, found = c.Confirmation, true
		}
	}
	d.bySubject[subject] = left
	return newest, found
}
