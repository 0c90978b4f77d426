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

// confirm sends a confirmation with a key and returns status, headers and body.
func confirm(t *testing.T, address, key, body string) (int, http.Header, string) {
	t.Helper()
	return post(t, address, "/v1/services/confirm", demo.APIKey(demo.Goldfields), http.Header{api.HeaderKey: {key}}, body)
}

// executions counts what the plain services really ran.
func executions(w *demo.Cluster) int {
	n := 0
	for _, s := range w.Services {
		for _, k := range s.Runs() {
			n += k
		}
	}
	return n
}

// Symptom: a confirmation is given twice.
// Sequence: the caller sends one key to all daemons at once, then again; the log
// loses the replies of the first appends after acting.
// Cause: the claim's place in the log decides who runs; everybody else waits for
// the outcome or is told that the key is taken.
func TestOneKeyRunsOnceAtAllDaemons(t *testing.T) {
	w := world(t, 3)
	w.Log.LoseReplies(4)
	var mu sync.Mutex
	answers := map[string]bool{}
	var wg sync.WaitGroup
	for i := range 9 {
		wg.Go(func() {
			status, h, body := confirm(t, w.Addresses[i%3], "lot-1", `{"lot":1}`)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case status == http.StatusOK:
				answers[body] = true
			case status == http.StatusConflict && h.Get(api.HeaderRan) == "unknown":
			default:
				t.Errorf("%d %s %s", status, h.Get(api.HeaderRan), body)
			}
		})
	}
	wg.Wait()
	if executions(w) != 1 || len(answers) != 1 {
		t.Fatalf("%d executions, answers %v", executions(w), answers)
	}
	status, h, body := confirm(t, w.Addresses[2], "lot-1", `{"lot":1}`)
	if status != http.StatusOK || !answers[body] || h.Get(api.HeaderReplayed) != "true" {
		t.Fatalf("a repeat: %d %v %s", status, h, body)
	}
	if status, h, _ := confirm(t, w.Addresses[1], "lot-1", `{"lot":2}`); status != http.StatusUnprocessableEntity || h.Get(api.HeaderRan) != "not_run" {
		t.Fatalf("another body: %d", status)
	}
	if executions(w) != 1 {
		t.Fatalf("%d executions", executions(w))
	}
}

// Symptom: payments run twice, or are wrongly said not to have run, while the log
// is down.
// Sequence: the log goes down; a key is sent; a key that a daemon minted is sent
// twice; the log comes back and the first key is sent again.
// Cause: without a claim nothing may run but what one incarnation alone may run.
func TestPaymentsWhileTheLogIsDown(t *testing.T) {
	w := world(t, 2)
	w.Log.SetDown(true)
	status, h, _ := confirm(t, w.Addresses[0], "lot-2", `{}`)
	if status != http.StatusServiceUnavailable || h.Get(api.HeaderRan) != "not_run" || h.Get("Retry-After") == "" || executions(w) != 0 {
		t.Fatalf("without the log: %d %v, %d executions", status, h, executions(w))
	}
	status, _, body := post(t, w.Addresses[1], "/v1/keys", demo.APIKey(demo.Goldfields), nil, "")
	var minted struct{ Key, Endpoint string }
	if json.Unmarshal([]byte(body), &minted); status != http.StatusCreated || minted.Endpoint != w.Addresses[1] {
		t.Fatalf("mint: %d %s", status, body)
	}
	first, _, answer := confirm(t, w.Addresses[1], minted.Key, `{}`)
	again, h, repeat := confirm(t, w.Addresses[1], minted.Key, `{}`)
	if first != http.StatusOK || again != http.StatusOK || answer != repeat || h.Get(api.HeaderReplayed) != "true" || executions(w) != 1 {
		t.Fatalf("minted key: %d %d, %d executions", first, again, executions(w))
	}
	if status, h, _ := confirm(t, w.Addresses[0], minted.Key, `{}`); status != http.StatusConflict || h.Get(api.HeaderRan) != "unknown" {
		t.Fatalf("minted key elsewhere: %d %v", status, h)
	}
	w.Log.SetDown(false)
	until(t, "the abandoned claim is void and the key runs", func() bool {
		status, _, _ := confirm(t, w.Addresses[0], "lot-2", `{}`)
		return status == http.StatusOK
	})
	if executions(w) != 2 {
		t.Fatalf("%d executions", executions(w))
	}
}

// Symptom: answers hang for ever, or have doubled words, behind a middlebox that
// forgets connections.
// Sequence: every engine's open streams go silent after two tokens; new
// connections work.
// Cause: the stream must be resumed on a new connection from the last event, as
// the same run.
func TestSilentStreamsAreResumed(t *testing.T) {
	w := world(t, 1)
	for _, e := range w.Engines {
		e.SetSilent(true)
	}
	status, _, body := post(t, w.Addresses[0], "/v1/chat/completions", demo.APIKey(demo.Largada), nil, lookup)
	if status != http.StatusOK {
		t.Fatalf("%d %s", status, body)
	}
	whole := ""
	for _, e := range w.Engines {
		for _, text := range e.Texts() {
			whole += text
		}
	}
	if !strings.Contains(body, strings.TrimSpace(whole)) || startedOn(w, "bib-lookup@v1") != 1 {
		t.Fatalf("%d runs; %s", startedOn(w, "bib-lookup@v1"), body)
	}
}

// bills reads the usage stream as the ledger does.
func bills(w *demo.Cluster) *billing.Ledger {
	l := billing.NewLedger()
	for _, data := range w.Log.All(daemon.UsageStream) {
		var batch []billing.UsageRecord
		if cbor.Unmarshal(data, &batch) == nil {
			for _, u := range batch {
				l.Apply(u)
			}
		}
	}
	return l
}

// Symptom: answers are never billed after an outage of the log in which their
// daemon was lost.
// Sequence: the log goes down; chats are answered; their daemon is killed; the
// log comes back.
// Cause: the keeper in another failure domain must append its copies.
func TestKeeperBillsForALostDaemon(t *testing.T) {
	w := world(t, 3)
	w.Log.SetDown(true)
	const chats = 5
	for i := range chats {
		body := strings.Replace(lookup, "bib 7", fmt.Sprint("bib ", i), 1)
		if status, _, data := post(t, w.Addresses[0], "/v1/chat/completions", demo.APIKey(demo.Largada), nil, body); status != http.StatusOK {
			t.Fatalf("%d %s", status, data)
		}
	}
	if bills(w).Len() != 0 {
		t.Fatal("the log took bills while it was down")
	}
	w.Kill(0)
	w.Log.SetDown(false)
	until(t, "the keeper's copies are billed", func() bool { return bills(w).Len() == chats })
	if l := bills(w); len(l.Conflicting) > 0 {
		t.Fatalf("doubtful: %v", l.Conflicting)
	}
}

// Symptom: a replaced VM serves by an empty or old configuration, or never serves,
// while the log is down.
// Sequence: the log goes down; a daemon's VM is replaced by a fresh one.
// Cause: it must take the highest number that daemons of several failure domains
// have, and refuse until then.
func TestFreshDaemonLearnsFromPeers(t *testing.T) {
	w := world(t, 4)
	if err := w.ApplyPatch(fleet.Patch{Workspaces: map[string]json.RawMessage{demo.Largada: json.RawMessage(`{"priority":4}`)}}); err != nil {
		t.Fatal(err)
	}
	w.Log.SetDown(true)
	w.Kill(3)
	if err := w.Start(3); err != nil {
		t.Fatal(err)
	}
	status, _, body := post(t, w.Addresses[3], "/v1/chat/completions", demo.APIKey(demo.Largada), nil, lookup)
	if status != http.StatusOK {
		t.Fatalf("%d %s", status, body)
	}
	var c fleet.Config
	if err := w.CallOperatorAt(3, http.MethodGet, "/config", nil, &c); err != nil || c.Number != 2 {
		t.Fatalf("number %d, %v", c.Number, err)
	}
}

// Symptom: requests are cut because they were sent to a server that goes away.
// Sequence: the platform lists a server as leaving.
// Cause: it must get no new work from any daemon after the list's word.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	w := world(t, 2)
	for id := range w.Engines {
		if id != "lm-desk-0" {
			w.VMs.Set(platform.VM{ID: id, State: platform.Leaving})
		}
	}
	shown := func(i int) int {
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
	until(t, "both daemons know", func() bool { return shown(0) == len(w.Engines)-1 && shown(1) == len(w.Engines)-1 })
	for i := range 10 {
		if status, _, body := post(t, w.Addresses[i%2], "/v1/chat/completions", demo.APIKey(demo.Largada), nil, lookup); status != http.StatusOK {
			t.Fatalf("%d %s", status, body)
		}
	}
	for id, e := range w.Engines {
		if id != "lm-desk-0" && e.Started() > 0 {
			t.Errorf("%s started %d runs", id, e.Started())
		}
	}
}

// Symptom: an engine keeps a withdrawn version that a late order loaded again.
// Sequence: a version is withdrawn; an engine that ignores fencing loads it by an
// old holder's order.
// Cause: the holder must read back what servers hold and correct it.
func TestHolderCorrectsServers(t *testing.T) {
	w := world(t, 1)
	err := w.ApplyPatch(fleet.Patch{Models: map[string]json.RawMessage{"bib-lookup": json.RawMessage(`{"versions":{"v2":{"state":"withdrawn"}}}`)}})
	if err != nil {
		t.Fatal(err)
	}
	gone := func() bool {
		for _, e := range w.Engines {
			if e.Holds("bib-lookup@v2") {
				return false
			}
		}
		return true
	}
	until(t, "every engine has unloaded it", gone)
	w.Engines["lm-desk-3"].SetBehaviour("bib-lookup@v2", standin.Behaviour{})
	until(t, "the late order is corrected", gone)
}

// Symptom: one engine after the other ends, and everybody's requests fail.
// Sequence: a request ends the engine that runs it; the daemon sends it to another one, and
// its caller sends it again, to another daemon.
// Cause: nothing knew the request again.
func TestRequestThatEndsItsEnginesIsKeptFromThem(t *testing.T) {
	w := world(t, 3)
	deadly := strings.Replace(lookup, "status of", standin.DeadlyMark, 1)
	ask := func(i int, body string) (int, string) {
		status, _, answer := post(t, w.Addresses[i%3], "/v1/chat/completions", demo.APIKey(demo.Largada), nil, body)
		return status, answer
	}
	if status, answer := ask(0, deadly); status != http.StatusBadGateway || strings.Contains(answer, string(fault.NotRun)) {
		t.Errorf("the first caller got %d %s", status, answer)
	}
	for i := range 3 {
		until(t, "held at all daemons", func() bool { return len(holds(t, w, i)) == 1 })
	}
	for i := range 9 {
		if status, answer := ask(i, deadly); status != http.StatusServiceUnavailable || !strings.Contains(answer, string(fault.Quarantined)) || !strings.Contains(answer, string(fault.NotRun)) {
			t.Errorf("a later caller got %d %s", status, answer)
		}
	}
	if n := w.CrashedEngines.Load(); n != 3 {
		t.Errorf("%d engines ended", n)
	}
	for i := range 3 {
		if status, answer := ask(i, lookup); status != http.StatusOK {
			t.Errorf("another request got %d %s", status, answer)
		}
	}
	held := holds(t, w, 1)[0].Fingerprint
	if err := w.CallOperatorAt(1, http.MethodDelete, "/holds/"+held, nil, nil); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		until(t, "released at all daemons", func() bool { return len(holds(t, w, i)) == 0 })
	}
}

// holds returns the requests that a daemon keeps from servers.
func holds(t *testing.T, w *demo.Cluster, daemon int) (out []api.HeldRequest) {
	t.Helper()
	if err := w.CallOperatorAt(daemon, http.MethodGet, "/holds", nil, &out); err != nil {
		t.Fatal(err)
	}
	return out
}
