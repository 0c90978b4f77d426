package node

import (
	"testing"
	"time"
)

// Guards against drains that end on a look which a request has passed: one that is being read, one
// whose answer is not written, one admitted between the look and the refusal of further ones.
func TestDrainEndsOnlyAfterLastRequest(t *testing.T) {
	const limit = 7700 * time.Millisecond
	for _, c := range []struct {
		name string
		view drainView
		want drainStep
	}{
		{"too early", drainView{elapsed: minDrainTime - 1, sinceAdmission: time.Hour}, keepServing},
		{"clients still send", drainView{elapsed: minDrainTime, sinceAdmission: minIdleTime}, keepServing},
		{"a request is served", drainView{elapsed: minDrainTime, sinceAdmission: time.Hour, serving: 1}, keepServing},
		{"clients send for long", drainView{elapsed: refuseLongAfter, sinceAdmission: minIdleTime}, refuseLong},
		{"a request is read", drainView{elapsed: minDrainTime, sinceAdmission: time.Hour, pending: 1}, refuseAll},
		{"read at refusal", drainView{elapsed: minDrainTime, pending: 1, refusing: true}, finishPending},
		{"admitted before refusal", drainView{elapsed: minDrainTime, serving: 1, refusing: true}, finishPending},
		{"nothing left", drainView{elapsed: minDrainTime, refusing: true}, endDrain},
		{"answers have some time", drainView{elapsed: limit - responseMargin, serving: 1, pending: 1}, refuseAll},
		{"a request is read for long", drainView{elapsed: limit - responseMargin, pending: 1, refusing: true}, stopReading},
		{"the daemon would be killed", drainView{elapsed: limit, serving: 1, pending: 1, refusing: true}, endDrain},
	} {
		c.view.limit = limit
		if got := c.view.next(); got != c.want {
			t.Errorf("%s: step %d, want %d", c.name, got, c.want)
		}
	}
}
