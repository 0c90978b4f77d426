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

// Short runs keep every promise: one of them all faults, the others seeds that once
// failed. Only promises are checked, and what must hold however fast the machine is, so
// that the verdict is the same every time.
func TestSoakKeepsThePromises(t *testing.T) {
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
		{"all faults", 1, options{span: 5 * time.Second, daemons: 2}},
		// After an outage of the store the first read waited for a change, and no
		// daemon trusted its keys for 14 s.
		{"store back without a change", 328, options{span: 6 * time.Second, daemons: 3}},
		{"servers start again, entries turn bad", 2, options{span: 6 * time.Second, daemons: 2, restarts: true}},
		{"the store comes back from older copies", 5, options{span: 6 * time.Second, daemons: 3, returns: true}},
		{"a request ends its servers", 3, options{span: 6 * time.Second, daemons: 3, deadly: true}},
		{"servers warm up, domains are evacuated", 4, options{span: 6 * time.Second, daemons: 3, warming: true}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r, err := play(t.Context(), tt.seed, tt.options, binary, filepath.Join(dir, strconv.FormatUint(tt.seed, 10)))
			if err != nil {
				t.Fatal(err)
			}
			for _, b := range r.broken {
				t.Error(b)
			}
			t.Logf("%d requests, %.3f served, %.3f after the faults; %s", r.requests, r.served, r.recovered, r.faults)
		})
	}
}

// Every promise that the soak checks can be seen broken.
func TestCheckFindsBrokenPromises(t *testing.T) {
	now := time.Now()
	good := call{id: "a", kind: pay, key: "k", sent: now, status: 200, body: "answer to a", seal: "seal-s-a"}
	revoked := map[string]time.Time{"gone": now.Add(-revokeWithin - time.Second)}
	if b := check([]call{good}, func(string) int { return 1 }, revoked); len(b) != 0 {
		t.Fatalf("a good call: %v", b)
	}
	for want, c := range map[string]struct {
		change func(c *call)
		runs   int
	}{
		"with the seal":         {func(c *call) { c.seal = "seal-s-b" }, 1},
		"answered \"other\"":    {func(c *call) { c.body = "other" }, 1},
		"looks complete":        {func(c *call) { c.kind, c.body = talk, "id: 1\ndata: event 1\n\n" }, 1},
		"broke off has":         {func(c *call) { c.kind, c.body, c.err = talk, "id: 2\n", errBroken }, 1},
		"ran 2 times":           {func(*call) {}, 2},
		"answered 503, and it":  {func(c *call) { c.status = 503 }, 1},
		"with a key taken away": {func(c *call) { c.key = "gone" }, 1},
	} {
		bad := good
		c.change(&bad)
		if b := check([]call{bad}, func(string) int { return c.runs }, revoked); len(b) != 1 || !strings.Contains(b[0], want) {
			t.Errorf("%q: %v", want, b)
		}
	}
}

// A request that goes on reaching servers, and a harmless one that is held, are seen.
func TestCheckFindsARequestThatIsNotContained(t *testing.T) {
	now := time.Now()
	ends := []time.Time{now.Add(2 * time.Second), now, now.Add(time.Second)}
	late := now.Add(2*time.Second + containWithin + time.Millisecond)
	arrivals := []time.Time{now, late, late, late}
	if b := checkContained(ends, arrivals); len(b) != 0 {
		t.Errorf("as many as allowed: %v", b)
	}
	if b := checkContained(ends, append(arrivals, late)); len(b) != 1 {
		t.Errorf("one more than allowed: %v", b)
	}
	held := call{id: "a", status: 503, body: "quarantined\n"}
	if b := checkReleased([]call{held, {id: "b", status: 503, body: "quarantined\n", deadly: true}}); len(b) != 1 {
		t.Errorf("a harmless one that is held: %v", b)
	}
}

// A daemon that goes on sending to a server whose entry names none is seen.
func TestCheckFindsRequestsAtABarredServer(t *testing.T) {
	s := standin.NewBackendServer("a", events)
	reach := func() {
		r := httptest.NewRequest(http.MethodPost, "/pay/1", nil)
		r.Header.Set("X-Damaskrudder-Expect-Instance", "a")
		s.ServeHTTP(httptest.NewRecorder(), r)
	}
	reach()
	at := s.RunHistory()[0].At
	for _, c := range []struct {
		from, to time.Duration
		want     int
	}{{-barWithin - time.Second, time.Second, 1}, {-barWithin / 2, time.Second, 0}, {-barWithin - 2*time.Second, -time.Second, 0}} {
		if got := checkBarred([]bar{{0, at.Add(c.from), at.Add(c.to)}}, []*standin.BackendServer{s}); len(got) != c.want {
			t.Errorf("barred from %s to %s: %v", c.from, c.to, got)
		}
	}
}

// Guards against checks of warming servers, evacuations and panics that find nothing.
func TestChecksOfTheGateFindWhatIsBroken(t *testing.T) {
	now := time.Now()
	var runs []standin.Run
	for i := range warmBound + 1 {
		runs = append(runs, standin.Run{ID: strconv.Itoa(i), At: now.Add(time.Duration(i+1) * time.Millisecond)})
	}
	arrivals := func(int) []standin.Run { return runs }
	if b := checkWarming([]warmSpan{{0, now, now.Add(warmFor)}}, arrivals); len(b) != 1 {
		t.Errorf("a rush at a warming server: %v", b)
	}
	if b := checkWarming([]warmSpan{{0, now.Add(-warmFor), now}}, arrivals); len(b) != 0 {
		t.Errorf("a warm server: %v", b)
	}
	late := []evacuation{{domain: 0, from: now.Add(-evacuateWithin - time.Second)}}
	if b := checkEvacuated(late, arrivals, 1); len(b) != len(runs) {
		t.Errorf("sends to an evacuated domain: %v", b)
	}
	if b := checkEvacuated([]evacuation{{domain: 0, from: now}}, arrivals, 1); len(b) != 0 {
		t.Errorf("sends within the time allowed: %v", b)
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "log"), []byte("level=error msg=panic path=/"), 0o600); err != nil {
		t.Fatal(err)
	}
	if b := checkPanics([]*process{{name: "d0", dir: dir}}); len(b) != 1 {
		t.Errorf("a panic in the output: %v", b)
	}
}
