package relay

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/cascade"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/gate"
	"github.com/damaskrudder/damaskrudder/internal/quarantine"
	"github.com/damaskrudder/damaskrudder/internal/route"
	"github.com/damaskrudder/damaskrudder/internal/routing"
	"github.com/damaskrudder/damaskrudder/internal/slowstart"
	"github.com/damaskrudder/damaskrudder/internal/urgency"
)

// requirements are a request's requirements on a server.
type requirements struct {
	service   string
	engine    *route.Engine
	model     string
	prompt    Prompt
	bodyBytes int
	urgent    bool
	// urgency is the urgency of the request before a server is selected.
	urgency       urgency.Request
	ranks         urgency.Ranks
	remainingTime time.Duration
	tried         []string
	// quarantineStatus is the request's state in quarantine.
	quarantineStatus quarantine.Status
	// versions are the server versions that the request may use.
	versions VersionChoice
	// gateRequest is the request for the gate, slowStart the limit of warming servers.
	gateRequest gate.Request
	slowStart   slowstart.Limit
	// resent is set if an earlier send may have failed, so that nothing is fetched.
	resent bool
	// permitted is the ID of the only server that the request may use, to which a send is reserved;
	// empty if there is none.
	permitted string
}

// target is a selected server and the expected cost of the request there.
type target struct {
	server  backend.Server
	service string
	// pickedAt is when the server was selected, on the gate's clock.
	pickedAt        time.Duration
	model           string
	uncached        int
	pendingPrefill  float64
	expectedLatency time.Duration
	// inFlight is the known number of requests of all daemons in flight there, this one included.
	inFlight int
	// timeFactor is the ratio of the server's time to that of a typical engine; see factor.
	timeFactor float64
	// idle is set if the server had no pending prefill.
	idle bool
	// backlog is the expected prefill time of the requests queued before this one.
	backlog time.Duration
	// pending is the answer to the send, and ended is set once the server is done with it.
	pending *pendingAnswer
	ended   bool
	// unproven is set if the server has a version that is being rolled out.
	unproven bool
	// warming is set if the server is warming up, with the limit slowStart.
	warming   bool
	slowStart slowstart.Limit
	// maxConnections is this daemon's share of the server's connections.
	maxConnections int
	urgent         bool
	// permitFrom is the hash of the daemon that reserved the send; 0 if it was this one.
	permitFrom uint64
	// fallback is set if no server of a preferred version was available.
	fallback bool
	// fetch is what the server fetches from another one before it runs the request.
	fetch fetch
	// bodyBytes is the size of the request's body.
	bodyBytes int
}

// selection is the choice of a server and its inputs.
type selection struct {
	service    *service
	request    routing.Request
	candidates []routing.Candidate
	decision   routing.Decision
	// refusals counts the gate's refusals by reason.
	refusals gate.Refusals
	// full is the number of servers excluded because of the bytes that they hold.
	full int
	// fallback is set if no server of a preferred version was available.
	fallback bool
}

// selectServer runs the routing pipeline. Callers hold mu.
func (s *State) selectServer(req *requirements, now time.Time) selection {
	s.dropExpired()
	uptime := s.bootTime()
	sv := s.serviceFor(req.service)
	latency := sv.models.get(req.model, req.engine)
	if req.engine != nil {
		sv.tracker.SetPrefillPerToken(referenceTokenTime)
	}
	sel := selection{service: sv, candidates: sv.tracker.Snapshot(s.candidateBuf[:0], now)}
	s.candidateBuf = sel.candidates
	sv.applySpeeds(sel.candidates)
	r := &sel.request
	*r = routing.Request{PromptTokens: req.prompt.Tokens, Urgent: req.urgent, PrefillScale: latency.prefillScale(), Budget: req.remainingTime, FailureDomain: s.failureDomain, BodyBytes: req.bodyBytes}
	pipeline := routing.DefaultPipeline()
	if req.engine != nil {
		pipeline = routing.EnginePipeline()
		r.Blocks, r.BlockEnds = prefixHashes(req.model, req.prompt.Parts)
		if n := len(r.BlockEnds); n > 1 {
			r.SharedPrefixTokens = r.BlockEnds[n-2]
		}
		sv.tracker.Prefix.Expire(now)
		sv.tracker.Prefix.Lookup(r)
		rankAffinity(affinityKey(req.model, req.prompt), sel.candidates, r)
		partition := sv.partitionFor(req.engine)
		s.applyModelLoad(req.service, sv, req.engine, now)
		r.OutsidePartition = partition.IndicesOutside(req.model, sv.tracker.IndicesByHash())
	}
	s.applyExclusions(&sel, req, s.confirmedVersions(sv, req.versions.Preferred), uptime)
	limitToFraction(r, sel.candidates, sv.tracker.IndicesByHash(), req.versions.Fraction)
	s.planTransfers(&sel, req, now)
	if req.quarantineStatus.Crashes > 0 {
		sel.decision = s.pickByFingerprint(pipeline, *r, &sel, req)
		if sel.decision.Index >= 0 {
			return sel
		}
	}
	s.estimateUnreportedLoad(&sel, req, pipeline, now)
	sel.decision = pipeline.Pick(r, sel.candidates, s.rng)
	if sel.decision.Refusal == routing.NoCandidate {
		sel.fallback = true
		s.applyExclusions(&sel, req, req.versions.Fallback, uptime)
		s.planTransfers(&sel, req, now)
		s.estimateUnreportedLoad(&sel, req, pipeline, now)
		sel.decision = pipeline.Pick(r, sel.candidates, s.rng)
	}
	if sel.decision.Refusal == routing.NoCandidate && clearSuspicion(sel.candidates) {
		// All remaining servers are suspect. Suspicion may be wrong, while a
		// refusal is certain to fail the request.
		s.estimateUnreportedLoad(&sel, req, pipeline, now)
		sel.decision = pipeline.Pick(r, sel.candidates, s.rng)
	}
	return sel
}

// pickByFingerprint selects a server for a request suspected of crashing servers, by
// rendezvous hashing of the suspected fingerprint. This spreads the suspects of one crash over the
// servers, while all daemons send the retries of one request, or all requests with one part of a
// prompt, to the same server.
func (s *State) pickByFingerprint(p routing.Pipeline, r routing.Request, sel *selection, req *requirements) routing.Decision {
	var eligible []int
	for _, i := range sel.service.tracker.IndicesByHash() {
		if candidate := &sel.candidates[i]; candidate.ID != "" && !candidate.Suspect && !candidate.Leaving && !r.Tried.Has(i) {
			eligible = append(eligible, i)
		}
	}
	if len(eligible) == 0 {
		return routing.Decision{Index: -1, Refusal: routing.NoCandidate}
	}
	chosen := slices.MaxFunc(eligible, func(a, b int) int {
		return cmp.Compare(rendezvousWeight(sel.candidates[a].Hash, uint64(req.quarantineStatus.Suspect)), rendezvousWeight(sel.candidates[b].Hash, uint64(req.quarantineStatus.Suspect)))
	})
	for i := range sel.candidates {
		if i != chosen {
			r.Tried.Add(i)
		}
	}
	return p.Pick(&r, sel.candidates, s.rng)
}

// estimate returns the expected latency of a response with a number of events on the
// server that would be selected.
func (s *State) estimate(req *requirements, events float64) cascade.Estimate {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	sel := s.selectServer(req, now)
	if sel.decision.Index < 0 {
		return cascade.Estimate{Unavailable: true}
	}
	prefillTime := sel.prefillTime()
	return cascade.Estimate{
		FirstEvent: sel.decision.Expected, Remainder: time.Duration(sel.timeFactor() * float64(sel.service.models.streamTime(req.model, events))),
		EngineTime: prefillTime, DelayedPerSecond: sel.service.models.get(req.model, req.engine).load.ArrivalsDuring(sel.backlog(), prefillTime, s.daemons, sel.partitionSize(), now),
	}
}

// prefillTime returns the time to process the prompt on the selected server.
func (sel *selection) prefillTime() time.Duration {
	return time.Duration(sel.timeFactor() * float64(sel.typicalPrefillTime()))
}

// typicalPrefillTime returns the prefillTime of a typical engine.
func (sel *selection) typicalPrefillTime() time.Duration {
	return time.Duration(float64(sel.request.UncachedTokens(sel.decision.Index)) * sel.request.PrefillScale * float64(referenceTokenTime))
}

// partitionSize returns the number of engines that serve the model's requests.
func (sel *selection) partitionSize() int {
	n := 0
	excluded := sel.request.OutsidePartition.Union(sel.request.Tried)
	for i := range sel.candidates {
		if sel.candidates[i].ID != "" && !excluded.Has(i) {
			n++
		}
	}
	return n
}

// backlog returns the prefill time of the requests queued on the selected server.
func (sel *selection) backlog() time.Duration {
	candidate := &sel.candidates[sel.decision.Index]
	return time.Duration((candidate.PendingPrefill + candidate.OthersPending) * candidate.Factor() * float64(referenceTokenTime))
}

// pick selects a server and records the work there.
func (s *State) pick(req *requirements, maxConns int) (*target, *fault.Error) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	sel := s.selectServer(req, now)
	if sel.decision.Refusal == routing.BudgetExceeded {
		return nil, fault.New(fault.Overloaded, "the first server of %s would begin after %s", req.service, sel.decision.Expected.Round(time.Millisecond))
	}
	if sel.decision.Index < 0 {
		return nil, s.noServerError(&sel, req)
	}
	candidate := sel.candidates[sel.decision.Index]
	tracker, blocks := sel.service.tracker, sel.request.Blocks
	tracker.RecordSend(candidate.ID, blocks, req.urgent, now)
	sel.service.concurrency.Add(1, now)
	t := &target{
		server: sel.service.servers[candidate.ID], service: req.service, pickedAt: s.bootTime(), model: req.model, urgent: req.urgent, slowStart: req.slowStart,
		expectedLatency: sel.decision.Expected, fallback: sel.fallback,
		uncached:       sel.request.UncachedTokens(sel.decision.Index),
		idle:           candidate.PendingPrefill+candidate.OthersPending == 0,
		backlog:        sel.backlog(),
		timeFactor:     sel.timeFactor(),
		inFlight:       candidate.InFlight + int(candidate.OthersInFlight) + 1,
		maxConnections: max(minConnections, maxConns/(s.daemons+1)),
	}
	t.bodyBytes = req.bodyBytes
	s.recordBodies(sel.service, t, true)
	t.warming = s.recordSend(&sel, req, s.bootTime())
	t.fetch = sel.startTransfer(req, now)
	t.pendingPrefill = float64(t.uncached) * sel.request.PrefillScale
	tracker.AddPendingPrefill(candidate.ID, t.pendingPrefill)
	if req.engine != nil {
		latency := sel.service.models.get(req.model, req.engine)
		latency.load.Record(now)
		latency.work.Add(sel.prefillTime().Seconds(), now)
	}
	if sel.service.partition != nil {
		sel.service.partition.RecordWork(req.model, s.partitionWork(&sel, req.model, now), now)
	}
	if shared := len(blocks) - 1; shared > 0 && len(s.pendingPlacements) < maxPendingPlacements {
		// The last part is unique to the request, so peers do not need it.
		s.pendingPlacements = append(s.pendingPlacements, Placement{Server: ServerKeyOf(candidate.ID), Blocks: blocks[:shared]})
	}
	return t, nil
}

// partitionWork returns the weight of a send in the division of the engines among the models: its
// prefill time, raised by the wait for the model's engines, so that more engines go to a model
// whose requests wait longer than those of others.
func (s *State) partitionWork(sel *selection, model string, now time.Time) time.Duration {
	wait := sel.service.models.get(model, nil).wait.Mean(now)
	return time.Duration(float64(sel.typicalPrefillTime()) * min(1+wait/noticeableWait.Seconds(), maxWaitWeight))
}

// maxWaitWeight bounds the weight of a wait. More engines do not help a model whose requests wait for
// another reason.
const maxWaitWeight = 5

// noticeableWait is the wait at which the engines of a model count double.
const noticeableWait = 250 * time.Millisecond

// partitionFor returns the assignment of the service's engines to its models.
func (sv *service) partitionFor(e *route.Engine) *routing.Partition {
	if sv.partition == nil {
		sv.partition = routing.NewPartition(expectedWork(e))
	}
	return sv.partition
}

// escalatedFraction is the initial estimate of the fraction of requests that the
// largest model receives.
const escalatedFraction = 0.4

// expectedWork returns the relative work of the smallest and the largest model.
func expectedWork(e *route.Engine) map[string]float64 {
	var small, large string
	for model, cost := range e.CostPerKiloToken {
		if small == "" || cost < e.CostPerKiloToken[small] {
			small = model
		}
		if large == "" || cost > e.CostPerKiloToken[large] {
			large = model
		}
	}
	if small == large {
		return nil
	}
	return map[string]float64{small: 1, large: escalatedFraction * relativeLatency(large, e)}
}

// minConnections is a daemon's least share of the connections to one server.
const minConnections = 6

// excludeUnsuitable excludes servers that were tried, whose version is not admitted,
// or that lack the model.
func excludeUnsuitable(r *routing.Request, candidates []routing.Candidate, sv *service, req *requirements, admits func(string) bool) {
	r.Tried = routing.Set{}
	for i := range candidates {
		id := candidates[i].ID
		server, known := sv.servers[id]
		if !known || slices.Contains(req.tried, id) || !admits(server.Version) || !hasModel(server, req.model) {
			r.Tried.Add(i)
		}
	}
}

// minCanaryServers is the least number of servers of a canary: with one alone, a bad
// server could not be distinguished from a bad version.
const minCanaryServers = 3

// limitToFraction excludes all but a fraction of the remaining servers, the first in
// the order that all daemons share.
func limitToFraction(r *routing.Request, candidates []routing.Candidate, order []int, fraction float64) {
	if fraction <= 0 || fraction >= 1 {
		return
	}
	var remaining []int
	for _, i := range order {
		if !r.Tried.Has(i) && !candidates[i].Suspect {
			remaining = append(remaining, i)
		}
	}
	keep := max(minCanaryServers, int(math.Ceil(fraction*float64(len(remaining)))))
	for _, i := range remaining[min(keep, len(remaining)):] {
		r.Tried.Add(i)
	}
}

// hasModel reports whether an engine has a model. An engine that lists none may have any.
func hasModel(s backend.Server, model string) bool {
	return model == "" || len(s.Models) == 0 || slices.Contains(s.Models, model)
}

// clearSuspicion clears the suspicion of all candidates and reports whether there was any.
func clearSuspicion(candidates []routing.Candidate) bool {
	changed := false
	for i := range candidates {
		changed = changed || candidates[i].Suspect
		candidates[i].Suspect = false
	}
	return changed
}

// recordResponse records the first event or the response of a send.
func (s *State) recordResponse(t *target, elapsed time.Duration, engine bool) {
	s.withService(t.service, func(sv *service) {
		s.removePending(sv, t)
		s.gate.ServerResponded(t.server.ID, t.slowStart, s.bootTime())
		if !engine {
			// A plain response time does not show the queueing delay.
			sv.tracker.RecordLateness(t.server.ID, 0, time.Now())
			updateMean(&sv.models.get(t.model, nil).responseTime, elapsed.Seconds())
			return
		}
		s.observeFirstEvent(sv, t, elapsed)
	})
}

// removePending removes a prompt from the backlog of its server.
func (s *State) removePending(sv *service, t *target) {
	sv.tracker.AddPendingPrefill(t.server.ID, -t.pendingPrefill)
	t.pendingPrefill = 0
}

// recordSendEnd records the end of a send.
func (s *State) recordSendEnd(t *target, elapsed time.Duration, failed bool) {
	s.withService(t.service, func(sv *service) {
		s.removePending(sv, t)
		s.recordBodies(sv, t, false)
		now := time.Now()
		sv.concurrency.Add(-1, now)
		sv.tracker.RecordCompletion(t.server.ID, elapsed, failed, t.urgent, now)
	})
}

// recordUnreachable records a server that accepts no connection or does not respond.
func (s *State) recordUnreachable(t *target) {
	s.withService(t.service, func(sv *service) { sv.tracker.RecordUnreachable(t.server.ID, time.Now()) })
}
