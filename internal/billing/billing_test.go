package billing

import (
	"fmt"
	"testing"

	"github.com/damaskrudder/damaskrudder/internal/fault"
)

// Guards against treating a record as confirmed that was added while an earlier batch was
// in flight.
func TestConfirmBatchConfirmsOnlyItsRecords(t *testing.T) {
	buffer := NewBuffer(10)
	first := buffer.Add(UsageRecord{RequestID: "a"})
	if batch := buffer.NextBatch(10); len(batch) != 1 {
		t.Fatalf("batch %v", batch)
	}
	second := buffer.Add(UsageRecord{RequestID: "b"})
	buffer.ConfirmBatch()
	if !buffer.Confirmed(first) || buffer.Confirmed(second) || buffer.Len() != 1 {
		t.Fatalf("first %v, second %v, %d unconfirmed", buffer.Confirmed(first), buffer.Confirmed(second), buffer.Len())
	}
}

func TestBufferIsBounded(t *testing.T) {
	buffer := NewBuffer(2)
	for i := range 2 {
		if err := buffer.Reserve(); err != nil {
			t.Fatalf("reservation %d: %v", i, err)
		}
	}
	if err := buffer.Reserve(); !fault.Is(err, fault.BillingBacklog) {
		t.Fatalf("reservation over the limit: %v", err)
	}
	buffer.Release()
	buffer.Add(UsageRecord{RequestID: "a"})
	if buffer.Reserve() != nil {
		t.Fatal("released reservation cannot be reused")
	}
	buffer.SetUnprotected(true)
	if err := buffer.Reserve(); !fault.Is(err, fault.UsageUnprotected) {
		t.Fatalf("unprotected: %v", err)
	}
	buffer.NextBatch(10)
	buffer.ConfirmBatch()
	if err := buffer.Reserve(); err != nil {
		t.Fatalf("after confirmation: %v", err)
	}
}

// Guards against billing a request twice when a batch is appended again after a lost reply
// or by another daemon that holds a copy.
func TestLedgerIgnoresDuplicates(t *testing.T) {
	buffer, log := NewBuffer(100), []UsageRecord{}
	for i := range 5 {
		buffer.Add(UsageRecord{RequestID: fmt.Sprint(i), Workspace: "w", Model: "m", Version: "v", CompletionTokens: 10, Micros: 7})
	}
	log = append(log, buffer.NextBatch(3)...)
	buffer.RetryBatch()
	log = append(log, buffer.NextBatch(10)...)
	buffer.ConfirmBatch()
	log = append(log, log[2])
	ledger := NewLedger()
	for _, rec := range log {
		ledger.Apply(rec)
	}
	items := ledger.LineItems()
	if ledger.Len() != 5 || ledger.Duplicates != 4 || len(items) != 1 || items[0].Requests != 5 || items[0].Micros != 35 || len(ledger.Conflicting) != 0 {
		t.Fatalf("%d records, %d duplicates, %+v, conflicting %v", ledger.Len(), ledger.Duplicates, items, ledger.Conflicting)
	}
	ledger.Apply(UsageRecord{RequestID: "0", Micros: 9})
	if rec, _ := ledger.Record("0"); rec.Micros != 7 || len(ledger.Conflicting) != 1 {
		t.Fatalf("conflicting duplicate: %+v, conflicting %v", rec, ledger.Conflicting)
	}
}

func TestPriceRoundsUp(t *testing.T) {
	for tokens, want := range map[int64]int64{0: 0, 1: 1, 1000: 3, 1001: 4} {
		if got := Price(tokens, 3); got != want {
			t.Errorf("%d tokens cost %d, want %d", tokens, got, want)
		}
	}
}
