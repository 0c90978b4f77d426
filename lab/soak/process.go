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

// process is one daemon, started again whenever it ends.
type process struct {
	name   string
	binary string
	dir    string
	front  string
	ready  string

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	// lastTermAt is when the daemon was last told to end in good order.
	lastTermAt time.Time
	// lastFaultAt is when it last met any other fault.
	lastFaultAt time.Time
	startCount  int
}

// Daemons listen on ports below those that the kernel gives to outgoing connections, or a
// caller's connection could take the port of a daemon that is stopped, and keep it.
const (
	basePort  = 12000
	portCount = 18000
)

// portIndex is where the search for a free port goes on. Soaks side by side begin at
// different places.
var portIndex = os.Getpid()

// freeAddress returns an address that was free a moment ago.
func freeAddress() (string, error) {
	var lastErr error
	for range portCount {
		portIndex++
		l, err := net.Listen("tcp4", net.JoinHostPort("127.0.0.1", strconv.Itoa(basePort+portIndex*portStride%portCount)))
		if err == nil {
			defer func() { _ = l.Close() }() // it only served to find the port
			return l.Addr().String(), nil
		}
		lastErr = err
	}
	return "", fmt.Errorf("no free port: %w", lastErr)
}

// portStride has no factor in common with the number of ports, so that the search meets
// each, and keeps soaks with neighbouring process ids apart.
const portStride = 1237

// nodeConfigTemplate is what the platform writes for a process.
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

func newProcess(n int, binary, dir, store, seed string) (*process, string, error) {
	var addrs [4]string
	for i := range addrs {
		var err error
		if addrs[i], err = freeAddress(); err != nil {
			return nil, "", err
		}
	}
	p := &process{name: fmt.Sprint("d", n), binary: binary, dir: filepath.Join(dir, fmt.Sprint("d", n)), front: addrs[0], ready: addrs[1]}
	if err := os.MkdirAll(p.dir, 0o755); err != nil {
		return nil, "", err
	}
	if seed == "" {
		seed = addrs[2]
	}
	config := fmt.Sprintf(nodeConfigTemplate, p.name, n%3, seed, addrs[0], addrs[1], addrs[2], addrs[3], store)
	return p, addrs[2], os.WriteFile(p.configPath(), []byte(config), 0o644)
}

func (p *process) configPath() string { return filepath.Join(p.dir, "node.toml") }

// start runs the daemon and, when it ends, runs it again.
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
	if err := p.cmd.Start(); err != nil {
		return err
	}
	cmd := p.cmd
	go func() {
		_ = cmd.Wait() // however it ended, it is started again
		_ = out.Close()
		p.mu.Lock()
		stopped := p.stopped
		p.mu.Unlock()
		if !stopped {
			_ = p.start() // an error shows as a daemon that never gets ready
		}
	}()
	return nil
}

// signal sends a signal to the daemon's own process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	if s == syscall.SIGTERM {
		p.lastTermAt = time.Now()
	} else if s != syscall.SIGHUP {
		p.lastFaultAt = time.Now()
	}
	_ = p.cmd.Process.Signal(s) // it may have ended by itself
}

func (p *process) kill() {
	p.mu.Lock()
	p.stopped = true
	cmd := p.cmd
	p.mu.Unlock()
	if cmd != nil && cmd.Process != nil {
		_ = cmd.Process.Signal(syscall.SIGCONT) // a paused one could not end
		_ = cmd.Process.Kill()
	}
}
