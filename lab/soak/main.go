package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"
)

func main() {
	firstSeed := flag.Uint64("seed", 1, "first seed")
	seeds := flag.Uint64("seeds", 1, "number of seeds, one after the other")
	duration := flag.Duration("for", 12*time.Second, "how long faults are injected")
	daemons := flag.Int("daemons", 3, "number of daemons")
	keep := flag.String("keep", "", "folder for the logs of seeds that failed; none are kept without it")
	restarts := flag.Bool("restarts", false, "servers start again and entries turn bad, in place of all other faults")
	deadly := flag.Bool("deadly", false, "a request that ends its servers comes again and again, beside daemons that stop and start, in place of all other faults")
	deadlyParts := flag.Bool("deadlyparts", false, "as deadly, with unlike requests that share a part of their prompts")
	storeRestores := flag.Bool("returns", false, "the store comes back from copies of up to some seconds ago, beside all other faults")
	warming := flag.Bool("warming", false, "servers warm up after each start and failure domains are evacuated, beside daemons that stop and start, in place of all other faults")
	limits := flag.Bool("limits", false, "servers state limits on their requests per second, beside daemons, servers and a store that fail, in place of all other faults")
	statements := flag.Bool("statements", false, "servers state that they leave or want a pause, beside daemons, servers and a store that fail, in place of all other faults")
	silent := flag.Bool("silent", false, "sound servers fall silent for a moment and go on, beside restarts and reloads of daemons, roll-outs and changes of the configuration, in place of all faults")
	broken := flag.Bool("broken", false, "servers and the store send broken answers, beside daemons that stop and start, in place of all other faults")
	own := flag.Bool("own", false, "with silent: the daemons of the own interface")
	flag.Parse()
	if err := run(*firstSeed, *seeds, options{*duration, *daemons, *restarts, *deadly || *deadlyParts, *deadlyParts, *storeRestores, *warming, *limits, *statements, *silent, *own, *broken}, *keep, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// options configures the run of one seed.
type options struct {
	duration time.Duration
	daemons  int
	// restarts injects server restarts and invalid entries instead of the default faults.
	restarts bool
	// crashingRequests injects requests that crash their servers, together with daemon restarts,
	// instead of the default faults.
	crashingRequests bool
	// crashingParts makes these requests unlike, with one part of their prompts in common.
	crashingParts bool
	// storeRestores restores the store from older snapshots, in addition to other faults.
	storeRestores bool
	// warming injects server warm-ups, evacuations of failure domains, and daemon restarts
	// instead of the default faults.
	warming bool
	// limits injects servers that state limits, and daemon restarts, instead of the default faults.
	limits bool
	// statements injects servers that leave or want a pause, and failures of daemons, servers
	// and the store instead of the default faults.
	statements bool
	// silent injects servers that are silent for a moment, restarts and reloads of daemons, roll-outs and
	// changes of the configuration instead of the default faults.
	silent bool
	// own plays silent servers with the daemons of the own interface.
	own bool
	// broken injects broken answers of servers and the store, and daemon restarts, instead of the default
	// faults.
	broken bool
}

var errViolations = errors.New("promises were broken")

func run(firstSeed, seeds uint64, opts options, keep string, out io.Writer) error {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }() // best effort
	binary := filepath.Join(dir, "damaskrudder")
	if output, err := exec.Command("go", "build", "-o", binary, "github.com/damaskrudder/damaskrudder/cmd/damaskrudder").CombinedOutput(); err != nil {
		return fmt.Errorf("build: %w: %s", err, output)
	}
	failed := 0
	for seed := firstSeed; seed < firstSeed+seeds; seed++ {
		play := func() (*result, error) {
			return runSeed(context.Background(), seed, opts, binary, filepath.Join(dir, fmt.Sprint(seed)))
		}
		if opts.own {
			play = func() (*result, error) {
				return runOwnSeed(context.Background(), seed, opts, filepath.Join(dir, fmt.Sprint(seed)))
			}
		}
		r, err := play()
		if err != nil {
			return errors.Join(fmt.Errorf("seed %d: %w", seed, err), keepLogs(keep, dir, seed))
		}
		r.violations = append(r.violations, r.checkRecovery()...)
		fmt.Fprintf(out, "seed %d: %d requests, %.3f served, %.3f after the faults, %d broken promises; %s\n", seed, r.requests, r.successRate, r.recoveryRate, len(r.violations), r.faults)
		for _, v := range r.violations {
			fmt.Fprintln(out, "   ", v)
		}
		if len(r.violations) > 0 {
			failed++
			if err := keepLogs(keep, dir, seed); err != nil {
				return err
			}
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d seeds: %w", failed, seeds, errViolations)
	}
	return nil
}

// keepLogs copies the logs of a failed seed to the directory keep, if set.
func keepLogs(keep, dir string, seed uint64) error {
	if keep == "" {
		return nil
	}
	name := strconv.FormatUint(seed, 10)
	return os.CopyFS(filepath.Join(keep, name), os.DirFS(filepath.Join(dir, name)))
}

// quarantineThreshold returns the number of crashes that triggers the quarantine.
func (o options) quarantineThreshold() int {
	if o.crashingParts {
		return partQuarantineThreshold
	}
	return quarantineThreshold
}

// clients returns the number of clients.
func (o options) clients() int {
	if o.silent {
		return silentClientCount
	}
	return clientCount
}
