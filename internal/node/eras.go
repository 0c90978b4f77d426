package node

import (
	"sync/atomic"

	"github.com/damaskrudder/damaskrudder/internal/freshness"
)

// returned says of which subjects the records that are taken next are of a store that has come
// back from an older copy. It has lost what it took since: what it says of a subject is then
// less than what is known, until those who wrote it have written it again.
type returned [freshness.Subjects]atomic.Bool

// note records it for a subject.
func (r *returned) note(about freshness.Subject) { r[about].Store(true) }

// take reports it for a subject, once.
func (r *returned) take(about freshness.Subject) bool { return r[about].Swap(false) }
