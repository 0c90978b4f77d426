package node

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/charmbracelet/log"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/feed"
)

// maxEntryLines bounds the log lines about single servers for one batch of entries.
const maxEntryLines = 16

// entryLog logs one batch of server entries. Servers that are new to the daemon are counted by
// service and failure domain, in one line. Changes of known servers get a line each, up to maxEntryLines.
type entryLog struct {
	log *log.Logger
	// confirmed is the age of the newest confirmation of the entries before the batch.
	confirmed time.Duration
	added     map[serverGroup]int
	lines     int
	omitted   int
}

// serverGroup identifies the servers of a service in a failure domain.
type serverGroup struct{ service, domain string }

func newEntryLog(l *log.Logger, confirmed time.Duration) *entryLog {
	return &entryLog{log: l, confirmed: confirmed, added: map[serverGroup]int{}}
}

// add records a server that the daemon did not know and that takes requests at once.
func (e *entryLog) add(s backend.Server) { e.added[serverGroup{s.Service, s.FailureDomain}]++ }

// change logs the new entry of a known server, or of one that takes no requests yet.
func (e *entryLog) change(s backend.Server, restarted bool, at feed.Position) {
	e.line("server entry", "server", s.Incarnation.ID(), "service", s.Service, "address", s.Address, "version", s.Version, "leaving", s.Leaving, "warming_ms", s.WarmupRemaining.Milliseconds(), "started_again", restarted, "at", at)
}

// remove logs a removed entry.
func (e *entryLog) remove(old backend.Server, at feed.Position) {
	e.line("server entry gone", "server", old.ID, "service", old.Service, "was_leaving", old.Leaving, "at", at)
}

func (e *entryLog) line(message string, fields ...any) {
	if e.lines == maxEntryLines {
		e.omitted++
		return
	}
	e.lines++
	e.log.Info(message, append(fields, "confirmed_ms", e.confirmed.Milliseconds())...)
}

// close logs the counts of the batch.
func (e *entryLog) close() {
	if len(e.added) > 0 {
		total, groups := 0, make([]string, 0, len(e.added))
		for g, n := range e.added {
			total += n
			groups = append(groups, fmt.Sprintf("%s/%s:%d", g.service, g.domain, n))
		}
		slices.Sort(groups)
		e.log.Info("servers added", "servers", total, "by_domain", strings.Join(groups, " "), "confirmed_ms", e.confirmed.Milliseconds())
	}
	if e.omitted > 0 {
		e.log.Info("further server entries changed", "servers", e.omitted, "confirmed_ms", e.confirmed.Milliseconds())
	}
}
