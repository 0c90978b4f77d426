package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// Scenario: servers fall silent for a moment and go on, one, two or all of a service at a time,
// while daemons are restarted and reloaded, the operator changes routes, timeouts and weights, and
// versions are rolled out. Nothing fails.

const (
	// minSilence and maxSilence bound the time for which a server is silent, and
	// minSpeech is the shortest time between two silences of a server.
	minSilence = 600 * time.Millisecond
	maxSilence = 1500 * time.Millisecond
	minSpeech  = 500 * time.Millisecond
	// rolloutDuration is the duration of an order, and rolloutInterval the shortest time between
	// two orders of a service.
	rolloutDuration = 3 * time.Second
	rolloutInterval = 5 * time.Second
	// maxAddedRoutes bounds the number of further routes of a configuration.
	maxAddedRoutes = 200
	// workTime is how long servers work on a request, and on each event of a stream.
	workTime = 20 * time.Millisecond
	// readinessTimeout bounds the question whether a daemon is ready.
	readinessTimeout = 200 * time.Millisecond
)

// serverSpec is the service of a server and its version.
type serverSpec struct{ service, version string }

const (
	runningVersion = "v1"
	nextVersion    = "v2"
)

// standardServers are the servers of all scenarios but this one.
var standardServers = []serverSpec{
	{"lm", runningVersion}, {"app", runningVersion}, {"lm", runningVersion},
	{"app", runningVersion}, {"lm", runningVersion}, {"app", runningVersion},
}

// silentServers are the servers of this scenario. Those of the next version are listed with the first
// order of their service.
var silentServers = append(standardServers[:len(standardServers):len(standardServers)],
	serverSpec{"desk", runningVersion}, serverSpec{"desk", runningVersion},
	serverSpec{"lm", nextVersion}, serverSpec{"lm", nextVersion},
	serverSpec{"app", nextVersion}, serverSpec{"app", nextVersion},
)

// servers returns the servers of the scenario.
func (o options) servers() []serverSpec {
	if o.silent {
		return silentServers
	}
	return standardServers
}

// orderState is the roll-outs that were ordered of a service.
type orderState struct {
	count  int
	lastAt time.Time
}

// silenceState is the state of the scenario. Only the goroutine that injects uses it.
type silenceState struct {
	silencer
	orders map[string]*orderState
	// timeouts are the routes' timeouts of all configurations, oldest first.
	timeouts []timeoutPeriod
}

// timeoutPeriod is the timeouts of a configuration and the time at which it was written.
type timeoutPeriod struct {
	from   time.Time
	byKind [routeKindCount]time.Duration
}

// routeTimeouts are the timeouts that routes may have.
var routeTimeouts = []time.Duration{3 * time.Second, 4 * time.Second, 5500 * time.Millisecond}

// routeModels are the models of the streaming route: a cascade, or one model. A cascade leaves fewer retries.
var routeModels = []string{`"small","large"`, `"large"`}

const silentConfigTemplate = `{"version":%d,"routes":[
 {"name":"talk","host":"h.example","path_prefix":"/talk/","kind":"streaming","timeout_ms":%d,"latency_target_ms":1000,"priority":1,"sizes":[%s],"service":"lm","attempts":3,"resumable":true,"gap_target_ms":1000},
 {"name":"pay","host":"h.example","path_prefix":"/pay/","kind":"non_idempotent","timeout_ms":%d,"latency_target_ms":300,"priority":2,"backends":[{"service":"app","weight":%d},{"service":"desk","weight":%d}],"attempts":1},
 {"name":"look","host":"h.example","path_prefix":"/look/","kind":"idempotent","timeout_ms":%d,"latency_target_ms":300,"priority":2,"service":"%s","attempts":2}%s],
 "services":[{"name":"lm","health_path":"/healthz","max_conns":200,"engine":{"slots":32,"kv_capacity":100000,"models":[{"name":"small","cost":0.02},{"name":"large","cost":0.3}]}},{"name":"app","health_path":"/healthz","max_conns":200},{"name":"desk","health_path":"/healthz","max_conns":200}],
 "limits":{"body_bytes":100000},"tenants":[{"name":"acme","keys":[%s]}]}`

// silentConfig returns a configuration with other timeouts, weights, models and routes, and records its timeouts.
func (c *cluster) silentConfig(version int, keys string) []byte {
	p := timeoutPeriod{from: time.Now()}
	for kind := range p.byKind {
		p.byKind[kind] = routeTimeouts[c.rng.IntN(len(routeTimeouts))]
	}
	c.silence.timeouts = append(c.silence.timeouts, p)
	var added strings.Builder
	for n := range c.rng.IntN(maxAddedRoutes) {
		fmt.Fprintf(&added, `,{"name":"more%d","host":"h.example","path_prefix":"/more%d/","kind":"idempotent","timeout_ms":4000,"latency_target_ms":300,"service":"app","attempts":2}`, n, n)
	}
	return fmt.Appendf(nil, silentConfigTemplate, version, p.byKind[streaming].Milliseconds(), routeModels[c.rng.IntN(len(routeModels))],
		p.byKind[nonIdempotent].Milliseconds(), 1+c.rng.IntN(3), c.rng.IntN(3),
		p.byKind[idempotent].Milliseconds(), []string{"app", "desk"}[c.rng.IntN(2)], added.String(), keys)
}

// injectSilence makes servers of a service silent: one, two or all. Beside it the configuration changes, a
// roll-out is ordered, or daemons are restarted or reloaded.
func (c *cluster) injectSilence() {
	service := []string{"lm", "app", "desk"}[c.rng.IntN(3)]
	silenced := []int{1, 2, len(c.servers)}[c.rng.IntN(3)]
	c.record("silent", c.silenceServers(service, silenced))
	some := 1 + c.rng.IntN(len(c.daemons))
	events := []struct {
		name  string
		start func() string
	}{
		{"config", c.changeConfig},
		{"config", c.changeConfig},
		{"order", func() string { return c.orderRollout(service) }},
		{"term", func() string { return c.signalDaemons(syscall.SIGTERM, 1) }},
		{"term", func() string { return c.signalDaemons(syscall.SIGTERM, some) }},
		{"hup", func() string { return c.signalDaemons(syscall.SIGHUP, some) }},
	}
	e := events[c.rng.IntN(len(events))]
	c.record(e.name, e.start())
}

// record notes an event and what it did.
func (c *cluster) record(name, done string) {
	c.faults = append(c.faults, fmt.Sprintf("%s %s(%s)", time.Now().Format("05.000"), name, done))
}

// silenceServers makes up to count servers of a service silent for one time, and returns which.
func (c *cluster) silenceServers(service string, count int) string {
	var ids []string
	proxies := map[string]*proxy{}
	for i, spec := range c.specs {
		if spec.service == service {
			ids = append(ids, c.servers[i].ID)
			proxies[c.servers[i].ID] = c.serverProxies[i]
		}
	}
	return c.silence.silence(c.rng, ids, proxies, count)
}

// silencer makes servers silent. It is used by one goroutine.
type silencer struct {
	// speaksAt is, by server, the end of its last silence.
	speaksAt map[string]time.Time
}

// silence makes up to count of the servers silent for one time, and returns which. It leaves out those that
// are silent or were lately.
func (s *silencer) silence(rng *rand.Rand, ids []string, proxies map[string]*proxy, count int) string {
	var done []string
	now := time.Now()
	duration := minSilence + time.Duration(rng.Int64N(int64(maxSilence-minSilence)))
	for _, n := range rng.Perm(len(ids)) {
		id := ids[n]
		if len(done) == count || now.Before(s.speaksAt[id].Add(minSpeech)) {
			continue
		}
		s.speaksAt[id] = now.Add(duration)
		p := proxies[id]
		p.setMode(modeSilent)
		time.AfterFunc(duration, func() { p.setMode(modeForward) })
		done = append(done, id)
	}
	return strings.Join(append(done, duration.Round(time.Millisecond).String()), " ")
}

func (c *cluster) changeConfig() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeConfig()
	return fmt.Sprint(c.configVersion)
}

// orderRollout orders a roll-out of the other version of a service, unless an order was written lately or
// the service has one version.
func (c *cluster) orderRollout(service string) string {
	o := c.silence.orders[service]
	if o == nil {
		o = &orderState{}
		c.silence.orders[service] = o
	}
	if service == "desk" || time.Since(o.lastAt) < rolloutInterval {
		return ""
	}
	target := []string{nextVersion, runningVersion}[o.count%2]
	c.store.Put("keyed.op", "rollout/"+service, fmt.Appendf(nil, `{"service":%q,"target":%q,"duration_s":%g}`, service, target, rolloutDuration.Seconds()))
	for i, spec := range c.specs {
		if o.count == 0 && spec == (serverSpec{service, target}) {
			c.writeEntry(i, c.servers[i].StartMillis())
		}
	}
	o.count, o.lastAt = o.count+1, time.Now()
	return service + " " + target
}

// signalDaemons sends a signal to up to count daemons that are ready, and returns which.
func (c *cluster) signalDaemons(sig syscall.Signal, count int) string {
	var ready []*process
	for _, n := range c.rng.Perm(len(c.daemons))[:count] {
		if c.daemons[n].ready() {
			ready = append(ready, c.daemons[n])
		}
	}
	names := []string{}
	for _, d := range ready {
		d.signal(sig)
		names = append(names, d.name)
	}
	return strings.Join(names, " ")
}

// ready reports whether the daemon says that it is ready. One that starts or leaves is not.
func (p *process) ready() bool {
	client := &http.Client{Timeout: readinessTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + p.readyAddr + "/-/readyz")
	if err != nil {
		return false // not reached
	}
	_ = resp.Body.Close() // only the status counts
	return resp.StatusCode == http.StatusOK
}

// working returns a handler that takes workTime for each response without events and for each event.
func working(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			h.ServeHTTP(w, r)
			return
		}
		h.ServeHTTP(workingWriter{w}, r)
	})
}

// workingWriter waits for workTime after each flush, and before a part of a response that is no event.
type workingWriter struct{ http.ResponseWriter }

func (w workingWriter) Write(data []byte) (int, error) {
	if !bytes.HasPrefix(data, []byte("id: ")) {
		time.Sleep(workTime)
	}
	return w.ResponseWriter.Write(data)
}

func (w workingWriter) FlushError() error {
	err := http.NewResponseController(w.ResponseWriter).Flush()
	time.Sleep(workTime)
	return err
}
