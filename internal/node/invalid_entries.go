package node

import "github.com/damaskrudder/damaskrudder/internal/backend"

// invalidEntries holds the reason for which each invalid server entry was rejected. Only the
// follower of server entries uses it.
type invalidEntries map[string]backend.InvalidReason

// maxInvalidEntries bounds the memory and the log lines that invalid entries can cause.
const maxInvalidEntries = 1024

// record reports whether an entry became invalid or is invalid for a new reason.
func (e invalidEntries) record(key string, reason backend.InvalidReason) bool {
	before, known := e[key]
	if known && before == reason || !known && len(e) >= maxInvalidEntries {
		return false
	}
	e[key] = reason
	return true
}

// clear removes an entry that is valid again or was removed.
func (e invalidEntries) clear(key string) { delete(e, key) }
