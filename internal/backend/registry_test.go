package backend

import (
	"testing"
	"time"
)

func ids(servers []Server) (out string) {
	for _, s := range servers {
		out += s.ID
	}
	return out
}

// newTestRegistry returns a registry of servers a and b of one service and c of another.
func newTestRegistry(t *testing.T) *Registry {
	t.Helper()
	r := NewRegistry()
	r.Put(Server{Incarnation: Incarnation{Name: "b"}, Address: "b", Service: "s"})
	r.Put(Server{Incarnation: Incarnation{Name: "a"}, Address: "a", Service: "s"})
	r.Put(Server{Incarnation: Incarnation{Name: "c"}, Address: "c", Service: "other"})
	return r
}

func TestForServiceOrder(t *testing.T) {
	r := newTestRegistry(t)
	if got := ids(r.ForService("s", 0)); got != "ab" {
		t.Errorf("got %s", got)
	}
	r.Remove("a", 0)
	r.Remove("unknown", 0)
	if got := ids(r.ForService("s", 0)); got != "b" {
		t.Errorf("after the end of a: %s", got)
	}
}

// Symptom: a service had no servers for two seconds after the store came back.
// Sequence: the store is away, entries lapse, and the store drops them as it returns;
// the servers live and write them again.
// Cause: every entry that went was taken for a server that had gone.
func TestLapsedEntriesKeptAfterOutage(t *testing.T) {
	const back = time.Minute
	r := newTestRegistry(t)
	r.StoreRecovered(back)
	r.Remove("a", back+100*time.Millisecond)
	if got := ids(r.ForService("s", back+time.Second)); got != "ab" {
		t.Errorf("a second after the return: %s", got)
	}
	if at, any := r.NextExpiry(); !any || at > back+recoveryGrace {
		t.Errorf("a counts until %s", at)
	}
	if got := ids(r.ForService("s", back+recoveryGrace)); got != "b" {
		t.Errorf("after the window: %s", got)
	}
	if _, known, _ := r.Get("a", back+recoveryGrace); known {
		t.Error("a is still known")
	}
}

func TestRenewedEntryStays(t *testing.T) {
	const back = time.Minute
	r := newTestRegistry(t)
	r.StoreRecovered(back)
	r.Remove("a", back)
	r.Put(Server{Incarnation: Incarnation{Name: "a"}, Address: "a", Service: "s"})
	if got := ids(r.ForService("s", back+time.Hour)); got != "ab" {
		t.Errorf("got %s", got)
	}
}

// Symptom: a server got requests two seconds after it had said that it leaves and ended.
// Sequence: it says so, the store goes away and returns, its entry is gone.
// Cause: the entry was taken for one that had lapsed.
func TestLeavingServerRemovedAtOnceAfterOutage(t *testing.T) {
	r := newTestRegistry(t)
	r.Put(Server{Incarnation: Incarnation{Name: "a"}, Address: "a", Service: "s", Leaving: true})
	r.StoreRecovered(time.Minute)
	r.Remove("a", time.Minute)
	if _, known, _ := r.Get("a", time.Minute); known {
		t.Error("a is still known")
	}
}

func TestRetainRemovesUnlistedServers(t *testing.T) {
	r := newTestRegistry(t)
	mustPut(t, r, Server{Incarnation: Incarnation{Name: "d"}, Address: "d", Service: "s"})
	r.Retain(map[string]bool{"b": true, "d": true}, 0)
	if got := ids(r.ForService("s", 0)); got != "bd" {
		t.Errorf("got %s", got)
	}
}

// mustPut takes an entry that is right.
func mustPut(t *testing.T, r *Registry, s Server) *Server {
	t.Helper()
	ended, err := r.Put(s)
	if err != nil {
		t.Fatal(err)
	}
	return ended
}

func testServer(name string, born int64) Server {
	return Server{Incarnation: Incarnation{Name: name, StartMillis: born}, Address: name, Service: "s", Slots: 4}
}

// Symptom: a server that had started again got nothing until its next start.
// Sequence: it says that it leaves, ends, and starts again under its id.
// Cause: a server's start was not told from a change of its entry.
func TestRestartReplacesIncarnation(t *testing.T) {
	r := NewRegistry()
	leaving := testServer("a", 100)
	leaving.Leaving = true
	mustPut(t, r, leaving)
	ended := mustPut(t, r, testServer("a", 200))
	if ended == nil || ended.Incarnation.StartMillis != 100 {
		t.Fatalf("ended is %+v", ended)
	}
	all := r.ForService("s", 0)
	if len(all) != 1 || all[0].Leaving || all[0].ID == ended.ID || all[0].Incarnation.Name != "a" {
		t.Errorf("got %+v", all)
	}
	again := testServer("a", 300)
	again.Leaving = true
	mustPut(t, r, again)
	if all := r.ForService("s", 0); !all[0].Leaving {
		t.Error("a run that is new and leaves is used")
	}
}

func TestUpdateOfSameIncarnation(t *testing.T) {
	r := NewRegistry()
	mustPut(t, r, testServer("a", 100))
	leaving := testServer("a", 100)
	leaving.Leaving = true
	if ended := mustPut(t, r, leaving); ended != nil {
		t.Errorf("ended is %+v", ended)
	}
}

// Symptom: requests went to an engine as if it still held what its earlier run had read.
// Sequence: the store carries out a write of the earlier run after one of the later run.
// Cause: the newest record was taken for the newest run.
func TestOlderIncarnationRejected(t *testing.T) {
	r := NewRegistry()
	mustPut(t, r, testServer("a", 200))
	if _, err := r.Put(testServer("a", 100)); InvalidReasonOf(err) != Superseded {
		t.Errorf("err %v", err)
	}
	if all := r.ForService("s", 0); len(all) != 1 || all[0].Incarnation.StartMillis != 200 {
		t.Errorf("got %+v", all)
	}
}

func TestEntryWithoutStartAfterOneWithStartRejected(t *testing.T) {
	r := NewRegistry()
	mustPut(t, r, testServer("a", 0))
	mustPut(t, r, testServer("a", 200))
	if _, err := r.Put(testServer("a", 0)); InvalidReasonOf(err) != FieldMissing {
		t.Errorf("err %v", err)
	}
	if all := r.ForService("s", 0); len(all) != 0 {
		t.Errorf("got %+v", all)
	}
	mustPut(t, r, testServer("a", 200))
	if all := r.ForService("s", 0); len(all) != 1 {
		t.Error("a good entry does not bring the server back")
	}
}

func TestUnusableServerExcluded(t *testing.T) {
	r := newTestRegistry(t)
	r.MarkUnusable("a")
	r.MarkUnusable("unknown")
	if got := ids(r.ForService("s", 0)); got != "b" {
		t.Errorf("got %s", got)
	}
	if _, known, usable := r.Get("a", 0); !known || usable {
		t.Errorf("known %t, usable %t", known, usable)
	}
	mustPut(t, r, Server{Incarnation: Incarnation{Name: "a"}, Address: "a", Service: "s"})
	if got := ids(r.ForService("s", 0)); got != "ab" {
		t.Errorf("after a good entry: %s", got)
	}
}

// Symptom: half of the sends to an address were refused unrun by the server there.
// Sequence: a server ends without a word; its address is given to another one while its
// own entry has not yet lapsed.
// Cause: both entries counted as servers.
func TestLatestStartOwnsAddress(t *testing.T) {
	first, later := testServer("z", 100), testServer("a", 200)
	first.Address, later.Address = "same", "same"
	for _, order := range [][]Server{{first, later}, {later, first}} {
		r := NewRegistry()
		mustPut(t, r, order[0])
		mustPut(t, r, order[1])
		if all := r.ForService("s", 0); len(all) != 1 || all[0].Incarnation != later.Incarnation {
			t.Errorf("got %+v", all)
		}
	}
}

// Symptom: every send to an address was refused unrun by the server there, for four seconds.
// Sequence: a server starts again under another id behind a cut; the store carries out a
// write of its earlier run after one of the later run, and neither states a start.
// Cause: one of the two was left out by a guess.
func TestSharedAddressWithoutStartKeepsBoth(t *testing.T) {
	first, later := testServer("z", 0), testServer("a", 0)
	first.Address, later.Address = "same", "same"
	r := NewRegistry()
	mustPut(t, r, first)
	mustPut(t, r, later)
	if all := r.ForService("s", 0); len(all) != 2 {
		t.Errorf("got %+v", all)
	}
}
