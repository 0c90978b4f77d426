package billing

import (
	"fmt"
	"testing"

	"github.com/damaskrudder/damaskrudder/internal/fault"
)

// Symptom: a bill is missing although its answer was delivered.
// Sequence: a batch is under way to the log; a record is added; the batch is
// confirmed; the answer of the new record ends; the daemon is lost.
// Cause: the confirmation was taken for the new record's, which the batch did
// not hold.
func TestConfirmationCoversItsOwnBatchOnly(t *testing.T) {
	b := NewBuffer(10)
	first := b.Add(UsageRecord{RequestID: "a"})
	if batch := b.NextBatch(10); len(batch) != 1 {
		t.Fatalf("batch %v", batch)
	}
	second := b.Add(UsageRecord{RequestID: "b"})
	b.ConfirmBatch()
	if !b.Confirmed(first) || b.Confirmed(second) || b.Len() != 1 {
		t.Fatalf("first %v, second %v, left %d", b.Confirmed(first), b.Confirmed(second), b.Len())
	}
}

func TestBufferIsBounded(t *testing.T) {
	b := NewBuffer(2)
	for place := range 2 {
		if err := b.Reserve(); err != nil {
			t.Fatalf("place %d: %v", place, err)
		}
	}
	if err := b.Reserve(); !fault.Is(err, fault.BillingBacklog) {
		t.Fatalf("a third place: %v", err)
	}
	b.Release()
	b.Add(UsageRecord{RequestID: "a"})
	if b.Reserve() != nil {
		t.Fatal("the released place is lost")
	}
	b.SetUnprotected(true)
	if err := b.Reserve(); !fault.Is(err, fault.UsageUnprotected) {
		t.Fatalf("exposed: %v", err)
	}
	b.NextBatch(10)
	b.ConfirmBatch()
	if err := b.Reserve(); err != nil {
		t.Fatalf("after the log confirmed: %v", err)
	}
}

// Symptom: a request is billed twice after an outage of the log.
// Sequence: an append acts and its reply is lost; the batch is appended again;
// a keeper appends its copy too.
// Cause: records of one request must fold to one.
func TestRepeatedAppendsFoldToOneBill(t *testing.T) {
	b, log := NewBuffer(100), []UsageRecord{}
	for i := range 5 {
		b.Add(UsageRecord{RequestID: fmt.Sprint(i), Workspace: "w", Model: "m", Version: "v", CompletionTokens: 10, Micros: 7})
	}
	log = append(log, b.NextBatch(3)...)
	b.RetryBatch()
	log = append(log, b.NextBatch(10)...)
	b.ConfirmBatch()
	log = append(log, log[2])
	l := NewLedger()
	for _, u := range log {
		l.Apply(u)
	}
	lines := l.LineItems()
	if l.Len() != 5 || l.Duplicates != 4 || len(lines) != 1 || lines[0].Requests != 5 || lines[0].Micros != 35 || len(l.Conflicting) != 0 {
		t.Fatalf("%d bills, %d duplicates, %+v, doubtful %v", l.Len(), l.Duplicates, lines, l.Conflicting)
	}
	l.Apply(UsageRecord{RequestID: "0", Micros: 9})
	if u, _ := l.Bill("0"); u.Micros != 7 || len(l.Conflicting) != 1 {
		t.Fatalf("a differing copy: %+v, doubtful %v", u, l.Conflicting)
	}
}

func TestPriceRoundsUp(t *testing.T) {
	for tokens, want := range map[int64]int64{0: 0, 1: 1, 1000: 3, 1001: 4} {
		if got := Price(tokens, 3); got != want {
			t.Errorf("%d tokens cost %d, want %d", tokens, got, want)
		}
	}
}
