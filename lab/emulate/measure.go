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
	// unready is the share of the daemons' time in which they are not ready while nothing
	// changes, and oldestConfig the greatest age of a confirmation of the configuration.
	unready         float64
	oldestConfig    time.Duration
	ready, complete time.Duration
	// registeringUnready and registeringCalls are the same while servers register.
	registeringUnready, registeringCalls float64
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
		{"registration", func() error { return r.measureRegistration(f) }},
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
	r.unready = r.watchReadiness(all, idle)
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

// watchReadiness samples the daemons' readiness and ages for a while, and returns the share of the
// time in which a daemon was not ready.
func (r *result) watchReadiness(all []*daemon, span time.Duration) float64 {
	samples, unready := 0, 0
	for start := time.Now(); time.Since(start) < span; time.Sleep(samplePeriod) {
		for _, d := range all {
			if samples++; !d.Ready() {
				unready++
			}
			r.oldestConfig = max(r.oldestConfig, d.Status().ConfigAge)
		}
	}
	return float64(unready) / float64(samples)
}

// measureRegistration lets servers register all the time.
func (r *result) measureRegistration(f *fleet) error {
	const span, period, rate = 8 * time.Second, 50 * time.Millisecond, 360
	calls, done := f.store.TotalCalls(), make(chan struct{})
	go func() {
		defer close(done)
		for i := range int(span / period * rate / time.Duration(time.Second/period)) {
			f.store.Put(topicServers, fmt.Sprintf("new-%05d", i), []byte("ready"))
			if i%int(rate*period/time.Second) == 0 {
				time.Sleep(period)
			}
		}
	}()
	r.registeringUnready = r.watchReadiness(f.all(), span)
	<-done
	r.registeringCalls = float64(f.store.TotalCalls()-calls) / span.Seconds()
	return nil
}

// samplePeriod is the period of watchReadiness.
const samplePeriod = 130 * time.Millisecond

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
	f.store.Put(topicOperator, "config", configRecord(2))
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
