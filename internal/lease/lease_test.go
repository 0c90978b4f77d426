package lease

import (
	"reflect"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// Guards against conflicting orders of two holders: a holder that was paused past the end of
// its lease must not act after another daemon has taken over.
func TestPausedHolderMayNotAct(t *testing.T) {
	s := NewState()
	claim, ok := s.Claim("p", "a", start)
	if !ok {
		t.Fatal("a free lease cannot be claimed")
	}
	s.Apply(0, claim, start)
	token, ok := s.MayAct("p", "a", start, start.Add(time.Second))
	if !ok || token != 1 {
		t.Fatalf("holder: token %d, %v", token, ok)
	}
	if _, ok := s.Claim("p", "b", start.Add(Duration+TakeoverDelay-time.Second)); ok {
		t.Fatal("taken over before TakeoverDelay has passed")
	}
	later := start.Add(Duration + TakeoverDelay)
	claim, ok = s.Claim("p", "b", later)
	if !ok {
		t.Fatal("an expired lease cannot be taken over")
	}
	s.Apply(1, claim, later)
	if _, ok := s.MayAct("p", "a", start, later); ok {
		t.Fatal("the paused holder may act")
	}
	newer, ok := s.MayAct("p", "b", later, later)
	if !ok || newer <= token {
		t.Fatalf("new holder: token %d after %d, %v", newer, token, ok)
	}
	// The server ignored fencing and executed the late order of the old holder.
	if got := Reconcile([]string{"m@v2"}, []string{"m@v1", "m@v2"}); !reflect.DeepEqual(got, []Order{{"unload", "m@v1"}}) {
		t.Fatalf("orders: %v", got)
	}
}

// Of two claims that supersede the same lease, the one with the lower offset wins.
func TestLowestOffsetWinsRacingClaims(t *testing.T) {
	s := NewState()
	s.Apply(0, Record{Name: "p", Owner: "a"}, start)
	s.Apply(1, Record{Name: "p", Owner: "b", Supersedes: 1}, start)
	s.Apply(2, Record{Name: "p", Owner: "c", Supersedes: 1}, start)
	s.Apply(1, Record{Name: "p", Owner: "x", Supersedes: 2}, start)
	if current := s.Current("p"); current.Owner != "b" || current.FencingToken != 2 {
		t.Fatalf("%+v", current)
	}
	if _, ok := s.Claim("p", "b", start.Add(RenewAfter)); !ok {
		t.Fatal("the holder cannot renew")
	}
	if _, ok := s.Claim("p", "b", start.Add(RenewAfter-time.Second)); ok {
		t.Fatal("the holder renews too early")
	}
}
