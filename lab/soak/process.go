package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// process is a daemon process that is restarted whenever it exits.
type process struct {
	name       string
	binary     string
	dir        string
	clientAddr string
	readyAddr  string

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	// terms are the times of SIGTERM.
	terms []time.Time
	// lastFaultAt is the time of the last signal other than SIGTERM and SIGHUP.
	lastFaultAt time.Time
	// interruptions are the times at which it started, was paused and went on.
	interruptions []time.Time
	startCount    int
}

// Daemons listen below the ephemeral port range. Otherwise an outgoing connection could
// occupy the port of a stopped daemon.
const (
	basePort  = 12000
	portCount = 18000
)

// portIndex is the position of the search for a free port. It starts at a position that the
// process id decides, so that concurrent soak runs use different ports.
var portIndex = os.Getpid() * portsPerProcess

// portsPerProcess is the number of ports that a run may use before it reaches those of the next
// process. It is coprime with portCount.
const portsPerProcess = 997

// freeAddress returns a loopback address whose port was free when checked.
func freeAddress() (string, error) {
	var lastErr error
	for range portCount {
		portIndex++
		l, err := net.Listen("tcp4", net.JoinHostPort("127.0.0.1", strconv.Itoa(basePort+portIndex*portStride%portCount)))
		if err == nil {
			defer func() { _ = l.Close() }() // only checks that the port is free
			return l.Addr().String(), nil
		}
		lastErr = err
	}
	return "", fmt.Errorf("no free port: %w", lastErr)
}

// portStride is coprime with portCount, so that the search covers every port. It separates
// the ports of concurrent runs with adjacent process ids.
const portStride = 1237

// nodeConfigTemplate is the TOML configuration file of a daemon.
const nodeConfigTemplate = `node_name = %q
zone = "z%d"
seeds = [%q]
[bind]
front = %q
ready = %q
control = %q
directory = %q
[bounds]
grace_s = 8
revoke_strict = true
revoke_ms = 5000
budget_ratio = 0.9
budget_window_s = 10
budget_extra = 52
session_s = 5
cold_excess = 1.0
cold_slack = 2
ttl_max_s = 5
[platform]
addr = %q
`

func newProcess(n int, binary, dir, storeAddr, seedAddr string) (*process, string, error) {
	var addrs [4]string
	for i := range addrs {
		var err error
		if addrs[i], err = freeAddress(); err != nil {
			return nil, "", err
		}
	}
	p := &process{name: fmt.Sprint("d", n), binary: binary, dir: filepath.Join(dir, fmt.Sprint("d", n)), clientAddr: addrs[0], readyAddr: addrs[1]}
	if err := os.MkdirAll(p.dir, 0o755); err != nil {
		return nil, "", err
	}
	if seedAddr == "" {
		seedAddr = addrs[2]
	}
	config := fmt.Sprintf(nodeConfigTemplate, p.name, n%3, seedAddr, addrs[0], addrs[1], addrs[2], addrs[3], storeAddr)
	return p, addrs[2], os.WriteFile(p.configPath(), []byte(config), 0o644)
}

func (p *process) configPath() string { return filepath.Join(p.dir, "node.toml") }

// start starts the daemon and restarts it when it exits.
func (p *process) start() error {
	out, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(p.binary, "platform")
	p.cmd.Env = append(os.Environ(), "DAMASKRUDDER_BOOT="+p.configPath())
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.startCount++
	p.interruptions = append(p.interruptions, time.Now())
	if err := p.cmd.Start(); err != nil {
		return err
	}
	cmd := p.cmd
	go func() {
		_ = cmd.Wait() // restarted regardless of the exit status
		_ = out.Close()
		p.mu.Lock()
		stopped := p.stopped
		p.mu.Unlock()
		if !stopped {
			_ = p.start() // on error the daemon does not become ready again
		}
	}()
	return nil
}

// signal sends a signal to the daemon's own process.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	if sig == syscall.SIGTERM {
		p.terms = append(p.terms, time.Now())
	} else if sig != syscall.SIGHUP {
		p.lastFaultAt = time.Now()
	}
	if sig == syscall.SIGSTOP || sig == syscall.SIGCONT {
		p.interruptions = append(p.interruptions, time.Now())
	}
	_ = p.cmd.Process.Signal(sig) // the process may have exited
}

func (p *process) kill() {
	p.mu.Lock()
	p.stopped = true
	cmd := p.cmd
	p.mu.Unlock()
	if cmd != nil && cmd.Process != nil {
		_ = cmd.Process.Signal(syscall.SIGCONT) // resume the process if it is paused
		_ = cmd.Process.Kill()
	}
}
