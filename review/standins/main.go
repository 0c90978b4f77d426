// Command reviewstandins holds the stand-ins of the second review's scripts: the platform's store,
// backend servers and consumers. It starts the daemons as processes, plays one case, writes the case's
// record and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
)

// The daemons end with the thread that has started them, which has to be the main one.
func init() { runtime.LockOSThread() }

// cases are the cases by name. Each returns what broke the rule, if anything did.
var cases = map[string]func(p *play) (broken []string, err error){
	"last-tenant": lastTenant,
}

// play is what a case is given.
type play struct {
	// dir is a temporary folder.
	dir string
	// trouble is set unless the case is played without its disruption.
	trouble bool
	history *history
}

func main() { os.Exit(playCase(os.Args)) }

// playCase plays a case and returns the exit status.
func playCase(args []string) int {
	if len(args) != 3 || cases[args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewstandins CASE FOLDER")
		return 2
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(dir) }() // a temporary folder
	p := &play{dir: dir, trouble: os.Getenv("TROUBLE") != "0", history: newHistory()}
	broken, err := cases[args[1]](p)
	if werr := p.history.write(filepath.Join(args[2], "record.txt"), broken, err); werr != nil {
		err = werr
	}
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		return 2
	case len(broken) > 0:
		fmt.Println("broken:", strings.Join(broken, "; "))
		return 1
	}
	fmt.Println("held")
	return 0
}

// write writes what happened, and what was sent, answered and run.
func (h *history) write(file string, broken []string, failure error) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	var b strings.Builder
	for _, line := range h.notes {
		fmt.Fprintln(&b, line)
	}
	if failure != nil {
		fmt.Fprintln(&b, "could not run:", failure)
	}
	for _, line := range broken {
		fmt.Fprintln(&b, "broken:", line)
	}
	fmt.Fprintln(&b, "\nsent s   request          route       key                  daemon               answered s status  runs: server version at s status")
	for _, r := range h.all {
		fmt.Fprintf(&b, "%8.3f %s %-11s %-20s %-20s %8.3f %d", r.sentAt.Seconds(), r.id, r.route, r.key, r.daemon, r.answered.Seconds(), r.status)
		if r.err != nil {
			fmt.Fprintf(&b, " (%v)", r.err)
		}
		for _, x := range r.runs {
			fmt.Fprintf(&b, "  %s %s %.3f %d", x.server, x.version, x.at.Seconds(), x.status)
		}
		fmt.Fprintln(&b)
	}
	return os.WriteFile(file, []byte(b.String()), 0o644)
}
