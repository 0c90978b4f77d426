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

// fakeCodec decodes plain-text records.
type fakeCodec struct{}

func (fakeCodec) Topics() Topics { return Topics{"op", "servers", "status", "daemons"} }

// DecodeOperator reads "VERSION WORD...": a version and the path prefixes that lead to service s. Words
// that do not begin with a slash are padding.
func (fakeCodec) DecodeOperator(r feed.Record) (OperatorRecord, error) {
	var version int64
	if _, err := fmt.Sscan(string(r.Value), &version); err != nil {
		return OperatorRecord{}, errors.New("not a version")
	}
	d := route.Document{Version: version, Services: []route.Service{{Name: "s", MaxConnections: 1 << 20}}}
	for _, prefix := range strings.Fields(string(r.Value))[1:] {
		if prefix[0] != '/' {
			continue
		}
		d.Routes = append(d.Routes, route.Route{Name: prefix, Host: "h", PathPrefix: prefix, Kind: route.Idempotent, MaxAttempts: 2, Timeout: time.Second, Backends: []route.Backend{{Service: "s", Weight: 1}}})
	}
	t, err := route.NewTable(d)
	return OperatorRecord{Table: t}, err
}

// DecodeEvacuation reads keys "evacuate/DOMAIN".
func (fakeCodec) DecodeEvacuation(r feed.Record) (Evacuation, bool) {
	domain, ok := strings.CutPrefix(r.Key, "evacuate/")
	return Evacuation{FailureDomain: domain, Revoked: r.Value == nil}, ok
}

// DecodeServer reads "STATE", "STATE START_MILLIS" or "STATE START_MILLIS SLOTS".
func (fakeCodec) DecodeServer(r feed.Record) (backend.Server, error) {
	state, startMillis, _ := strings.Cut(string(r.Value), " ")
	if state != "ready" && state != "leaving" {
		return backend.Server{}, backend.Invalid(backend.UnknownState, "%s", state)
	}
	s := backend.Server{Incarnation: backend.Incarnation{Name: r.Key}, Service: "s", Address: r.Key, Leaving: state == "leaving"}
	startMillis, slots, _ := strings.Cut(startMillis, " ")
	_, _ = fmt.Sscan(slots, &s.Slots) // optional
	_, err := fmt.Sscan(startMillis, &s.Incarnation.StartMillis)
	if startMillis != "" && err != nil {
		return backend.Server{}, backend.Invalid(backend.FieldType, "born")
	}
	return s, nil
}
func (fakeCodec) DecodeStatus(feed.Record) (RolloutStatus, bool, error) {
	return RolloutStatus{}, false, nil
}
func (fakeCodec) DecodeDaemon(r feed.Record) (string, error) { return string(r.Value), nil }
func (fakeCodec) EncodeStatus(rollout.Order, rollout.Phase, time.Duration) (string, []byte, error) {
	return "", nil, nil
}
func (fakeCodec) EncodeDaemon(address string) ([]byte, error) { return []byte(address), nil }

// DecodeHold reads keys "held/FINGERPRINT" whose values are times in Unix ms.
func (fakeCodec) DecodeHold(r feed.Record) (HoldRecord, bool, error) {
	text, ok := strings.CutPrefix(r.Key, "held/")
	if !ok {
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

func (fakeCodec) EncodeHold(h HoldRecord) (string, []byte, error) {
	if h.Released {
		return "held/" + h.Fingerprint.String(), nil, nil
	}
	return "held/" + h.Fingerprint.String(), fmt.Append(nil, h.Until.UnixMilli()), nil
}

// rolloutOrder returns an order for a service.
func rolloutOrder(service string) rollout.Order { return rollout.Order{Service: service} }

// unavailableBackend has no servers.
type unavailableBackend struct{ relay.Backend }

func (unavailableBackend) CloseIdleConnections(string) {}

// newTestNode returns a daemon that is not running, and its adjustable boot clock.
func newTestNode(t testing.TB) (*Node, *time.Duration) {
	t.Helper()
	now := time.Minute
	n := New(t.Context(), Config{Name: "d0", ControlAddress: "c0", ClientAddress: "f0", ConfigPropagationLimit: configLimit, ServerDrainLimit: drainLimit}, Dependencies{
		Backend: unavailableBackend{}, Codec: fakeCodec{}, Metrics: relay.NewMetrics(tally.NoopScope), Logger: log.New(io.Discard),
		BootTime: func() time.Duration { return now },
	})
	return n, &now
}

func (n *Node) loadTestState() {
	n.applyOperatorRecords([]feed.Record{{Key: "config", Value: []byte("5")}}, true)
	n.applyServerRecords([]feed.Record{{Key: "a", Value: []byte("ready")}}, true)
	n.confirmFromStore(freshness.Configuration, n.deps.BootTime())
}

func TestReadyRequiresStateAndRecentConfirmation(t *testing.T) {
	n, now := newTestNode(t)
	if n.Ready() {
		t.Error("ready without a configuration")
	}
	n.loadTestState()
	if !n.Ready() {
		t.Error("not ready with current state")
	}
	*now += maxReadyAge
	if n.Ready() {
		t.Error("ready with an expired confirmation")
	}
}

// Guards against clients that are sent to a daemon which is partitioned from the store.
func TestPeerConfirmationsAloneDoNotMakeNodeReady(t *testing.T) {
	n, now := newTestNode(t)
	n.loadTestState()
	*now += minOwnCheckInterval + ownCheckGrace
	n.applyPeerConfirmations(gossip.Message{Ages: []int64{100}}, *now)
	if !n.state.ConfirmedWithin(freshness.Configuration, time.Second) {
		t.Error("peer confirmation was not applied")
	}
	if n.Ready() {
		t.Error("ready without recent contact with the store")
	}
}

func TestConfirmationFromPeerAheadIsIgnored(t *testing.T) {
	n, now := newTestNode(t)
	n.loadTestState()
	*now += time.Second
	n.applyPeerConfirmations(gossip.Message{Ages: []int64{0}, NextPositions: []feed.Position{9}}, *now)
	if n.state.ConfirmedWithin(freshness.Configuration, time.Second/2) {
		t.Error("confirmation applied although the peer has read further")
	}
}

func TestConfigurationVersionIsMonotonic(t *testing.T) {
	n, _ := newTestNode(t)
	for _, v := range []string{"5", "3", "x", "7", "6"} {
		n.applyOperatorRecords([]feed.Record{{Key: "config", Value: []byte(v)}}, false)
	}
	if got := n.state.Table().Version; got != 7 {
		t.Errorf("version %d is in force", got)
	}
}

func TestLeavingAndInvalidServersAreNotUsed(t *testing.T) {
	n, _ := newTestNode(t)
	n.applyServerRecords([]feed.Record{
		{Key: "a", Value: []byte("ready")}, {Key: "b", Value: []byte("ready")}, {Key: "c", Value: []byte("bad")},
		{Key: "a", Value: []byte("leaving")}, {Key: "d", Value: []byte("ready")}, {Key: "d"},
	}, false)
	var usable []string
	n.EachServer("s", func(id string) { usable = append(usable, id) })
	if len(usable) != 1 || usable[0] != "b" {
		t.Errorf("usable servers: %v", usable)
	}
}

// failingLog fails every call and counts those for the end of a topic.
type failingLog struct {
	feed.Log
	endCalls int
}

func (l *failingLog) End(context.Context, string) (feed.Position, error) {
	l.endCalls++
	return 0, errors.New("unavailable")
}

// Guards against frequent store checks during an outage.
func TestStoreChecksBackOffDuringOutage(t *testing.T) {
	n, now := newTestNode(t)
	n.loadTestState()
	store := &failingLog{}
	n.operatorFollower.Log = store
	*now += maxReadyAge
	start := time.Now()
	for at := time.Duration(0); at < 4*time.Second; at += maxCheckPause {
		n.checkStore(t.Context(), start.Add(at))
	}
	if store.endCalls != 4 {
		t.Errorf("%d store checks in 4 s", store.endCalls)
	}
}

// Guards against rank changes during an outage, which would make every daemon call the store.
func TestRankIsStableDuringOutage(t *testing.T) {
	n, now := newTestNode(t)
	n.loadTestState()
	deliver := func(ready, eligible bool) {
		for i := range 40 {
			name := fmt.Sprint("d", i+1)
			n.members.AddAddresses("c" + name)
			n.members.Receive("c"+name, gossip.Message{Incarnation: name, Name: name, Ready: ready, Eligible: eligible})
		}
	}
	deliver(true, true)
	before := n.rank()
	n.recordUnanswered()
	*now += maxReadyAge
	for _, ready := range []bool{true, false} {
		deliver(ready, true)
		if got := n.rank(); got != before || got == 0 {
			t.Errorf("rank %d during an outage, peers ready %t; %d before", got, ready, before)
		}
	}
	n.applyConfirmation(freshness.Configuration, freshness.Confirmation{At: *now, Source: "d1"})
	if got := n.rank(); got != before {
		t.Errorf("rank %d after the outage, %d before", got, before)
	}
	n.recordUnanswered()
	if got := n.rank(); got != 40 {
		t.Errorf("rank %d of a partitioned daemon", got)
	}
}

// Guards against missing or repeated log lines for role changes.
func TestRoleChangesAreLoggedOnce(t *testing.T) {
	n, _ := newTestNode(t)
	var lines bytes.Buffer
	n.log = log.New(&lines)
	n.loadTestState()
	for range 3 {
		n.logRoleChange()
	}
	n.partitioned.Store(true)
	for range 3 {
		n.logRoleChange()
	}
	if got := strings.Count(lines.String(), "roles"); got != 2 {
		t.Errorf("%d log lines for two changes:\n%s", got, lines.String())
	}
}

func TestRegistrationRequiresCurrentAddress(t *testing.T) {
	n, _ := newTestNode(t)
	n.applyDaemonRecords([]feed.Record{{Key: "d0", Value: []byte("elsewhere")}}, true)
	if n.registered.Load() {
		t.Error("registered with an outdated address")
	}
	n.applyDaemonRecords([]feed.Record{{Key: "d0", Value: []byte("c0")}}, false)
	if !n.registered.Load() {
		t.Error("not registered with the current address")
	}
}

func TestDrainOfIdleDaemonEndsEarly(t *testing.T) {
	n, _ := newTestNode(t)
	n.config.GracePeriod = time.Hour
	n.Drain(context.Background())
	if !n.Leaving() || n.Ready() {
		t.Error("drained daemon is ready or not leaving")
	}
}

// Guards against requests to a server whose entry became invalid, and against a log line for each
// heartbeat of its writer.
func TestInvalidEntryDisablesServer(t *testing.T) {
	n, _ := newTestNode(t)
	var lines bytes.Buffer
	n.log = log.New(&lines)
	usable := func() (out string) {
		n.EachServer("s", func(id string) { out += id })
		return out
	}
	entry := func(value string) { n.applyServerRecords([]feed.Record{{Key: "a", Value: []byte(value)}}, false) }
	n.applyServerRecords([]feed.Record{{Key: "a", Value: []byte("ready")}, {Key: "b", Value: []byte("ready")}}, true)
	for range 3 {
		entry("warming")
	}
	if usable() != "b" {
		t.Errorf("usable servers: %q", usable())
	}
	if got := strings.Count(lines.String(), "invalid server entry"); got != 1 {
		t.Errorf("%d log lines for one change", got)
	}
	entry("ready x")
	if got := strings.Count(lines.String(), "invalid server entry"); got != 2 {
		t.Errorf("%d log lines for two changes", got)
	}
	if entry("ready"); usable() != "ab" {
		t.Errorf("usable servers: %q after a valid entry", usable())
	}
	n.applyServerRecords([]feed.Record{{Key: "a", Value: []byte("bad")}, {Key: "b", Value: []byte("ready")}}, true)
	if usable() != "b" {
		t.Errorf("usable servers: %q after a snapshot with an invalid entry", usable())
	}
}

func TestRestartedServerIsUsed(t *testing.T) {
	n, _ := newTestNode(t)
	usable := func() (count int) {
		n.EachServer("s", func(string) { count++ })
		return count
	}
	for _, tt := range []struct {
		value string
		want  int
	}{{"ready 100", 1}, {"leaving 100", 0}, {"ready 200", 1}, {"leaving 100", 1}, {"leaving 200", 0}, {"leaving 300", 0}, {"ready 300", 1}} {
		n.applyServerRecords([]feed.Record{{Key: "a", Value: []byte(tt.value)}}, false)
		if usable() != tt.want {
			t.Errorf("after %q: %d usable servers", tt.value, usable())
		}
	}
}
