// Command experiments compares the decision algorithms with simple baselines in virtual
// time and prints one table per topic. The output depends only on the number of seeds.
//
//	go run ./lab/experiments
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
)

type experiment struct {
	name string
	run  func(out io.Writer, seeds int)
}

var experiments = []experiment{
	{"routing", routingTable},
	{"cascade", cascadeTable},
	{"rollout", rolloutTable},
	{"limits", limitsTable},
	{"slowstart", slowStartTable},
	{"serverlimit", serverLimitTable},
	{"limituse", limitUseTable},
}

func main() {
	seeds := flag.Int("seeds", 20, "number of seeds")
	only := flag.String("only", "", "run one matter only")
	flag.Parse()
	ran := false
	for _, e := range experiments {
		if *only == "" || strings.EqualFold(*only, e.name) {
			e.run(os.Stdout, *seeds)
			ran = true
		}
	}
	if !ran {
		fmt.Fprintf(os.Stderr, "experiments: no matter %q\n", *only)
		os.Exit(2)
	}
}
