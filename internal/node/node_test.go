package node

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/feed"
	"github.com/damaskrudder/damaskrudder/internal/freshness"
	"github.com/damaskrudder/damaskrudder/internal/gossip"
	"github.com/damaskrudder/damaskrudder/internal/quarantine"
	"github.com/damaskrudder/damaskrudder/internal/relay"
	"github.com/damaskrudder/damaskrudder/internal/rollout"
	"github.com/damaskrudder/damaskrudder/internal/route"
)

// words is a translator of a platform whose records say what they are.
type words struct{}

func (words) Topics() Topics { return Topics{"op", "servers", "status", "daemons"} }
func (words) Operator(r feed.Record) (OperatorRecord, error) {
	var version int64
	if _, err := fmt.Sscan(string(r.Value), &version); err != nil {
		return OperatorRecord{}, errors.New("not a version")
	}
	t, err := route.NewTable(route.Document{Version: version})
	return OperatorRecord{Table: t}, err
}

// Evacuation reads keys "evacuate/DOMAIN".
func (words) Evacuation(r feed.Record) (Evacuation, bool) {
	domain, about := strings.CutPrefix(r.Key, "evacuate/")
	return Evacuation{FailureDomain: domain, Revoked: r.Value == nil}, about
}

// Server reads "STATE" or "STATE BORN".
func (words) Server(r feed.Record) (backend.Server, error) {
	state, born, _ := strings.Cut(string(r.Value), " ")
	if state != "ready" && state != "leaving" {
		return backend.Server{}, backend.Invalid(backend.UnknownState, "%s", state)
	}
	s := backend.Server{Incarnation: backend.Incarnation{Name: r.Key}, Service: "s", Address: r.Key, Leaving: state == "leaving"}
	_, err := fmt.Sscan(born, &s.Incarnation.StartMillis)
	if born != "" && err != nil {
		return backend.Server{}, backend.Invalid(backend.FieldType, "born")
	}
	return s, nil
}
func (words) Status(feed.Record) (RolloutStatus, bool, error) { return RolloutStatus{}, false, nil }
func (words) Daemon(r feed.Record) (string, error)            { return string(r.Value), nil }
func (words) EncodeStatus(rollout.Order, rollout.Phase, time.Duration) (string, []byte, error) {
	return "", nil, nil
}
func (words) EncodeDaemon(control string) ([]byte, error) { return []byte(control), nil }

// Held reads keys "held/FINGERPRINT" whose values are times in Unix ms.
func (words) Held(r feed.Record) (HoldRecord, bool, error) {
	text, about := strings.CutPrefix(r.Key, "held/")
	if !about {
		return HoldRecord{}, false, nil
	}
	f, err := quarantine.ParseFingerprint(text)
	if err != nil || r.Value == nil {
		return HoldRecord{Fingerprint: f, Released: true}, true, err
	}
	var until int64
	_, err = fmt.Sscan(string(r.Value), &until)
	return HoldRecord{Fingerprint: f, Until: time.UnixMilli(until)}, true, err
}

func (words) EncodeHeld(h HoldRecord) (string, []byte, error) {
	if h.Released {
		return "held/" + h.Fingerprint.String(), nil, nil
	}
	return "held/" + h.Fingerprint.String(), fmt.Append(nil, h.Until.UnixMilli()), nil
}

// orderOf is an order of a service.
func orderOf(service string) rollout.Order { return rollout.Order{Service: service} }

// noBackend has no server that answers.
type noBackend struct{ relay.Backend }

func (noBackend) Forget(string) {}

// testNode returns a daemon that does not run, with a boot clock to move.
func testNode(t testing.TB) (*Node, *time.Duration) {
	t.Helper()
	now := time.Minute
	n := New(t.Context(), Config{Name: "d0", ControlAddress: "c0", ClientAddress: "f0", ConfigPropagationLimit: inForce, ServerDrainLimit: leaveBound}, Dependencies{
		Backend: noBackend{}, Codec: words{}, Metrics: relay.NewMetrics(tally.NoopScope), Logger: log.New(io.Discard),
		BootTime: func() time.Duration { return now },
	})
	return n, &now
}

func (n *Node) know() {
	n.operator([]feed.Record{{Key: "config", Value: []byte("5")}}, true)
	n.servers([]feed.Record{{Key: "a", Value: []byte("ready")}}, true)
	n.confirm(freshness.Configuration, n.ports.BootTime())
}

func TestReadyAsksForKnowledgeAndContact(t *testing.T) {
	n, now := testNode(t)
	if n.Ready() {
		t.Error("ready without a configuration")
	}
	n.know()
	if !n.Ready() {
		t.Error("not ready with all that it needs")
	}
	*now += readyAge
	if n.Ready() {
		t.Error("ready with an old confirmation")
	}
}

// Guards against this failure: callers were sent to a daemon that was cut off from the store,
// where what it served did not count.
func TestWordOfOthersKeepsServingButNotReady(t *testing.T) {
	n, now := testNode(t)
	n.know()
	*now += ownLeast + ownGrace
	n.confirmedBy(gossip.Message{Ages: []int64{100}}, *now)
	if !n.state.ConfirmedWithin(freshness.Configuration, time.Second) {
		t.Error("the word of another daemon is not taken")
	}
	if n.Ready() {
		t.Error("ready although the store has not answered for long")
	}
}

func TestWordOfDaemonThatKnowsMoreIsNotTaken(t *testing.T) {
	n, now := testNode(t)
	n.know()
	*now += time.Second
	n.confirmedBy(gossip.Message{Ages: []int64{0}, NextPositions: []feed.Position{9}}, *now)
	if n.state.ConfirmedWithin(freshness.Configuration, time.Second/2) {
		t.Error("confirmed although the other daemon has read a configuration that this one has not")
	}
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	n, _ := testNode(t)
	for _, v := range []string{"5", "3", "x", "7", "6"} {
		n.operator([]feed.Record{{Key: "config", Value: []byte(v)}}, false)
	}
	if got := n.state.Table().Version; got != 7 {
		t.Errorf("version %d is in force", got)
	}
}

func TestServersThatLeaveOrCannotBeReadAreNotChosen(t *testing.T) {
	n, _ := testNode(t)
	n.servers([]feed.Record{
		{Key: "a", Value: []byte("ready")}, {Key: "b", Value: []byte("ready")}, {Key: "c", Value: []byte("bad")},
		{Key: "a", Value: []byte("leaving")}, {Key: "d", Value: []byte("ready")}, {Key: "d"},
	}, false)
	var left []string
	n.EachServer("s", func(id string) { left = append(left, id) })
	if len(left) != 1 || left[0] != "b" {
		t.Errorf("left are %v", left)
	}
}

// awayLog is a log that does not answer and counts the looks at its end.
type awayLog struct {
	feed.Log
	looks int
}

func (l *awayLog) End(context.Context, string) (feed.Position, error) {
	l.looks++
	return 0, errors.New("away")
}

// Guards against this failure: half of all calls of a day were made in ten seconds of
// outages.
func TestLooksAtAStoreThatIsAwayAreRare(t *testing.T) {
	n, now := testNode(t)
	n.know()
	away := &awayLog{}
	n.operators.Log = away
	*now += readyAge
	start := time.Now()
	for at := time.Duration(0); at < 4*time.Second; at += longestIdle {
		n.look(t.Context(), start.Add(at))
	}
	if away.looks != 4 {
		t.Errorf("looked %d times in 4 s", away.looks)
	}
}

// Guards against this failure: in an outage of the store sixty daemons asked for it every 0.4
// s.
func TestFewDaemonsAskForAStoreThatIsAway(t *testing.T) {
	n, now := testNode(t)
	n.know()
	hear := func(ready, able bool) {
		for i := range 40 {
			name := fmt.Sprint("d", i+1)
			n.members.AddAddresses("c" + name)
			n.members.Receive("c"+name, gossip.Message{Incarnation: name, Name: name, Ready: ready, Eligible: able})
		}
	}
	hear(true, true)
	among := n.rank()
	n.noteUnanswered()
	*now += readyAge
	for _, ready := range []bool{true, false} {
		hear(ready, true)
		if got := n.rank(); got != among || got == 0 {
			t.Errorf("place %d in an outage, others ready %t; %d before", got, ready, among)
		}
	}
	n.take(freshness.Configuration, freshness.Confirmation{At: *now, Source: "d1"})
	if got := n.rank(); got != among {
		t.Errorf("place %d when the store is back, %d before", got, among)
	}
	n.noteUnanswered()
	if got := n.rank(); got != 40 {
		t.Errorf("place %d of a daemon that is cut off", got)
	}
}

// A line for each change of what a daemon does for all, and none in between.
func TestRolesAreLoggedWhenTheyChange(t *testing.T) {
	n, _ := testNode(t)
	var lines bytes.Buffer
	n.log = log.New(&lines)
	n.know()
	for range 3 {
		n.noteRoles()
	}
	n.cutOff.Store(true)
	for range 3 {
		n.noteRoles()
	}
	if got := strings.Count(lines.String(), "roles"); got != 2 {
		t.Errorf("%d lines for two changes:\n%s", got, lines.String())
	}
}

func TestOwnEntryIsNotWrittenAgain(t *testing.T) {
	n, _ := testNode(t)
	n.entries([]feed.Record{{Key: "d0", Value: []byte("elsewhere")}}, true)
	if n.enrolled.Load() {
		t.Error("an entry with an old address counts")
	}
	n.entries([]feed.Record{{Key: "d0", Value: []byte("c0")}}, false)
	if !n.enrolled.Load() {
		t.Error("an entry that is right does not count")
	}
}

func TestDrainOfIdleDaemonEndsBeforeTheGracePeriod(t *testing.T) {
	n, _ := testNode(t)
	n.config.GracePeriod = time.Hour
	n.Drain(context.Background())
	if !n.Leaving() || n.Ready() {
		t.Error("a daemon that has left is ready")
	}
}

// Guards against this failure: requests went on to a server whose entry nobody could read any
// more, and each heartbeat of its writer brought a line of the log.
func TestEntryThatTurnsBadNamesNoServer(t *testing.T) {
	n, _ := testNode(t)
	var lines bytes.Buffer
	n.log = log.New(&lines)
	used := func() (out string) {
		n.EachServer("s", func(id string) { out += id })
		return out
	}
	entry := func(value string) { n.servers([]feed.Record{{Key: "a", Value: []byte(value)}}, false) }
	n.servers([]feed.Record{{Key: "a", Value: []byte("ready")}, {Key: "b", Value: []byte("ready")}}, true)
	for range 3 {
		entry("warming")
	}
	if used() != "b" {
		t.Errorf("used are %q", used())
	}
	if got := strings.Count(lines.String(), "names no server"); got != 1 {
		t.Errorf("%d lines for one change", got)
	}
	entry("ready x")
	if got := strings.Count(lines.String(), "names no server"); got != 2 {
		t.Errorf("%d lines for two changes", got)
	}
	if entry("ready"); used() != "ab" {
		t.Errorf("used are %q after a good entry", used())
	}
	n.servers([]feed.Record{{Key: "a", Value: []byte("bad")}, {Key: "b", Value: []byte("ready")}}, true)
	if used() != "b" {
		t.Errorf("used are %q after a whole reading with a bad entry", used())
	}
}

func TestServerThatLeftAndStartedAgainIsUsed(t *testing.T) {
	n, _ := testNode(t)
	used := func() (count int) {
		n.EachServer("s", func(string) { count++ })
		return count
	}
	for _, c := range []struct {
		value string
		want  int
	}{{"ready 100", 1}, {"leaving 100", 0}, {"ready 200", 1}, {"leaving 100", 1}, {"leaving 200", 0}, {"leaving 300", 0}, {"ready 300", 1}} {
		n.servers([]feed.Record{{Key: "a", Value: []byte(c.value)}}, false)
		if used() != c.want {
			t.Errorf("after %q: %d are used", c.value, used())
		}
	}
}
