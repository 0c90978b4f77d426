package flowcontrol

import (
	"testing"
	"time"
)

// Guards against large bodies that meet again at one server after they have ended another one, and
// against a bound that stays for ever.
func TestEndOfServerBoundsBodiesUntilTheBoundHasGrown(t *testing.T) {
	const body = 4 << 20
	var m ServerMemory
	now := start
	for range 3 {
		m.Add("a", body, now)
	}
	if !m.Admits("b", 100*body, now) || !m.Admits("a", body, now) {
		t.Fatal("a body is refused without a bound")
	}
	for range 3 {
		m.Add("a", -body, now)
	}
	if held, lowered := m.RecordEnd("a", now+time.Second); held != 3*body || !lowered {
		t.Fatalf("the end with %d bytes: lowered %t", held, lowered)
	}
	m.Add("b", body, now+time.Second)
	if !m.Admits("b", body, now+time.Second) || m.Admits("b", 2*body, now+time.Second) || !m.Admits("c", 9*body, now+time.Second) {
		t.Errorf("admitted beyond the bound of %d, or refused below it", m.Bound(now+time.Second))
	}
	if !m.Admits("b", 2*body, now+time.Second+boundGrowthTime) || !m.Admits("b", 100*body, now+time.Second+boundLifetime) {
		t.Error("the bound does not grow or end")
	}
}

// Guards against bounds by ends that have another cause than memory.
func TestEndWithFewBytesIsNoEvidence(t *testing.T) {
	var m ServerMemory
	m.Add("a", minEvidence-1, start)
	m.Add("b", 10*minEvidence, start)
	m.Add("b", -10*minEvidence, start)
	for server, at := range map[string]time.Duration{"a": start, "b": start + lostBodiesRetention + 1, "unknown": start} {
		if held, lowered := m.RecordEnd(server, at); lowered {
			t.Errorf("%s ended with %d bytes, which bounds others", server, held)
		}
	}
	m.Add("a", 1-minEvidence, start+time.Minute)
	m.Add("c", 1, start+time.Minute)
	m.Add("c", -1, start+2*time.Minute)
	if len(m.servers) > 1 {
		t.Errorf("%d servers that hold nothing are kept", len(m.servers))
	}
}
