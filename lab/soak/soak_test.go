package main

import (
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/standin"
)

// Short runs with fixed seeds cover every fault scenario. The success rate is not checked,
// since it depends on the speed of the machine.
func TestSoakFindsNoViolations(t *testing.T) {
	if testing.Short() {
		t.Skip("runs daemons as processes")
	}
	dir := t.TempDir()
	binary := filepath.Join(dir, "damaskrudder")
	if out, err := exec.Command("go", "build", "-o", binary, "github.com/damaskrudder/damaskrudder/cmd/damaskrudder").CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	for _, tt := range []struct {
		name string
		seed uint64
		options
	}{
		{"all faults", 1, options{duration: 5 * time.Second, daemons: 2}},
		// Guards against a first read after an outage that blocks until the next change.
		{"store recovers without a change", 328, options{duration: 6 * time.Second, daemons: 3}},
		{"server restarts and invalid entries", 2, options{duration: 6 * time.Second, daemons: 2, restarts: true}},
		{"store restored from older snapshots", 5, options{duration: 6 * time.Second, daemons: 3, storeRestores: true}},
		{"requests that crash servers", 3, options{duration: 6 * time.Second, daemons: 3, crashingRequests: true}},
		{"unlike requests that crash servers", 8, options{duration: 6 * time.Second, daemons: 3, crashingRequests: true, crashingParts: true}},
		{"warm-ups and evacuations", 4, options{duration: 6 * time.Second, daemons: 3, warming: true}},
		{"servers that leave or want a pause", 7, options{duration: 8 * time.Second, daemons: 3, statements: true}},
		{"servers that state limits", 6, options{duration: 10 * time.Second, daemons: 3, limits: true}},
		// Guards against answers that are malformed or cut and reach a client, and against lists of the store that are.
		{"broken answers", 9, options{duration: 8 * time.Second, daemons: 3, broken: true}},
		// Guards against requests that are given up because their servers are silent for a moment, or because a daemon ends.
		{"servers that are silent for a moment", 53, options{duration: 8 * time.Second, daemons: 3, silent: true}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r, err := runSeed(t.Context(), tt.seed, tt.options, binary, filepath.Join(dir, strconv.FormatUint(tt.seed, 10)))
			if err != nil {
				t.Fatal(err)
			}
			for _, v := range r.violations {
				t.Error(v)
			}
			t.Logf("%d requests, %.3f served, %.3f after the faults; %s", r.requests, r.successRate, r.recoveryRate, r.faults)
		})
	}
}

// Guards against checkCalls missing a violation.
func TestCheckCallsReportsViolations(t *testing.T) {
	now := time.Now()
	good := call{id: "a", kind: nonIdempotent, key: "k", sentAt: now, status: 200, body: "answer to a", seal: "seal-s-a"}
	revoked := map[string]time.Time{"gone": now.Add(-maxRevocationDelay - time.Second)}
	if violations := checkCalls([]call{good}, func(string) int { return 1 }, revoked); len(violations) != 0 {
		t.Fatalf("valid call: %v", violations)
	}
	for want, c := range map[string]struct {
		change func(c *call)
		runs   int
	}{
		"with the seal":         {func(c *call) { c.seal = "seal-s-b" }, 1},
		"answered \"other\"":    {func(c *call) { c.body = "other" }, 1},
		"looks complete":        {func(c *call) { c.kind, c.body = streaming, "id: 1\ndata: event 1\n\n" }, 1},
		"broke off has":         {func(c *call) { c.kind, c.body, c.err = streaming, "id: 2\n", errViolations }, 1},
		"ran 2 times":           {func(*call) {}, 2},
		"answered 503, and it":  {func(c *call) { c.status = 503 }, 1},
		"with a key taken away": {func(c *call) { c.key = "gone" }, 1},
	} {
		bad := good
		c.change(&bad)
		if violations := checkCalls([]call{bad}, func(string) int { return c.runs }, revoked); len(violations) != 1 || !strings.Contains(violations[0], want) {
			t.Errorf("%q: %v", want, violations)
		}
	}
}

// Guards against checks that miss an uncontained deadly request or a quarantined normal one.
func TestCheckQuarantineReportsViolations(t *testing.T) {
	now := time.Now()
	crashTimes := []time.Time{now.Add(2 * time.Second), now, now.Add(time.Second)}
	late := now.Add(2*time.Second + containmentDelay + time.Millisecond)
	arrivals := []time.Time{now, late, late, late}
	if violations := checkQuarantine(crashTimes, arrivals, quarantineThreshold); len(violations) != 0 {
		t.Errorf("late arrivals at the limit: %v", violations)
	}
	if violations := checkQuarantine(crashTimes, append(arrivals, late), quarantineThreshold); len(violations) != 1 {
		t.Errorf("late arrivals above the limit: %v", violations)
	}
	held := call{id: "a", status: 503, body: "quarantined\n"}
	if violations := checkFalseQuarantines([]call{held, {id: "b", status: 503, body: "quarantined\n", crashing: true}}); len(violations) != 1 {
		t.Errorf("quarantined normal request: %v", violations)
	}
}

// Guards against a check that misses requests to a server with an invalid entry.
func TestCheckInvalidEntriesReportsViolations(t *testing.T) {
	s := standin.NewBackendServer("a", streamEvents)
	sendRequest := func() {
		r := httptest.NewRequest(http.MethodPost, "/pay/1", nil)
		r.Header.Set("X-Damaskrudder-Expect-Instance", "a")
		s.ServeHTTP(httptest.NewRecorder(), r)
	}
	sendRequest()
	at := s.RunHistory()[0].At
	for _, c := range []struct {
		from, to time.Duration
		want     int
	}{{-maxInvalidEntryDelay - time.Second, time.Second, 1}, {-maxInvalidEntryDelay / 2, time.Second, 0}, {-maxInvalidEntryDelay - 2*time.Second, -time.Second, 0}} {
		if got := checkInvalidEntries([]invalidEntry{{0, at.Add(c.from), at.Add(c.to)}}, []*standin.BackendServer{s}); len(got) != c.want {
			t.Errorf("entry invalid from %s to %s: %v", c.from, c.to, got)
		}
	}
}

// Guards against a check that misses a limited server with too many requests.
func TestCheckLimitsReportsViolations(t *testing.T) {
	now := time.Now()
	var runs []standin.Run
	for i := range 12 {
		runs = append(runs, standin.Run{ID: strconv.Itoa(i), At: now.Add(limitNotice + time.Duration(i+1)*100*time.Millisecond)})
	}
	arrivals := func(int) []standin.Run { return runs }
	if violations := checkLimits([]limitPeriod{{0, 1, "", now, now.Add(limitDuration)}}, arrivals); len(violations) != 1 {
		t.Errorf("12 requests, 11 are allowed: %v", violations)
	}
	for name, limit := range map[string]limitPeriod{
		"higher limit":      {0, 2, "", now, now.Add(limitDuration)},
		"before the notice": {0, 1, "", now.Add(limitNotice), now.Add(limitDuration)},
		"lifted":            {0, 1, "", now.Add(-limitDuration), now},
	} {
		if violations := checkLimits([]limitPeriod{limit}, arrivals); len(violations) != 0 {
			t.Errorf("%s: %v", name, violations)
		}
	}
}

// Guards against checks that miss overloaded warming servers, late sends to evacuated
// domains, or panics.
func TestCheckAdmissionAndPanicsReportViolations(t *testing.T) {
	now := time.Now()
	var runs []standin.Run
	for i := range maxWarmupRate + 1 {
		runs = append(runs, standin.Run{ID: strconv.Itoa(i), At: now.Add(time.Duration(i+1) * time.Millisecond)})
	}
	arrivals := func(int) []standin.Run { return runs }
	if violations := checkWarmups([]warmup{{0, now, now.Add(warmupDuration)}}, arrivals); len(violations) != 1 {
		t.Errorf("overloaded warming server: %v", violations)
	}
	if violations := checkWarmups([]warmup{{0, now.Add(-warmupDuration), now}}, arrivals); len(violations) != 0 {
		t.Errorf("requests after the warm-up: %v", violations)
	}
	evacuations := []evacuation{{domain: 0, from: now.Add(-maxEvacuationDelay - time.Second)}}
	if violations := checkEvacuations(evacuations, arrivals, 1); len(violations) != len(runs) {
		t.Errorf("requests to an evacuated domain: %v", violations)
	}
	if violations := checkEvacuations([]evacuation{{domain: 0, from: now}}, arrivals, 1); len(violations) != 0 {
		t.Errorf("requests within the allowed delay: %v", violations)
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "log"), []byte("level=error msg=panic path=/"), 0o600); err != nil {
		t.Fatal(err)
	}
	if violations := checkPanics([]*process{{name: "d0", dir: dir}}); len(violations) != 1 {
		t.Errorf("panic in the output: %v", violations)
	}
}

// Guards against a check that misses requests to a server that leaves or wants a pause.
func TestCheckStatementsReportsViolations(t *testing.T) {
	now := time.Now()
	const daemon = "d"
	stating := call{id: "1", clientAddr: daemon, sentAt: now.Add(time.Millisecond), endedAt: now.Add(2 * time.Millisecond), leaving: true, seal: "seal-s-1"}
	late := call{id: "2", clientAddr: daemon, sentAt: now.Add(maxDrainDelay + time.Second)}
	byID := map[string]call{"1": stating, "2": late}
	p := statementPeriod{from: now, to: now.Add(statementDuration), leaves: true}
	arrivals := []standin.Run{{ID: "1", At: stating.sentAt}, {ID: "2", At: late.sentAt}}
	departures := func(interruptions map[string][]time.Time) int {
		return len(checkDeparture(p, "s", arrivals, []call{stating, late}, byID, interruptions))
	}
	if n := departures(nil); n != 1 {
		t.Errorf("%d violations by a late request", n)
	}
	if n := departures(map[string][]time.Time{daemon: {now.Add(time.Second)}}); n != 0 {
		t.Errorf("%d violations by a daemon that was stopped", n)
	}
	asked := []standin.Run{{ID: "1", At: now.Add(time.Millisecond), Stated: standin.Statements{RetryAfter: "3", Shed: true}}}
	for i := range maxInPause + 1 {
		if n := len(checkPauses(p, asked, byID, nil)); n != 0 {
			t.Errorf("%d violations by %d requests", n, i)
		}
		asked = append(asked, standin.Run{ID: "2", At: now.Add(time.Second)})
	}
	if n := len(checkPauses(p, asked, byID, nil)); n != 1 {
		t.Errorf("%d violations by %d requests", n, maxInPause+1)
	}
}
