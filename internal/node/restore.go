package node

import (
	"sync/atomic"

	"github.com/damaskrudder/damaskrudder/internal/freshness"
)

// eraChanges marks the subjects whose next records come from a store that was restored from
// an older copy. Such records may lack recent changes until their writers repeat them.
type eraChanges [freshness.Subjects]atomic.Bool

// mark marks a subject.
func (r *eraChanges) mark(subject freshness.Subject) { r[subject].Store(true) }

// consume reports whether a subject is marked, and clears the mark.
func (r *eraChanges) consume(subject freshness.Subject) bool { return r[subject].Swap(false) }
