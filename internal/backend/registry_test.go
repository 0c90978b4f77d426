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

// with returns a registry of servers a and b of one service and c of another.
func with(t *testing.T) *Registry {
	t.Helper()
	r := NewRegistry()
	r.Put(Server{Incarnation: Incarnation{Name: "b"}, Address: "b", Service: "s"})
	r.Put(Server{Incarnation: Incarnation{Name: "a"}, Address: "a", Service: "s"})
	r.Put(Server{Incarnation: Incarnation{Name: "c"}, Address: "c", Service: "other"})
	return r
}

func TestServersOfAServiceInOrder(t *testing.T) {
	r := with(t)
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
func TestEntriesThatLapsedInAnOutageStayForAWhile(t *testing.T) {
	const back = time.Minute
	r := with(t)
	r.StoreRecovered(back)
	r.Remove("a", back+100*time.Millisecond)
	if got := ids(r.ForService("s", back+time.Second)); got != "ab" {
		t.Errorf("a second after the return: %s", got)
	}
	if at, any := r.NextExpiry(); !any || at > back+returnWindow {
		t.Errorf("a counts until %s", at)
	}
	if got := ids(r.ForService("s", back+returnWindow)); got != "b" {
		t.Errorf("after the window: %s", got)
	}
	if _, known, _ := r.Get("a", back+returnWindow); known {
		t.Error("a is still known")
	}
}

func TestEntryThatCameBackStays(t *testing.T) {
	const back = time.Minute
	r := with(t)
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
func TestServerThatSaidItLeavesIsGoneAtOnce(t *testing.T) {
	r := with(t)
	r.Put(Server{Incarnation: Incarnation{Name: "a"}, Address: "a", Service: "s", Leaving: true})
	r.StoreRecovered(time.Minute)
	r.Remove("a", time.Minute)
	if _, known, _ := r.Get("a", time.Minute); known {
		t.Error("a is still known")
	}
}

func TestRetainTakesTheRestAway(t *testing.T) {
	r := with(t)
	put(t, r, Server{Incarnation: Incarnation{Name: "d"}, Address: "d", Service: "s"})
	r.Retain(map[string]bool{"b": true, "d": true}, 0)
	if got := ids(r.ForService("s", 0)); got != "bd" {
		t.Errorf("got %s", got)
	}
}

// put takes an entry that is right.
func put(t *testing.T, r *Registry, s Server) *Server {
	t.Helper()
	ended, err := r.Put(s)
	if err != nil {
		t.Fatal(err)
	}
	return ended
}

func run(name string, born int64) Server {
	return Server{Incarnation: Incarnation{Name: name, StartMillis: born}, Address: name, Service: "s", Slots: 4}
}

// Symptom: a server that had started again got nothing until its next start.
// Sequence: it says that it leaves, ends, and starts again under its id.
// Cause: a server's start was not told from a change of its entry.
func TestServerThatStartsAgainBeginsAnew(t *testing.T) {
	r := NewRegistry()
	leaving := run("a", 100)
	leaving.Leaving = true
	put(t, r, leaving)
	ended := put(t, r, run("a", 200))
	if ended == nil || ended.Incarnation.StartMillis != 100 {
		t.Fatalf("ended is %+v", ended)
	}
	all := r.ForService("s", 0)
	if len(all) != 1 || all[0].Leaving || all[0].ID == ended.ID || all[0].Incarnation.Name != "a" {
		t.Errorf("got %+v", all)
	}
	again := run("a", 300)
	again.Leaving = true
	put(t, r, again)
	if all := r.ForService("s", 0); !all[0].Leaving {
		t.Error("a run that is new and leaves is used")
	}
}

func TestSameRunThatSaysMoreIsNotANewOne(t *testing.T) {
	r := NewRegistry()
	put(t, r, run("a", 100))
	leaving := run("a", 100)
	leaving.Leaving = true
	if ended := put(t, r, leaving); ended != nil {
		t.Errorf("ended is %+v", ended)
	}
}

// Symptom: requests went to an engine as if it still held what its earlier run had read.
// Sequence: the store carries out a write of the earlier run after one of the later run.
// Cause: the newest record was taken for the newest run.
func TestOlderRunNeverReplacesANewerOne(t *testing.T) {
	r := NewRegistry()
	put(t, r, run("a", 200))
	if _, err := r.Put(run("a", 100)); InvalidReasonOf(err) != Superseded {
		t.Errorf("err %v", err)
	}
	if all := r.ForService("s", 0); len(all) != 1 || all[0].Incarnation.StartMillis != 200 {
		t.Errorf("got %+v", all)
	}
}

func TestEntryWithoutAStartAfterOneWithNamesNoServer(t *testing.T) {
	r := NewRegistry()
	put(t, r, run("a", 0))
	put(t, r, run("a", 200))
	if _, err := r.Put(run("a", 0)); InvalidReasonOf(err) != FieldMissing {
		t.Errorf("err %v", err)
	}
	if all := r.ForService("s", 0); len(all) != 0 {
		t.Errorf("got %+v", all)
	}
	put(t, r, run("a", 200))
	if all := r.ForService("s", 0); len(all) != 1 {
		t.Error("a good entry does not bring the server back")
	}
}

func TestBarredServerIsNotUsedAndTheOthersAre(t *testing.T) {
	r := with(t)
	r.MarkUnusable("a")
	r.MarkUnusable("unknown")
	if got := ids(r.ForService("s", 0)); got != "b" {
		t.Errorf("got %s", got)
	}
	if _, known, usable := r.Get("a", 0); !known || usable {
		t.Errorf("known %t, usable %t", known, usable)
	}
	put(t, r, Server{Incarnation: Incarnation{Name: "a"}, Address: "a", Service: "s"})
	if got := ids(r.ForService("s", 0)); got != "ab" {
		t.Errorf("after a good entry: %s", got)
	}
}

// Symptom: half of the sends to an address were refused unrun by the server there.
// Sequence: a server ends without a word; its address is given to another one while its
// own entry has not yet lapsed.
// Cause: both entries counted as servers.
func TestAddressBelongsToTheServerThatStartedLater(t *testing.T) {
	first, later := run("z", 100), run("a", 200)
	first.Address, later.Address = "same", "same"
	for _, order := range [][]Server{{first, later}, {later, first}} {
		r := NewRegistry()
		put(t, r, order[0])
		put(t, r, order[1])
		if all := r.ForService("s", 0); len(all) != 1 || all[0].Incarnation != later.Incarnation {
			t.Errorf("got %+v", all)
		}
	}
}

// Symptom: every send to an address was refused unrun by the server there, for four seconds.
// Sequence: a server starts again under another id behind a cut; the store carries out a
// write of its earlier run after one of the later run, and neither states a start.
// Cause: one of the two was left out by a guess.
func TestBothServersOfAnAddressStayWhereNoStartTells(t *testing.T) {
	first, later := run("z", 0), run("a", 0)
	first.Address, later.Address = "same", "same"
	r := NewRegistry()
	put(t, r, first)
	put(t, r, later)
	if all := r.ForService("s", 0); len(all) != 2 {
		t.Errorf("got %+v", all)
	}
}
