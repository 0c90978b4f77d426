package slowstart

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var limit = Limit{WarmupPeriod: 3 * time.Second, PerSecond: 15, BurstFactor: 1.5, Burst: 5}

func hash(i int) uint64 { return uint64(i+1) * 0x9E3779B97F4A7C15 }

// viewOf returns the view of daemon i, whose peers are the daemons from to to-1.
func viewOf(i, from, to int, trusted bool) View {
	v := View{Self: hash(i), Trusted: trusted}
	for peer := from; peer < to; peer++ {
		if peer != i {
			v.Peers = append(v.Peers, hash(peer))
		}
	}
	return v
}

// maxSendsPerSecond simulates daemons that send whenever allowed, and returns the most sends in
// any second.
func maxSendsPerSecond(l Limit, server uint64, views []View) (most int) {
	return maxSendsWithChangingViews(l, server, len(views), func(i int, _ time.Duration) View { return views[i] })
}

// maxSendsWithChangingViews is maxSendsPerSecond for views that depend on the time.
func maxSendsWithChangingViews(l Limit, server uint64, daemons int, view func(i int, now time.Duration) View) (most int) {
	const step = 5 * time.Millisecond
	share, pacers := l.Share(), make([]Pacer, daemons)
	var sent []time.Duration
	for now := time.Duration(0); now < 4*time.Second; now += step {
		for i := range daemons {
			pacers[i].SetSender(view(i, now).IsSender(server, share.Senders), share, now)
			if pacers[i].Ready(share, now) {
				pacers[i].RecordSend(now)
				sent = append(sent, now)
			}
		}
	}
	for i := range sent {
		n, _ := slices.BinarySearch(sent[i:], sent[i]+time.Second)
		most = max(most, n)
	}
	return most
}

// Guards against the fleet exceeding the limit of a warming server, also when partitioned.
func TestFleetStaysWithinWarmupLimit(t *testing.T) {
	for _, n := range []int{1, 6, 59, 195, 520} {
		views := map[string]func(i int) View{
			"all agree": func(i int) View { return viewOf(i, 0, n, true) },
			"partition into halves": func(i int) View {
				if i < n/2 {
					return viewOf(i, 0, n/2, true)
				}
				return viewOf(i, n/2, n, true)
			},
			"a third isolated": func(i int) View {
				if i < n/3 {
					return viewOf(i, i, i+1, false)
				}
				return viewOf(i, n/3, n, true)
			},
		}
		for name, view := range views {
			t.Run(fmt.Sprint(n, " daemons/", name), func(t *testing.T) {
				all := make([]View, n)
				for i := range all {
					all[i] = view(i)
				}
				for server := range uint64(20) {
					if most := maxSendsPerSecond(limit, hash(int(server)), all); most > limit.MaxPerSecond() {
						t.Errorf("%d sends in a second, limit %d", most, limit.MaxPerSecond())
					}
				}
			})
		}
	}
}

// Guards against sends by more daemons than a limit is divided among, while views differ.
func TestChangingViewsStayWithinWarmupLimit(t *testing.T) {
	const hidden, viewPeriod = 0.3, 250 * time.Millisecond
	for _, n := range []int{6, 12, 59, 195} {
		for _, l := range []Limit{limit, {WarmupPeriod: 3 * time.Second, PerSecond: 2, BurstFactor: 1.5, Burst: 3}} {
			for seed := range uint64(20) {
				rng := rand.New(rand.NewPCG(seed, uint64(n)))
				views, drawnAt := make([]View, n), time.Duration(-1)
				most := maxSendsWithChangingViews(l, hash(1000), n, func(i int, now time.Duration) View {
					if at := now / viewPeriod; at != drawnAt {
						drawnAt = at
						for j := range views {
							views[j] = viewOf(j, 0, n, true)
							views[j].Peers = slices.DeleteFunc(views[j].Peers, func(uint64) bool { return rng.Float64() < hidden })
						}
					}
					return views[i]
				})
				if most > l.MaxPerSecond() {
					t.Errorf("%d daemons, %g per second, seed %d: %d sends in a second, limit %d", n, l.PerSecond, seed, most, l.MaxPerSecond())
				}
			}
		}
	}
}

// Guards against shares that add up to more than the limit.
func TestSharesStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limit{
			PerSecond:   rapid.Float64Range(0.01, 500).Draw(t, "per second"),
			BurstFactor: rapid.Float64Range(1, 3).Draw(t, "burst factor"), Burst: rapid.Float64Range(0, 20).Draw(t, "burst slack"),
		}
		s := l.Share()
		inASecond := int(time.Second/s.Interval) + 1
		if s.Interval > time.Second {
			inASecond = 1
		}
		if got := s.Senders * inASecond; got > max(1, l.MaxPerSecond()) {
			t.Fatalf("%d senders at interval %s: %d sends in a second, limit %d", s.Senders, s.Interval, got, l.MaxPerSecond())
		}
		if rate := float64(s.Senders) * time.Second.Seconds() / s.Interval.Seconds(); rate > l.PerSecond*1.001 {
			t.Fatalf("%.2f sends per second, limit %.2f", rate, l.PerSecond)
		}
	})
}

// Every server must have exactly as many senders as there are shares.
func TestEachServerHasFourSenders(t *testing.T) {
	const n = 59
	for server := range 50 {
		senders := 0
		for i := range n {
			if viewOf(i, 0, n, true).IsSender(hash(1000+server), 4) {
				senders++
			}
		}
		if senders != 4 {
			t.Errorf("server %d has %d senders", server, senders)
		}
	}
}
