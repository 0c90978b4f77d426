package kvtransfer

import (
	"testing"
	"time"
)

// fastLinks transfer 6,000 tokens in 28.6 ms.
var fastLinks = Rate{TokenBytes: 327_680, LinkMbps: 550_000}

func TestTransferIsChosenWhereItSavesEngineTime(t *testing.T) {
	target := Target{Engine: Engine{Index: 0, HeldTokens: 500, FailureDomain: "a", Version: "v1"}, PrefillPerToken: 20 * time.Microsecond}
	home := Engine{Index: 1, HeldTokens: 6500, FailureDomain: "a", Version: "v1"}
	for want, cases := range map[Reason]map[string]func(p *Policy, target *Target, lender *Engine){
		Planned: {"long shared prefix": func(*Policy, *Target, *Engine) {}},
		SlowLink: {
			"links ten times slower":         func(p *Policy, _ *Target, _ *Engine) { p.Rate.LinkMbps /= 10 },
			"links that hardly transfer":     func(p *Policy, _ *Target, _ *Engine) { p.Rate.LinkMbps = 1e-12 },
			"fast model":                     func(_ *Policy, target *Target, _ *Engine) { target.PrefillPerToken = 8 * time.Microsecond },
			"lender in another domain":       func(_ *Policy, _ *Target, lender *Engine) { lender.FailureDomain = "b" },
			"gain that callers don't notice": func(_ *Policy, target *Target, _ *Engine) { target.HeldTokens = 5500 },
		},
		NoLender: {
			"few tokens":        func(_ *Policy, target *Target, _ *Engine) { target.HeldTokens = 6400 },
			"target holds more": func(_ *Policy, target *Target, _ *Engine) { target.HeldTokens = 9000 },
			"another version":   func(_ *Policy, _ *Target, lender *Engine) { lender.Version = "v2" },
			"unknown versions":  func(_ *Policy, target *Target, lender *Engine) { target.Version, lender.Version = "", "" },
			"the target itself": func(_ *Policy, target *Target, lender *Engine) { lender.Index = target.Index },
		},
		BusyLink: {
			"lender's link":                func(_ *Policy, _ *Target, lender *Engine) { lender.LinkWait = 80 * time.Millisecond },
			"target's link":                func(_ *Policy, target *Target, _ *Engine) { target.LinkWait = 80 * time.Millisecond },
			"overlong prompt":              func(_ *Policy, _ *Target, lender *Engine) { lender.HeldTokens = 200_000 },
			"all links":                    func(p *Policy, _ *Target, _ *Engine) { p.Utilization = maxUtilization },
			"other daemons use the lender": func(_ *Policy, _ *Target, lender *Engine) { lender.Share = Share{Daemons: 520, draw: 0.5} },
		},
		Unreliable: {"transfers that save nothing": func(p *Policy, _ *Target, _ *Engine) { p.Success = 0.2 }},
	} {
		for name, change := range cases {
			policy, target, lender := Policy{Rate: fastLinks, Success: 1}, target, home
			change(&policy, &target, &lender)
			if got := policy.Choose(target, []Engine{lender}); got.Reason != want {
				t.Errorf("%s: got %+v", name, got)
			}
		}
	}
}

func TestNearestLenderIsChosen(t *testing.T) {
	target := Target{Engine: Engine{FailureDomain: "a", Version: "v1"}, PrefillPerToken: 40 * time.Microsecond}
	lenders := []Engine{
		{Index: 1, HeldTokens: 6000, FailureDomain: "b", Version: "v1"}, {Index: 2, HeldTokens: 6000, FailureDomain: "a", Version: "v1"},
		{Index: 3, HeldTokens: 6000, FailureDomain: "a", Version: "v1", LinkWait: 40 * time.Millisecond}, {Index: 4, HeldTokens: 100, FailureDomain: "a", Version: "v1"},
	}
	if plan := (Policy{Rate: fastLinks, Success: 1}).Choose(target, lenders); plan.Lender != 2 || plan.Tokens != 6000 {
		t.Fatalf("got %+v", plan)
	}
}

// Guards against transfers that go on although the lenders hold nothing, and that never begin again.
func TestFailedTransfersPauseAndResume(t *testing.T) {
	now := time.Unix(1000, 0)
	y := &Yield{}
	for range 10 {
		y.ObserveTransfer(160*time.Millisecond, 60*time.Millisecond, 160*time.Millisecond, now)
	}
	if got := y.Success(now); got >= minSuccess {
		t.Errorf("success %.2f after failures", got)
	}
	if got := y.Success(now.Add(time.Minute)); got < 0.7 {
		t.Errorf("success %.2f a minute later", got)
	}
}

// Guards against queueing that all requests see being attributed to transfers.
func TestQueueingIsNotAttributedToTransfers(t *testing.T) {
	now := time.Unix(1000, 0)
	y := &Yield{}
	for range 20 {
		y.ObservePlain(200*time.Millisecond, now)
		y.ObserveTransfer(260*time.Millisecond, 60*time.Millisecond, 160*time.Millisecond, now)
	}
	if got := y.Success(now); got < 0.8 {
		t.Errorf("success %.2f", got)
	}
}
