package main

import (
	"strings"
	"testing"
	"time"
)

// Guards against messages, connections and calls of the store that grow with the fleet, and against
// a change or a failure that reaches some daemons late.
func TestCostOfDaemonIsBounded(t *testing.T) {
	if testing.Short() {
		t.Skip("takes a minute with the race detector")
	}
	const (
		daemons, servers = 300, 3000
		maxPartners      = 12
		maxMessages      = 120 // per second, sent and received
		maxIdleCalls     = 10
		maxStartCalls    = 4
		maxPropagation   = 2500 * time.Millisecond
		maxRestart       = 5 * time.Second
	)
	r, err := emulate(t, daemons, servers, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	var table strings.Builder
	writeTable(&table, []result{r})
	t.Log("\n" + table.String())
	if r.partners > maxPartners || r.median.messages > maxMessages {
		t.Errorf("%d partners, %.1f messages a second", r.partners, r.median.messages)
	}
	if r.idleCalls > maxIdleCalls || r.startCalls > maxStartCalls || r.restartCalls > maxStartCalls {
		t.Errorf("store calls: %.1f a second, %.1f a daemon at the start, %.1f at the restart of all", r.idleCalls, r.startCalls, r.restartCalls)
	}
	for what, took := range map[string]time.Duration{"a configuration": r.config, "a leaving server": r.leavingServer, "a killed daemon": r.killedDaemon, "a returned daemon": r.returnedDaemon} {
		if took > maxPropagation {
			t.Errorf("%s: all daemons know after %s", what, took)
		}
	}
	if r.restart > maxRestart {
		t.Errorf("ready %s after the restart of all", r.restart)
	}
}

// Reports have a row for each measure and a column for each fleet.
func TestReports(t *testing.T) {
	all := []result{{daemons: 30, idleCalls: 4}, {daemons: 300, idleCalls: 8}}
	prefix := t.TempDir() + "/report"
	if err := writeFiles(prefix, all); err != nil {
		t.Fatal(err)
	}
	if got := strings.Count(plot(all), "<polyline"); got != len(rows) {
		t.Errorf("%d plots for %d measures", got, len(rows))
	}
	if _, err := parseSizes("30, x"); err == nil {
		t.Error("an invalid size is accepted")
	}
}
