package node

import "github.com/damaskrudder/damaskrudder/internal/backend"

// faults are the entries that name no server to use, and why. Only the follower of entries
// uses it.
type faults map[string]backend.InvalidReason

// mostFaults bounds what is remembered, and with it the lines of a day: entries come from
// other writers, as many as they like.
const mostFaults = 1024

// note reports whether an entry has turned bad, or is bad in another way than before.
func (f faults) note(key string, fault backend.InvalidReason) bool {
	before, known := f[key]
	if known && before == fault || !known && len(f) >= mostFaults {
		return false
	}
	f[key] = fault
	return true
}

// clear forgets an entry that is good or gone.
func (f faults) clear(key string) { delete(f, key) }
