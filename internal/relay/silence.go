package relay

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/containment"
	"github.com/damaskrudder/damaskrudder/internal/reachability"
	"github.com/damaskrudder/damaskrudder/internal/upstream"
)

const (
	// silenceVerdictTimeout bounds the wait for the verdicts of other daemons on servers that timed
	// out. It has room for two connections of theirs, see silenceVerdict, and the way to them.
	silenceVerdictTimeout = 250 * time.Millisecond
	// maxServersAsked is the number of servers of a service that other daemons are asked about at once.
	maxServersAsked = 2
	// contactMemory is how long contact with a server shows that this daemon's links work.
	contactMemory = 300 * time.Millisecond
	// silenceControls is the number of servers of the same service, and the number of servers of other
	// services, that are connected to if there was no such contact.
	silenceControls = 2
)

// timedOut reports whether an error means that nothing responded in time.
func timedOut(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// connectedButSilent reports whether the error of a probe came after a connection to the server was opened: the
// server is silent, and its VM and the link respond.
func connectedButSilent(err error) bool {
	var e *upstream.Error
	return errors.As(err, &e) && e.Sent && timedOut(err)
}

func failureOf(err error) reachability.Failure {
	if timedOut(err) {
		return reachability.TimedOut
	}
	return reachability.Rejected
}

// checkSilence finds out through other daemons whether the servers of a service that is in doubt are
// silent or out of this daemon's reach. Concurrent checks of a service are one, which goes on if the
// context ends the wait for it.
func (r *Relay) checkSilence(ctx context.Context, t *target, err error) {
	started := make(chan struct{})
	running, joined := r.silenceChecks.LoadOrStore(t.service, started)
	if !joined {
		r.background.Go(func() {
			defer close(started)
			defer r.silenceChecks.Delete(t.service)
			r.judgeSilence(t, err)
		})
	}
	select {
	case <-running.(chan struct{}):
	case <-ctx.Done():
	}
}

// judgeSilence decides on a service that is in doubt.
func (r *Relay) judgeSilence(t *target, err error) {
	r.State.mu.Lock()
	asked := r.State.reachability.TimedOutServers(t.service, maxServersAsked)
	r.State.mu.Unlock()
	verdicts := r.requestVerdicts(asked)
	now := r.State.bootTime()
	r.State.mu.Lock()
	finding := r.State.reachability.Judge(t.service, verdicts, now)
	r.State.mu.Unlock()
	switch finding {
	case reachability.BecameLost:
		r.reportLost(t, err, verdicts)
	case reachability.FoundSilent:
		r.Metrics.ServiceSilences.Inc(1)
		r.log.Warn("servers silent, service stays in reach", "service", t.service, "servers", asked, "others", verdicts, "err", err)
	}
}

// requestVerdicts asks other daemons about some servers, until one connects to any of them.
func (r *Relay) requestVerdicts(servers []string) (verdicts []reachability.Verdict) {
	if r.Verdicts == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), silenceVerdictTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, id := range servers {
		wg.Go(func() {
			found := r.Verdicts.Verdicts(ctx, id)
			if slices.Contains(found, reachability.Connected) {
				cancel()
			}
			mu.Lock()
			verdicts = append(verdicts, found...)
			mu.Unlock()
		})
	}
	wg.Wait()
	return verdicts
}

// silenceVerdict returns the verdict on a server that has not responded in time. Whether this daemon
// reaches another server tells whether its own links are the cause.
func (r *Relay) silenceVerdict(ctx context.Context, id string) reachability.Verdict {
	if r.State.hadContactBeside(id) {
		return reachability.Silent
	}
	ctx, cancel := context.WithTimeout(ctx, verdictTimeout)
	defer cancel()
	if containment.AnyAccepts(r.State.serversBeside(id, silenceControls), r.accepts(ctx)) {
		return reachability.Silent
	}
	return reachability.Unknown
}

// contact is this daemon's contact with a server.
type contact struct {
	server string
	at     time.Duration
}

// hadContactBeside reports whether another server than one was the last to respond, just now.
func (s *State) hadContactBeside(id string) bool {
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastContact.server != "" && s.lastContact.server != id && now-s.lastContact.at <= contactMemory
}
