package app

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/damaskrudder/damaskrudder/internal/api"
	"github.com/damaskrudder/damaskrudder/internal/billing"
	"github.com/damaskrudder/damaskrudder/internal/daemon"
	"github.com/damaskrudder/damaskrudder/internal/demo"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/fleet"
	"github.com/damaskrudder/damaskrudder/internal/platform"
	"github.com/damaskrudder/damaskrudder/internal/standin"
)

// postConfirmation calls the confirm service with an idempotency key and returns the
// status, header and body of the response.
func postConfirmation(t *testing.T, address, key, body string) (int, http.Header, string) {
	t.Helper()
	return post(t, address, "/v1/services/confirm", demo.APIKey(demo.Goldfields), http.Header{api.HeaderIdempotencyKey: {key}}, body)
}

// countServiceRuns returns how many calls the fake services executed.
func countServiceRuns(w *demo.Cluster) int {
	n := 0
	for _, s := range w.Services {
		for _, runs := range s.RunCounts() {
			n += runs
		}
	}
	return n
}

// TestIdempotencyKeyRunsOnceAcrossDaemons checks that concurrent requests with the same
// idempotency key are executed once, also when the log loses the replies to appends.
func TestIdempotencyKeyRunsOnceAcrossDaemons(t *testing.T) {
	w := newCluster(t, 3)
	w.Log.LoseReplies(4)
	var mu sync.Mutex
	answers := map[string]bool{}
	var wg sync.WaitGroup
	for i := range 9 {
		wg.Go(func() {
			status, h, body := postConfirmation(t, w.Addresses[i%3], "lot-1", `{"lot":1}`)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case status == http.StatusOK:
				answers[body] = true
			case status == http.StatusConflict && h.Get(api.HeaderExecutionState) == "unknown":
			default:
				t.Errorf("status %d, execution state %s: %s", status, h.Get(api.HeaderExecutionState), body)
			}
		})
	}
	wg.Wait()
	if countServiceRuns(w) != 1 || len(answers) != 1 {
		t.Fatalf("%d executions, answers %v", countServiceRuns(w), answers)
	}
	status, h, body := postConfirmation(t, w.Addresses[2], "lot-1", `{"lot":1}`)
	if status != http.StatusOK || !answers[body] || h.Get(api.HeaderIdempotencyReplayed) != "true" {
		t.Fatalf("repeated request: status %d, header %v, body %s", status, h, body)
	}
	if status, h, _ := postConfirmation(t, w.Addresses[1], "lot-1", `{"lot":2}`); status != http.StatusUnprocessableEntity || h.Get(api.HeaderExecutionState) != "not_run" {
		t.Fatalf("same key with another body: status %d", status)
	}
	if countServiceRuns(w) != 1 {
		t.Fatalf("%d executions", countServiceRuns(w))
	}
}

// TestIdempotencyKeysDuringLogOutage checks that without the log only keys minted by the
// same daemon incarnation are executed, because all others need a claim in the log.
func TestIdempotencyKeysDuringLogOutage(t *testing.T) {
	w := newCluster(t, 2)
	w.Log.SetDown(true)
	status, h, _ := postConfirmation(t, w.Addresses[0], "lot-2", `{}`)
	if status != http.StatusServiceUnavailable || h.Get(api.HeaderExecutionState) != "not_run" || h.Get("Retry-After") == "" || countServiceRuns(w) != 0 {
		t.Fatalf("without the log: status %d, header %v, %d executions", status, h, countServiceRuns(w))
	}
	status, _, body := post(t, w.Addresses[1], "/v1/keys", demo.APIKey(demo.Goldfields), nil, "")
	var minted struct{ Key, Endpoint string }
	if json.Unmarshal([]byte(body), &minted); status != http.StatusCreated || minted.Endpoint != w.Addresses[1] {
		t.Fatalf("minting a key: status %d, body %s", status, body)
	}
	first, _, answer := postConfirmation(t, w.Addresses[1], minted.Key, `{}`)
	second, h, replayed := postConfirmation(t, w.Addresses[1], minted.Key, `{}`)
	if first != http.StatusOK || second != http.StatusOK || answer != replayed || h.Get(api.HeaderIdempotencyReplayed) != "true" || countServiceRuns(w) != 1 {
		t.Fatalf("minted key: status %d and %d, %d executions", first, second, countServiceRuns(w))
	}
	if status, h, _ := postConfirmation(t, w.Addresses[0], minted.Key, `{}`); status != http.StatusConflict || h.Get(api.HeaderExecutionState) != "unknown" {
		t.Fatalf("minted key at another daemon: status %d, header %v", status, h)
	}
	w.Log.SetDown(false)
	waitUntil(t, "the key is executed after the abandoned claim", func() bool {
		status, _, _ := postConfirmation(t, w.Addresses[0], "lot-2", `{}`)
		return status == http.StatusOK
	})
	if countServiceRuns(w) != 2 {
		t.Fatalf("%d executions", countServiceRuns(w))
	}
}

// TestStalledStreamsAreResumed checks that a stream whose connection stalls is resumed on a
// new connection after the last received event, without starting a second run.
func TestStalledStreamsAreResumed(t *testing.T) {
	w := newCluster(t, 1)
	for _, e := range w.Engines {
		e.SetStalled(true)
	}
	status, _, body := post(t, w.Addresses[0], "/v1/chat/completions", demo.APIKey(demo.Largada), nil, lookupBody)
	if status != http.StatusOK {
		t.Fatalf("status %d: %s", status, body)
	}
	answers := ""
	for _, e := range w.Engines {
		for _, text := range e.Answers() {
			answers += text
		}
	}
	if !strings.Contains(body, strings.TrimSpace(answers)) || countRuns(w, "bib-lookup@v1") != 1 {
		t.Fatalf("%d runs, response %s", countRuns(w, "bib-lookup@v1"), body)
	}
}

// readLedger builds a ledger from the usage stream of the log.
func readLedger(w *demo.Cluster) *billing.Ledger {
	ledger := billing.NewLedger()
	for _, data := range w.Log.Records(daemon.UsageStream) {
		var batch []billing.UsageRecord
		if cbor.Unmarshal(data, &batch) == nil {
			for _, u := range batch {
				ledger.Apply(u)
			}
		}
	}
	return ledger
}

// TestReplicatedUsageIsBilledAfterDaemonLoss checks that usage recorded during a log outage
// is billed from the replica in another failure domain if its daemon is lost.
func TestReplicatedUsageIsBilledAfterDaemonLoss(t *testing.T) {
	w := newCluster(t, 3)
	w.Log.SetDown(true)
	const chats = 5
	for i := range chats {
		body := strings.Replace(lookupBody, "bib 7", fmt.Sprint("bib ", i), 1)
		if status, _, data := post(t, w.Addresses[0], "/v1/chat/completions", demo.APIKey(demo.Largada), nil, body); status != http.StatusOK {
			t.Fatalf("status %d: %s", status, data)
		}
	}
	if readLedger(w).Len() != 0 {
		t.Fatal("the log accepted usage records while it was down")
	}
	w.Kill(0)
	w.Log.SetDown(false)
	waitUntil(t, "the replicated usage records are billed", func() bool { return readLedger(w).Len() == chats })
	if ledger := readLedger(w); len(ledger.Conflicting) > 0 {
		t.Fatalf("conflicting usage records: %v", ledger.Conflicting)
	}
}

// TestNewDaemonLoadsConfigurationFromPeers checks that a daemon started during a log outage
// serves with the newest configuration known to daemons of several failure domains.
func TestNewDaemonLoadsConfigurationFromPeers(t *testing.T) {
	w := newCluster(t, 4)
	if err := w.ApplyPatch(fleet.Patch{Workspaces: map[string]json.RawMessage{demo.Largada: json.RawMessage(`{"priority":4}`)}}); err != nil {
		t.Fatal(err)
	}
	w.Log.SetDown(true)
	w.Kill(3)
	if err := w.Start(3); err != nil {
		t.Fatal(err)
	}
	status, _, body := post(t, w.Addresses[3], "/v1/chat/completions", demo.APIKey(demo.Largada), nil, lookupBody)
	if status != http.StatusOK {
		t.Fatalf("status %d: %s", status, body)
	}
	var config fleet.Config
	if err := w.CallOperatorAt(3, http.MethodGet, "/config", nil, &config); err != nil || config.Number != 2 {
		t.Fatalf("configuration %d, error %v", config.Number, err)
	}
}

// TestLeavingServerGetsNoNewRequests checks that no daemon sends requests to a server that
// the VM list reports as leaving.
func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	w := newCluster(t, 2)
	for id := range w.Engines {
		if id != "lm-desk-0" {
			w.VMs.Set(platform.VM{ID: id, State: platform.Leaving})
		}
	}
	countLeaving := func(i int) int {
		var servers []daemon.ServerView
		if err := w.CallOperatorAt(i, http.MethodGet, "/servers", nil, &servers); err != nil {
			t.Fatal(err)
		}
		n := 0
		for _, s := range servers {
			if s.Leaving {
				n++
			}
		}
		return n
	}
	waitUntil(t, "both daemons see the leaving servers", func() bool { return countLeaving(0) == len(w.Engines)-1 && countLeaving(1) == len(w.Engines)-1 })
	for i := range 10 {
		if status, _, body := post(t, w.Addresses[i%2], "/v1/chat/completions", demo.APIKey(demo.Largada), nil, lookupBody); status != http.StatusOK {
			t.Fatalf("status %d: %s", status, body)
		}
	}
	for id, e := range w.Engines {
		if id != "lm-desk-0" && e.StartedRuns() > 0 {
			t.Errorf("%s started %d runs", id, e.StartedRuns())
		}
	}
}

// TestLeaseHolderUnloadsWithdrawnVersion checks that the lease holder unloads a withdrawn
// version again after an order from a previous holder has loaded it.
func TestLeaseHolderUnloadsWithdrawnVersion(t *testing.T) {
	w := newCluster(t, 1)
	err := w.ApplyPatch(fleet.Patch{Models: map[string]json.RawMessage{"bib-lookup": json.RawMessage(`{"versions":{"v2":{"state":"withdrawn"}}}`)}})
	if err != nil {
		t.Fatal(err)
	}
	unloaded := func() bool {
		for _, e := range w.Engines {
			if e.HasVersion("bib-lookup@v2") {
				return false
			}
		}
		return true
	}
	waitUntil(t, "every engine has unloaded the version", unloaded)
	w.Engines["lm-desk-3"].SetBehaviour("bib-lookup@v2", standin.Behaviour{})
	waitUntil(t, "the engine has unloaded the version again", unloaded)
}

// TestRequestThatEndsItsEnginesIsKeptFromThem checks that a request that crashes engines is
// quarantined at all daemons, and that retries of it crash no further engine.
func TestRequestThatEndsItsEnginesIsKeptFromThem(t *testing.T) {
	w := newCluster(t, 3)
	crashBody := strings.Replace(lookupBody, "status of", standin.CrashMarker, 1)
	send := func(i int, body string) (int, string) {
		status, _, answer := post(t, w.Addresses[i%3], "/v1/chat/completions", demo.APIKey(demo.Largada), nil, body)
		return status, answer
	}
	if status, answer := send(0, crashBody); status != http.StatusBadGateway || strings.Contains(answer, string(fault.NotRun)) {
		t.Errorf("the first caller got %d %s", status, answer)
	}
	for i := range 3 {
		waitUntil(t, "held at all daemons", func() bool { return len(listHolds(t, w, i)) == 1 })
	}
	for i := range 9 {
		if status, answer := send(i, crashBody); status != http.StatusServiceUnavailable || !strings.Contains(answer, string(fault.Quarantined)) || !strings.Contains(answer, string(fault.NotRun)) {
			t.Errorf("a later caller got %d %s", status, answer)
		}
	}
	if n := w.CrashedEngines.Load(); n != 3 {
		t.Errorf("%d engines ended", n)
	}
	for i := range 3 {
		if status, answer := send(i, lookupBody); status != http.StatusOK {
			t.Errorf("another request got %d %s", status, answer)
		}
	}
	fingerprint := listHolds(t, w, 1)[0].Fingerprint
	if err := w.CallOperatorAt(1, http.MethodDelete, "/holds/"+fingerprint, nil, nil); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		waitUntil(t, "released at all daemons", func() bool { return len(listHolds(t, w, i)) == 0 })
	}
}

// listHolds returns the quarantined requests of a daemon.
func listHolds(t *testing.T, w *demo.Cluster, daemon int) (out []api.HeldRequest) {
	t.Helper()
	if err := w.CallOperatorAt(daemon, http.MethodGet, "/holds", nil, &out); err != nil {
		t.Fatal(err)
	}
	return out
}
