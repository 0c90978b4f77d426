package main

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

const (
	exposeShare = 0.15
	exposeSlack = 30
	rollbackMax = 5 * time.Second
	// badAnswers is the number of bad answers after which rollbackMax begins.
	badAnswers = 50
	// orderTime is the duration_s of the orders.
	orderTime = 24 * time.Second
	// drainAfter is when the servers of a version that was rolled back begin to drain, and stopAfter
	// when they stop after that.
	drainAfter = 5 * time.Second
	stopAfter  = 3 * time.Second
	// nextOrderAfter is when the operator orders the mended version.
	nextOrderAfter = time.Second
	perSecond      = 100
	payShare       = 0.7
	badShare       = 0.5
	perVersion     = 4
	// sessions is the number of sessions, and sessionTime the longest pause in one.
	sessions    = 40
	sessionTime = 5 * time.Second
	// maxMoved is the number of requests of sessions that may run on another version.
	maxMoved = 3
)

// appConfig is the configuration of one plain service, with a version and the tenants.
const appConfig = `{"version":%d,"routes":[
{"name":"r-pay","host":"wuny96.example","path_prefix":"/entry-pay/","kind":"non_idempotent","timeout_ms":600,"latency_target_ms":100,"priority":2,"service":"inscricao","attempts":1,"public":false},
{"name":"r-status","host":"wuny96.example","path_prefix":"/bib-status/","kind":"idempotent","timeout_ms":600,"latency_target_ms":100,"priority":2,"service":"inscricao","attempts":2,"public":false}],
"services":[{"name":"inscricao","health_path":"/healthz","max_conns":96,"protocol":"h1","tls":false}],
"limits":{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":%s}`

// withdrawnVersion orders a bad version, which the system rolls back, and then a mended one.
func withdrawnVersion(p *play) (broken []string, err error) {
	h, st := p.history, newStore()
	states := make(chan string, 64)
	st.onPut = func(topic, key string, value []byte, _ time.Time) {
		if topic == name["status"] && key == "rollout/inscricao" {
			var status struct{ State, Target string }
			_ = json.Unmarshal(value, &status) // a status that is no JSON names no state
			states <- status.State + " " + status.Target
		}
	}
	storeAddress, err := st.listen("127.0.0.2")
	if err != nil {
		return nil, err
	}
	st.put(name["operator"], "config", fmt.Appendf(nil, appConfig, 7, `[{"name":"hule930","keys":["`+consumerKey+`"],"priority":1}]`))
	start := func(version string, share float64) (list []*server, err error) {
		for i := range perVersion {
			s, err := startServer(st, fmt.Sprintf("i-%s-%d", version, i), "inscricao", version, zones[i%len(zones)], "127.0.0.3", share, h.began, h.ended)
			if err != nil {
				return nil, err
			}
			list = append(list, s)
		}
		return list, nil
	}
	if _, err := start("v1", 0); err != nil {
		return nil, err
	}
	daemons, err := startDaemons(6, storeAddress, p.dir)
	if err != nil {
		return nil, err
	}
	defer stopDaemons(daemons)
	time.Sleep(5 * time.Second)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { h.consume(ctx, daemons, perSecond, payShare, sessions, consumerKey); close(done) }()
	defer func() { stop(); <-done }()
	time.Sleep(4 * time.Second)

	orders := map[string]time.Duration{}
	order := func(target string) time.Duration {
		text := fmt.Appendf(nil, `{"service":"inscricao","target":%q,"duration_s":%d}`, target, int(orderTime.Seconds()))
		st.put(name["operator"], "rollout/inscricao", text)
		h.note("the operator orders %s", target)
		orders[target] = h.now()
		return h.now()
	}
	bad, err := start("v2", badShare)
	if err != nil {
		return nil, err
	}
	orderedAt := order("v2")
	rolledBackAt, err := awaitState(h, states, "rolled_back v2")
	if err != nil {
		return nil, err
	}
	left := make(chan struct{})
	go func() {
		defer close(left)
		time.Sleep(drainAfter)
		h.note("the servers of v2 are draining")
		for _, s := range bad {
			s.drain()
		}
		time.Sleep(stopAfter)
		for _, s := range bad {
			s.stop()
		}
		h.note("the servers of v2 have stopped")
	}()
	if p.trouble {
		time.Sleep(nextOrderAfter)
		if _, err := start("v3", 0); err != nil {
			return nil, err
		}
		order("v3")
	}
	<-left
	time.Sleep(max(0, orderedAt+orderTime-h.now()) + time.Second)
	stop()
	<-done
	return append(h.pinned(orders), h.exposure(orderedAt, rolledBackAt)...), nil
}

// awaitState waits for a state of the roll-out.
func awaitState(h *history, states <-chan string, want string) (time.Duration, error) {
	limit := time.After(orderTime + 5*time.Second)
	for {
		select {
		case s := <-states:
			h.note("status of the roll-out: %s", s)
			if s == want {
				return h.now(), nil
			}
		case <-limit:
			return 0, fmt.Errorf("the status never became %s", want)
		}
	}
}

// exposure checks the rule EXPOSURE for v2. All daemons are in touch all the time.
func (h *history) exposure(orderedAt, rolledBackAt time.Duration) (broken []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	total, onBad, after, failed := 0, 0, 0, 0
	var badAt []time.Duration
	for _, r := range h.all {
		for _, x := range r.runs {
			if x.version == "v2" && x.status != 200 {
				badAt = append(badAt, x.at)
			}
			if x.version == "v2" && r.sentAt > rolledBackAt {
				after++
				if r.status != 200 {
					failed++
				}
			}
			if x.at < orderedAt || x.at > orderedAt+orderTime {
				continue
			}
			total++
			if x.version == "v2" {
				onBad++
			}
		}
	}
	allowed := exposeShare*float64(total) + exposeSlack
	h.notes = append(h.notes, fmt.Sprintf("v2 got %d of %d requests between its order and its deadline, allowed %.0f; %d bad answers; %d requests that were sent after its roll-back was acknowledged ran on it, and %d of them failed for their consumers", onBad, total, allowed, len(badAt), after, failed))
	if float64(onBad) > allowed {
		broken = append(broken, fmt.Sprintf("EXPOSURE: v2 got %d of %d requests, allowed %.0f", onBad, total, allowed))
	}
	if len(badAt) < badAnswers {
		return broken
	}
	limit, late := nth(badAt, badAnswers)+rollbackMax, 0
	for _, r := range h.all {
		for _, x := range r.runs {
			if x.version == "v2" && r.sentAt > limit {
				late++
			}
		}
	}
	if late > 0 {
		broken = append(broken, fmt.Sprintf("EXPOSURE: v2 got %d requests that were sent later than %s after its %dth bad answer", late, rollbackMax, badAnswers))
	}
	return broken
}

// pinned checks the rule PINNED: requests that ran on a new version in the first half of its roll-out
// although the request before in their session ran on another one. Nothing unplanned happens.
func (h *history) pinned(orders map[string]time.Duration) (broken []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := map[string]*request{}
	moved := map[string]int{}
	for _, r := range h.all {
		if r.session == "" || len(r.runs) == 0 {
			continue
		}
		before := last[r.session]
		last[r.session] = r
		if before == nil || before.answered >= r.sentAt || r.sentAt-before.answered >= sessionTime {
			continue
		}
		from, to := before.runs[len(before.runs)-1].version, r.runs[0]
		ordered, isNew := orders[to.version]
		if from != to.version && isNew && to.at < ordered+orderTime/2 {
			moved[from+" to "+to.version]++
		}
	}
	total := 0
	for _, n := range moved {
		total += n
	}
	h.notes = append(h.notes, fmt.Sprintf("requests that ran on a new version in the first half of its roll-out, although the one before in their session ran on another: %v", moved))
	if total > maxMoved {
		broken = append(broken, fmt.Sprintf("PINNED: %d requests of sessions ran on a new version in the first half of its roll-out: %v", total, moved))
	}
	return broken
}

// nth returns the nth smallest of some times, from 1.
func nth(times []time.Duration, n int) time.Duration {
	slices.Sort(times)
	return times[n-1]
}
