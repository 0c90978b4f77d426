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
	r.Put(Server{ID: "b", Service: "s"})
	r.Put(Server{ID: "a", Service: "s"})
	r.Put(Server{ID: "c", Service: "other"})
	return r
}

func TestServersOfAServiceInOrder(t *testing.T) {
	r := with(t)
	if got := ids(r.Of("s", 0)); got != "ab" {
		t.Errorf("got %s", got)
	}
	r.Remove("a", 0)
	r.Remove("unknown", 0)
	if got := ids(r.Of("s", 0)); got != "b" {
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
	r.Healed(back)
	r.Remove("a", back+100*time.Millisecond)
	if got := ids(r.Of("s", back+time.Second)); got != "ab" {
		t.Errorf("a second after the return: %s", got)
	}
	if at, any := r.NextExpiry(); !any || at > back+returnWindow {
		t.Errorf("a counts until %s", at)
	}
	if got := ids(r.Of("s", back+returnWindow)); got != "b" {
		t.Errorf("after the window: %s", got)
	}
	if _, known := r.Get("a", back+returnWindow); known {
		t.Error("a is still known")
	}
}

func TestEntryThatCameBackStays(t *testing.T) {
	const back = time.Minute
	r := with(t)
	r.Healed(back)
	r.Remove("a", back)
	r.Put(Server{ID: "a", Service: "s"})
	if got := ids(r.Of("s", back+time.Hour)); got != "ab" {
		t.Errorf("got %s", got)
	}
}

// Symptom: a server got requests two seconds after it had said that it leaves and ended.
// Sequence: it says so, the store goes away and returns, its entry is gone.
// Cause: the entry was taken for one that had lapsed.
func TestServerThatSaidItLeavesIsGoneAtOnce(t *testing.T) {
	r := with(t)
	r.Put(Server{ID: "a", Service: "s", Leaving: true})
	r.Healed(time.Minute)
	r.Remove("a", time.Minute)
	if _, known := r.Get("a", time.Minute); known {
		t.Error("a is still known")
	}
}

func TestReplaceTakesTheRestAway(t *testing.T) {
	r := with(t)
	r.Replace([]Server{{ID: "b", Service: "s"}, {ID: "d", Service: "s"}}, 0)
	if got := ids(r.Of("s", 0)); got != "bd" {
		t.Errorf("got %s", got)
	}
}
