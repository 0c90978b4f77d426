package node

import (
	"sync/atomic"

	"github.com/damaskrudder/damaskrudder/internal/freshness"
)

// restoredSubjects says of which subjects the records that are taken next are of a store that has come
// back from an older copy. It has lost what it took since: what it says of a subject is then
// less than what is known, until those who wrote it have written it again.
type restoredSubjects [freshness.Subjects]atomic.Bool

// mark records it for a subject.
func (r *restoredSubjects) mark(about freshness.Subject) { r[about].Store(true) }

// consume reports it for a subject, once.
func (r *restoredSubjects) consume(about freshness.Subject) bool { return r[about].Swap(false) }
