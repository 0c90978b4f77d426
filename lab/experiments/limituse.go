package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/serverlimit"
	"github.com/damaskrudder/damaskrudder/internal/slowstart"
)

const (
	// useServers is the number of servers, which state the same rate.
	useServers = 9
	// useFrom and useUntil bound the period that is measured.
	useFrom, useUntil = 8 * time.Second, 24 * time.Second
	// hopDelay is the time for a message between daemons.
	hopDelay = time.Millisecond
	// maxAsked is the number of other daemons that a request may be passed to or ask.
	maxAsked = 3
	// permitHorizon is how far ahead a home reserves permits, at most, and fewPermits the number of
	// permits that a home with few reserves.
	permitHorizon = 500 * time.Millisecond
	fewPermits    = 2
	// homeInterval is the interval of a home's permits, as a multiple of that of the stated rate.
	homeInterval = 1.05
)

// useRates are the stated rates in requests per second, useDemands the demands as multiples of the
// sum of the rates.
var (
	useRates   = []float64{1, 5, 20}
	useDemands = []float64{0.5, 1, 1.4, 3, 10}
	useSizes   = []int{1, 6, 30, 60, 195, 520, 985, 2000}
)

// limitUse is one trial of a way to share the limits of servers.
type limitUse struct {
	rng     *rand.Rand
	daemons int
	rate    float64
	// senders holds the pacers of each server's senders, by daemon.
	senders []map[int]*selectedSender
	// homes are the next free moments of the servers' homes.
	homes []time.Duration
	// noneBefore is what a daemon has learned of a server's next free moment.
	noneBefore map[[2]int]time.Duration

	arrivals                  [useServers][]time.Duration
	offered, served, messages int
	added                     time.Duration
}

func newLimitUse(seed uint64, daemons int, rate float64) *limitUse {
	u := &limitUse{rng: rand.New(rand.NewPCG(seed, uint64(daemons))), daemons: daemons, rate: rate, homes: make([]time.Duration, useServers), noneBefore: map[[2]int]time.Duration{}}
	share := serverlimit.ShareOf(rate, daemons)
	for server := range useServers {
		hash := daemonHash(server) ^ seed*7919
		order := make([]int, daemons)
		for i := range order {
			order[i] = i
		}
		slices.SortFunc(order, func(a, b int) int {
			if slowstart.Precedes(daemonHash(a), daemonHash(b), hash) {
				return -1
			}
			return 1
		})
		u.senders = append(u.senders, map[int]*selectedSender{})
		for _, daemon := range order[:share.Senders] {
			u.senders[server][daemon] = newSelectedSender(share, true)
		}
	}
	return u
}

// send sends through a daemon that has a share of some server left, and reports whether it could.
func (u *limitUse) send(daemon int, now, added time.Duration) bool {
	for _, server := range u.rng.Perm(useServers) {
		if s := u.senders[server][daemon]; s != nil && s.canSend(now+added) {
			s.recordSend(now + added)
			u.serve(server, now, added)
			return true
		}
	}
	return false
}

// serve counts a request that reaches a server.
func (u *limitUse) serve(server int, now, added time.Duration) {
	u.arrivals[server] = append(u.arrivals[server], now+added+time.Duration(u.rng.Int64N(int64(maxNetworkDelay))))
	if now >= useFrom {
		u.served++
		u.added += added
	}
}

// limitUseWays serve a request that arrived at a daemon, or refuse it.
var limitUseWays = []struct {
	name  string
	serve func(u *limitUse, daemon int, now time.Duration)
}{
	{"refused without a share", func(u *limitUse, daemon int, now time.Duration) { u.send(daemon, now, 0) }},
	{"passed to any daemons", func(u *limitUse, daemon int, now time.Duration) {
		for hops := time.Duration(0); hops <= maxAsked; hops++ {
			if u.send(daemon, now, hops*hopDelay) {
				return
			}
			daemon = u.rng.IntN(u.daemons)
			u.messages += 2
		}
	}},
	{"passed to senders", func(u *limitUse, daemon int, now time.Duration) {
		if u.send(daemon, now, 0) {
			return
		}
		for asked, server := range u.rng.Perm(useServers)[:maxAsked] {
			u.messages += 2
			if u.send(u.anySender(server), now, time.Duration(2*asked+1)*hopDelay) {
				return
			}
		}
	}},
	{"permit of a sender, reserved", func(u *limitUse, daemon int, now time.Duration) { u.askSenders(daemon, now, permitHorizon) }},
	{"permit of the home, now", func(u *limitUse, daemon int, now time.Duration) { u.askHomes(daemon, now, 0) }},
	{"permit of the home, reserved", func(u *limitUse, daemon int, now time.Duration) { u.askHomes(daemon, now, permitHorizon) }},
	{"permit of the home, few reserved", func(u *limitUse, daemon int, now time.Duration) {
		u.askHomes(daemon, now, min(permitHorizon, fewPermits*u.permitInterval()))
	}},
}

// anySender returns a random sender of a server.
func (u *limitUse) anySender(server int) int {
	var all []int
	for daemon := range u.senders[server] {
		all = append(all, daemon)
	}
	slices.Sort(all)
	return all[u.rng.IntN(len(all))]
}

// askSenders reserves a send of this daemon's or of another sender within a time. Senders that are known
// to have no room are not asked.
func (u *limitUse) askSenders(daemon int, now, horizon time.Duration) {
	if u.send(daemon, now, 0) {
		return
	}
	for _, server := range u.rng.Perm(useServers) {
		if s := u.senders[server][daemon]; s != nil && s.Remaining(s.share, now) <= horizon {
			u.reserve(s, server, now, 0)
			return
		}
	}
	asked := 0
	for _, server := range u.rng.Perm(useServers) {
		sender := u.anySender(server)
		key, at := [2]int{daemon, server*u.daemons + sender}, now+time.Duration(2*asked+1)*hopDelay
		if asked == maxAsked || sender == daemon || u.noneBefore[key] > at+horizon {
			continue
		}
		asked++
		u.messages += 2
		s := u.senders[server][sender]
		if remaining := s.Remaining(s.share, at); remaining > horizon {
			u.noneBefore[key] = at + remaining
			continue
		}
		u.reserve(s, server, now, at+hopDelay-now)
		return
	}
}

// reserve uses the next send of a sender for a request that arrived at a time.
func (u *limitUse) reserve(s *selectedSender, server int, now, added time.Duration) {
	added += s.Remaining(s.share, now+added)
	s.recordSend(now + added)
	u.serve(server, now, added)
}

// askHomes asks the homes of servers for a permit within a time. Homes that are known to have none
// are not asked.
func (u *limitUse) askHomes(daemon int, now, horizon time.Duration) {
	asked := 0
	for _, server := range u.rng.Perm(useServers) {
		at := now + time.Duration(2*asked+1)*hopDelay
		if asked == maxAsked || u.noneBefore[[2]int{daemon, server}] > at+horizon {
			continue
		}
		asked++
		u.messages += 2
		free := max(at, u.homes[server])
		if free > at+horizon {
			u.noneBefore[[2]int{daemon, server}] = free
			continue
		}
		u.homes[server] = free + u.permitInterval()
		u.serve(server, now, free+hopDelay-now)
		return
	}
}

// permitInterval is the interval of a home's permits.
func (u *limitUse) permitInterval() time.Duration {
	return time.Duration(homeInterval / u.rate * float64(time.Second))
}

// run offers a demand until useUntil, at random daemons and times.
func (u *limitUse) run(demand float64, serve func(u *limitUse, daemon int, now time.Duration)) {
	perSecond := demand * u.rate * useServers
	now := time.Duration(0)
	for {
		now += time.Duration(u.rng.ExpFloat64() / perSecond * float64(time.Second))
		if now >= useUntil {
			return
		}
		if now >= useFrom {
			u.offered++
		}
		serve(u, u.rng.IntN(u.daemons), now)
	}
}

// values returns what is measured of a trial, in the order of limitUseRows.
func (u *limitUse) values(demand float64) []float64 {
	span := (useUntil - useFrom).Seconds()
	worst := 0
	for _, arrivals := range u.arrivals {
		slices.Sort(arrivals)
		worst = max(worst, mostInWindow(arrivals, limitWindow))
	}
	return []float64{
		float64(u.served) / (u.rate * useServers * span * min(1, demand)),
		float64(worst) / (limitFactor*u.rate*limitWindow.Seconds() + limitSlack),
		1 - float64(u.served)/float64(max(1, u.offered)),
		float64(u.messages) / useUntil.Seconds() / float64(u.daemons),
		u.added.Seconds() * 1000 / float64(max(1, u.served)),
	}
}

// limitUseRows returns the rows of a way.
func limitUseRows(way string) []row {
	return []row{
		{name: way + ": used of offered and stated", target: 0.9, atLeast: true},
		{name: "  most in a window / allowed", target: 1},
		{name: "  part of the requests refused"},
		{name: "  messages a daemon, a second"},
		{name: "  added to a request, ms"},
	}
}

// mostInWindow returns the largest number of sorted times within a window.
func mostInWindow(times []time.Duration, window time.Duration) (most int) {
	first := 0
	for i, at := range times {
		for at-times[first] > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func limitUseTable(out io.Writer, seeds int) {
	for _, rate := range useRates {
		for _, demand := range useDemands {
			for _, n := range useSizes {
				var rows []row
				for _, way := range limitUseWays {
					rows = append(rows, limitUseRows(way.name)...)
				}
				collectValues(seeds, rows, func(seed uint64) (values []float64) {
					for _, way := range limitUseWays {
						u := newLimitUse(seed, n, rate)
						u.run(demand, way.serve)
						values = append(values, u.values(demand)...)
					}
					return values
				})
				writeTable(out, fmt.Sprintf("use of limits of %g a second: %d daemons, demand %g times the limits", rate, n, demand), rows)
			}
		}
	}
}
