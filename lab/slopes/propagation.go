package main

import (
	"fmt"
	"math/rand/v2"

	"github.com/damaskrudder/damaskrudder/internal/membership"
)

// simulatePropagation returns the number of probe rounds until a configuration number
// has propagated from the daemons that read the log to all daemons.
func simulatePropagation(daemons, readers int, seed uint64) int {
	tables := make([]*membership.Table, daemons)
	members := make([]membership.Rumor, daemons)
	index := map[string]int{}
	for i := range daemons {
		id := fmt.Sprintf("d%03d", i)
		index[id] = i
		members[i].Info = membership.DaemonInfo{ID: id, PeerAddress: id, Incarnation: 1, Serving: true}
		tables[i] = membership.NewTable(members[i].Info, rand.New(rand.NewPCG(seed, uint64(i))))
	}
	informed := make([]bool, daemons)
	for i := range daemons {
		tables[i].Merge(members, startTime)
		informed[i] = i < readers
	}
	for round := 1; ; round++ {
		next := append([]bool(nil), informed...)
		complete := true
		for i, t := range tables {
			for _, m := range t.ProbeTargets() {
				j := index[m.ID]
				either := informed[i] || informed[j]
				next[i], next[j] = next[i] || either, next[j] || either
			}
		}
		copy(informed, next)
		for _, known := range informed {
			complete = complete && known
		}
		if complete {
			return round
		}
	}
}

// reportPropagation prints the maximum number of rounds over several seeds.
func reportPropagation() {
	fmt.Printf("\nspread: rounds of one second until every daemon has a new configuration, worst of 50 seeds\n")
	for _, n := range []int{6, 40, 160, 520} {
		worst := 0
		for seed := range 50 {
			worst = max(worst, simulatePropagation(n, min(n, 10), uint64(seed)))
		}
		fmt.Printf("%8d daemons, %2d read the log: %d rounds\n", n, min(n, 10), worst)
	}
}
