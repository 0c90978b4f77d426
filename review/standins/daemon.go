package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

// daemon is a process of the system, started with the command of the deploy file.
type daemon struct {
	name, front, ready, directory string
	cmd                           *exec.Cmd
	log                           *os.File
}

// zones are the failure domains of the deployment.
var zones = []string{"sala-norte", "sala-sul", "sala-leste", "sala-oeste"}

const settingsTemplate = `node_name = %q
role = "router"
machine_class = "front"
serves = ["front","control","directory"]
ip = %q
zone = %q
region = "porto-alegre"
seeds = [%s]
bootstrap = true
in_tolerance = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","rollout"]
[bind]
front = %q
ready = %q
control = %q
directory = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_ms = 2000
downgrade_slack_ms = 250
skew_max_ms = 5000
revoke_strict = true
revoke_ms = 5000
budget_ratio = 0.9
budget_window_s = 10
budget_extra = 52
expose_share = 0.15
expose_slack = 30
rollback_ms = 5000
recover_s = 12
pass_ms = 120
reuse_window_s = 7
session_s = 5
ttl_max_s = 5
[platform]
addr = %q
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 8
append_ms = 4.0
part_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 20
part_mb = 200
ttl_min_ms = 1000
`

// freePort returns a port of an address that is free now.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }() // it only finds the port
	return l.Addr().(*net.TCPAddr).Port, nil
}

// startDaemons starts n daemons from the root of the repository, each with a loopback address of its own.
func startDaemons(n int, storeAddress, dir string) (list []*daemon, err error) {
	defer func() {
		if err != nil {
			stopDaemons(list)
		}
	}()
	type place struct {
		ip    string
		ports [5]int
	}
	var places []place
	var seeds []string
	for i := range n {
		p := place{ip: fmt.Sprintf("127.0.%d.%d", 10+i%len(zones), 40+i)}
		for j := range p.ports {
			if p.ports[j], err = freePort(p.ip); err != nil {
				return nil, err
			}
		}
		places = append(places, p)
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", p.ip, p.ports[2])))
		}
	}
	for i, p := range places {
		at := func(j int) string { return fmt.Sprintf("%s:%d", p.ip, p.ports[j]) }
		d := &daemon{name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i), front: at(0), ready: at(1), directory: at(3)}
		file := filepath.Join(dir, d.name+".toml")
		text := fmt.Sprintf(settingsTemplate, d.name, p.ip, zones[i%len(zones)], strings.Join(seeds, ","), at(0), at(1), at(2), at(3), storeAddress)
		if err = os.WriteFile(file, []byte(text), 0o644); err != nil {
			return list, err
		}
		if d.log, err = os.Create(filepath.Join(dir, d.name+".log")); err != nil {
			return list, err
		}
		d.cmd = exec.Command("target/damaskrudder", "platform", "-metrics-port", fmt.Sprint(p.ports[4]))
		d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir, "DAMASKRUDDER_BOOT=" + file}
		d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
		d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err = d.cmd.Start(); err != nil {
			return list, err
		}
		list = append(list, d)
	}
	return list, awaitReady(list)
}

// resolve asks the directory of a daemon where to connect, and returns the daemons that it names.
func resolve(d *daemon, all []*daemon) (found []*daemon) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + d.directory + name["resolve"] + "?name=" + consumerHost + "&region=porto-alegre&zone=" + zones[0])
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }() // it has been read
	var body struct{ Addresses []string }
	if json.NewDecoder(resp.Body).Decode(&body) != nil {
		return nil
	}
	for _, other := range all {
		if slices.Contains(body.Addresses, other.front) {
			found = append(found, other)
		}
	}
	return found
}

// awaitReady waits until all daemons say that they are ready.
func awaitReady(list []*daemon) error {
	deadline := time.Now().Add(20 * time.Second)
	for _, d := range list {
		for !isReady(d) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func isReady(d *daemon) bool {
	resp, err := http.Get("http://" + d.ready + name["ready"])
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // only the status counts
	return resp.StatusCode == http.StatusOK
}

// stopDaemons kills the daemons that were started and waits for their end.
func stopDaemons(list []*daemon) {
	for _, d := range list {
		_ = d.cmd.Process.Kill() // it may have ended
		_ = d.cmd.Wait()         // with the status of a killed process
		_ = d.log.Close()        // nothing is written any more
	}
}
