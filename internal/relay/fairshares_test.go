package relay

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fairshare"
	"github.com/damaskrudder/damaskrudder/internal/route"
)

// newContendedHarness returns a harness of a contended engine service, on which workspace "heavy" uses
// nine times as much as each of the others. Only the first of the workspaces are configured.
func newContendedHarness(t *testing.T, configured int) *harness {
	h := newHarness(t, respondStream(99, nil, 0))
	old := h.relay.State.Table()
	keys := map[string]route.Workspace{}
	for _, name := range []string{"heavy", "a", "b", "c", "d", "e"}[:configured] {
		keys[name] = route.Workspace{Name: name}
	}
	table, err := route.NewTable(route.Document{
		Version: 2, KeyRequired: true, Keys: keys, Services: []route.Service{old.Services["lm"], old.Services["app"]},
		Routes: []route.Route{*old.Match("h", "/s/"), *old.Match("h", "/l/")},
	})
	if err != nil {
		t.Fatal(err)
	}
	h.relay.State.SetTable(table)
	h.relay.State.SetDaemons(4)
	f := h.relay.fairShares
	f.configure(table)
	l, work := f.ledger("lm"), fairshare.Report{Service: fairshare.KeyOf("lm"), Contended: true, Total: 14_000}
	for name := range keys {
		millis := int64(1000)
		if name == "heavy" {
			millis = 9000
		}
		l.Record(fairshare.KeyOf(name), float64(millis)/1000, h.clock.now)
		work.Work = append(work.Work, fairshare.WorkspaceWork{Workspace: fairshare.KeyOf(name), Millis: millis})
	}
	for daemon := range 3 {
		h.relay.MergeWorkspaceReport(fmt.Sprint("d", daemon), &work)
	}
	for range 20 {
		l.ObserveWait(0, true, h.clock.now)
	}
	return h
}

// admitAs returns an admitted call with a key.
func (h *harness) admitAs(t *testing.T, key, id string) *exchange {
	t.Helper()
	call := &Call{ID: id, Host: "h", Method: "POST", Target: "/s/", Path: "/s/", Key: key, Model: AnyModel, LastEvent: NoEvent, Received: time.Now(), Prompt: Prompt{Tokens: 100, MaxCompletionTokens: 20, Parts: []PromptPart{{1, 100}}}}
	x, refusal := h.relay.admit(call, time.Time{})
	if refusal != nil {
		t.Fatal(refusal)
	}
	return x
}

// countOver returns how many of 100 requests with a key are beyond the workspace's share.
func (h *harness) countOver(t *testing.T, key string) (n int) {
	t.Helper()
	for i := range 100 {
		if h.admitAs(t, key, fmt.Sprint(i)).overShare {
			n++
		}
	}
	return n
}

// Guards against a flood that goes before the requests of others, or that is refused.
func TestRequestsBeyondShareGoBehind(t *testing.T) {
	h := newContendedHarness(t, 6)
	if heavy, other := h.countOver(t, "heavy"), h.countOver(t, "a"); heavy < 50 || heavy == 100 || other > 0 {
		t.Fatalf("%d requests of the flood and %d of another workspace are beyond their share", heavy, other)
	}
	within, beyond := map[int]bool{}, map[int]bool{}
	for i := range 20 {
		x := h.admitAs(t, "heavy", fmt.Sprint(i))
		out := &fakeResponseWriter{}
		h.serve(x.call, out)
		if out.refusal != nil {
			t.Errorf("request %d: refused: %v", i, out.refusal)
		}
		priorities := within
		if x.overShare {
			priorities = beyond
		}
		priorities[h.backend.sends[i].Priority] = true
	}
	last, first := slices.Max(slices.Collect(maps.Keys(within))), slices.Min(slices.Collect(maps.Keys(beyond)))
	if first <= last {
		t.Errorf("requests within the share have priorities up to %d, those beyond it from %d, want them behind", last, first)
	}
}

// Guards against a flood that takes the engine time of others by larger models.
func TestLargerModelIsWorthLessBeyondShare(t *testing.T) {
	h := newContendedHarness(t, 6)
	within, x := h.admitAs(t, "a", "1"), h.admitAs(t, "heavy", "1")
	for i := 0; !x.overShare; i++ {
		x = h.admitAs(t, "heavy", fmt.Sprint(i))
	}
	usual, beyond := within.modelOffers(1)[2], x.modelOffers(1)[2]
	if usual.DisplacedPerSecond != 0 || beyond.DisplacedPerSecond <= 0 {
		t.Errorf("displaces %.3g requests a second beyond the share, %.3g within", beyond.DisplacedPerSecond, usual.DisplacedPerSecond)
	}
}

// Guards against a priority that gives a workspace less weight than one of a lower rank.
func TestWeightFallsWithPriority(t *testing.T) {
	previous := workspaceWeight(route.Workspace{Priority: -1, HasPriority: true})
	for priority := range 10 {
		weight := workspaceWeight(route.Workspace{Priority: priority, HasPriority: true})
		if weight <= 0 || weight > previous {
			t.Errorf("priority %d weighs %.3g, the one before %.3g", priority, weight, previous)
		}
		previous = weight
	}
	if none := workspaceWeight(route.Workspace{}); none != 1 {
		t.Errorf("without priority %.3g", none)
	}
}

// Guards against a deployment with one workspace that is treated or reports as if there were others.
func TestSingleWorkspaceHasNoShare(t *testing.T) {
	h := newContendedHarness(t, 1)
	if over := h.countOver(t, "heavy"); over > 0 {
		t.Errorf("%d requests beyond the share", over)
	}
}

// Guards against reports whose bytes grow with the number of messages.
func TestReportsOfWorkAreSpaced(t *testing.T) {
	h := newContendedHarness(t, 6)
	reports := 0
	for range 1000 {
		if h.relay.WorkspaceReport() != nil {
			reports++
		}
		h.clock.now += 2 * time.Millisecond
	}
	if most := int(2*time.Second/shareReportInterval) + 1; reports == 0 || reports > most {
		t.Errorf("%d reports in 2 s", reports)
	}
}

// Guards against a daemon whose invalid reports change the standing of workspaces.
func TestInvalidReportOfWorkIsDropped(t *testing.T) {
	h := newContendedHarness(t, 6)
	before := h.countOver(t, "heavy")
	for _, r := range []*fairshare.Report{nil, {}, {Service: fairshare.KeyOf("lm"), Total: -1}, {Service: 1, Total: 1}} {
		h.relay.MergeWorkspaceReport("d1", r)
	}
	h.clock.now += time.Second / 2
	if after := h.countOver(t, "heavy"); after < before-10 || after > before+10 {
		t.Errorf("%d requests beyond the share, %d before", after, before)
	}
}
