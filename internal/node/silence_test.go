package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/feedtest"
	"github.com/damaskrudder/damaskrudder/internal/freshness"
)

// Symptom: requests reached a backend server 2.1 to 2.9 s after it had said that it
// leaves, from every daemon; the bound is 2 s.
// Sequence: the store does not answer for some seconds. The read of server entries, which
// waits for a change for 15 s at most, is given up in that time, and the next one is sent,
// which asks the store not to wait. The store is back. Three seconds later a server
// says that it leaves.
// Cause: the read that was sent into the silence was never answered, and was given the
// time of one that waits, 15.9 s. No other daemon was ahead, since all had lost their
// readings in the same millisecond, and nothing looked at the entries beside the read.
// Evidence: a daemon's lines of that time are "store lost topic=keyed.servers", then
// "reading anew ... limit_ms=15900", and no line of the entry nor "store answers" for 15 s.
func TestServerThatLeavesAfterASilenceGetsNothingNew(t *testing.T) {
	for _, lapse := range []time.Duration{0, time.Second, 2 * time.Second, 5 * time.Second} {
		t.Run(fmt.Sprint("read ends ", lapse, " after the silence begins"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1)
				time.Sleep(storeWait + 900*time.Millisecond - lapse)
				f.store.Set(feedtest.Silent)
				time.Sleep(6 * time.Second)
				f.store.Set(feedtest.Serving)
				time.Sleep(3 * time.Second)
				f.store.Put("servers", "a", []byte("leaving"))
				within(t, leaveBound/2, "the leaving is known", func() bool { return f.using("a") == 0 })
				if f.using("b") != 1 {
					t.Error("the other server is not used")
				}
			})
		})
	}
}

// Symptom: every request with an API key was refused for 15 s after the store was back.
// Sequence: the store does not answer for some seconds, in which the read of
// configurations that waited is given up and the next one is sent.
// Cause: as above. The look at configurations beside the read is spared while the read
// itself asks for an answer, and the read asked for 15.9 s.
// Evidence: the lines are "reading anew topic=keyed.op ... limit_ms=15900", and "refused
// kind=configuration_stale" until it is given up.
func TestKeysAreTrustedSoonAfterASilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		time.Sleep(storeWait)
		f.store.Set(feedtest.Silent)
		time.Sleep(4 * time.Second)
		f.store.Set(feedtest.Serving)
		within(t, leaveBound, "the configuration is confirmed", func() bool {
			return f.member(address(0)).state.Fresh(freshness.Configuration, time.Second)
		})
	})
}

// Symptom: a server that leaves got requests up to 15 s after its word, from one daemon
// or from all.
// Sequence: the connection on which the read of entries waits goes silent, without a
// reset, while new connections work; or the store goes silent between a record and the
// read that waits for the next. Later a server says that it leaves.
// Cause: only the end of its wait showed that the read hung, and only configurations were
// looked at beside the read.
func TestServerThatLeavesIsNoticedBesideAReadThatHangs(t *testing.T) {
	hangs := map[string]func(f *fleet){
		"silent connections": func(f *fleet) {
			f.each(func(m *member) { m.caller.Mute() })
			time.Sleep(3 * time.Second)
		},
		"sent into the silence": func(f *fleet) {
			f.store.Put("servers", "c", []byte("ready"))
			time.Sleep(serversGather / 2)
			f.store.Set(feedtest.Silent)
			time.Sleep(6 * time.Second)
			f.store.Set(feedtest.Serving)
			time.Sleep(3 * time.Second)
		},
	}
	for name, hang := range hangs {
		for _, daemons := range []int{1, 3, 12, 60} {
			t.Run(fmt.Sprint(name, "/", daemons, " daemons"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, daemons)
					time.Sleep(5 * time.Second)
					hang(f)
					f.store.Put("servers", "a", []byte("leaving"))
					within(t, f.bound/2, "the leaving is known everywhere", func() bool { return f.using("a") == 0 })
				})
			})
		}
	}
}

// Symptom: the same, from one daemon that does not reach the store.
// Sequence: the store serves all daemons but one; a server says that it leaves.
// Cause: in a small deployment every daemon reads the store, and one whose reading
// failed did not ask the others for what they had read.
func TestDaemonCutOffFromTheStoreHearsOfServersThatLeave(t *testing.T) {
	for _, mode := range []feedtest.Mode{feedtest.Silent, feedtest.Busy, feedtest.Reset} {
		t.Run(fmt.Sprint("mode ", mode), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3)
				time.Sleep(5 * time.Second)
				f.member(address(1)).caller.Set(mode)
				time.Sleep(3 * time.Second)
				f.store.Put("servers", "a", []byte("leaving"))
				within(t, leaveBound/2, "the leaving is known everywhere", func() bool { return f.using("a") == 0 })
			})
		})
	}
}

// Symptom: a roll-out's phase was written seconds late, after a conflict each quarter of
// a second.
// Sequence: the read of roll-outs hangs; another daemon has written a phase. This one
// writes on condition that nobody has.
// Cause: the refusal tells how far the topic goes, and was not taken as word that the
// reading is behind.
func TestConflictTellsThatRolloutsAreBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		time.Sleep(5 * time.Second)
		m := f.member(address(0))
		m.caller.Mute()
		f.store.Put("status", "rollout/s", []byte("x"))
		if err := m.writeStatus(t.Context(), orderOf("s"), 0, 0); err == nil {
			t.Fatal("written although another daemon has")
		}
		within(t, time.Second, "the phase of another daemon is read", func() bool { return m.statuses.Next() == 1 })
	})
}

// Symptom: a service had no servers for two seconds after the store was back.
// Sequence: the store is silent for some seconds, in which the entries of servers lapse. A
// read of entries that was sent before waits through it and is answered with the lapses,
// as the store returns. The servers live, and write their entries again.
// Cause: the outage was told by a read that failed, and none had.
func TestLapsesAreToldFromServersThatLeftAfterAReadThatOutlivedTheSilence(t *testing.T) {
	for _, daemons := range []int{1, 3} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, daemons)
			time.Sleep(5 * time.Second)
			f.store.Set(feedtest.Silent)
			time.Sleep(5 * time.Second)
			f.store.Put("servers", "a", nil)
			f.store.Put("servers", "b", nil)
			f.store.Set(feedtest.Serving)
			for range 10 {
				time.Sleep(100 * time.Millisecond)
				if f.using("a") != daemons || f.using("b") != daemons {
					t.Fatal("servers that live are taken as gone")
				}
			}
			f.store.Put("servers", "a", []byte("ready"))
			time.Sleep(2 * time.Second)
			if f.using("a") != daemons || f.using("b") != 0 {
				t.Error("the server that came back is not used, or the one that did not is")
			}
		})
	}
}

// Symptom: a server that had gone without a word got requests for 1.7 s more, from a daemon
// that alone had been cut off from the store.
// Sequence: one of three daemons gets no answer; a server's entry is removed.
// Cause: the daemon took its own cut for an outage of the store.
func TestCutOffDaemonTakesNoRemovalForALapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		time.Sleep(5 * time.Second)
		f.member(address(1)).caller.Set(feedtest.Silent)
		time.Sleep(5 * time.Second)
		f.member(address(1)).caller.Set(feedtest.Serving)
		time.Sleep(time.Second)
		f.store.Put("servers", "a", nil)
		within(t, leaveBound/2, "the server is gone everywhere", func() bool { return f.using("a") == 0 })
	})
}

// Symptom: a daemon sends requests to a server that has gone for 1.7 s more.
// Sequence: a daemon hears nobody for most of that time, as when its link is full, while
// the store answers all others and a server leaves without a word.
// Cause: the time without a confirmation was taken for an outage of the store, and the
// removal for a lapse.
func TestDaemonThatHeardNobodyTakesNoRemovalForALapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		time.Sleep(5 * time.Second)
		m := f.member(address(1))
		f.isolate(1, true)
		time.Sleep(leaveBound / 2)
		f.store.Put("servers", "a", nil)
		time.Sleep(leaveBound / 2)
		f.isolate(1, false)
		time.Sleep(leaveBound / 4)
		if m.uses("a") {
			t.Error("a server that has gone is used")
		}
	})
}

// Symptom: 54 of 58 daemons sent requests to a server 3.8 s after its entry was gone, and
// would have for good; the four daemons that read the store for all did not.
// Sequence: a server's entry is removed while the daemons that read for all gather changes.
// A daemon that has just started reads the newest record of each key, among which a removed
// one is not, and tells how far it has read. The others are behind it, and ask it for what
// they miss.
// Cause: it answered with the records that it had, as if they were all that there had been.
// Evidence: the daemons' lines: "server entry gone" at the four alone; the records before
// and after it at all, from the moment at which the started daemon had loaded.
func TestDaemonThatJustStartedDoesNotHideARemoval(t *testing.T) {
	const daemons = 12
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, daemons)
		time.Sleep(5 * time.Second)
		f.store.Put("servers", "c", []byte("ready"))
		time.Sleep(serversGather / 4)
		f.store.Put("servers", "a", nil)
		f.store.Put("servers", "d", []byte("ready"))
		f.start(daemons)
		within(t, leaveBound/2, "the server is gone everywhere", func() bool { return f.using("a") == 0 })
		if n := f.using("d"); n != daemons+1 {
			t.Errorf("%d daemons use the server that came", n)
		}
	})
}
