package hostile

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// memoryMB is the memory of a daemon's VM.
	memoryMB = 160
	// maxFiles is the number of descriptors of a daemon, of which reservedFiles are for files and
	// the others for sockets and pipes.
	maxFiles      = 700
	reservedFiles = 200
	// killMB is the memory at which a test ends a daemon, so that it spares the machine.
	killMB = 2 * memoryMB
	// watchInterval is the interval between looks at a process.
	watchInterval = 10 * time.Millisecond
	// waitLimit bounds every wait. No test depends on how long one takes.
	waitLimit = 60 * time.Second
)

// buildOnce builds the daemon's binary once for all tests.
var buildOnce = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "hostile")
	if err != nil {
		return "", err
	}
	binary := filepath.Join(dir, "damaskrudder")
	out, err := exec.Command("go", "build", "-o", binary, "github.com/damaskrudder/damaskrudder/cmd/damaskrudder").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return binary, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if binary, err := buildOnce(); err == nil {
		_ = os.RemoveAll(filepath.Dir(binary)) // best effort
	}
	os.Exit(code)
}

// process is a daemon that runs as a process, and what was seen of it.
type process struct {
	t    *testing.T
	cmd  *exec.Cmd
	log  string
	done chan struct{}

	mu sync.Mutex
	// stopping is set once the test ends the process.
	stopping bool
	// peakMB is the largest resident memory, and sockets and files are the largest numbers of open
	// sockets and pipes, and of all descriptors.
	peakMB, sockets, files int
	exit                   error
}

// startProcess starts the daemon's binary. The process ends with the test.
func startProcess(t *testing.T, env []string, args ...string) *process {
	t.Helper()
	binary, err := buildOnce()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, log: filepath.Join(t.TempDir(), "log"), done: make(chan struct{})}
	out, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(binary, args...)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		err := p.cmd.Wait()
		_ = out.Close() // only read after a failure
		p.mu.Lock()
		p.exit = errors.Join(errors.New("the process ended"), err)
		p.mu.Unlock()
		close(p.done)
	}()
	go p.watch()
	t.Cleanup(func() {
		p.stop()
		if t.Failed() {
			t.Logf("last lines of the daemon:\n%s", lastLines(p.log))
		}
	})
	return p
}

func (p *process) stop() {
	p.mu.Lock()
	p.stopping = true
	p.mu.Unlock()
	_ = p.cmd.Process.Kill() // fails only if it has ended
	<-p.done
}

// end ends the process with a signal, and checks it.
func (p *process) end(sig syscall.Signal) {
	p.t.Helper()
	p.mu.Lock()
	p.stopping = true
	p.mu.Unlock()
	if err := p.cmd.Process.Signal(sig); err != nil {
		p.t.Fatalf("%s: %v", sig, err)
	}
	select {
	case <-p.done:
	case <-time.After(waitLimit):
		p.t.Fatalf("the process does not end after %s", sig)
	}
	if code := p.cmd.ProcessState.ExitCode(); sig == syscall.SIGTERM && code != 0 {
		p.t.Errorf("exit code %d", code)
	}
	p.check()
}

// watch records what the process takes until it ends, and ends it if it takes far too much.
func (p *process) watch() {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		select {
		case <-p.done:
			return
		case <-tick.C:
			p.look()
		}
	}
}

// look records what the process takes now.
func (p *process) look() {
	status, err := os.ReadFile(p.proc("status"))
	if err != nil {
		return // the process has ended
	}
	peakMB, residentMB := kilobytes(string(status), "VmHWM:")>>10, kilobytes(string(status), "VmRSS:")>>10
	entries, _ := os.ReadDir(p.proc("fd")) // empty if the process has ended
	sockets := 0
	for _, e := range entries {
		if target, err := os.Readlink(filepath.Join(p.proc("fd"), e.Name())); err == nil && (strings.HasPrefix(target, "socket:") || strings.HasPrefix(target, "pipe:")) {
			sockets++
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peakMB, p.sockets, p.files = max(p.peakMB, peakMB), max(p.sockets, sockets), max(p.files, len(entries))
	if residentMB > killMB {
		_ = p.cmd.Process.Kill() // fails only if it has ended
	}
}

func (p *process) proc(name string) string {
	return filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), name)
}

// kilobytes returns a field of a process's status.
func kilobytes(status, field string) int {
	_, rest, _ := strings.Cut(status, field)
	words := strings.Fields(rest)
	if len(words) == 0 {
		return 0
	}
	n, _ := strconv.Atoi(words[0]) // the kernel writes numbers
	return n
}

// check reports a process that has ended, or taken more than its VM has.
func (p *process) check() {
	p.t.Helper()
	p.look()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.t.Logf("peak %d MB, %d sockets and pipes, %d descriptors", p.peakMB, p.sockets, p.files)
	if p.exit != nil && !p.stopping {
		p.t.Errorf("%v", p.exit)
	}
	if p.peakMB > memoryMB {
		p.t.Errorf("took %d MB of memory, has %d MB", p.peakMB, memoryMB)
	}
	if p.sockets > maxFiles-reservedFiles || p.files > maxFiles {
		p.t.Errorf("opened %d sockets and pipes and %d descriptors in all, may open %d and %d", p.sockets, p.files, maxFiles-reservedFiles, maxFiles)
	}
}

// lastLines returns the last lines of a log.
func lastLines(file string) string {
	data, _ := os.ReadFile(file) // empty if it can't be read
	const kept = 4 << 10
	return string(data[max(0, len(data)-kept):])
}

// awaitStatus waits until a GET returns a status.
func awaitStatus(t *testing.T, url string, status int) {
	t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); {
		resp, err := http.Get(url)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == status {
				return
			}
		}
		time.Sleep(watchInterval)
	}
	t.Fatalf("%s does not return %d", url, status)
}
