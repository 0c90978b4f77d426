package node

import "github.com/damaskrudder/damaskrudder/internal/backend"

// invalidEntries are the entries that name no server to use, and why. Only the follower of entries
// uses it.
type invalidEntries map[string]backend.InvalidReason

// maxInvalidEntries bounds what is remembered, and with it the lines of a day: entries come from
// other writers, as many as they like.
const maxInvalidEntries = 1024

// record reports whether an entry has turned bad, or is bad in another way than before.
func (f invalidEntries) record(key string, fault backend.InvalidReason) bool {
	before, known := f[key]
	if known && before == fault || !known && len(f) >= maxInvalidEntries {
		return false
	}
	f[key] = fault
	return true
}

// clear forgets an entry that is good or gone.
func (f invalidEntries) clear(key string) { delete(f, key) }
