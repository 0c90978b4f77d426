package relay

import (
	"time"

	"github.com/damaskrudder/damaskrudder/internal/urgency"
)

// urgencyRequest describes the call for the order of sends. The expected time is that of the
// server, which is not yet known.
func (x *exchange) urgencyRequest() urgency.Request {
	return urgency.Request{
		Rank: x.rank, Target: x.route.LatencyTarget, Timeout: x.deadline.Sub(x.call.Received), Elapsed: time.Since(x.call.Received),
		Resent: x.retryState.Sends() > 1, Streaming: x.route.Resumable && x.lastEvent != NoEvent, OverShare: x.overShare,
	}
}

// decideUrgency returns the urgency of a send and counts it. Only engines order requests.
func (x *exchange) decideUrgency(t *target) urgency.Decision {
	r := x.urgencyRequest()
	r.Expected = t.expectedLatency
	d := urgency.Decide(x.ranks, r)
	if x.service.Engine == nil {
		d.Priority = x.ranks.Priority(x.rank)
		return d
	}
	switch {
	case d.Reason.Raised():
		x.relay.Metrics.SendsRaised(d.Reason).Inc(1)
	case d.Reason.Yielded():
		x.relay.Metrics.SendsYielded(d.Reason).Inc(1)
	}
	return d
}

// setPatience lets a request that has time leave emptier engines to others.
func (sel *selection) setPatience(req *requirements) {
	if req.engine == nil {
		return
	}
	r := req.urgency
	r.Expected = time.Duration(float64(req.prompt.Tokens) * sel.request.PrefillScale * float64(referenceTokenTime))
	sel.request.Patience = urgency.Patience(req.ranks, r, sel.request.MeanBacklog(sel.candidates))
}
