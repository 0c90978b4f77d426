package main

import (
	"context"
	"fmt"
	"time"
)

const (
	revokeMax = 5 * time.Second
	// secondKey is the tenant's other key, and strangeKey one that no configuration ever held.
	secondKey  = "anfqasnmgkcuyj8pjbvk"
	strangeKey = "zzzzzzzzzzzzzzzzzzzz"
	// perSecond is the rate of the requests, of which payShare may not be repeated.
	perSecond = 50
	payShare  = 0.7
	servers   = 4
	// watched is how long requests are sent after the keys are taken away.
	watched = 12 * time.Second
)

// tenantConfig is the configuration of one plain service, with a version and the tenants.
const tenantConfig = `{"version":%d,"routes":[
{"name":"r-pay","host":"wuny96.example","path_prefix":"/entry-pay/","kind":"non_idempotent","timeout_ms":600,"latency_target_ms":100,"priority":2,"service":"inscricao","attempts":1,"public":false},
{"name":"r-status","host":"wuny96.example","path_prefix":"/bib-status/","kind":"idempotent","timeout_ms":600,"latency_target_ms":100,"priority":2,"service":"inscricao","attempts":2,"public":false}],
"services":[{"name":"inscricao","health_path":"/healthz","max_conns":96,"protocol":"h1","tls":false}],
"limits":{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":%s}`

// lastTenant takes away the keys of the only tenant, which leaves.
func lastTenant(p *play) (broken []string, err error) {
	h, st := p.history, newStore()
	storeAddress, err := st.listen("127.0.0.2")
	if err != nil {
		return nil, err
	}
	tenants := fmt.Sprintf(`[{"name":"hule930","keys":[%q,%q],"priority":1}]`, consumerKey, secondKey)
	st.put(name["operator"], "config", fmt.Appendf(nil, tenantConfig, 7, tenants))
	for i := range servers {
		if _, err := startServer(st, fmt.Sprintf("i-v1-%d", i), "inscricao", "v1", zones[i%len(zones)], "127.0.0.3", h.began, h.ended); err != nil {
			return nil, err
		}
	}
	daemons, err := startDaemons(6, storeAddress, p.dir)
	if err != nil {
		return nil, err
	}
	defer stopDaemons(daemons)
	time.Sleep(5 * time.Second)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		h.consume(ctx, daemons, perSecond, payShare, consumerKey, consumerKey, secondKey, secondKey, strangeKey)
		close(done)
	}()
	defer func() { stop(); <-done }()
	time.Sleep(4 * time.Second)
	if p.trouble {
		tenants = "[]"
		h.note("the operator takes away the tenant with its two keys")
	}
	st.put(name["operator"], "config", fmt.Appendf(nil, tenantConfig, 12, tenants))
	acked := h.now()
	h.note("version 12 of the configuration is acknowledged")
	time.Sleep(watched)
	stop()
	<-done
	return h.revoked(acked, p.trouble), nil
}

// revoked checks the rules CONFIG and ROUTE for the keys.
func (h *history) revoked(acked time.Duration, taken bool) (broken []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	late, strange, answers := 0, 0, map[string]int{}
	for _, r := range h.all {
		when := "before"
		if r.sentAt > acked+revokeMax {
			when = "later than revoke_ms after"
		} else if r.sentAt > acked {
			when = "soon after"
		}
		answers[fmt.Sprintf("%s, %s: %d", when, r.key, r.status)]++
		switch {
		case len(r.runs) == 0:
		case r.key == strangeKey:
			strange++
		case taken && r.sentAt > acked+revokeMax:
			late++
		}
	}
	h.notes = append(h.notes, fmt.Sprintf("answers by time of sending, key and status: %v", answers))
	if late > 0 {
		broken = append(broken, fmt.Sprintf("CONFIG: %d requests ran that were sent later than %s after the ack of the configuration that took their key away", late, revokeMax))
	}
	if strange > 0 {
		broken = append(broken, fmt.Sprintf("ROUTE: %d requests ran whose key no configuration ever held", strange))
	}
	return broken
}
