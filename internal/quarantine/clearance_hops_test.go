package quarantine

import (
	"testing"
	"time"
)

// Guards against a clearance that grows younger with each daemon that passes it on, and clears a crash
// after the success.
func TestClearanceThatPassedHopsKeepsLaterCrash(t *testing.T) {
	const request, crashes, transit, gap = 7, 2, 45 * time.Millisecond, 5 * time.Millisecond
	succeededAt := time.Second
	crashAt := succeededAt + recentSuccessWindow + 100*time.Millisecond
	all := []*Tracker{NewTracker(), NewTracker()}
	for _, tracker := range all {
		for key := range IncarnationKey(crashes) {
			tracker.RecordCrash(key, succeededAt, []Fingerprint{request}, succeededAt)
		}
	}
	all[0].RecordSuccess(request, succeededAt)
	crashed, now := false, succeededAt
	for from := 0; now < succeededAt+3*time.Second; from = 1 - from {
		if !crashed && now >= crashAt {
			crashed = true
			for _, tracker := range all {
				tracker.RecordCrash(crashes+1, now, []Fingerprint{request}, now)
			}
		}
		update := all[from].Update(now, false)
		now += transit
		all[1-from].Merge(update, now)
		now += gap
	}
	for i, tracker := range all {
		if got := tracker.Status(request, now).Crashes; got != 1 {
			t.Errorf("daemon %d: %d crashes after the success, want 1", i, got)
		}
	}
}
