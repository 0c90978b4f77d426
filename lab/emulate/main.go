// Command emulate runs fleets of daemons in virtual time: the control code of the product, with
// an in-memory store and network. It measures what a daemon of each role costs, and the time that
// a change or a failure takes to reach all daemons.
//
//	go run ./lab/emulate -daemons 100,300,1000 -seconds 20 -out report
//
// The clock is virtual, so the results do not depend on the machine's speed. Daemons run
// concurrently, so counts vary slightly between runs.
package main

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

func main() {
	testing.Init() // registers the flags that testing.Main reads
	daemons := flag.String("daemons", "30,100,300", "sizes of the fleets, separated by commas")
	serversPerDaemon := flag.Int("servers-per-daemon", 10, "backend servers per daemon")
	seconds := flag.Int("seconds", 20, "how long each fleet idles while it is measured")
	out := flag.String("out", "", "prefix of the files for the table as CSV and SVG; none by default")
	flag.Parse()
	sizes, err := parseSizes(*daemons)
	if err != nil {
		fmt.Fprintln(os.Stderr, "emulate:", err)
		os.Exit(2)
	}
	// Only tests have a virtual clock.
	emulation := testing.InternalTest{Name: "emulate", F: func(t *testing.T) {
		if err := run(t, sizes, *serversPerDaemon, time.Duration(*seconds)*time.Second, *out); err != nil {
			t.Fatal(err)
		}
	}}
	matchAll := func(string, string) (bool, error) { return true, nil }
	testing.Main(matchAll, []testing.InternalTest{emulation}, nil, nil)
}

func parseSizes(list string) ([]int, error) {
	var sizes []int
	for field := range strings.SplitSeq(list, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || n < 1 {
			return nil, fmt.Errorf("-daemons: %q is not a positive number", field)
		}
		sizes = append(sizes, n)
	}
	return sizes, nil
}

func run(t *testing.T, sizes []int, serversPerDaemon int, idle time.Duration, out string) error {
	var all []result
	for _, n := range sizes {
		r, err := emulate(t, n, n*serversPerDaemon, idle)
		if err != nil {
			return fmt.Errorf("%d daemons: %w", n, err)
		}
		all = append(all, r)
	}
	writeTable(os.Stdout, all)
	if out == "" {
		return nil
	}
	return writeFiles(out, all)
}
