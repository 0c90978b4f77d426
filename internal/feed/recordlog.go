package feed

import (
	"cmp"
	"slices"
)

// recordLog holds the newest record of each key of a topic in the order of their positions, for
// other readers. Adding a record takes constant time, and reading a page takes time in proportion
// to the page. It is not safe for concurrent use.
type recordLog struct {
	latest map[string]Record
	// order lists the positions of the records. Those that newer ones have replaced are
	// skipped, and dropped by compact.
	order []recordPosition
	// snapshotAt is the position of the last snapshot. Removals before it are unknown.
	snapshotAt Position
}

type recordPosition struct {
	at  Position
	key string
}

// minRecordLog is the length of the order up to which it is not compacted.
const minRecordLog = 64

func newRecordLog() *recordLog { return &recordLog{latest: map[string]Record{}} }

// reset replaces all records by those of a snapshot at a position. Records of later positions are
// left out, since they are read again.
func (l *recordLog) reset(records []Record, at Position) {
	l.latest, l.order, l.snapshotAt = make(map[string]Record, len(records)), nil, at
	kept := slices.DeleteFunc(slices.Clone(records), func(r Record) bool { return r.At >= at })
	slices.SortFunc(kept, func(a, b Record) int { return cmp.Compare(a.At, b.At) })
	l.add(kept)
}

// add adds records in the order of their positions. Those that are known already are left out.
func (l *recordLog) add(records []Record) {
	for _, r := range records {
		if n := len(l.order); n > 0 && r.At <= l.order[n-1].at {
			continue
		}
		l.latest[r.Key] = r
		l.order = append(l.order, recordPosition{r.At, r.Key})
	}
	if len(l.order) > 2*len(l.latest)+minRecordLog {
		l.compact()
	}
}

func (l *recordLog) compact() {
	l.order = slices.DeleteFunc(l.order, func(p recordPosition) bool { return l.latest[p.key].At != p.at })
}

// since returns the newest records from a position on, including removals, up to a size in bytes,
// but at least one. More reports that further ones follow, from next on.
func (l *recordLog) since(from Position, maxBytes int) (records []Record, next Position, more bool) {
	start, _ := slices.BinarySearchFunc(l.order, from, func(p recordPosition, at Position) int { return cmp.Compare(p.at, at) })
	size := 0
	for _, p := range l.order[start:] {
		r := l.latest[p.key]
		if r.At != p.at {
			continue
		}
		if size += len(r.Key) + len(r.Value); size > maxBytes && len(records) > 0 {
			return records, r.At, true
		}
		records = append(records, r)
	}
	return records, 0, false
}
