package node

import (
	"context"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/clientconns"
)

const (
	// minDrainTime is the shortest time for which a leaving daemon keeps serving: clients
	// cache the directory's response for its TTL.
	minDrainTime = 2500 * time.Millisecond
	// minIdleTime is the time without an accepted request after which the daemon may exit
	// before the end of the grace period. Refused requests do not count: their clients fail
	// over faster once the daemon is gone.
	minIdleTime = 600 * time.Millisecond
	// refuseLongAfter is the time after which requests that could outlast the daemon are refused.
	refuseLongAfter = 2700 * time.Millisecond
	// refuseMargin is the time between the latest refusal of all further requests, with which the listeners
	// begin to close, and the end of the drain.
	refuseMargin = 400 * time.Millisecond
	// responseMargin is the time between the latest deadline of an accepted request and the
	// end of the drain.
	responseMargin = 100 * time.Millisecond
	// killMargin is the time between the end of the drain and SIGKILL.
	killMargin = 300 * time.Millisecond
	// drainPollInterval is the interval at which Drain checks whether it can end.
	drainPollInterval = 50 * time.Millisecond
)

// drainStep is what a drain does after a look at the requests.
type drainStep int

const (
	// keepServing keeps accepting requests.
	keepServing drainStep = iota
	// refuseLong refuses requests that could outlast the daemon.
	refuseLong
	// refuseAll refuses every further request and begins to close the listeners.
	refuseAll
	// closeIdle closes idle connections.
	closeIdle
	// finishPending waits for requests that are being read, served or answered.
	finishPending
	// stopReading refuses the requests that are still being read.
	stopReading
	// endDrain ends the drain.
	endDrain
)

// drainView is what the next step of a drain depends on.
type drainView struct {
	// elapsed is the time since the start of the drain, and limit its longest time.
	elapsed, limit time.Duration
	// sinceAdmission is the time since the last request was admitted.
	sinceAdmission time.Duration
	// serving is the number of admitted requests, and pending that of all requests, of which a
	// part has been read or the answer is not written.
	serving, pending int
	// idle is the number of idle connections, and listeners that of listeners which may still accept one.
	idle, listeners int
	// refusing is set once every further request is refused, and closingIdle once idle connections are closed.
	refusing, closingIdle bool
}

// ended reports whether no request is left, and none can come.
func (v drainView) ended() bool {
	return v.closingIdle && v.serving == 0 && v.pending == 0 && v.idle == 0 && v.listeners == 0
}

// next returns the next step. A drain refuses further requests before the look by which it ends, so
// that none is admitted after that look.
func (v drainView) next() drainStep {
	switch {
	case v.elapsed >= v.limit, v.ended():
		return endDrain
	case v.refusing && !v.closingIdle && (v.listeners == 0 || v.elapsed >= v.limit-responseMargin):
		return closeIdle
	case v.refusing && v.elapsed >= v.limit-responseMargin:
		return stopReading
	case v.refusing:
		return finishPending
	case v.elapsed >= v.limit-refuseMargin, v.elapsed >= minDrainTime && v.sinceAdmission > minIdleTime && v.serving == 0:
		return refuseAll
	case v.elapsed >= refuseLongAfter:
		return refuseLong
	}
	return keepServing
}

// Drain keeps serving until no request is active and clients no longer send any, or the grace
// period ends. It then refuses requests, and returns when all have been answered.
func (n *Node) Drain(ctx context.Context) {
	start := time.Now()
	n.leaving.Store(true)
	n.members.Broadcast(ctx)
	limit := n.config.GracePeriod - killMargin
	refusing, closingIdle := false, false
	for step := keepServing; step != endDrain; {
		time.Sleep(drainPollInterval)
		listeners := n.clients.Listeners.Open() // first: what they accept later is in the counts
		counts := n.clients.Counts()
		step = drainView{
			elapsed: time.Since(start), limit: limit, sinceAdmission: n.Relay.IdleTime(),
			serving: n.Relay.ActiveRequests(), pending: counts.Pending() + n.peerServer.ActiveStreams(), idle: counts[clientconns.Idle], listeners: listeners,
			refusing: refusing, closingIdle: closingIdle,
		}.next()
		switch step {
		case refuseLong:
			n.Relay.Drain(start.Add(limit - responseMargin))
		case refuseAll:
			n.Relay.Drain(start)
			refusing = true
			n.clients.Listeners.Close(start.Add(limit - responseMargin))
		case closeIdle:
			closingIdle = true
			n.clients.CloseIdle()
		case stopReading:
			n.clients.StopReading()
		}
	}
	if active := n.Relay.ActiveRequests(); active > 0 {
		n.log.Warn("requests cut off at the end of the grace period", "requests", active)
	}
	n.endClients(start, limit)
	n.peerClient.Close()
}

// endClients closes the connections of clients and logs how the drain ended.
func (n *Node) endClients(start time.Time, limit time.Duration) {
	streams := n.peerServer.ActiveStreams()
	cut := n.clients.Cut("the grace period ends")
	n.log.Info("drained", "after_ms", time.Since(start).Milliseconds(), "limit_ms", limit.Milliseconds(),
		"accepted", cut[clientconns.Accepted], "idle", cut[clientconns.Idle], "reading", cut[clientconns.Reading], "serving", cut[clientconns.Serving], "flushing", cut[clientconns.Flushing], "forwarded", streams)
}
