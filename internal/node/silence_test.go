package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/feedtest"
	"github.com/damaskrudder/damaskrudder/internal/freshness"
)

// Guards against this failure: requests reached a backend server 2.1 to 2.9 s after it had
// said that it leaves, from every daemon; the bound is 2 s.
func TestServerThatLeavesAfterASilenceGetsNothingNew(t *testing.T) {
	for _, lapse := range []time.Duration{0, time.Second, 2 * time.Second, 5 * time.Second} {
		t.Run(fmt.Sprint("read ends ", lapse, " after the silence begins"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1)
				time.Sleep(storeWait + 900*time.Millisecond - lapse)
				f.store.SetMode(feedtest.Unresponsive)
				time.Sleep(6 * time.Second)
				f.store.SetMode(feedtest.Serving)
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

// Guards against this failure: every request with an API key was refused for 15 s after the
// store was back.
func TestKeysAreTrustedSoonAfterASilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		time.Sleep(storeWait)
		f.store.SetMode(feedtest.Unresponsive)
		time.Sleep(4 * time.Second)
		f.store.SetMode(feedtest.Serving)
		within(t, leaveBound, "the configuration is confirmed", func() bool {
			return f.member(address(0)).state.ConfirmedWithin(freshness.Configuration, time.Second)
		})
	})
}

// Guards against this failure: a server that leaves got requests up to 15 s after its word,
// from one daemon or from all.
func TestServerThatLeavesIsNoticedBesideAReadThatHangs(t *testing.T) {
	hangs := map[string]func(f *fleet){
		"silent connections": func(f *fleet) {
			f.each(func(m *member) { m.caller.HangPending() })
			time.Sleep(3 * time.Second)
		},
		"sent into the silence": func(f *fleet) {
			f.store.Put("servers", "c", []byte("ready"))
			time.Sleep(serversGather / 2)
			f.store.SetMode(feedtest.Unresponsive)
			time.Sleep(6 * time.Second)
			f.store.SetMode(feedtest.Serving)
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

// Guards against this failure: the same, from one daemon that does not reach the store.
func TestDaemonCutOffFromTheStoreHearsOfServersThatLeave(t *testing.T) {
	for _, mode := range []feedtest.Mode{feedtest.Unresponsive, feedtest.Refusing, feedtest.Resetting} {
		t.Run(fmt.Sprint("mode ", mode), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3)
				time.Sleep(5 * time.Second)
				f.member(address(1)).caller.SetMode(mode)
				time.Sleep(3 * time.Second)
				f.store.Put("servers", "a", []byte("leaving"))
				within(t, leaveBound/2, "the leaving is known everywhere", func() bool { return f.using("a") == 0 })
			})
		})
	}
}

// Guards against this failure: a roll-out's phase was written seconds late, after a conflict
// each quarter of a second.
func TestConflictTellsThatRolloutsAreBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		time.Sleep(5 * time.Second)
		m := f.member(address(0))
		m.caller.HangPending()
		f.store.Put("status", "rollout/s", []byte("x"))
		if err := m.writeStatus(t.Context(), orderOf("s"), 0, 0); err == nil {
			t.Fatal("written although another daemon has")
		}
		within(t, time.Second, "the phase of another daemon is read", func() bool { return m.statuses.Next() == 1 })
	})
}

// Guards against this failure: a service had no servers for two seconds after the store was
// back.
func TestLapsesAreToldFromServersThatLeftAfterAReadThatOutlivedTheSilence(t *testing.T) {
	for _, daemons := range []int{1, 3} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, daemons)
			time.Sleep(5 * time.Second)
			f.store.SetMode(feedtest.Unresponsive)
			time.Sleep(5 * time.Second)
			f.store.Put("servers", "a", nil)
			f.store.Put("servers", "b", nil)
			f.store.SetMode(feedtest.Serving)
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

// Guards against this failure: a server that had gone without a word got requests for 1.7 s
// more, from a daemon that alone had been cut off from the store.
func TestCutOffDaemonTakesNoRemovalForALapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		time.Sleep(5 * time.Second)
		f.member(address(1)).caller.SetMode(feedtest.Unresponsive)
		time.Sleep(5 * time.Second)
		f.member(address(1)).caller.SetMode(feedtest.Serving)
		time.Sleep(time.Second)
		f.store.Put("servers", "a", nil)
		within(t, leaveBound/2, "the server is gone everywhere", func() bool { return f.using("a") == 0 })
	})
}

// Guards against this failure: a daemon sends requests to a server that has gone for 1.7 s
// more.
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

// Guards against this failure: 54 of 58 daemons sent requests to a server 3.8 s after its
// entry was gone, and would have for good; the four daemons that read the store for all did
// not.
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
