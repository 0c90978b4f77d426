package feed

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
)

// Guards against a line in each daemon for each change because readers are busy sending to others.
func TestFailedFetchesOfManyChangesAreNotLoggedEach(t *testing.T) {
	const changes = 64
	var lines bytes.Buffer
	attempts := 0
	f := New(&Follower{Topic: "t", Logger: log.New(&lines), Apply: func([]Record, bool) {}})
	f.FetchTail = func(_ context.Context, _ string, from Position) (Tail, error) {
		if attempts++; attempts%2 == 1 {
			return Tail{}, errors.New("busy")
		}
		return Tail{Records: records(from, "a"), Next: from + 1}, nil
	}
	for range 2 * changes {
		f.fetchFromPeer(t.Context())
	}
	if got := strings.Count(lines.String(), "no records from another reader"); got > changes/4 {
		t.Errorf("%d lines for %d changes", got, changes)
	}
}
