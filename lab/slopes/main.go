// Command slopes measures how the cost of a daemon grows with the number of daemons,
// servers, workspaces, configuration changes and requests. It runs fleets of several
// sizes in this process and fits a line to each series. docs/CAPACITY.md is based on
// its output.
//
//	go run ./lab/slopes
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

func main() {
	window := flag.Duration("window", 5*time.Second, "how long each size is measured")
	only := flag.String("only", "", "measure one slope only: daemons, servers, workspaces, changes, requests or spread")
	flag.Parse()
	if err := run(*window, *only); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

// series varies one parameter of the fleet shape.
type series struct {
	name  string
	unit  string
	sizes []int
	build func(size int) fleetShape
}

func run(window time.Duration, only string) error {
	all := []series{
		{"daemons", "daemon", []int{10, 20, 40, 80, 160}, func(n int) fleetShape { return fleetShape{daemons: n, servers: 20, workspaces: 10} }},
		{"servers", "server", []int{100, 200, 400, 800, 1600}, func(n int) fleetShape { return fleetShape{daemons: 6, servers: n, workspaces: 10} }},
		{"workspaces", "workspace", []int{25, 50, 100, 200}, func(n int) fleetShape { return fleetShape{daemons: 6, servers: 20, workspaces: n} }},
		{"changes", "change/s", []int{0, 2, 4, 8}, func(n int) fleetShape { return fleetShape{daemons: 6, servers: 20, workspaces: 50, changes: n} }},
		{"requests", "request/s", []int{0, 100, 200, 400, 800}, func(n int) fleetShape { return fleetShape{daemons: 6, servers: 20, workspaces: 10, requests: n} }},
	}
	for _, s := range all {
		if only != "" && s.name != only {
			continue
		}
		if err := s.measure(window); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
	}
	if only == "" || only == "spread" {
		reportPropagation()
	}
	return nil
}

// startTime is an arbitrary time; the propagation doesn't depend on it.
var startTime = time.Unix(1000, 0)

func (s series) measure(window time.Duration) error {
	fmt.Printf("\n%s: per daemon\n%8s %12s %12s %12s %14s %14s\n", s.name, "size", "CPU %core", "heap KB", "peer B/s", "log reads/s", "log appends/s")
	var points []point
	for _, size := range s.sizes {
		p, err := measureShape(s.build(size), window)
		if err != nil {
			return err
		}
		p.size = float64(size)
		points = append(points, p)
		fmt.Printf("%8d %12.4f %12.1f %12.1f %14.3f %14.3f\n", size, p.cpu, p.heap, p.bytes, p.reads, p.appends)
	}
	for _, cost := range metrics {
		fitted := fit(points, cost.value)
		fmt.Printf("  %-14s %12.5f + %.6f per %s (worst error %.1f%%)\n", cost.name, fitted.intercept, fitted.slope, s.unit, 100*fitted.maxRelativeError)
	}
	return nil
}
