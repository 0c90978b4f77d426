package node

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/charmbracelet/log"

	"github.com/damaskrudder/damaskrudder/internal/feed"
)

// entryBatch returns n server entries with a value, from a position on.
func entryBatch(n int, value string, from feed.Position) []feed.Record {
	out := make([]feed.Record, n)
	for i := range out {
		out[i] = feed.Record{Key: fmt.Sprintf("s%05d", i), Value: []byte(value), At: from + feed.Position(i)}
	}
	return out
}

// Guards against a log line for every server of the fleet when a daemon loads their entries, and
// when an outage ends many at once.
func TestBatchOfEntriesLogsBoundedLines(t *testing.T) {
	const servers, maxLines = 2000, maxEntryLines + 2
	for _, step := range []struct {
		name  string
		batch []feed.Record
		want  string
	}{
		{"loaded", entryBatch(servers, "ready", 0), "servers=2000"},
		{"leaving", entryBatch(servers, "leaving", servers), "leaving=true"},
	} {
		t.Run(step.name, func(t *testing.T) {
			n, _ := newTestNode(t)
			if step.name == "leaving" {
				n.applyServerRecords(entryBatch(servers, "ready", 0), true)
			}
			var lines bytes.Buffer
			n.log = log.NewWithOptions(&lines, log.Options{Formatter: log.LogfmtFormatter})
			n.applyServerRecords(step.batch, false)
			if got := strings.Count(lines.String(), "\n"); got > maxLines {
				t.Errorf("%d lines for %d entries", got, servers)
			}
			if !strings.Contains(lines.String(), step.want) {
				t.Errorf("no line with %s:\n%s", step.want, lines.String())
			}
		})
	}
}

// Guards against a server that leaves or is removed without a line of its own, which explains why
// a request was moved.
func TestChangeOfKnownServerHasItsOwnLine(t *testing.T) {
	n, _ := newTestNode(t)
	n.loadTestState()
	var lines bytes.Buffer
	n.log = log.NewWithOptions(&lines, log.Options{Formatter: log.LogfmtFormatter})
	n.applyServerRecords([]feed.Record{{Key: "a", Value: []byte("leaving"), At: 1}}, false)
	n.applyServerRecords([]feed.Record{{Key: "a", At: 2}}, false)
	for _, want := range []string{`msg="server entry" server=a`, `msg="server entry gone" server=a`} {
		if !strings.Contains(lines.String(), want) {
			t.Errorf("no line %q:\n%s", want, lines.String())
		}
	}
}
