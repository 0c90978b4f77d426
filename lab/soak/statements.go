package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/standin"
)

// Scenario: servers state that they leave, or turn requests away and ask for a pause, each in its own
// way, while daemons are stopped and restarted, the store fails, and servers fail or restart.

const (
	// statementDuration is how long a server leaves or asks for pauses. A server that leaves
	// then starts again.
	statementDuration = 7 * time.Second
	// maxDrainDelay is the time after which a daemon that has passed on the statement of a
	// server that leaves must send it nothing that a client sends.
	maxDrainDelay = 2 * time.Second
	// pauseNotice is the time after which a pause must be kept, and maxInPause the number of
	// requests of a daemon that may arrive in it.
	pauseNotice = 500 * time.Millisecond
	maxInPause  = 2
)

// statementPeriod is a period during which a server makes statements.
type statementPeriod struct {
	server   int
	leaves   bool
	from, to time.Time
}

// statementStyles are the ways in which servers make statements, by the kind of statement.
var statementStyles = map[bool][]func(rng *rand.Rand) func(int) standin.Statements{
	true: {
		func(*rand.Rand) func(int) standin.Statements {
			return func(int) standin.Statements { return standin.Statements{Leaving: "1"} }
		},
		func(rng *rand.Rand) func(int) standin.Statements {
			return func(int) standin.Statements { return standin.Statements{Leaving: []string{"1", "", "?"}[rng.IntN(3)]} }
		},
		func(rng *rand.Rand) func(int) standin.Statements {
			return func(int) standin.Statements { return standin.Statements{Leaving: "1", Shed: rng.IntN(2) == 0} }
		},
	},
	false: {
		func(*rand.Rand) func(int) standin.Statements {
			return func(int) standin.Statements { return standin.Statements{RetryAfter: "3", Shed: true} }
		},
		func(rng *rand.Rand) func(int) standin.Statements {
			return func(int) standin.Statements {
				return standin.Statements{RetryAfter: []string{"2.5", "0.2", "soon", ""}[rng.IntN(4)], Shed: true}
			}
		},
		func(rng *rand.Rand) func(int) standin.Statements {
			return func(int) standin.Statements {
				if rng.IntN(2) == 0 {
					return standin.Statements{}
				}
				return standin.Statements{RetryAfter: "4", Shed: true}
			}
		},
	},
}

// injectStatementFault makes a server make statements, or disturbs the daemons, the store or a
// server that may make some.
func (c *cluster) injectStatementFault() {
	d, server := c.daemons[c.rng.IntN(len(c.daemons))], c.rng.IntN(len(c.servers))
	storeProxy := c.storeProxies[c.rng.IntN(len(c.storeProxies))]
	s, duration := c.servers[server], time.Duration(c.rng.Int64N(int64(maxFaultDuration)))
	revert := func(f func()) { time.AfterFunc(duration, f) }
	faults := []struct {
		name  string
		start func()
	}{
		{"server-leaves", func() { c.makeStatements(server, true, false) }},
		{"server-leaves-unrecorded", func() { c.makeStatements(server, true, true) }},
		{"server-pauses", func() { c.makeStatements(server, false, false) }},
		{"server-pauses", func() { c.makeStatements(server, false, false) }},
		{"kill", func() { d.signal(syscall.SIGKILL) }},
		{"term", func() { d.signal(syscall.SIGTERM) }},
		{"hup", func() { d.signal(syscall.SIGHUP) }},
		{"pause", func() { d.signal(syscall.SIGSTOP); revert(func() { d.signal(syscall.SIGCONT) }) }},
		{"rotate", c.rotateKeys},
		{"store-path", func() { storeProxy.setMode(modeBlackhole); revert(func() { storeProxy.setMode(modeForward) }) }},
		{"store-refuses", func() { c.store.SetFailure("", 503); revert(func() { c.store.SetFailure("", 0) }) }},
		{"shed", func() { s.SetShedding(true); revert(func() { s.SetShedding(false) }) }},
		{"errors", func() { s.SetFailureStatus(500); revert(func() { s.SetFailureStatus(0) }) }},
		{"entry-written", func() { c.rewriteEntry(server, s.StartMillis()) }},
	}
	f := faults[c.rng.IntN(len(faults))]
	c.faults = append(c.faults, f.name)
	f.start()
}

// makeStatements makes a server leave or ask for pauses for statementDuration, unless a server of
// its service does so. Of a server that leaves, unrecorded or not, the entry is written as leaving.
func (c *cluster) makeStatements(server int, leaves, unrecorded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, p := range c.statements {
		if p.server%2 == server%2 && (p.to.IsZero() || now.Before(p.to)) {
			return
		}
	}
	styles := statementStyles[leaves]
	index := len(c.statements)
	c.statements = append(c.statements, statementPeriod{server: server, leaves: leaves, from: now})
	s := c.servers[server]
	s.SetStatements(styles[c.rng.IntN(len(styles))](rand.New(rand.NewPCG(c.rng.Uint64(), 0))))
	if leaves && !unrecorded {
		entry := strings.Replace(c.serverEntries[server], `"state":"ready"`, `"state":"draining"`, 1)
		c.store.Put("keyed.servers", s.ID, fmt.Appendf(nil, `%s,"born":%d}`, entry, s.StartMillis()))
	}
	time.AfterFunc(statementDuration, func() { c.endStatement(index) })
}

// endStatement ends the statements of a server. One that leaves starts again.
func (c *cluster) endStatement(index int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := &c.statements[index]
	if !p.to.IsZero() {
		return
	}
	p.to = time.Now()
	s := c.servers[p.server]
	s.SetStatements(func(int) standin.Statements { return standin.Statements{} })
	if p.leaves {
		s.Restart()
		c.writeEntry(p.server, s.StartMillis())
	}
}

// endStatements ends the statements of all servers.
func (c *cluster) endStatements() {
	c.mu.Lock()
	n := len(c.statements)
	c.mu.Unlock()
	for i := range n {
		c.endStatement(i)
	}
}

// checkStatements checks the requests that reached servers that leave or want a pause.
func (c *cluster) checkStatements(calls []call) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	interruptions := map[string][]time.Time{}
	for _, d := range c.daemons {
		d.mu.Lock()
		interruptions[d.clientAddr] = slices.Clone(d.interruptions)
		d.mu.Unlock()
	}
	byID := make(map[string]call, len(calls))
	for _, rec := range calls {
		byID[rec.id] = rec
	}
	var violations []string
	for _, p := range c.statements {
		s := c.servers[p.server]
		if p.leaves {
			violations = append(violations, checkDeparture(p, s.ID, s.Arrivals(), calls, byID, interruptions)...)
		} else {
			violations = append(violations, checkPauses(p, s.Arrivals(), byID, interruptions)...)
		}
	}
	return violations
}

// interrupted reports whether a daemon started, was paused or went on in a period.
func interrupted(at []time.Time, from, to time.Time) bool {
	for _, t := range at {
		if t.After(from) && t.Before(to) {
			return true
		}
	}
	return false
}

// checkDeparture reports requests that reached a server that leaves from a daemon that passed its
// statement on before.
func checkDeparture(p statementPeriod, server string, arrivals []standin.Run, calls []call, byID map[string]call, interruptions map[string][]time.Time) (violations []string) {
	passedOn := map[string]time.Time{}
	for _, rec := range calls {
		first, known := passedOn[rec.clientAddr]
		fromServer := rec.leaving && strings.HasPrefix(rec.seal, "seal-"+server+"-") && rec.sentAt.After(p.from) && rec.endedAt.Before(p.to)
		if fromServer && (!known || rec.endedAt.Before(first)) {
			passedOn[rec.clientAddr] = rec.endedAt
		}
	}
	for _, r := range arrivals {
		rec, sent := byID[r.ID]
		passedOnAt, known := passedOn[rec.clientAddr]
		late := sent && known && r.At.Before(p.to) && rec.sentAt.After(passedOnAt.Add(maxDrainDelay))
		if late && !interrupted(interruptions[rec.clientAddr], passedOnAt, r.At) {
			violations = append(violations, fmt.Sprintf("request %s: reached server %s from %s %s after that had passed on that the server leaves", r.ID, server, rec.clientAddr, r.At.Sub(passedOnAt).Round(time.Millisecond)))
		}
	}
	return violations
}

// checkPauses reports pauses in which more than maxInPause requests came from a daemon.
func checkPauses(p statementPeriod, arrivals []standin.Run, byID map[string]call, interruptions map[string][]time.Time) (violations []string) {
	for _, asked := range arrivals {
		pause, err := time.ParseDuration(asked.Stated.RetryAfter + "s")
		rec, sent := byID[asked.ID]
		if err != nil || !sent || asked.At.Before(p.from) || asked.At.After(p.to) {
			continue
		}
		from, to := asked.At.Add(pauseNotice), asked.At.Add(pause)
		n := 0
		for _, r := range arrivals {
			if r.At.After(from) && r.At.Before(to) && byID[r.ID].clientAddr == rec.clientAddr {
				n++
			}
		}
		if n > maxInPause && !interrupted(interruptions[rec.clientAddr], asked.At, to) {
			violations = append(violations, fmt.Sprintf("request %s: server %d asked %s for a pause of %s and got %d requests in it", asked.ID, p.server, rec.clientAddr, pause, n))
		}
	}
	return violations
}
