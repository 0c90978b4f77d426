package lease

import (
	"reflect"
	"testing"
	"time"
)

var at = time.Unix(1000, 0)

// Symptom: two daemons order a server about, and the older order comes last.
// Sequence: a holds the lease and is paused; its lease runs out; b takes over
// after the margin and orders; a wakes and finds a lease it once had.
// Cause: a must check its own clock right before each order; where it still acts,
// its fencing number is lower, and a server that ignores it is corrected by b's
// next round.
func TestPausedHolder(t *testing.T) {
	f := NewState()
	claim, ok := f.Claim("p", "a", at)
	if !ok {
		t.Fatal("a free lease cannot be claimed")
	}
	f.Apply(0, claim, at)
	fence, ok := f.MayAct("p", "a", at, at.Add(time.Second))
	if !ok || fence != 1 {
		t.Fatalf("holder: fence %d, %v", fence, ok)
	}
	if _, ok := f.Claim("p", "b", at.Add(Term+Margin-time.Second)); ok {
		t.Fatal("taken over before the margin")
	}
	later := at.Add(Term + Margin)
	claim, ok = f.Claim("p", "b", later)
	if !ok {
		t.Fatal("a lapsed lease cannot be taken over")
	}
	f.Apply(1, claim, later)
	if _, ok := f.MayAct("p", "a", at, later); ok {
		t.Fatal("the woken holder may act")
	}
	newer, ok := f.MayAct("p", "b", later, later)
	if !ok || newer <= fence {
		t.Fatalf("new holder: fence %d after %d, %v", newer, fence, ok)
	}
	// A server that ignores fencing took a's late order to load the old version.
	if got := Reconcile([]string{"m@v2"}, []string{"m@v1", "m@v2"}); !reflect.DeepEqual(got, []Order{{"unload", "m@v1"}}) {
		t.Fatalf("correction %v", got)
	}
}

// Symptom: two daemons both believe that they took a lapsed lease over.
// Sequence: both claim against the same predecessor.
// Cause: the log's order decides; the second claim supersedes nothing in force.
func TestRacingClaims(t *testing.T) {
	f := NewState()
	f.Apply(0, Record{Name: "p", Owner: "a"}, at)
	f.Apply(1, Record{Name: "p", Owner: "b", Supersedes: 1}, at)
	f.Apply(2, Record{Name: "p", Owner: "c", Supersedes: 1}, at)
	f.Apply(1, Record{Name: "p", Owner: "x", Supersedes: 2}, at)
	if cur := f.Current("p"); cur.Owner != "b" || cur.Fence != 2 {
		t.Fatalf("%+v", cur)
	}
	if _, ok := f.Claim("p", "b", at.Add(RenewAfter)); !ok {
		t.Fatal("the holder cannot renew")
	}
	if _, ok := f.Claim("p", "b", at.Add(RenewAfter-time.Second)); ok {
		t.Fatal("the holder renews too early")
	}
}
