package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/freshness"
	"github.com/damaskrudder/damaskrudder/internal/route"
	"github.com/damaskrudder/damaskrudder/internal/upstream"
)

// fakeBackend answers sends by a script, in turn; the last line repeats.
type fakeBackend struct {
	mu     sync.Mutex
	script []func(s BackendRequest) (*BackendResponse, error)
	sends  []BackendRequest
	// forgotten are the addresses whose connections were closed.
	forgotten []string
}

func (f *fakeBackend) Send(_ context.Context, s BackendRequest) (*BackendResponse, error) {
	f.mu.Lock()
	at := min(len(f.sends), len(f.script)-1)
	f.sends = append(f.sends, s)
	f.mu.Unlock()
	return f.script[at](s)
}

func (f *fakeBackend) Alive(context.Context, backend.Server, bool) error { return nil }
func (f *fakeBackend) Refuses(context.Context, string) bool              { return false }
func (f *fakeBackend) Forget(address string)                             { f.forgotten = append(f.forgotten, address) }

// answering returns a whole answer.
func answering(status int, body string) func(BackendRequest) (*BackendResponse, error) {
	return func(BackendRequest) (*BackendResponse, error) {
		return &BackendResponse{Status: status, Header: http.Header{}, Authenticated: true, Confidence: -1, ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body))}, nil
	}
}

// streamingFrom returns a stream of events, ended by err or properly if it is nil.
func streamingFrom(confidence float64, err error, ids ...int) func(BackendRequest) (*BackendResponse, error) {
	return func(BackendRequest) (*BackendResponse, error) {
		var b strings.Builder
		for _, id := range ids {
			fmt.Fprintf(&b, "id: %d\ndata: x%d\n\n", id, id)
		}
		var r io.Reader = strings.NewReader(b.String())
		if err != nil {
			r = io.MultiReader(r, failing{err})
		}
		return &BackendResponse{Status: 200, Header: http.Header{}, Authenticated: true, Confidence: confidence, ContentLength: -1, Body: io.NopCloser(r)}, nil
	}
}

type failing struct{ err error }

func (f failing) Read([]byte) (int, error) { return 0, f.err }

func failed(reason upstream.Reason, sent bool) func(BackendRequest) (*BackendResponse, error) {
	return func(BackendRequest) (*BackendResponse, error) {
		return nil, &upstream.Error{Reason: reason, Sent: sent, Err: errors.New("test")}
	}
}

func notRun(BackendRequest) (*BackendResponse, error) {
	return &BackendResponse{Status: 503, NotRun: true, Confidence: -1, Body: io.NopCloser(strings.NewReader(""))}, nil
}

// fakeCaller records the answer.
type fakeCaller struct {
	status  int
	body    strings.Builder
	refusal *fault.Error
	cut     bool
}

func (c *fakeCaller) Refuse(e *fault.Error)                   { c.refusal = e }
func (c *fakeCaller) Head(status int, _ http.Header, _ int64) { c.status = status }
func (c *fakeCaller) Pass(p []byte) error                     { c.body.Write(p); return nil }
func (c *fakeCaller) Cut()                                    { c.cut = true }

// world is a relay before three engines and three plain servers.
type world struct {
	relay   *Relay
	backend *fakeBackend
	clock   *clock
}

func newWorld(t *testing.T, script ...func(BackendRequest) (*BackendResponse, error)) *world {
	t.Helper()
	c := &clock{now: time.Minute}
	s := NewState("d1", "", c.read)
	b := &fakeBackend{script: script}
	models := []string{"small", "middle", "large"}
	table, err := route.NewTable(route.Document{
		Version: 1, KeyRequired: true, Keys: map[string]route.Workspace{"k": {Name: "w"}},
		Services: []route.Service{
			{Name: "lm", MaxConns: 100, Engine: &route.Engine{Slots: 8, CostPer1kTokens: map[string]float64{"small": 0.02, "middle": 0.14, "large": 0.27}}},
			{Name: "app", MaxConns: 100},
		},
		Routes: []route.Route{
			{Name: "stream", Host: "h", PathPrefix: "/s/", Kind: route.Stream, Resumable: true, MaxAttempts: 3, Timeout: 5 * time.Second, LatencyTarget: time.Second, Models: models, Backends: []route.Backend{{Service: "lm", Weight: 1}}},
			{Name: "pay", Host: "h", PathPrefix: "/p/", Kind: route.NonIdempotent, MaxAttempts: 1, Timeout: 2 * time.Second, Backends: []route.Backend{{Service: "app", Weight: 1}}},
			{Name: "look", Host: "h", PathPrefix: "/l/", Kind: route.Idempotent, MaxAttempts: 2, Timeout: 2 * time.Second, Backends: []route.Backend{{Service: "app", Weight: 1}}},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	s.SetTable(table)
	s.UpdateServers(func(r *backend.Registry, _ time.Duration) {
		for i := range 3 {
			_, _ = r.Put(backend.Server{Incarnation: backend.Incarnation{Name: fmt.Sprint("e", i)}, Service: "lm", Address: fmt.Sprintf("10.0.0.%d:1", i), Slots: 8, Version: "v1"})
			_, _ = r.Put(backend.Server{Incarnation: backend.Incarnation{Name: fmt.Sprint("a", i)}, Service: "app", Address: fmt.Sprintf("10.0.1.%d:1", i), Slots: 4, Version: "v1"})
		}
	})
	s.Confirm(freshness.Configuration, freshness.Confirmation{At: c.now, Source: freshness.FromStore})
	rules := Options{MaxKeyStaleness: 4 * time.Second, RetryBudgetWindow: 10 * time.Second, RetryBudgetRatio: 0.9, RetryBudgetReserve: 50}
	return &world{New(s, b, rules, NewMetrics(tally.NoopScope), log.New(io.Discard)), b, c}
}

func (w *world) call(path string) *fakeCaller {
	out := &fakeCaller{}
	c := &Call{ID: "id1", Host: "h", Method: "POST", Target: path, Path: path, Key: "k", LastEvent: NoEvent, Received: time.Now()}
	if strings.HasPrefix(path, "/s/") {
		c.Model = AnyModel
		c.Prompt = Prompt{Tokens: 100, MaxAnswerTokens: 20, Parts: []PromptPart{{1, 50}, {2, 50}}}
	}
	w.relay.Serve(context.Background(), c, out)
	return out
}

func (w *world) inFlight() int {
	n := 0
	for _, v := range w.relay.State.OwnWork() {
		n += v.InFlight
	}
	return n
}

func events(ids ...int) string {
	var b strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&b, "id: %d\ndata: x%d\n\n", id, id)
	}
	return b.String()
}

func TestPlainAnswerIsPassedOnWhole(t *testing.T) {
	w := newWorld(t, answering(200, "paid"))
	if out := w.call("/p/1"); out.status != 200 || out.body.String() != "paid" {
		t.Fatalf("got %d %q", out.status, out.body.String())
	}
}

// Symptom: placing went by all that had been sent since the start, and later every
// plain request was refused as too late.
// Sequence: a request is answered; its work stays booked on the server.
// Cause: only failed sends were taken off.
func TestAnsweredWorkIsTakenOffTheServer(t *testing.T) {
	w := newWorld(t, answering(200, "x"))
	for range 50 {
		w.call("/l/1")
	}
	w.backend.script = []func(BackendRequest) (*BackendResponse, error){streamingFrom(90, nil, 1, 2)}
	w.call("/s/1")
	if n := w.inFlight(); n != 0 {
		t.Fatalf("%d requests still count as running", n)
	}
}

// Symptom: a payment ran twice.
// Sequence: the connection breaks after the request was sent; it is sent to
// another server.
// Cause: a broken connection proves nothing.
func TestLostPaymentIsNotSentAgain(t *testing.T) {
	w := newWorld(t, failed(upstream.ConnectionLost, true), answering(200, "paid"))
	out := w.call("/p/1")
	if len(w.backend.sends) != 1 {
		t.Fatalf("sent %d times", len(w.backend.sends))
	}
	if out.refusal == nil || out.refusal.ExecutionState() == fault.NotRun {
		t.Fatalf("refused with %v, which says that it did not run", out.refusal)
	}
	if status := fault.Lookup(out.refusal.Kind).Status; status == 503 || status == 429 {
		t.Fatalf("answered %d, which promises that it did not run", status)
	}
}

func TestPaymentThatDidNotRunGoesElsewhere(t *testing.T) {
	for name, first := range map[string]func(BackendRequest) (*BackendResponse, error){
		"server says so": notRun, "no connection": failed(upstream.Unreachable, false),
	} {
		w := newWorld(t, first, answering(200, "paid"))
		out := w.call("/p/1")
		if out.status != 200 || len(w.backend.sends) != 2 {
			t.Errorf("%s: got %d after %d sends", name, out.status, len(w.backend.sends))
		}
		if w.backend.sends[0].Server.ID == w.backend.sends[1].Server.ID {
			t.Errorf("%s: the same server was asked again", name)
		}
	}
}

func TestRefusedByAllIsRefusedAsNotRun(t *testing.T) {
	w := newWorld(t, notRun)
	out := w.call("/p/1")
	if out.refusal == nil || out.refusal.ExecutionState() != fault.NotRun || out.refusal.RetryDelay() <= 0 {
		t.Fatalf("got %+v", out.refusal)
	}
}

func TestFailedLookupGoesElsewhereOnce(t *testing.T) {
	w := newWorld(t, answering(500, "a"), answering(500, "b"), answering(200, "c"))
	out := w.call("/l/1")
	if out.status != 500 || out.body.String() != "b" || len(w.backend.sends) != 2 {
		t.Fatalf("got %d %q after %d sends; the route allows two", out.status, out.body.String(), len(w.backend.sends))
	}
}

// Symptom: a stream had an event twice, or one was missing.
// Sequence: a server stops in the middle of an event; the stream goes on at
// another server, which begins one event too early.
// Cause: bytes were passed on as they came.
func TestStreamGoesOnElsewhereWithoutGapOrRepeat(t *testing.T) {
	w := newWorld(t, streamingFrom(90, errors.New("reset"), 1, 2), streamingFrom(90, nil, 2, 3, 4))
	out := w.call("/s/1")
	if got := out.body.String(); got != events(1, 2, 3, 4) {
		t.Fatalf("got %q", got)
	}
	if second := w.backend.sends[1]; second.LastEvent != 2 || second.Model != w.backend.sends[0].Model {
		t.Fatalf("went on after %d with %s", second.LastEvent, second.Model)
	}
}

func TestStreamWithAGapIsCut(t *testing.T) {
	w := newWorld(t, streamingFrom(90, errors.New("reset"), 1, 2), streamingFrom(90, nil, 4, 5))
	out := w.call("/s/1")
	if !out.cut || out.body.String() != events(1, 2) {
		t.Fatalf("cut %t, got %q", out.cut, out.body.String())
	}
}

func TestDoubtfulAnswerIsAskedOfTheLargestModel(t *testing.T) {
	w := newWorld(t, streamingFrom(10, nil, 1), streamingFrom(95, nil, 1, 2))
	out := w.call("/s/1")
	if out.body.String() != events(1, 2) {
		t.Fatalf("got %q", out.body.String())
	}
	if w.backend.sends[0].Model != "small" || w.backend.sends[1].Model != "large" {
		t.Fatalf("asked %s, then %s", w.backend.sends[0].Model, w.backend.sends[1].Model)
	}
}

// Symptom: after all daemons had been lost at once, first events took three seconds for
// half a minute.
// Sequence: the callers of two hundred streams come back and go on after the events
// that they have; all are sent to the largest model within a second.
// Cause: nobody knows which model made the beginning, so the largest was taken. The
// smallest model's opinion of the request tells as well whether it is too hard for it.
func TestContinuedStreamIsJudgedLikeOthers(t *testing.T) {
	for _, tt := range []struct {
		confidence float64
		want       []string
	}{{95, []string{"small"}}, {10, []string{"small", "large"}}} {
		w := newWorld(t, streamingFrom(tt.confidence, nil, 8, 9), streamingFrom(95, nil, 8, 9))
		out := &fakeCaller{}
		prompt := Prompt{Tokens: 100, MaxAnswerTokens: 20, Parts: []PromptPart{{1, 50}, {2, 50}}}
		w.relay.Serve(context.Background(), &Call{ID: "i", Host: "h", Path: "/s/1", Key: "k", Model: AnyModel, Prompt: prompt, LastEvent: 7, Received: time.Now()}, out)
		var asked []string
		for _, s := range w.backend.sends {
			asked = append(asked, s.Model)
			if s.LastEvent != 7 {
				t.Errorf("%s was asked to go on after %d", s.Model, s.LastEvent)
			}
		}
		if out.body.String() != events(8, 9) || !slices.Equal(asked, tt.want) {
			t.Errorf("confidence %g: got %q of %v", tt.confidence, out.body.String(), asked)
		}
	}
}

// Symptom: a key that was taken away six seconds ago still opened.
// Sequence: a daemon is cut off from the store; a key is taken away; a request
// comes with it.
// Cause: the daemon went on by its last configuration.
func TestKeysAreNotTrustedWithoutRecentConfirmation(t *testing.T) {
	w := newWorld(t, answering(200, "x"))
	w.clock.now += 4 * time.Second
	out := w.call("/l/1")
	if out.refusal == nil || out.refusal.Kind != fault.ConfigurationStale || len(w.backend.sends) != 0 {
		t.Fatalf("got %+v after %d sends", out.refusal, len(w.backend.sends))
	}
	w.relay.State.Confirm(freshness.Configuration, freshness.Confirmation{At: w.clock.now, Source: freshness.FromStore})
	if out := w.call("/l/1"); out.status != 200 {
		t.Fatalf("got %+v after a confirmation", out.refusal)
	}
}

func TestUnknownKeyAndRoute(t *testing.T) {
	w := newWorld(t, answering(200, "x"))
	if out := w.call("/none/"); out.refusal == nil || out.refusal.Kind != fault.NotFound {
		t.Errorf("no route: %+v", out.refusal)
	}
	out := &fakeCaller{}
	w.relay.Serve(context.Background(), &Call{ID: "i", Host: "h", Path: "/l/1", Key: "other", Received: time.Now()}, out)
	if out.refusal == nil || out.refusal.Kind != fault.Unauthorized {
		t.Errorf("no key: %+v", out.refusal)
	}
}

// Symptom: a request was read by a daemon that ended before it was answered.
// Sequence: a daemon is about to end; a request with some seconds to live arrives.
// Cause: it was taken though it could outlast the daemon.
func TestLeavingDaemonTakesNothingThatCouldOutlastIt(t *testing.T) {
	w := newWorld(t, answering(200, "x"))
	w.relay.Drain(time.Now().Add(500 * time.Millisecond))
	if out := w.call("/l/1"); out.refusal == nil || out.refusal.Kind != fault.ShuttingDown || out.refusal.ExecutionState() != fault.NotRun {
		t.Fatalf("got %+v", out.refusal)
	}
}

func TestUnsealedAnswerIsNotPassedOn(t *testing.T) {
	w := newWorld(t, func(BackendRequest) (*BackendResponse, error) {
		return &BackendResponse{Status: 200, Header: http.Header{}, Confidence: -1, ContentLength: 1, Body: io.NopCloser(strings.NewReader("x"))}, nil
	})
	if out := w.call("/p/1"); out.status != 0 || out.refusal == nil {
		t.Fatalf("passed on %d %q", out.status, out.body.String())
	}
}

func TestShortAnswerIsNotTakenForTheWhole(t *testing.T) {
	short := func(BackendRequest) (*BackendResponse, error) {
		return &BackendResponse{Status: 200, Header: http.Header{}, Authenticated: true, Confidence: -1, ContentLength: 9, Body: io.NopCloser(strings.NewReader("x"))}, nil
	}
	w := newWorld(t, short, answering(200, "whole"))
	if out := w.call("/l/1"); out.body.String() != "whole" {
		t.Fatalf("got %q", out.body.String())
	}
}

// Symptom: a stream was cut in its middle though nothing failed for good.
// Sequence: a stream runs; its key is taken away; its server fails; the stream is to
// go on at another server.
// Cause: the key was asked for again at every send.
func TestKeyTakenAwayLaterDoesNotCutAStream(t *testing.T) {
	w := newWorld(t, nil)
	w.backend.script = []func(BackendRequest) (*BackendResponse, error){
		func(s BackendRequest) (*BackendResponse, error) {
			table, err := route.NewTable(route.Document{Version: 2, KeyRequired: true, Keys: map[string]route.Workspace{}})
			if err != nil {
				t.Fatal(err)
			}
			w.relay.State.SetTable(table)
			return streamingFrom(90, errors.New("reset"), 1)(s)
		},
		streamingFrom(90, nil, 2, 3),
	}
	if out := w.call("/s/1"); out.cut || out.body.String() != events(1, 2, 3) {
		t.Fatalf("cut %t, got %q", out.cut, out.body.String())
	}
}

// Symptom: a caller got the first 8 MB of a longer answer, which looked whole.
// Sequence: a server sends an answer without a stated length that is longer than what
// is held; it ends well, or it breaks off.
// Cause: reading stopped at the bound, and the bound was taken for the end.
func TestLongAnswerIsPassedOnWholeOrCut(t *testing.T) {
	long := strings.Repeat("x", maxPlain+10)
	for _, broken := range []error{nil, io.ErrUnexpectedEOF} {
		w := newWorld(t, func(BackendRequest) (*BackendResponse, error) {
			var r io.Reader = strings.NewReader(long)
			if broken != nil {
				r = io.MultiReader(r, failing{broken})
			}
			return &BackendResponse{Status: 200, Header: http.Header{}, Authenticated: true, Confidence: -1, ContentLength: -1, Body: io.NopCloser(r)}, nil
		})
		out := w.call("/l/x")
		if out.body.Len() != len(long) || out.cut != (broken != nil) {
			t.Errorf("ended by %v: %d of %d bytes, cut %t", broken, out.body.Len(), len(long), out.cut)
		}
		if n := w.inFlight(); n != 0 {
			t.Errorf("%d requests are still booked", n)
		}
	}
}

// Symptom: at the start of a day a deployment of sixty daemons let a third of its first
// doubtful answers stand.
// Sequence: the reserve of repeats is divided between sixty daemons; the smallest model
// doubts the first answer of each.
// Cause: a fixed count of repeats was kept for lost requests, more than the whole
// reserve of one daemon.
func TestFirstDoubtfulAnswerOfOneDaemonOfManyIsEscalated(t *testing.T) {
	w := newWorld(t, streamingFrom(10, nil, 0, 1), streamingFrom(90, nil, 0, 1))
	w.relay.State.SetDaemons(30)
	w.call("/s/x")
	if n := len(w.backend.sends); n != 2 || w.backend.sends[1].Model != "large" {
		t.Errorf("%d sends", n)
	}
}

// Symptom: servers worked on requests for longer than their callers waited.
// Sequence: a look-up fails at one server and goes to a second one.
// Cause: each send stated the time that the caller had given at first.
func TestEachSendStatesWhatIsLeft(t *testing.T) {
	w := newWorld(t, answering(500, "x"), answering(200, "y"))
	out := &fakeCaller{}
	c := &Call{ID: "id1", Host: "h", Method: "GET", Target: "/l/x", Path: "/l/x", Key: "k", LastEvent: NoEvent, Received: time.Now().Add(-500 * time.Millisecond), Timeout: time.Second}
	w.relay.Serve(context.Background(), c, out)
	if len(w.backend.sends) != 2 {
		t.Fatalf("%d sends", len(w.backend.sends))
	}
	first, second := w.backend.sends[0].Timeout, w.backend.sends[1].Timeout
	if first > 500*time.Millisecond || second > first {
		t.Errorf("sends state %s and %s of 0.5 s that are left", first, second)
	}
}

// Symptom: callers waited for a lost answer longer than the operator allows.
// Sequence: a server takes a request and never answers.
// Cause: nothing but the caller's own patience ended the wait.
func TestRouteLimitEndsTheWait(t *testing.T) {
	w := newWorld(t, nil)
	w.backend.script[0] = func(BackendRequest) (*BackendResponse, error) {
		return nil, &upstream.Error{Reason: upstream.Canceled, Sent: true, Err: context.DeadlineExceeded}
	}
	out := &fakeCaller{}
	c := &Call{ID: "id1", Host: "h", Method: "POST", Target: "/p/x", Path: "/p/x", Key: "k", LastEvent: NoEvent, Received: time.Now().Add(-3 * time.Second), Timeout: time.Minute}
	w.relay.Serve(context.Background(), c, out)
	if out.refusal == nil || out.refusal.Kind != fault.DeadlineExceeded || out.refusal.ExecutionState() == fault.NotRun {
		t.Errorf("answered %+v after the route's two seconds", out.refusal)
	}
}
