package billing

import (
	"fmt"
	"testing"

	"github.com/damaskrudder/damaskrudder/internal/fault"
)

// Guards against treating a record as confirmed that was added while an earlier batch was
// in flight.
func TestConfirmBatchConfirmsOnlyItsRecords(t *testing.T) {
	b := NewBuffer(10)
	first := b.Add(UsageRecord{RequestID: "a"})
	if batch := b.NextBatch(10); len(batch) != 1 {
		t.Fatalf("batch %v", batch)
	}
	second := b.Add(UsageRecord{RequestID: "b"})
	b.ConfirmBatch()
	if !b.Confirmed(first) || b.Confirmed(second) || b.Len() != 1 {
		t.Fatalf("first %v, second %v, %d unconfirmed", b.Confirmed(first), b.Confirmed(second), b.Len())
	}
}

func TestBufferIsBounded(t *testing.T) {
	b := NewBuffer(2)
	for i := range 2 {
		if err := b.Reserve(); err != nil {
			t.Fatalf("reservation %d: %v", i, err)
		}
	}
	if err := b.Reserve(); !fault.Is(err, fault.BillingBacklog) {
		t.Fatalf("reservation over the limit: %v", err)
	}
	b.Release()
	b.Add(UsageRecord{RequestID: "a"})
	if b.Reserve() != nil {
		t.Fatal("released reservation cannot be reused")
	}
	b.SetUnprotected(true)
	if err := b.Reserve(); !fault.Is(err, fault.UsageUnprotected) {
		t.Fatalf("unprotected: %v", err)
	}
	b.NextBatch(10)
	b.ConfirmBatch()
	if err := b.Reserve(); err != nil {
		t.Fatalf("after confirmation: %v", err)
	}
}

// Guards against billing a request twice when a batch is appended again after a lost reply
// or by another daemon that holds a copy.
func TestLedgerIgnoresDuplicates(t *testing.T) {
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
	items := l.LineItems()
	if l.Len() != 5 || l.Duplicates != 4 || len(items) != 1 || items[0].Requests != 5 || items[0].Micros != 35 || len(l.Conflicting) != 0 {
		t.Fatalf("%d records, %d duplicates, %+v, conflicting %v", l.Len(), l.Duplicates, items, l.Conflicting)
	}
	l.Apply(UsageRecord{RequestID: "0", Micros: 9})
	if u, _ := l.Record("0"); u.Micros != 7 || len(l.Conflicting) != 1 {
		t.Fatalf("conflicting duplicate: %+v, conflicting %v", u, l.Conflicting)
	}
}

func TestPriceRoundsUp(t *testing.T) {
	for tokens, want := range map[int64]int64{0: 0, 1: 1, 1000: 3, 1001: 4} {
		if got := Price(tokens, 3); got != want {
			t.Errorf("%d tokens cost %d, want %d", tokens, got, want)
		}
	}
}
