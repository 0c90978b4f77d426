package relay

import (
	"slices"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/freshness"
)

// observeVersions records when this daemon first knew a server of each version. Versions are not
// forgotten, or one whose servers are away for a while would be taken for new. Callers hold the
// State's mu.
func (sv *service) observeVersions(now time.Duration) {
	for _, b := range sv.servers {
		if _, known := sv.versionSeen[b.Version]; !known {
			sv.versionSeen[b.Version] = now
		}
	}
}

// confirmedVersions restricts a choice of versions to those whose roll-out order this daemon
// knows, if there is one. An order precedes the servers of its version in the store, but may be
// read later; it is known once the operator's records are confirmed to be complete. Callers
// hold mu.
func (s *State) confirmedVersions(sv *service, admits func(version string) bool) func(version string) bool {
	age, known := s.confirmations.Age(freshness.Configuration, s.bootTime())
	if !known {
		return admits
	}
	confirmedAt := s.bootTime() - age
	var unconfirmed []string
	for version, seen := range sv.versionSeen {
		if seen > confirmedAt {
			unconfirmed = append(unconfirmed, version)
		}
	}
	if len(unconfirmed) == 0 {
		return admits
	}
	return func(version string) bool { return admits(version) && !slices.Contains(unconfirmed, version) }
}
