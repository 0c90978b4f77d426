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

// newTestRegistry returns a registry with servers a and b of one service and c of another.
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
		t.Errorf("got servers %s", got)
	}
	r.Remove("a", 0)
	r.Remove("unknown", 0)
	if got := ids(r.ForService("s", 0)); got != "b" {
		t.Errorf("after removing a: %s", got)
	}
}

// Guards against a service without servers after an outage of the store, when lapsed entries
// disappear before live servers renew them.
func TestLapsedEntriesKeptAfterOutage(t *testing.T) {
	const recovered = time.Minute
	r := newTestRegistry(t)
	r.StoreRecovered(recovered)
	r.Remove("a", recovered+100*time.Millisecond)
	if got := ids(r.ForService("s", recovered+time.Second)); got != "ab" {
		t.Errorf("a second after the recovery: %s", got)
	}
	if at, any := r.NextExpiry(); !any || at > recovered+recoveryGrace {
		t.Errorf("a expires at %s", at)
	}
	if got := ids(r.ForService("s", recovered+recoveryGrace)); got != "b" {
		t.Errorf("after recoveryGrace: %s", got)
	}
	if _, known, _ := r.Get("a", recovered+recoveryGrace); known {
		t.Error("a is still known")
	}
}

func TestRenewedEntryStays(t *testing.T) {
	const recovered = time.Minute
	r := newTestRegistry(t)
	r.StoreRecovered(recovered)
	r.Remove("a", recovered)
	r.Put(Server{Incarnation: Incarnation{Name: "a"}, Address: "a", Service: "s"})
	if got := ids(r.ForService("s", recovered+time.Hour)); got != "ab" {
		t.Errorf("got servers %s", got)
	}
}

// Guards against sends to a server that announced that it leaves, when its entry disappears
// after an outage.
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
		t.Errorf("got servers %s", got)
	}
}

// mustPut puts a valid entry.
func mustPut(t *testing.T, r *Registry, s Server) *Server {
	t.Helper()
	replaced, err := r.Put(s)
	if err != nil {
		t.Fatal(err)
	}
	return replaced
}

func testServer(name string, startMillis int64) Server {
	return Server{Incarnation: Incarnation{Name: name, StartMillis: startMillis}, Address: name, Service: "s", Slots: 4}
}

// Guards against treating a restarted server as still leaving.
func TestRestartReplacesIncarnation(t *testing.T) {
	r := NewRegistry()
	leaving := testServer("a", 100)
	leaving.Leaving = true
	mustPut(t, r, leaving)
	replaced := mustPut(t, r, testServer("a", 200))
	if replaced == nil || replaced.Incarnation.StartMillis != 100 {
		t.Fatalf("replaced: %+v", replaced)
	}
	servers := r.ForService("s", 0)
	if len(servers) != 1 || servers[0].Leaving || servers[0].ID == replaced.ID || servers[0].Incarnation.Name != "a" {
		t.Errorf("got %+v", servers)
	}
	again := testServer("a", 300)
	again.Leaving = true
	mustPut(t, r, again)
	if servers := r.ForService("s", 0); !servers[0].Leaving {
		t.Error("a new incarnation that leaves is not marked as leaving")
	}
}

// Guards against ending the requests of a run whose entry gains a start.
func TestEntryThatGainsStartIsNoRestart(t *testing.T) {
	r := NewRegistry()
	mustPut(t, r, testServer("a", 0))
	if replaced := mustPut(t, r, testServer("a", 200)); replaced != nil {
		t.Errorf("replaced: %+v", replaced)
	}
	if servers := r.ForService("s", 0); len(servers) != 1 || servers[0].Incarnation.StartMillis != 200 {
		t.Errorf("got %+v", servers)
	}
}

func TestUpdateOfSameIncarnation(t *testing.T) {
	r := NewRegistry()
	mustPut(t, r, testServer("a", 100))
	leaving := testServer("a", 100)
	leaving.Leaving = true
	if replaced := mustPut(t, r, leaving); replaced != nil {
		t.Errorf("replaced: %+v", replaced)
	}
}

// Guards against using the state of an earlier incarnation after the store applies writes out
// of order.
func TestOlderIncarnationRejected(t *testing.T) {
	r := NewRegistry()
	mustPut(t, r, testServer("a", 200))
	if _, err := r.Put(testServer("a", 100)); InvalidReasonOf(err) != Superseded {
		t.Errorf("error: %v", err)
	}
	if servers := r.ForService("s", 0); len(servers) != 1 || servers[0].Incarnation.StartMillis != 200 {
		t.Errorf("got %+v", servers)
	}
}

func TestEntryWithoutStartAfterOneWithStartRejected(t *testing.T) {
	r := NewRegistry()
	mustPut(t, r, testServer("a", 0))
	mustPut(t, r, testServer("a", 200))
	if _, err := r.Put(testServer("a", 0)); InvalidReasonOf(err) != FieldMissing {
		t.Errorf("error: %v", err)
	}
	if servers := r.ForService("s", 0); len(servers) != 0 {
		t.Errorf("got %+v", servers)
	}
	mustPut(t, r, testServer("a", 200))
	if servers := r.ForService("s", 0); len(servers) != 1 {
		t.Error("a valid entry does not make the server usable again")
	}
}

func TestUnusableServerExcluded(t *testing.T) {
	r := newTestRegistry(t)
	r.MarkUnusable("a")
	r.MarkUnusable("unknown")
	if got := ids(r.ForService("s", 0)); got != "b" {
		t.Errorf("got servers %s", got)
	}
	if _, known, usable := r.Get("a", 0); !known || usable {
		t.Errorf("known %t, usable %t", known, usable)
	}
	mustPut(t, r, Server{Incarnation: Incarnation{Name: "a"}, Address: "a", Service: "s"})
	if got := ids(r.ForService("s", 0)); got != "ab" {
		t.Errorf("after a valid entry: %s", got)
	}
}

// Guards against sends to a terminated server whose address was reassigned before its entry
// lapsed.
func TestLatestStartOwnsAddress(t *testing.T) {
	first, later := testServer("z", 100), testServer("a", 200)
	first.Address, later.Address = "same", "same"
	for _, order := range [][]Server{{first, later}, {later, first}} {
		r := NewRegistry()
		mustPut(t, r, order[0])
		mustPut(t, r, order[1])
		if servers := r.ForService("s", 0); len(servers) != 1 || servers[0].Incarnation != later.Incarnation {
			t.Errorf("got %+v", servers)
		}
	}
}

// Guards against excluding the live server of an address when neither entry has a start.
func TestSharedAddressWithoutStartKeepsBoth(t *testing.T) {
	first, later := testServer("z", 0), testServer("a", 0)
	first.Address, later.Address = "same", "same"
	r := NewRegistry()
	mustPut(t, r, first)
	mustPut(t, r, later)
	if servers := r.ForService("s", 0); len(servers) != 2 {
		t.Errorf("got %+v", servers)
	}
}
