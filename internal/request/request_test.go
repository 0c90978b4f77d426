package request

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/session"
)

// Symptom: an answer has doubled, missing or foreign words.
// Sequence: connections repeat, cross and cut frames; each resume replays from
// the last delivered offset, in the middle of a rune too.
// Cause: frames must be admitted in order, each once, of one's own run only.
func TestAssemblerDeliversTheWholeAnswerOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		answer := rapid.StringN(1, 40, -1).Draw(t, "answer")
		var frames []Frame
		for i := range len(answer) {
			frames = append(frames, Frame{Run: "r", Offset: i + 1, Delta: answer[i : i+1], End: i == len(answer)-1})
		}
		a := NewAssembler("r")
		var got strings.Builder
		take := func(f Frame) FrameVerdict {
			v := a.Accept(f)
			if v == Deliver {
				got.WriteString(f.Delta)
			}
			return v
		}
		for tries := 0; !a.Done(); tries++ {
			for _, f := range frames[a.LastOffset():] {
				if rapid.IntRange(0, 9).Draw(t, "fault") == 0 && tries < 20 {
					take(Frame{Run: "other", Offset: f.Offset, Delta: "X"})
					take(frames[0])
					if v := take(Frame{Run: "r", Offset: f.Offset + 2, Delta: "X"}); v != SequenceGap && !a.Done() {
						t.Fatalf("a skipped frame gave %v", v)
					}
					break
				}
				take(f)
			}
		}
		take(Frame{Run: "r", Offset: len(frames) + 1, Delta: "X"})
		if got.String() != answer {
			t.Fatalf("got %q, want %q", got.String(), answer)
		}
	})
}

func TestLifeTellsTheTruth(t *testing.T) {
	now := time.Unix(100, 0)
	cases := []struct {
		name       string
		repeatable bool
		events     []AttemptEvent
		delivered  bool
		action     Action
		run        fault.ExecutionState
	}{
		{"refused", false, []AttemptEvent{AttemptRefused}, false, Retry, fault.NotRun},
		{"refused three times", true, []AttemptEvent{AttemptRefused, AttemptRefused, AttemptRefused}, false, Fail, fault.NotRun},
		{"broken resumes", false, []AttemptEvent{ConnectionLost}, false, Resume, fault.Unknown},
		{"payment lost", false, []AttemptEvent{ConnectionLost, RunNotFound}, false, Fail, fault.Unknown},
		{"chat lost", true, []AttemptEvent{ConnectionLost, RunNotFound}, false, Retry, fault.Unknown},
		{"lost after part was delivered", true, []AttemptEvent{RunNotFound}, true, Fail, fault.Ran},
		{"payment failed", false, []AttemptEvent{RunFailed}, false, Fail, fault.Ran},
		{"caller left", true, []AttemptEvent{CallerDisconnected}, true, Cancel, fault.Ran},
		{"silent for good", false, []AttemptEvent{ConnectionLost, ConnectionLost, ConnectionLost, ConnectionLost, ConnectionLost}, false, Fail, fault.Unknown},
	}
	for _, c := range cases {
		l := RetryState{Repeatable: c.repeatable, Deadline: now.Add(time.Minute)}
		budget := NewRetryBudget()
		var d Decision
		l.RecordAttempt()
		if c.delivered {
			l.RecordDelivery()
		}
		for _, e := range c.events {
			if d = l.Next(e, now, budget); d.Action == Retry {
				l.RecordAttempt()
			}
		}
		if d.Action != c.action || l.ExecutionState() != c.run || d.Error != nil && d.Error.ExecutionState() != c.run {
			t.Errorf("%s: action %d, state %s", c.name, d.Action, l.ExecutionState())
		}
	}
	late := RetryState{Repeatable: true, Deadline: now}
	if d := late.Next(AttemptRefused, now, NewRetryBudget()); d.Action != Fail || d.Error.Kind != fault.DeadlineExceeded || d.Error.ExecutionState() != fault.NotRun {
		t.Errorf("past the deadline: %+v", d)
	}
}

// Symptom: an overload grows as every failed attempt is repeated.
// Sequence: all attempts fail for a long time.
// Cause: retries must stay below a fraction of first attempts.
func TestRetriesStayBelowTheirShare(t *testing.T) {
	b := NewRetryBudget()
	retries := 0
	const firsts = 10_000
	for range firsts {
		b.Deposit()
		for b.Take() {
			retries++
		}
	}
	if limit := int(firsts*retryRatio) + retryReserve; retries > limit {
		t.Fatalf("%d retries, limit %d", retries, limit)
	}
}

func claimed(request string) ClaimRecord {
	return ClaimRecord{Kind: Claimed, Key: "k", BodyHash: "b", RequestID: request, Owner: "d", UnixSeconds: 1000}
}

func TestClaims(t *testing.T) {
	void := func(request string) ClaimRecord { r := claimed(request); r.Kind = Abandoned; return r }
	done := func(request string) ClaimRecord {
		r := claimed(request)
		r.Kind, r.Status, r.Response = Finished, 200, []byte("x")
		return r
	}
	late := claimed("b")
	late.UnixSeconds += int64(KeyRetention / time.Second)
	cases := []struct {
		name    string
		records []ClaimRecord
		request string
		want    VerdictKind
	}{
		{"nothing folded", nil, "a", ClaimPending},
		{"first wins", []ClaimRecord{claimed("a"), claimed("b")}, "a", ClaimGranted},
		{"second loses", []ClaimRecord{claimed("a"), claimed("b")}, "b", ClaimInProgress},
		{"a repeated append is the same claim", []ClaimRecord{claimed("a"), claimed("a")}, "a", ClaimGranted},
		{"finished is replayed", []ClaimRecord{claimed("a"), done("a")}, "b", ClaimReplay},
		{"a stranger cannot finish", []ClaimRecord{claimed("a"), done("b")}, "a", ClaimGranted},
		{"abandoned frees the key", []ClaimRecord{claimed("a"), void("a"), claimed("b")}, "b", ClaimGranted},
		{"a claim that lands after its abandonment is void", []ClaimRecord{void("a"), claimed("a"), claimed("b")}, "b", ClaimGranted},
		{"a loser does not inherit the key", []ClaimRecord{claimed("a"), claimed("b"), void("a"), claimed("c")}, "b", ClaimInProgress},
		{"the next claim does", []ClaimRecord{claimed("a"), claimed("b"), void("a"), claimed("c")}, "c", ClaimGranted},
		{"a finished key cannot be abandoned", []ClaimRecord{claimed("a"), done("a"), void("a")}, "b", ClaimReplay},
		{"past retention the key is free", []ClaimRecord{claimed("a"), late}, "b", ClaimGranted},
	}
	for _, c := range cases {
		f := NewClaimTable()
		for i, r := range c.records {
			f.Apply(uint64(i), r)
			f.Apply(uint64(i), r)
		}
		if v := f.Resolve("k", "b", c.request); v.State != c.want {
			t.Errorf("%s: got %d, want %d", c.name, v.State, c.want)
		}
	}
	f := NewClaimTable()
	f.Apply(0, claimed("a"))
	f.Apply(1, claimed("a loser"))
	if v := f.Resolve("k", "other body", "b"); v.State != ClaimKeyReused || v.Err().Kind != fault.KeyReused {
		t.Errorf("another body: %+v", v)
	}
	f.Expire(time.Unix(1000, 0).Add(KeyRetention + time.Second))
	if f.Len() != 0 || f.Applied("a") || f.Applied("a loser") {
		t.Error("an old key or claim is remembered")
	}
}

// Claims, abandonments and outcomes in any order and number: at most one request
// ever gets to run, as long as nobody who was told to run abandons.
func TestAtMostOneClaimRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := NewClaimTable()
		ran := map[string]bool{}
		var offset uint64
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			req := fmt.Sprint("r", rapid.IntRange(0, 4).Draw(t, "request"))
			rec := claimed(req)
			if !ran[req] && rapid.IntRange(0, 3).Draw(t, "abandon") == 0 {
				rec.Kind = Abandoned
			}
			f.Apply(offset, rec)
			offset++
			if f.Applied(req) && f.Resolve("k", "b", req).State == ClaimGranted {
				ran[req] = true
			}
			if len(ran) > 1 {
				t.Fatalf("ran: %v", ran)
			}
		}
	})
}

func ring() *session.Keyring {
	return &session.Keyring{Current: "k1", Keys: map[string][]byte{"k1": []byte("0123456789abcdef")}}
}

// Symptom: a payment runs twice around a daemon's restart while the log is down.
// Sequence: a key is minted by one incarnation and presented to the next.
// Cause: only the incarnation that remembers its keys may run them.
func TestMintedKeyRunsInItsIncarnationOnly(t *testing.T) {
	key := MintedKey{Workspace: "w", Daemon: "d", Incarnation: 7, Nonce: "n"}.Mint(ring())
	m, err := ParseMintedKey(ring(), key)
	if err != nil || !IsMintedKey(key) {
		t.Fatal(err)
	}
	for _, c := range []struct {
		workspace, daemon string
		incarnation       uint64
		kind              fault.Kind
	}{{"w", "d", 7, ""}, {"v", "d", 7, fault.NotEntitled}, {"w", "e", 7, fault.AnswerUnavailable}, {"w", "d", 8, fault.AnswerUnavailable}} {
		err := m.Authorize(c.workspace, c.daemon, c.incarnation)
		if c.kind == "" && err != nil || c.kind != "" && !fault.Is(err, c.kind) {
			t.Errorf("%+v: %v", c, err)
		}
	}
	if _, err := ParseMintedKey(ring(), key+"x"); !fault.Is(err, fault.BadRequest) {
		t.Errorf("a forged key: %v", err)
	}
}

func FuzzParseMinted(f *testing.F) {
	f.Add(MintedKey{Workspace: "w", Daemon: "d", Incarnation: 7, Nonce: "n"}.Mint(ring()))
	f.Add("dk1.k1.e30.e30")
	f.Fuzz(func(t *testing.T, key string) {
		if m, err := ParseMintedKey(ring(), key); err == nil && m.Mint(ring()) != key {
			t.Fatalf("%q is accepted and is not what we mint", key)
		}
	})
}
