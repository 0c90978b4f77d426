package main

import (
	"fmt"
	"math/rand/v2"

	"github.com/damaskrudder/damaskrudder/internal/membership"
)

// spread measures how many rounds of probes bring a configuration number from
// the daemons that read the log to all daemons of a fleet, in virtual time.
func spread(daemons, readers int, seed uint64) int {
	tables := make([]*membership.Table, daemons)
	rows := make([]membership.Rumor, daemons)
	index := map[string]int{}
	for i := range daemons {
		id := fmt.Sprintf("d%03d", i)
		index[id] = i
		rows[i].Info = membership.DaemonInfo{ID: id, PeerAddress: id, Incarnation: 1, Serving: true}
		tables[i] = membership.NewTable(rows[i].Info, rand.New(rand.NewPCG(seed, uint64(i))))
	}
	knows := make([]bool, daemons)
	for i := range daemons {
		tables[i].Merge(rows, now)
		knows[i] = i < readers
	}
	for round := 1; ; round++ {
		learned := append([]bool(nil), knows...)
		all := true
		for i, t := range tables {
			for _, m := range t.ProbeTargets() {
				j := index[m.ID]
				either := knows[i] || knows[j]
				learned[i], learned[j] = learned[i] || either, learned[j] || either
			}
		}
		copy(knows, learned)
		for _, k := range knows {
			all = all && k
		}
		if all {
			return round
		}
	}
}

// reportSpread prints the worst of some seeds.
func reportSpread() {
	fmt.Printf("\nspread: rounds of one second until every daemon has a new configuration, worst of 50 seeds\n")
	for _, n := range []int{6, 40, 160, 520} {
		worst := 0
		for seed := range 50 {
			worst = max(worst, spread(n, min(n, 10), uint64(seed)))
		}
		fmt.Printf("%8d daemons, %2d read the log: %d rounds\n", n, min(n, 10), worst)
	}
}
