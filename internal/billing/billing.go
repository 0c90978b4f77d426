// Package billing buffers usage records until the log has confirmed them and aggregates
// them, counting each request once. It does no I/O.
package billing

import (
	"fmt"
	"slices"
	"strings"

	"github.com/damaskrudder/damaskrudder/internal/fault"
)

// Outcome is how a billed request ended.
type Outcome string

const (
	// Complete means that the whole response was delivered.
	Complete Outcome = "complete"
	// Truncated means that the response ended early because the caller disconnected or
	// the run was lost. The delivered tokens are billed.
	Truncated Outcome = "cut"
)

// UsageRecord is the billed usage of one request.
type UsageRecord struct {
	RequestID string `cbor:"1,keyasint" json:"request_id"`
	Workspace string `cbor:"2,keyasint" json:"workspace"`
	Model     string `cbor:"3,keyasint" json:"model"`
	Version   string `cbor:"4,keyasint" json:"version"`
	// PromptTokens and CompletionTokens are totals over the steps of a cascade.
	PromptTokens     int64 `cbor:"5,keyasint" json:"prompt_tokens"`
	CompletionTokens int64 `cbor:"6,keyasint" json:"answer_tokens"`
	// Micros is the price in millionths of the billing currency.
	Micros  int64   `cbor:"7,keyasint" json:"micros"`
	Outcome Outcome `cbor:"8,keyasint" json:"outcome"`
	// UnixMillis is the end time of the request in Unix milliseconds.
	UnixMillis int64 `cbor:"9,keyasint" json:"unix_ms"`
	// Daemon is the ID of the daemon at which the request ended.
	Daemon string `cbor:"10,keyasint" json:"daemon"`
	// FirstTokenMillis is the time to the first token in ms.
	FirstTokenMillis int64 `cbor:"11,keyasint,omitempty" json:"first_token_ms"`
	// FailureDomain is the failure domain of the server that sent the response.
	FailureDomain string `cbor:"12,keyasint,omitempty" json:"failure_domain,omitempty"`
}

// Buffer holds the usage records of a daemon until the log has confirmed them. Its size
// is limited: when it is full, new requests are rejected, because requests that cannot
// be billed must not run.
type Buffer struct {
	limit    int
	records  []UsageRecord
	inFlight int
	// reserved is the number of running requests, each of which will add a record.
	reserved int
	// unprotected is set while records exist on this VM only.
	unprotected bool
	// added and confirmed are the total numbers of records added and confirmed.
	added, confirmed uint64
}

// NewBuffer returns a buffer for up to limit records.
func NewBuffer(limit int) *Buffer { return &Buffer{limit: limit} }

// Reserve reserves space for the record of a request before it runs. It returns an error
// if the buffer is full or its records are unprotected.
func (b *Buffer) Reserve() error {
	if b.unprotected {
		return fault.New(fault.UsageUnprotected, "%d usage records exist on this VM only", len(b.records))
	}
	if len(b.records)+b.reserved >= b.limit {
		return fault.New(fault.BillingBacklog, "%d usage records await the log", len(b.records))
	}
	b.reserved++
	return nil
}

// Release cancels a reservation.
func (b *Buffer) Release() { b.reserved = max(0, b.reserved-1) }

// Add adds a record, using one reservation, and returns its sequence number, starting
// at 1.
func (b *Buffer) Add(rec UsageRecord) uint64 {
	b.Release()
	b.records = append(b.records, rec)
	b.added++
	return b.added
}

// Confirmed reports whether the log has confirmed the record with the given sequence
// number.
func (b *Buffer) Confirmed(sequence uint64) bool { return sequence <= b.confirmed }

// Len returns the number of unconfirmed records.
func (b *Buffer) Len() int { return len(b.records) }

// SetUnprotected sets whether records can be copied neither to the log nor to another
// daemon. New requests are then rejected, because their records would be lost with this
// VM.
func (b *Buffer) SetUnprotected(unprotected bool) { b.unprotected = unprotected }

// LastConfirmed returns the sequence number of the last confirmed record.
func (b *Buffer) LastConfirmed() uint64 { return b.confirmed }

// NextBatch returns up to limit records to append, or none while a batch is in flight.
// The records stay in the buffer until ConfirmBatch.
func (b *Buffer) NextBatch(limit int) []UsageRecord {
	if b.inFlight > 0 || len(b.records) == 0 {
		return nil
	}
	b.inFlight = min(limit, len(b.records))
	return slices.Clone(b.records[:b.inFlight])
}

// ConfirmBatch removes the batch in flight after the log has confirmed it.
func (b *Buffer) ConfirmBatch() {
	b.records = append([]UsageRecord(nil), b.records[b.inFlight:]...)
	b.confirmed += uint64(b.inFlight)
	b.unprotected = false
	b.inFlight = 0
}

// RetryBatch returns the batch in flight to the buffer after a failed append. If the log
// had stored it nevertheless, Ledger ignores the duplicates.
func (b *Buffer) RetryBatch() { b.inFlight = 0 }

// Ledger aggregates the usage records of the log, keeping one record per request.
type Ledger struct {
	records    map[string]UsageRecord
	Duplicates int
	// Conflicting are the IDs of requests with duplicates that differ from the first
	// record.
	Conflicting []string
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{records: map[string]UsageRecord{}} }

// Apply adds a record. Only the first record of a request is kept.
func (l *Ledger) Apply(rec UsageRecord) {
	old, exists := l.records[rec.RequestID]
	if !exists {
		l.records[rec.RequestID] = rec
		return
	}
	l.Duplicates++
	if old != rec && !slices.Contains(l.Conflicting, rec.RequestID) {
		l.Conflicting = append(l.Conflicting, rec.RequestID)
	}
}

// Len returns the number of requests.
func (l *Ledger) Len() int { return len(l.records) }

// Record returns the record of a request.
func (l *Ledger) Record(request string) (UsageRecord, bool) {
	rec, ok := l.records[request]
	return rec, ok
}

// Records returns all records by request ID. The map must not be modified.
func (l *Ledger) Records() map[string]UsageRecord { return l.records }

// LineItem is the total usage of one workspace for one model and version.
type LineItem struct {
	Workspace string `json:"workspace"`
	Model     string `json:"model"`
	Version   string `json:"version"`
	Requests  int64  `json:"requests"`
	Truncated int64  `json:"cut"`
	Tokens    int64  `json:"tokens"`
	Micros    int64  `json:"micros"`
}

// LineItems returns the totals ordered by workspace, model and version.
func (l *Ledger) LineItems() []LineItem {
	totals := map[string]*LineItem{}
	for _, rec := range l.records {
		key := fmt.Sprintf("%s\x00%s\x00%s", rec.Workspace, rec.Model, rec.Version)
		total := totals[key]
		if total == nil {
			total = &LineItem{Workspace: rec.Workspace, Model: rec.Model, Version: rec.Version}
			totals[key] = total
		}
		total.Requests++
		total.Tokens += rec.PromptTokens + rec.CompletionTokens
		total.Micros += rec.Micros
		if rec.Outcome == Truncated {
			total.Truncated++
		}
	}
	out := make([]LineItem, 0, len(totals))
	for _, total := range totals {
		out = append(out, *total)
	}
	slices.SortFunc(out, func(a, b LineItem) int {
		return strings.Compare(a.Workspace+"\x00"+a.Model+"\x00"+a.Version, b.Workspace+"\x00"+b.Model+"\x00"+b.Version)
	})
	return out
}

// tokensPerPriceUnit is the number of tokens to which a price applies.
const tokensPerPriceUnit = 1000

// Price returns the price of tokens in micros, rounded up so that no response is free.
func Price(tokens, microsPerKiloToken int64) int64 {
	return (tokens*microsPerKiloToken + tokensPerPriceUnit - 1) / tokensPerPriceUnit
}
