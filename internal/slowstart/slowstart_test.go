package slowstart

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var limit = Limit{WarmupPeriod: 3 * time.Second, PerSecond: 15, BurstFactor: 1.5, BurstSlack: 5}

func hash(i int) uint64 { return uint64(i+1) * 0x9E3779B97F4A7C15 }

// among is the view of daemon i that knows those from one number to another.
func among(i, from, to int, trusted bool) View {
	v := View{Self: hash(i), Trusted: trusted}
	for o := from; o < to; o++ {
		if o != i {
			v.Peers = append(v.Peers, hash(o))
		}
	}
	return v
}

// mostInASecond has every daemon send whenever it may and returns the most sends in a second.
func mostInASecond(l Limit, server uint64, views []View) (most int) {
	const step = 5 * time.Millisecond
	share, meters := l.Share(), make([]Pacer, len(views))
	var sent []time.Duration
	for now := time.Duration(0); now < 4*time.Second; now += step {
		for i, v := range views {
			if v.IsSender(server, share.Senders) && meters[i].Ready(share, now) {
				meters[i].RecordSend(now)
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

// Guards against a fleet that together sends a warming server more than it bears.
func TestFleetKeepsTheBoundOfAWarmingServer(t *testing.T) {
	for _, n := range []int{1, 6, 59, 195, 520} {
		views := map[string]func(i int) View{
			"all agree": func(i int) View { return among(i, 0, n, true) },
			"two halves apart": func(i int) View {
				if i < n/2 {
					return among(i, 0, n/2, true)
				}
				return among(i, n/2, n, true)
			},
			"a third cut off": func(i int) View {
				if i < n/3 {
					return among(i, i, i+1, false)
				}
				return among(i, n/3, n, true)
			},
		}
		for name, view := range views {
			t.Run(fmt.Sprint(n, " daemons/", name), func(t *testing.T) {
				all := make([]View, n)
				for i := range all {
					all[i] = view(i)
				}
				for server := range uint64(20) {
					if most := mostInASecond(limit, hash(int(server)), all); most > limit.Bound() {
						t.Errorf("%d sends in a second, %d are borne", most, limit.Bound())
					}
				}
			})
		}
	}
}

// Guards against parts that add up to more than a limit of any size.
func TestSharesStayWithinHalfOfTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limit{
			PerSecond:   rapid.Float64Range(0.01, 500).Draw(t, "per second"),
			BurstFactor: rapid.Float64Range(1, 3).Draw(t, "excess"), BurstSlack: rapid.Float64Range(0, 20).Draw(t, "slack"),
		}
		s := l.Share()
		inASecond := int(time.Second/s.Interval) + 1
		if s.Interval > time.Second {
			inASecond = 1
		}
		if got := s.Senders * inASecond; got > max(1, l.Bound()) {
			t.Fatalf("%d senders with %s: %d of %d in a second", s.Senders, s.Interval, got, l.Bound())
		}
		if rate := float64(s.Senders) * time.Second.Seconds() / s.Interval.Seconds(); rate > l.PerSecond*1.001 {
			t.Fatalf("%.2f a second of %.2f", rate, l.PerSecond)
		}
	})
}

// Guards against a server that nobody may send to, and one that more than a few may.
func TestEachServerHasItsSenders(t *testing.T) {
	const n = 59
	for server := range 50 {
		senders := 0
		for i := range n {
			if among(i, 0, n, true).IsSender(hash(1000+server), 4) {
				senders++
			}
		}
		if senders != 4 {
			t.Errorf("server %d has %d senders", server, senders)
		}
	}
}
