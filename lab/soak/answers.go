package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// lossSlack is the time after its last byte within which a request may end with the close of its kept
	// connection, if it has not been passed on.
	lossSlack = 200 * time.Millisecond
	// maxConfigDelay is the time for which a configuration may stay in force after the next one was written.
	maxConfigDelay = 3 * time.Second
	// gracePeriod is the time from SIGTERM to SIGKILL. A request that was sent up to lateSendDelay
	// after SIGTERM may be cut in the last sixth of the period.
	gracePeriod   = 8 * time.Second
	lateSendDelay = 3 * time.Second
	// killDelay is the time after the grace period by which a daemon has ended.
	killDelay = time.Second
)

// answerRules is what decides whether a request may end without an answer.
type answerRules struct {
	timeouts []timeoutPeriod
	// terms are the times of SIGTERM, by the address of the daemon.
	terms map[string][]time.Time
	// arrived reports whether a request has reached a server.
	arrived func(id string) bool
}

// checkAnswers reports requests that end with neither an answer nor a refusal although nothing has failed.
func (c *cluster) checkAnswers(calls []call) (violations []string) {
	arrived := map[string][]string{}
	for _, s := range c.servers {
		for _, r := range s.Arrivals() {
			arrived[r.ID] = append(arrived[r.ID], s.ID+" "+r.At.Format(timeOfDay))
		}
	}
	rules := answerRules{timeouts: c.silence.timeouts, terms: map[string][]time.Time{}, arrived: func(id string) bool { return len(arrived[id]) > 0 }}
	names := map[string]string{}
	for _, d := range c.daemons {
		d.mu.Lock()
		rules.terms[d.clientAddr] = slices.Clone(d.terms)
		d.mu.Unlock()
		names[d.clientAddr] = d.name
	}
	for _, rec := range calls {
		if why := rules.missingAnswer(rec); why != "" {
			violations = append(violations, fmt.Sprintf("request %s: %s, %s at %s, sent %s, written after %s, ended after %s, kept connection: %t, reached %v", rec.id, why, routePaths[rec.kind], names[rec.clientAddr],
				rec.sentAt.Format(timeOfDay), rec.writtenAt.Sub(rec.sentAt).Round(time.Millisecond), rec.endedAt.Sub(rec.sentAt).Round(time.Millisecond), rec.keptConnection, arrived[rec.id]))
		}
	}
	return violations
}

const timeOfDay = "15:04:05.000"

// missingAnswer says how a request ended if it got neither an answer nor a refusal and no rule allows that.
func (r answerRules) missingAnswer(c call) string {
	switch {
	case c.answeredOrRefused(), c.writtenAt.IsZero() && !r.arrived(c.id), r.timeoutReached(c), r.crossedClose(c), r.endedWithGracePeriod(c):
		return ""
	case c.err != nil && c.status != 0:
		return fmt.Sprintf("cut in its answer with %d after %d bytes: %v", c.status, len(c.body), c.err)
	case c.err != nil:
		return fmt.Sprintf("no answer: %v", c.err)
	}
	return fmt.Sprintf("failed with %d %q", c.status, strings.TrimSpace(c.body))
}

// answeredOrRefused reports whether a request got the whole answer of a server, or was refused.
func (c call) answeredOrRefused() bool {
	if c.err != nil {
		return false
	}
	return c.seal != "" || c.status < http.StatusInternalServerError || c.status == http.StatusServiceUnavailable
}

// timeoutReached reports whether the deadline of a request or a timeout of its route that may have been in force
// was reached.
func (r answerRules) timeoutReached(c call) bool {
	timeout := requestTimeout
	for i, p := range r.timeouts {
		replaced := i+1 < len(r.timeouts) && r.timeouts[i+1].from.Add(maxConfigDelay).Before(c.sentAt)
		if !replaced && !p.from.After(c.endedAt) {
			timeout = min(timeout, p.byKind[c.kind])
		}
	}
	return c.endedAt.Sub(c.sentAt) >= timeout
}

// crossedClose reports whether a request crossed the close of a kept connection and was not passed on.
func (r answerRules) crossedClose(c call) bool {
	return c.keptConnection && c.status == 0 && !r.arrived(c.id) && c.endedAt.Sub(c.writtenAt) <= lossSlack
}

// endedWithGracePeriod reports whether a request was cut at the end of the grace period of its daemon.
func (r answerRules) endedWithGracePeriod(c call) bool {
	return slices.ContainsFunc(r.terms[c.clientAddr], func(term time.Time) bool {
		end := term.Add(gracePeriod)
		return c.sentAt.Before(term.Add(lateSendDelay)) && c.endedAt.After(end.Add(-gracePeriod/6)) && c.endedAt.Before(end.Add(killDelay))
	})
}

// summarizeOutcomes counts the calls by status, and those without a status.
func summarizeOutcomes(calls []call) string {
	counts := map[string]int{}
	for _, c := range calls {
		outcome := fmt.Sprint(c.status)
		switch {
		case c.err != nil && c.status != 0:
			outcome += " cut"
		case c.err != nil && c.writtenAt.IsZero():
			outcome = "not sent"
		case c.err != nil:
			outcome = "no answer"
		case c.status != http.StatusOK:
			outcome += " " + strings.TrimSpace(c.body)
		}
		counts[outcome]++
	}
	return fmt.Sprint(counts)
}
