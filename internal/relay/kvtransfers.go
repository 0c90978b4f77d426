package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/kvtransfer"
	"github.com/damaskrudder/damaskrudder/internal/route"
	"github.com/damaskrudder/damaskrudder/internal/routing"
)

// maxLenders is the number of engines from which a selection may fetch. More would make it slower
// and seldom find a better one.
const maxLenders = 8

// kvTransfers is the state of the transfers between a service's engines.
type kvTransfers struct {
	links *kvtransfer.Links
	yield kvtransfer.Yield
	// lenders, plans and reasons are reused by each selection, to save allocations. The latter two
	// are indexed by candidate.
	lenders []kvtransfer.Engine
	plans   []routing.Transfer
	reasons []kvtransfer.Reason
}

func newKVTransfers() kvTransfers { return kvTransfers{links: kvtransfer.NewLinks()} }

// fetch is what a server fetches from another one before it runs a request.
type fetch struct {
	// address is the address of the lender; empty if nothing is fetched, for a reason that is empty
	// where servers do not fetch from each other.
	address                string
	reason                 kvtransfer.Reason
	tokens, expectedTokens int
	// delay is the expected time until the transfer has ended.
	delay time.Duration
}

func (f *fetch) used() bool { return f.address != "" }

// logFields returns the fields for the log line of a send.
func (f *fetch) logFields() []any {
	switch {
	case f.used():
		return []any{"fetch_from", f.address, "fetch_tokens", f.tokens, "fetch_ms", f.delay.Milliseconds()}
	case f.reason != kvtransfer.Planned && f.reason != kvtransfer.NoLender:
		return []any{"fetch_skipped", f.reason}
	}
	return nil
}

// recordTransfer counts what a send fetches, or why it fetches nothing.
func (m *Metrics) recordTransfer(f *fetch) {
	switch {
	case f.used():
		m.Transfers.Inc(1)
		m.TransferTokens.Inc(int64(f.expectedTokens))
	case f.reason != kvtransfer.Planned:
		m.TransfersSkipped(f.reason).Inc(1)
	}
}

// transferRate returns the rate of transfers between engines; zero for a plain service.
func transferRate(e *route.Engine) kvtransfer.Rate {
	if e == nil {
		return kvtransfer.Rate{}
	}
	return kvtransfer.Rate{TokenBytes: e.KVTokenBytes, LinkMbps: e.KVLinkMbps}
}

// transferExclusion returns why no engine may fetch for a request, or Planned.
func transferExclusion(req *requirements) kvtransfer.Reason {
	switch {
	case req.quarantineStatus.Crashes > 0 || req.quarantineStatus.Held:
		return kvtransfer.Suspect
	case req.resent:
		return kvtransfer.Resent
	}
	return kvtransfer.Planned
}

// planTransfers sets what each candidate would fetch. Callers hold mu.
func (s *State) planTransfers(sel *selection, req *requirements, now time.Time) {
	r := &sel.request
	r.Transfers = nil
	rate := transferRate(req.engine)
	if !rate.Enabled() || transferExclusion(req) != kvtransfer.Planned {
		return
	}
	k := &sel.service.transfers
	k.reset(len(sel.candidates))
	fleet := kvtransfer.Fleet{Daemon: xxhash.Sum64String(s.daemon), Daemons: s.daemons, Engines: len(sel.service.members)}
	s.findLenders(sel, fleet, now)
	if len(k.lenders) == 0 {
		return
	}
	policy := kvtransfer.Policy{Rate: rate, Success: k.yield.Success(now), Utilization: k.links.Utilization(fleet, now)}
	most := k.mostHeld()
	for i := range sel.candidates {
		if r.Tried.Has(i) || most-r.CachedTokens(i) < kvtransfer.MinTokens {
			continue
		}
		target := kvtransfer.Target{Engine: sel.transferEngine(i, now), PrefillPerToken: sel.prefillPerToken(i)}
		plan := policy.Choose(target, k.lenders)
		k.reasons[i] = plan.Reason
		if plan.Reason == kvtransfer.Planned {
			k.plans[i] = routing.Transfer{Lender: plan.Lender, Tokens: plan.Tokens, ExpectedTokens: plan.ExpectedTokens, Duration: plan.Duration, Delay: plan.Delay}
		}
	}
	r.Transfers = k.plans
}

// reset prepares the buffers for a number of candidates.
func (k *kvTransfers) reset(candidates int) {
	k.lenders, k.plans, k.reasons = k.lenders[:0], k.plans[:0], k.reasons[:0]
	for range candidates {
		k.plans, k.reasons = append(k.plans, routing.Transfer{}), append(k.reasons, kvtransfer.NoLender)
	}
}

// findLenders finds the engines that hold most of the prompt. It begins at a random one, so that
// daemons spread their transfers over engines that hold the same.
func (s *State) findLenders(sel *selection, fleet kvtransfer.Fleet, now time.Time) {
	k, n := &sel.service.transfers, len(sel.candidates)
	if n == 0 {
		return
	}
	for offset, start := 0, s.rng.IntN(n); offset < n; offset++ {
		i := (start + offset) % n
		slot := k.lenderSlot(sel.request.CachedTokens(i))
		if slot < 0 || !s.mayLend(sel, i) {
			continue
		}
		lender := sel.transferEngine(i, now)
		lender.Share = k.links.Share(sel.candidates[i].Hash, fleet, now)
		if slot == len(k.lenders) {
			k.lenders = append(k.lenders, lender)
		} else {
			k.lenders[slot] = lender
		}
	}
}

// lenderSlot returns where to put an engine that holds a number of tokens: at the end, or in place of
// the lender that holds least if there are maxLenders; -1 if it is of no use.
func (k *kvTransfers) lenderSlot(tokens int) int {
	switch {
	case tokens < kvtransfer.MinTokens:
		return -1
	case len(k.lenders) < maxLenders:
		return len(k.lenders)
	}
	least := 0
	for i := range k.lenders {
		if k.lenders[i].HeldTokens < k.lenders[least].HeldTokens {
			least = i
		}
	}
	if tokens <= k.lenders[least].HeldTokens {
		return -1
	}
	return least
}

// mostHeld returns the largest number of tokens that a lender holds.
func (k *kvTransfers) mostHeld() (most int) {
	for i := range k.lenders {
		most = max(most, k.lenders[i].HeldTokens)
	}
	return most
}

// mayLend reports whether engines may fetch from a candidate: the gate admits requests to it, and it
// is not known to have failed or to have started lately. Callers hold mu.
func (s *State) mayLend(sel *selection, i int) bool {
	c := &sel.candidates[i]
	if sel.request.Tried.Has(i) || c.Suspect || c.Leaving || s.gate.HasTerminated(c.Hash) {
		return false
	}
	return s.bootTime() >= sel.service.servers[c.ID].WarmAt
}

// transferEngine returns the candidate of an index for the decision on transfers.
func (sel *selection) transferEngine(i int, now time.Time) kvtransfer.Engine {
	c := &sel.candidates[i]
	return kvtransfer.Engine{
		Index: i, HeldTokens: sel.request.CachedTokens(i), FailureDomain: c.FailureDomain, Version: sel.service.servers[c.ID].Version,
		LinkWait: sel.service.transfers.links.Wait(c.Hash, now),
	}
}

// prefillPerToken returns the time in which a candidate prefills a token of the request's model.
func (sel *selection) prefillPerToken(i int) time.Duration {
	return time.Duration(sel.request.PrefillScale * float64(sel.candidates[i].PrefillPerToken))
}

// startTransfer records the transfer to the selected server and returns it. Callers hold mu.
func (sel *selection) startTransfer(req *requirements, now time.Time) fetch {
	if !transferRate(req.engine).Enabled() {
		return fetch{}
	}
	if reason := transferExclusion(req); reason != kvtransfer.Planned {
		return fetch{reason: reason}
	}
	k := &sel.service.transfers
	planned := sel.request.Transfer(sel.decision.Index)
	if planned.Tokens == 0 {
		return fetch{reason: k.reasons[sel.decision.Index]}
	}
	lender := sel.lender(planned)
	k.links.Record(sel.candidates[planned.Lender].Hash, sel.candidates[sel.decision.Index].Hash, planned.Duration, now)
	return fetch{address: lender.Address, tokens: planned.Tokens, expectedTokens: planned.ExpectedTokens, delay: planned.Delay}
}

func (sel *selection) lender(t routing.Transfer) backend.Server {
	return sel.service.servers[sel.candidates[t.Lender].ID]
}

// observe compares the time to the first event with that expected. Only servers without other
// pending prompts show the effect of a transfer.
func (k *kvTransfers) observe(t *target, elapsed time.Duration, fit *routing.FirstTokenFit, now time.Time) {
	switch {
	case !t.idle:
	case t.fetch.used():
		prefillOnFailure := t.uncached + t.fetch.expectedTokens
		k.yield.ObserveTransfer(elapsed, fit.Predict(prefillOnFailure-t.fetch.tokens)+t.fetch.delay, fit.Predict(prefillOnFailure), now)
	default:
		k.yield.ObservePlain(elapsed-fit.Predict(t.uncached), now)
	}
}
