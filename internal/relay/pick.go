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
)

// want is what a request needs of a server.
type want struct {
	service   string
	engine    *route.Engine
	model     string
	prompt    Prompt
	bodyBytes int
	urgent    bool
	budget    time.Duration
	tried     []string
	// fingerprint and standing say whether servers have ended that ran the request.
	fingerprint quarantine.Fingerprint
	standing    quarantine.Status
	// choice says which versions of servers may get the request.
	choice Choice
	// gated is the request as the gate sees it, and limit what a warming server bears.
	gated gate.Request
	limit slowstart.Limit
}

// target is a chosen server and what is expected of it.
type target struct {
	server   backend.Server
	service  string
	model    string
	uncached int
	pending  float64
	expected time.Duration
	// idle says that the server had no prompt to read.
	idle bool
	// ahead is the backlog that was expected there.
	ahead time.Duration
	// warming says that the server warms up after its start, and limit what it then bears.
	warming bool
	limit   slowstart.Limit
	// connections is this daemon's part of the server's connections.
	connections int
	urgent      bool
}

// selection is the choice of a server for a want, with what it was made from.
type selection struct {
	service    *service
	request    routing.Request
	candidates []routing.Candidate
	decision   routing.Decision
	// refused says why the gate refused servers.
	refused gate.Refusals
}

// choose runs the pipeline. Callers hold mu.
func (s *State) choose(w *want, now time.Time) selection {
	s.expire()
	boot := s.boot()
	sv := s.serviceOf(w.service)
	pc := sv.pace.of(w.model, w.engine)
	if w.engine != nil {
		sv.picture.SetPrefillPerToken(referenceToken)
	}
	out := selection{service: sv, candidates: sv.picture.Snapshot(s.room[:0], now)}
	s.room = out.candidates
	r := &out.request
	*r = routing.Request{PromptTokens: w.prompt.Tokens, Urgent: w.urgent, PrefillScale: pc.scale(), Budget: w.budget, FailureDomain: s.failureDomain, BodyBytes: w.bodyBytes}
	pipeline := routing.DefaultPipeline()
	if w.engine != nil {
		pipeline = routing.EnginePipeline()
		r.Blocks, r.BlockEnds = blocks(w.model, w.prompt.Parts)
		if n := len(r.BlockEnds); n > 1 {
			r.SharedPrefixTokens = r.BlockEnds[n-2]
		}
		sv.picture.Prefix.Expire(now)
		sv.picture.Prefix.Lookup(r)
		homes(homeKey(w.model, w.prompt), out.candidates, r)
		r.OutsidePartition = sv.lanesOf(w.engine).Outside(w.model, sv.picture.IndicesByHash())
	}
	s.mark(&out, w, w.choice.Prefer, boot)
	limit(r, out.candidates, sv.picture.IndicesByHash(), w.choice.Part)
	if w.standing.Crashes > 0 {
		out.decision = s.pickApart(pipeline, *r, &out, w)
		if out.decision.Index >= 0 {
			return out
		}
	}
	out.decision = pipeline.Pick(r, out.candidates, s.rng)
	if out.decision.Refusal == routing.NoCandidate {
		s.mark(&out, w, w.choice.Else, boot)
		out.decision = pipeline.Pick(r, out.candidates, s.rng)
	}
	if out.decision.Refusal == routing.NoCandidate && unsuspect(out.candidates) {
		// Every server that is left is suspect. A suspicion may be wrong, and
		// refusing is certain to fail the request.
		out.decision = pipeline.Pick(r, out.candidates, s.rng)
	}
	return out
}

// pickApart chooses the server of a request that was at servers which ended, out of those
// that may get it: the first by a hash of the request. So those that were at one server together go apart, of which one ended
// it and the others will be answered; and all repeats of that one, from whatever daemon, go to
// one server and end no other meanwhile.
func (s *State) pickApart(p routing.Pipeline, r routing.Request, o *selection, w *want) routing.Decision {
	var usable []int
	for _, i := range o.service.picture.IndicesByHash() {
		if c := &o.candidates[i]; c.ID != "" && !c.Suspect && !c.Leaving && !r.Tried.Has(i) {
			usable = append(usable, i)
		}
	}
	if len(usable) == 0 {
		return routing.Decision{Index: -1, Refusal: routing.NoCandidate}
	}
	chosen := slices.MaxFunc(usable, func(a, b int) int {
		return cmp.Compare(rendezvous(o.candidates[a].Hash, uint64(w.fingerprint)), rendezvous(o.candidates[b].Hash, uint64(w.fingerprint)))
	})
	for i := range o.candidates {
		if i != chosen {
			r.Tried.Add(i)
		}
	}
	return p.Pick(&r, o.candidates, s.rng)
}

// outlook returns what is expected of an answer of some events from the server that
// would be chosen.
func (s *State) outlook(w *want, events float64) cascade.Estimate {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	out := s.choose(w, now)
	if out.decision.Index < 0 {
		return cascade.Estimate{Unavailable: true}
	}
	work := out.work()
	return cascade.Estimate{
		FirstEvent: out.decision.Expected, Remainder: out.service.pace.rest(w.model, events),
		EngineTime: work, DelayedPerSecond: out.service.pace.of(w.model, w.engine).load.ArrivalsDuring(out.ahead(), work, s.daemons, out.lane(), now),
	}
}

// work is the time to read the prompt at the chosen server.
func (o *selection) work() time.Duration {
	return time.Duration(float64(o.request.UncachedTokens(o.decision.Index)) * o.request.PrefillScale * float64(referenceToken))
}

// lane is the number of engines that the model's requests go to.
func (o *selection) lane() int {
	n := 0
	out := o.request.OutsidePartition.Union(o.request.Tried)
	for i := range o.candidates {
		if o.candidates[i].ID != "" && !out.Has(i) {
			n++
		}
	}
	return n
}

// ahead is the time to read what waits at the chosen server.
func (o *selection) ahead() time.Duration {
	c := &o.candidates[o.decision.Index]
	return time.Duration((c.PendingPrefill + c.OthersPending) * float64(referenceToken))
}

// pick chooses a server and books the work there.
func (s *State) pick(w *want, maxConns int) (*target, *fault.Error) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.choose(w, now)
	if out.decision.Refusal == routing.BudgetExceeded {
		return nil, fault.New(fault.Overloaded, "the first server of %s would begin after %s", w.service, out.decision.Expected.Round(time.Millisecond))
	}
	if out.decision.Index < 0 {
		return nil, noServer(&out, w)
	}
	c := out.candidates[out.decision.Index]
	picture, blocks := out.service.picture, out.request.Blocks
	picture.RecordDispatch(c.ID, blocks, w.urgent, now)
	t := &target{
		server: out.service.servers[c.ID], service: w.service, model: w.model, urgent: w.urgent, limit: w.limit,
		expected:    out.decision.Expected,
		uncached:    out.request.UncachedTokens(out.decision.Index),
		idle:        c.PendingPrefill+c.OthersPending == 0,
		ahead:       out.ahead(),
		connections: max(leastConnections, maxConns/(s.daemons+1)),
	}
	t.warming = s.pass(&out, w, s.boot())
	t.pending = float64(t.uncached) * out.request.PrefillScale
	picture.AddPendingPrefill(c.ID, t.pending)
	if w.engine != nil {
		out.service.pace.of(w.model, w.engine).load.Record(now)
	}
	if out.service.lanes != nil {
		out.service.lanes.RecordWork(w.model, out.work(), now)
	}
	if shared := len(blocks) - 1; shared > 0 && len(s.placed) < maxPlaced {
		// The last part is the request's own; no other daemon meets it.
		s.placed = append(s.placed, Placement{Server: ServerKeyOf(c.ID), Blocks: blocks[:shared]})
	}
	return t, nil
}

// lanesOf returns the division of the service's engines between its models.
func (sv *service) lanesOf(e *route.Engine) *routing.Partition {
	if sv.lanes == nil {
		sv.lanes = routing.NewPartition(expectedWork(e))
	}
	return sv.lanes
}

// escalatedPart is the part of the requests that the largest model is expected to
// get, before any has been seen.
const escalatedPart = 0.4

// expectedWork relates the work of the smallest and the largest model.
func expectedWork(e *route.Engine) map[string]float64 {
	var small, large string
	for m, c := range e.CostPer1kTokens {
		if small == "" || c < e.CostPer1kTokens[small] {
			small = m
		}
		if large == "" || c > e.CostPer1kTokens[large] {
			large = m
		}
	}
	if small == large {
		return nil
	}
	return map[string]float64{small: 1, large: escalatedPart * costRatio(large, e)}
}

// leastConnections to one server are always allowed to a daemon.
const leastConnections = 6

// mark excludes servers that were tried or whose version may not be used.
func mark(r *routing.Request, candidates []routing.Candidate, sv *service, w *want, admits func(string) bool) {
	r.Tried = routing.Set{}
	for i := range candidates {
		id := candidates[i].ID
		server, known := sv.servers[id]
		if !known || slices.Contains(w.tried, id) || !admits(server.Version) || !holds(server, w.model) {
			r.Tried.Add(i)
		}
	}
}

// fewestInPart is the least number of servers that a part is limited to: with one
// alone, a bad server could not be told from a bad version.
const fewestInPart = 3

// limit excludes all but a part of the servers that are left, the first in the order that
// all daemons agree on.
func limit(r *routing.Request, candidates []routing.Candidate, order []int, part float64) {
	if part <= 0 || part >= 1 {
		return
	}
	var left []int
	for _, i := range order {
		if !r.Tried.Has(i) && !candidates[i].Suspect {
			left = append(left, i)
		}
	}
	keep := max(fewestInPart, int(math.Ceil(part*float64(len(left)))))
	for _, i := range left[min(keep, len(left)):] {
		r.Tried.Add(i)
	}
}

// holds reports whether an engine has a model; one that lists none is tried.
func holds(s backend.Server, model string) bool {
	return model == "" || len(s.Models) == 0 || slices.Contains(s.Models, model)
}

func unsuspect(candidates []routing.Candidate) bool {
	changed := false
	for i := range candidates {
		changed = changed || candidates[i].Suspect
		candidates[i].Suspect = false
	}
	return changed
}

// began books the first event or the answer of a send.
func (s *State) began(t *target, took time.Duration, engine bool) {
	s.with(t.service, func(sv *service) {
		s.read(sv, t)
		s.gate.ServerResponded(t.server.ID, t.limit, s.boot())
		p := sv.pace.of(t.model, nil)
		if !engine {
			// An answer is the whole work, of which no part tells of a queue.
			sv.picture.RecordLateness(t.server.ID, 0, time.Now())
			mean(&p.first, took.Seconds())
			return
		}
		sv.picture.RecordLateness(t.server.ID, took-t.ahead-p.line.Predict(t.uncached), time.Now())
		if t.idle {
			p.line.Observe(t.uncached, took)
		}
	})
}

// read takes a prompt off the backlog of its server.
func (s *State) read(sv *service, t *target) {
	sv.picture.AddPendingPrefill(t.server.ID, -t.pending)
	t.pending = 0
}

// ended books the end of a send.
func (s *State) ended(t *target, held time.Duration, failed bool) {
	s.with(t.service, func(sv *service) {
		s.read(sv, t)
		sv.picture.RecordCompletion(t.server.ID, held, failed, t.urgent, time.Now())
	})
}

// unreachable books a server that takes no connection or answers nothing.
func (s *State) unreachable(t *target) {
	s.with(t.service, func(sv *service) { sv.picture.RecordUnreachable(t.server.ID, time.Now()) })
}
