package fairshare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	workspaces = 24
	// usualRate is a daemon's requests per second without a flood, and usualWork their mean work in
	// seconds.
	usualRate = 7
	usualWork = 0.05
	// floodFactor is the traffic of a workspace that floods as a multiple of its usual.
	floodFactor = 9
	reportStep  = 200 * time.Millisecond
	// maxSimulated is the number of daemons that are played of a larger fleet, in which each has
	// partners among these.
	maxSimulated, partners = 200, 12
	// minFloodOver is the least part of what is beyond the share of a flood that must be recognized,
	// and maxOthersOver the largest fraction of others' work that may go behind because of it.
	minFloodOver, maxOthersOver = 0.6, 0.1
	// maxBytesPerSecond is the traffic of a daemon's reports.
	maxBytesPerSecond = 500
)

func workspaceKey(i int) Key { return KeyOf(fmt.Sprint("w", i)) }

// fleet is a number of daemons that record work and report it to each other in virtual time.
type fleet struct {
	rng     *rand.Rand
	now     time.Duration
	daemons []*Ledger
	view    View
	// late is the fraction of requests that wait too long.
	late float64
	// silent is the index of a daemon that is cut off, or -1.
	silent   int
	maxBytes int
}

func newFleet(daemons int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(1, 1)), now: time.Hour, late: 0.3, silent: -1, view: View{Daemons: daemons, Weights: map[Key]float64{}}}
	for range min(daemons, maxSimulated) {
		f.daemons = append(f.daemons, NewLedger())
	}
	for i := range workspaces {
		f.view.Weights[workspaceKey(i)] = 1
	}
	return f
}

// traffic is the rate of a workspace at a daemon as a multiple of its usual.
type traffic func(workspace, daemon int) float64

// flood returns the traffic if the first workspaces flood. None do if there are zero.
func flood(flooding int) traffic {
	return func(w, _ int) float64 {
		if w < flooding {
			return floodFactor
		}
		return 1
	}
}

// run plays traffic and reports.
func (f *fleet) run(period time.Duration, rate traffic) {
	for end := f.now + period; f.now < end; f.now += reportStep {
		for d, l := range f.daemons {
			for w := range workspaces {
				mean := usualRate / float64(workspaces) * rate(w, d) * reportStep.Seconds()
				for p := f.rng.ExpFloat64(); p < mean; p += f.rng.ExpFloat64() {
					l.Record(workspaceKey(w), usualWork*math.Exp(f.rng.NormFloat64()-0.5), f.now)
					l.ObserveWait(0, f.rng.Float64() < f.late, f.now)
				}
			}
			l.Refresh(f.view, f.now)
			f.report(d)
		}
	}
}

// report sends a daemon's report to one of those with which it exchanges messages.
func (f *fleet) report(from int) {
	n := len(f.daemons)
	reach := n - 1
	if f.view.Daemons > n {
		reach = partners
	}
	to := (from + 1 + f.rng.IntN(reach)) % n
	if !f.daemons[from].ReportDue(f.now) || from == f.silent || to == f.silent {
		return
	}
	r := f.daemons[from].Report(1, f.now)
	encoded, err := cbor.Marshal(r)
	if mergeErr := f.daemons[to].Merge(uint64(from), r, f.now); err != nil || mergeErr != nil {
		panic(fmt.Sprint(err, mergeErr))
	}
	f.maxBytes = max(f.maxBytes, len(encoded))
}

// over returns the mean fraction of the work of workspaces, at some daemons, that is beyond the share.
func (f *fleet) over(from, to int, daemons []*Ledger) float64 {
	sum := 0.0
	for w := from; w < to; w++ {
		for _, l := range daemons {
			sum += l.Standing(workspaceKey(w)).Excess()
		}
	}
	return sum / float64((to-from)*len(daemons))
}

// beyondShare returns the fraction of the traffic of flooding workspaces that is beyond their share.
func (f *fleet) beyondShare(flooding int) float64 {
	used := map[Key]float64{}
	for w := range workspaces {
		used[workspaceKey(w)] = flood(flooding)(w, 0)
	}
	return 1 - fairLevel(used, 0, f.view.Weights, f.late)/floodFactor
}

// Guards against a flood of one workspace, through all daemons or through one, or of two workspaces
// that is not recognized, or that others pay for.
func TestFloodIsToldApartAtAnySize(t *testing.T) {
	for _, n := range []int{6, 60, 195, 520, 2000} {
		oneDaemon := func(w, d int) float64 {
			if w == 0 && d == 0 {
				return float64(n * (floodFactor - 1))
			}
			return 1
		}
		for _, tt := range []struct {
			name     string
			traffic  traffic
			flooding int
			senders  int
		}{{"all daemons", flood(1), 1, min(n, maxSimulated)}, {"two flood", flood(2), 2, min(n, maxSimulated)}, {"one daemon", oneDaemon, 1, 1}} {
			f := newFleet(n)
			f.run(4*time.Second, flood(0))
			f.run(4*time.Second, tt.traffic)
			over, others := f.over(0, tt.flooding, f.daemons[:tt.senders]), f.over(tt.flooding, workspaces, f.daemons)
			t.Logf("%d daemons, %s: %.2f of the flood and %.3f of the others beyond the share, %d bytes", n, tt.name, over, others, f.maxBytes)
			if over < minFloodOver*f.beyondShare(tt.flooding) || others > maxOthersOver {
				t.Errorf("%d daemons, %s: %.2f of the flood and %.3f of the others are beyond the share", n, tt.name, over, others)
			}
			if perSecond := f.maxBytes * int(time.Second/reportStep); perSecond > maxBytesPerSecond {
				t.Errorf("%d daemons: %d bytes a second", n, perSecond)
			}
		}
	}
}

// Guards against a workspace that pays for a flood after it has ended.
func TestStoppedFloodIsWithinShareAgainWithinSeconds(t *testing.T) {
	f := newFleet(60)
	f.run(6*time.Second, flood(1))
	f.run(10*time.Second, flood(0))
	if over := f.over(0, 1, f.daemons); over > maxOthersOver {
		t.Errorf("%.2f of its work is beyond its share", over)
	}
}

// Guards against workspaces that pay although nobody waits, or although nobody else sends.
func TestNobodyIsOverWithoutContentionOrAlone(t *testing.T) {
	calm, alone := newFleet(60), newFleet(60)
	calm.late = 0.05
	calm.run(6*time.Second, flood(1))
	alone.run(6*time.Second, func(w, _ int) float64 { return float64(workspaces * max(1-w, 0)) })
	if a, b := calm.over(0, 1, calm.daemons), alone.over(0, 1, alone.daemons); a > 0 || b > 0 {
		t.Errorf("%.2f without contention, %.2f alone", a, b)
	}
}

// Guards against weights that do not count: of two workspaces that flood, the heavier has more.
func TestShareFollowsWeight(t *testing.T) {
	f := newFleet(60)
	f.view.Weights[workspaceKey(0)] = 2
	f.run(8*time.Second, flood(2))
	for _, l := range f.daemons {
		if heavy, light := l.Standing(workspaceKey(0)), l.Standing(workspaceKey(1)); math.Abs(heavy.Share-2*light.Share) > 1e-9 {
			t.Fatalf("shares %.3f and %.3f", heavy.Share, light.Share)
		}
	}
}

// Guards against a daemon that was cut off or just started and takes its own callers for all.
func TestUninformedDaemonTakesNobodyToBeOver(t *testing.T) {
	f := newFleet(60)
	f.run(4*time.Second, flood(1))
	f.silent = 0
	f.run(reportRetention+time.Second, flood(1))
	if s := f.daemons[0].Status(); s.Over > 0 || s.Informed || !s.Contended {
		t.Errorf("cut off: %+v", s)
	}
	f.silent, f.daemons[1] = -1, NewLedger()
	f.daemons[1].Refresh(f.view, f.now)
	if s := f.daemons[1].Status(); s.Over > 0 || s.Informed {
		t.Errorf("restarted: %+v", s)
	}
	f.run(3*time.Second, flood(1))
	if over := f.over(0, 1, f.daemons[:2]); over < minFloodOver*f.beyondShare(1) {
		t.Errorf("%.2f after contact", over)
	}
}

// Guards against a daemon that puts a workspace beyond its share, or saves one, by a false report.
func TestFalseReportsMoveNobody(t *testing.T) {
	victim, limit := workspaceKey(1), maxReportedWork.Milliseconds()
	for name, r := range map[string]Report{
		"negative":  {Total: 1, Work: []WorkspaceWork{{Workspace: victim, Millis: -1}}},
		"absurd":    {Total: math.MaxInt64},
		"sum":       {Total: 1, Work: []WorkspaceWork{{Workspace: victim, Millis: 2}}},
		"duplicate": {Total: 9, Work: []WorkspaceWork{{Workspace: 1, Millis: 2}, {Workspace: 1, Millis: 2}}},
		"too many":  {Total: 1, Work: make([]WorkspaceWork, MaxReported+1)},
	} {
		if l := NewLedger(); l.Merge(1, r, 0) == nil || len(l.peers) > 0 {
			t.Errorf("%s: accepted", name)
		}
	}
	for name, r := range map[string]Report{
		"victim":   {Total: limit, Work: []WorkspaceWork{{Workspace: victim, Millis: limit}}},
		"unlisted": {Total: limit},
		"unknown":  {Total: limit, Work: []WorkspaceWork{{Workspace: KeyOf("unknown"), Millis: limit}}},
	} {
		f := newFleet(60)
		f.run(8*time.Second, flood(1))
		flooding, others := f.over(0, 1, f.daemons), f.over(1, 2, f.daemons)
		f.now += refreshInterval
		for _, l := range f.daemons {
			if err := l.Merge(7, r, f.now); err != nil {
				t.Fatal(err)
			}
			l.Refresh(f.view, f.now)
		}
		if a, b := f.over(0, 1, f.daemons)-flooding, f.over(1, 2, f.daemons)-others; math.Abs(a) > maxOthersOver || b > maxOthersOver {
			t.Errorf("%s: the flood's fraction moved by %.2f, the victim's by %.2f", name, a, b)
		}
	}
}

// Guards against memory that grows with the number of workspaces and daemons.
func TestMemoryIsBounded(t *testing.T) {
	l := NewLedger()
	for i := range 3 * maxWorkspaces {
		l.Record(Key(i+1), 1, 0)
		if err := l.Merge(uint64(i), Report{Total: 1}, 0); err != nil {
			t.Fatal(err)
		}
	}
	full := len(l.own) <= maxWorkspaces && len(l.peers) <= maxPeers
	l.Refresh(View{Daemons: 2}, time.Minute)
	if !full || len(l.own) > 0 || len(l.peers) > 0 {
		t.Errorf("%d workspaces, %d daemons after a minute; bounded before: %t", len(l.own), len(l.peers), full)
	}
}
