package relay

import (
	"slices"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/route"
	"github.com/damaskrudder/damaskrudder/internal/routing"
)

// paces learns how a service's models compare: the time over a prompt token,
// relative to the smallest, and between events.
type paces map[string]*pace

type pace struct {
	// scale is the prefill time relative to the service's mean token.
	scale float64
	// gap is the mean time between events in seconds.
	gap float64
	// first is the mean time to the first event in seconds.
	first float64
}

// paceWeight is the weight of a new sample: about the last 20 count.
const paceWeight = 0.05

func (p paces) of(model string) *pace {
	v := p[model]
	if v == nil {
		v = &pace{scale: 1}
		p[model] = v
	}
	return v
}

func mean(old *float64, sample float64) {
	if *old == 0 {
		*old = sample
		return
	}
	*old += paceWeight * (sample - *old)
}

// want is what a request needs of a server.
type want struct {
	service string
	engine  *route.Engine
	model   string
	prompt  Prompt
	urgent  bool
	budget  time.Duration
	tried   []string
	// choice says which versions of servers may get the request.
	choice Choice
}

// target is a chosen server and what is expected of it.
type target struct {
	server   backend.Server
	service  string
	model    string
	uncached int
	pending  float64
	expected time.Duration
	// spare says that the server had a free slot, so that its speed speaks for
	// its version and not for the load.
	spare bool
	// connections is this daemon's part of the server's connections.
	connections int
	urgent      bool
}

// pick chooses a server and books the work there.
func (s *State) pick(w *want, maxConns int) (*target, *fault.Error) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	sv := s.serviceOf(w.service)
	candidates := sv.picture.Snapshot(nil, now)
	r := routing.Request{
		PromptTokens: w.prompt.Tokens, BlockTokens: blockTokens, Urgent: w.urgent,
		PrefillScale: sv.pace.of(w.model).scale,
	}
	pipeline := routing.Default()
	if w.engine != nil {
		pipeline = routing.Engines()
		r.Blocks = blocks(w.model, w.prompt)
		sv.picture.Prefix.Fill(&r)
		homes(homeKey(w.model, w.prompt), candidates, &r)
	}
	mark(&r, candidates, sv, w, w.choice.Prefer)
	dec := pipeline.Pick(&r, candidates, s.rng)
	if dec.Refusal == routing.NoCandidate {
		mark(&r, candidates, sv, w, w.choice.Else)
		dec = pipeline.Pick(&r, candidates, s.rng)
	}
	if dec.Refusal == routing.NoCandidate && unsuspect(candidates) {
		// Every server that is left is suspect. A suspicion may be wrong, and
		// refusing is certain to fail the request.
		dec = pipeline.Pick(&r, candidates, s.rng)
	}
	if dec.Refusal == routing.TooLate {
		return nil, fault.New(fault.Overloaded, "the first server of %s would begin after %s", w.service, dec.Expected.Round(time.Millisecond))
	}
	if dec.Index < 0 {
		return nil, fault.New(fault.NoServer, "no server of %s is left", w.service)
	}
	c := candidates[dec.Index]
	sv.picture.Dispatched(c.ID, r.Blocks, w.urgent, now)
	t := &target{
		server: sv.servers[c.ID], service: w.service, model: w.model, expected: dec.Expected, urgent: w.urgent,
		uncached:    max(0, w.prompt.Tokens-int(r.CachedBlocks[dec.Index])*blockTokens),
		spare:       float64(c.InFlight)+c.OthersInFlight < float64(c.Slots),
		connections: max(leastConnections, maxConns/(s.daemons+1)),
	}
	t.pending = float64(t.uncached) * r.PrefillScale
	sv.picture.Pending(c.ID, t.pending)
	return t, nil
}

// leastConnections to one server are always allowed to a daemon.
const leastConnections = 6

// mark excludes servers that were tried or whose version may not be used.
func mark(r *routing.Request, candidates []routing.Candidate, sv *service, w *want, admits func(string) bool) {
	r.Tried = 0
	for i := range candidates {
		id := candidates[i].ID
		server, known := sv.servers[id]
		if !known || slices.Contains(w.tried, id) || !admits(server.Version) || !holds(server, w.model) {
			r.Tried |= 1 << i
		}
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
func (s *State) began(t *target, took time.Duration) {
	s.with(t.service, func(sv *service) {
		s.read(sv, t)
		sv.picture.FirstToken(t.server.ID, took, int(float64(t.uncached)*sv.pace.of(t.model).scale), time.Now())
		mean(&sv.pace.of(t.model).first, took.Seconds())
	})
}

// read takes a prompt off the backlog of its server.
func (s *State) read(sv *service, t *target) {
	sv.picture.Pending(t.server.ID, -t.pending)
	t.pending = 0
}

// ended books the end of a send.
func (s *State) ended(t *target, held time.Duration, failed bool) {
	s.with(t.service, func(sv *service) {
		s.read(sv, t)
		sv.picture.Completed(t.server.ID, held, failed, t.urgent, time.Now())
	})
}

// unreachable books a server that takes no connection or answers nothing.
func (s *State) unreachable(t *target) {
	s.with(t.service, func(sv *service) { sv.picture.Unreachable(t.server.ID, time.Now()) })
}

// typical returns the mean time to the first event and between events.
func (s *State) typical(t *target) (first, gap float64) {
	s.with(t.service, func(sv *service) {
		p := sv.pace.of(t.model)
		first, gap = p.first, p.gap
	})
	return first, gap
}

// paced books the mean time between the events of a stream.
func (s *State) paced(t *target, gap time.Duration) {
	s.with(t.service, func(sv *service) { mean(&sv.pace.of(t.model).gap, gap.Seconds()) })
}
