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

// Guards against duplicated, missing or foreign text when frames are duplicated, lost or
// from another run, and the stream is resumed at any offset.
func TestAssemblerDeliversResponseOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		answer := rapid.StringN(1, 40, -1).Draw(t, "answer")
		var frames []Frame
		for i := range len(answer) {
			frames = append(frames, Frame{Run: "r", Offset: i + 1, Delta: answer[i : i+1], End: i == len(answer)-1})
		}
		assembler := NewAssembler("r")
		var got strings.Builder
		accept := func(frame Frame) FrameAction {
			action := assembler.Accept(frame)
			if action == Deliver {
				got.WriteString(frame.Delta)
			}
			return action
		}
		for tries := 0; !assembler.Done(); tries++ {
			for _, frame := range frames[assembler.LastOffset():] {
				if rapid.IntRange(0, 9).Draw(t, "fault") == 0 && tries < 20 {
					accept(Frame{Run: "other", Offset: frame.Offset, Delta: "X"})
					accept(frames[0])
					if action := accept(Frame{Run: "r", Offset: frame.Offset + 2, Delta: "X"}); action != SequenceGap && !assembler.Done() {
						t.Fatalf("action %v for a skipped frame", action)
					}
					break
				}
				accept(frame)
			}
		}
		accept(Frame{Run: "r", Offset: len(frames) + 1, Delta: "X"})
		if got.String() != answer {
			t.Fatalf("got %q, want %q", got.String(), answer)
		}
	})
}

func TestRetryStateDecisions(t *testing.T) {
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
		{"lost connection is resumed", false, []AttemptEvent{ConnectionLost}, false, Resume, fault.Unknown},
		{"non-repeatable run lost", false, []AttemptEvent{ConnectionLost, RunNotFound}, false, Fail, fault.Unknown},
		{"repeatable run lost", true, []AttemptEvent{ConnectionLost, RunNotFound}, false, Retry, fault.Unknown},
		{"run lost after partial delivery", true, []AttemptEvent{RunNotFound}, true, Fail, fault.Ran},
		{"non-repeatable run failed", false, []AttemptEvent{RunFailed}, false, Fail, fault.Ran},
		{"caller disconnected", true, []AttemptEvent{ClientDisconnected}, true, Cancel, fault.Ran},
		{"connection lost until resumes are exhausted", false, []AttemptEvent{ConnectionLost, ConnectionLost, ConnectionLost, ConnectionLost, ConnectionLost}, false, Fail, fault.Unknown},
	}
	for _, c := range cases {
		state := RetryState{Repeatable: c.repeatable, Deadline: now.Add(time.Minute)}
		budget := NewRetryBudget()
		var decision Decision
		state.RecordAttempt()
		if c.delivered {
			state.RecordDelivery()
		}
		for _, event := range c.events {
			if decision = state.Next(event, now, budget); decision.Action == Retry {
				state.RecordAttempt()
			}
		}
		if decision.Action != c.action || state.ExecutionState() != c.run || decision.Error != nil && decision.Error.ExecutionState() != c.run {
			t.Errorf("%s: action %d, state %s", c.name, decision.Action, state.ExecutionState())
		}
	}
	expired := RetryState{Repeatable: true, Deadline: now}
	if decision := expired.Next(AttemptRefused, now, NewRetryBudget()); decision.Action != Fail || decision.Error.Kind != fault.DeadlineExceeded || decision.Error.ExecutionState() != fault.NotRun {
		t.Errorf("after the deadline: %+v", decision)
	}
}

// Guards against responses that break off because their connection was lost often, or after the
// deadline for the first token, although the run goes on.
func TestProgressingRunIsResumed(t *testing.T) {
	start := time.Unix(100, 0)
	state := RetryState{Deadline: start.Add(time.Second)}
	state.RecordAttempt()
	for i := range 3 * MaxResumes {
		state.RecordProgress()
		if decision := state.Next(ConnectionLost, start.Add(time.Duration(i)*time.Minute), nil); decision.Action != Resume {
			t.Fatalf("loss %d: %+v", i+1, decision)
		}
	}
	for i := range MaxResumes {
		if decision := state.Next(ConnectionLost, start.Add(time.Hour), nil); (decision.Action == Resume) != (i < MaxResumes-1) {
			t.Errorf("loss %d without progress: %+v", i+2, decision)
		}
	}
}

// Guards against retries amplifying an overload when every attempt fails.
func TestRetryBudgetLimitsRetries(t *testing.T) {
	budget := NewRetryBudget()
	retries := 0
	const firsts = 10_000
	for range firsts {
		budget.Deposit()
		for budget.TryWithdraw() {
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

func TestClaimTable(t *testing.T) {
	abandoned := func(request string) ClaimRecord { r := claimed(request); r.Kind = Abandoned; return r }
	finished := func(request string) ClaimRecord {
		r := claimed(request)
		r.Kind, r.Status, r.Response = Finished, 200, []byte("x")
		return r
	}
	expired := claimed("b")
	expired.UnixSeconds += int64(KeyRetention / time.Second)
	cases := []struct {
		name    string
		records []ClaimRecord
		request string
		want    ClaimState
	}{
		{"no claim applied", nil, "a", ClaimPending},
		{"first claim is granted", []ClaimRecord{claimed("a"), claimed("b")}, "a", ClaimGranted},
		{"second claim is not granted", []ClaimRecord{claimed("a"), claimed("b")}, "b", ClaimInProgress},
		{"a repeated append is the same claim", []ClaimRecord{claimed("a"), claimed("a")}, "a", ClaimGranted},
		{"finished claim is replayed", []ClaimRecord{claimed("a"), finished("a")}, "b", ClaimReplay},
		{"another request cannot finish the claim", []ClaimRecord{claimed("a"), finished("b")}, "a", ClaimGranted},
		{"abandonment releases the key", []ClaimRecord{claimed("a"), abandoned("a"), claimed("b")}, "b", ClaimGranted},
		{"a claim after its own abandonment is ignored", []ClaimRecord{abandoned("a"), claimed("a"), claimed("b")}, "b", ClaimGranted},
		{"a claim that was not granted does not get a released key", []ClaimRecord{claimed("a"), claimed("b"), abandoned("a"), claimed("c")}, "b", ClaimInProgress},
		{"the next claim gets a released key", []ClaimRecord{claimed("a"), claimed("b"), abandoned("a"), claimed("c")}, "c", ClaimGranted},
		{"a finished key cannot be abandoned", []ClaimRecord{claimed("a"), finished("a"), abandoned("a")}, "b", ClaimReplay},
		{"an expired key can be claimed", []ClaimRecord{claimed("a"), expired}, "b", ClaimGranted},
	}
	for _, c := range cases {
		table := NewClaimTable()
		for i, r := range c.records {
			table.Apply(uint64(i), r)
			table.Apply(uint64(i), r)
		}
		if result := table.Resolve("k", "b", c.request); result.State != c.want {
			t.Errorf("%s: got %d, want %d", c.name, result.State, c.want)
		}
	}
	table := NewClaimTable()
	table.Apply(0, claimed("a"))
	table.Apply(1, claimed("not granted"))
	if result := table.Resolve("k", "other body", "b"); result.State != ClaimKeyReused || result.Err().Kind != fault.KeyReused {
		t.Errorf("different body: %+v", result)
	}
	table.Expire(time.Unix(1000, 0).Add(KeyRetention + time.Second))
	if table.Len() != 0 || table.Applied("a") || table.Applied("not granted") {
		t.Error("an expired key or claim was kept")
	}
}

// Under any order of claims and abandonments, at most one request may run, as long as no
// granted claim is abandoned.
func TestAtMostOneClaimIsGranted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewClaimTable()
		ran := map[string]bool{}
		var offset uint64
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			req := fmt.Sprint("r", rapid.IntRange(0, 4).Draw(t, "request"))
			rec := claimed(req)
			if !ran[req] && rapid.IntRange(0, 3).Draw(t, "abandon") == 0 {
				rec.Kind = Abandoned
			}
			table.Apply(offset, rec)
			offset++
			if table.Applied(req) && table.Resolve("k", "b", req).State == ClaimGranted {
				ran[req] = true
			}
			if len(ran) > 1 {
				t.Fatalf("ran: %v", ran)
			}
		}
	})
}

func testKeyring() *session.Keyring {
	return &session.Keyring{Current: "k1", Keys: map[string][]byte{"k1": []byte("0123456789abcdef")}}
}

// Guards against a second run of a minted key after a daemon restart.
func TestMintedKeyIsBoundToIncarnation(t *testing.T) {
	key := MintedKey{Workspace: "w", Daemon: "d", Incarnation: 7, Nonce: "n"}.Mint(testKeyring())
	minted, err := ParseMintedKey(testKeyring(), key)
	if err != nil || !IsMintedKey(key) {
		t.Fatal(err)
	}
	for _, c := range []struct {
		workspace, daemon string
		incarnation       uint64
		kind              fault.Kind
	}{{"w", "d", 7, ""}, {"v", "d", 7, fault.NotEntitled}, {"w", "e", 7, fault.AnswerUnavailable}, {"w", "d", 8, fault.AnswerUnavailable}} {
		err := minted.Authorize(c.workspace, c.daemon, c.incarnation)
		if c.kind == "" && err != nil || c.kind != "" && !fault.Is(err, c.kind) {
			t.Errorf("%+v: %v", c, err)
		}
	}
	if _, err := ParseMintedKey(testKeyring(), key+"x"); !fault.Is(err, fault.BadRequest) {
		t.Errorf("forged key: %v", err)
	}
}

func FuzzParseMintedKey(f *testing.F) {
	f.Add(MintedKey{Workspace: "w", Daemon: "d", Incarnation: 7, Nonce: "n"}.Mint(testKeyring()))
	f.Add("dk1.k1.e30.e30")
	f.Fuzz(func(t *testing.T, key string) {
		if minted, err := ParseMintedKey(testKeyring(), key); err == nil && minted.Mint(testKeyring()) != key {
			t.Fatalf("%q was accepted but differs from the minted form", key)
		}
	})
}
