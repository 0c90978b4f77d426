package main

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// result is what one fleet costs, and how fast changes and failures reach all daemons.
type result struct {
	daemons, servers int
	// startCalls are the calls of the store per daemon until all daemons are ready, and
	// idleCalls those of all daemons per second afterwards.
	startCalls, idleCalls float64
	ready, complete       time.Duration
	// heap is the memory of a daemon in bytes.
	heap float64
	// median and busiest are the traffic of a daemon, leader that of the first by rank.
	median, busiest, leader traffic
	partners                int
	// The times until all daemons know of a change.
	config, leavingServer, killedDaemon, returnedDaemon time.Duration
	// restart is the time until all daemons are ready after all were killed, restartCalls the
	// calls of the store per daemon meanwhile.
	restart      time.Duration
	restartCalls float64
}

// traffic is what a daemon sends and receives per second while nothing changes.
type traffic struct {
	messages, bytes, bytesAcross float64
	peers                        int
}

const (
	// settleTime is how long a fleet runs before it is measured.
	settleTime = 5 * time.Second
	// waitLimit bounds the wait for a change to reach all daemons.
	waitLimit = 60 * time.Second
)

// emulate measures a fleet in virtual time.
func emulate(t *testing.T, daemons, servers int, idle time.Duration) (r result, err error) {
	synctest.Test(t, func(t *testing.T) { r, err = measure(t, daemons, servers, idle) })
	return r, err
}

func measure(t *testing.T, daemons, servers int, idle time.Duration) (result, error) {
	r := result{daemons: daemons, servers: servers}
	before := heapInUse()
	f := newFleet(t, servers)
	defer f.stopAll()
	steps := []struct {
		name string
		run  func() error
	}{
		{"start", func() error { return r.measureStart(f) }},
		{"idle", func() error { return r.measureIdle(f, idle) }},
		{"memory", func() error { r.heap = (heapInUse() - before) / float64(daemons); return nil }},
		{"changes", func() error { return r.measureChanges(f) }},
		{"failures", func() error { return r.measureFailures(f) }},
		{"restart", func() error { return r.measureRestart(f) }},
	}
	for _, step := range steps {
		started := time.Now()
		if err := step.run(); err != nil {
			return r, err
		}
		fmt.Fprintf(os.Stderr, "%d daemons: %s measured, %s of virtual time\n", daemons, step.name, time.Since(started).Round(time.Millisecond))
	}
	return r, nil
}

func heapInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func (r *result) knowsAll(d *daemon) bool {
	s := d.Status()
	return s.Daemons == r.daemons && s.Servers >= r.servers
}

func isReady(d *daemon) bool { return d.Ready() }

// measureStart starts all daemons at once.
func (r *result) measureStart(f *fleet) (err error) {
	start := time.Now()
	f.startAll(r.daemons)
	if _, err = f.waitAll("ready", waitLimit, isReady); err != nil {
		return err
	}
	r.ready = time.Since(start)
	r.startCalls = float64(f.store.TotalCalls()) / float64(r.daemons)
	_, err = f.waitAll("all daemons and servers known", waitLimit, r.knowsAll)
	r.complete = time.Since(start)
	time.Sleep(settleTime)
	return err
}

// measureIdle measures the traffic while nothing changes.
func (r *result) measureIdle(f *fleet, idle time.Duration) error {
	all := f.all()
	for _, d := range all {
		d.messages.Store(0)
		d.bytes.Store(0)
		d.bytesAcross.Store(0)
		d.seenPeers.Clear()
	}
	calls := f.store.TotalCalls()
	time.Sleep(idle)
	r.idleCalls = float64(f.store.TotalCalls()-calls) / idle.Seconds()
	var rates []traffic
	for _, d := range all {
		rate := d.traffic(idle)
		rates = append(rates, rate)
		if d.Status().Leader {
			r.leader = rate
		}
		r.partners = max(r.partners, d.Status().Partners)
	}
	slices.SortFunc(rates, func(a, b traffic) int { return int(a.messages - b.messages) })
	r.median, r.busiest = rates[len(rates)/2], rates[len(rates)-1]
	return nil
}

func (d *daemon) traffic(over time.Duration) traffic {
	peers := 0
	d.seenPeers.Range(func(any, any) bool { peers++; return true })
	return traffic{
		messages: float64(d.messages.Load()) / over.Seconds(), bytes: float64(d.bytes.Load()) / over.Seconds(),
		bytesAcross: float64(d.bytesAcross.Load()) / over.Seconds(), peers: peers,
	}
}

// measureChanges writes a configuration and the leaving of a server.
func (r *result) measureChanges(f *fleet) (err error) {
	f.store.Put(topicOperator, "config", []byte("2"))
	if r.config, err = f.waitAll("configuration in force", waitLimit, func(d *daemon) bool { return d.Status().ConfigVersion == 2 }); err != nil {
		return err
	}
	f.store.Put(topicServers, serverID(0), []byte("leaving"))
	r.leavingServer, err = f.waitAll("leaving server dropped", waitLimit, func(d *daemon) bool { return !d.ServerUsable(serverID(0)) })
	return err
}

// measureFailures kills a daemon and starts it again.
func (r *result) measureFailures(f *fleet) (err error) {
	victim := r.daemons - 1
	f.kill(victim)
	if r.killedDaemon, err = f.waitAll("killed daemon dropped", waitLimit, func(d *daemon) bool { return d.Status().Daemons == r.daemons-1 }); err != nil {
		return err
	}
	f.start(victim)
	r.returnedDaemon, err = f.waitAll("returned daemon known", waitLimit, r.knowsAll)
	return err
}

// measureRestart kills all daemons and starts them again.
func (r *result) measureRestart(f *fleet) (err error) {
	for i := range r.daemons {
		f.kill(i)
	}
	time.Sleep(time.Second)
	calls, start := f.store.TotalCalls(), time.Now()
	f.startAll(r.daemons)
	if _, err = f.waitAll("ready after the restart of all", waitLimit, isReady); err != nil {
		return err
	}
	r.restart = time.Since(start)
	r.restartCalls = float64(f.store.TotalCalls()-calls) / float64(r.daemons)
	return nil
}
