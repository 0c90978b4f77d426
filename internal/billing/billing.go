// Package billing keeps the usage records: one bill for each request, however
// many attempts, copies and repeated appends stand behind it. It does no I/O.
package billing

import (
	"fmt"
	"slices"
	"strings"

	"github.com/damaskrudder/damaskrudder/internal/fault"
)

// Outcome says how a billed request ended.
type Outcome string

const (
	// Complete answers were delivered in full.
	Complete Outcome = "complete"
	// Truncated answers ended early because the caller left or a run was lost; the
	// tokens delivered until then are billed.
	Truncated Outcome = "cut"
)

// UsageRecord is the bill of one request.
type UsageRecord struct {
	RequestID string `cbor:"1,keyasint" json:"request_id"`
	Workspace string `cbor:"2,keyasint" json:"workspace"`
	Model     string `cbor:"3,keyasint" json:"model"`
	Version   string `cbor:"4,keyasint" json:"version"`
	// PromptTokens and AnswerTokens sum over the steps of a cascade.
	PromptTokens     int64 `cbor:"5,keyasint" json:"prompt_tokens"`
	CompletionTokens int64 `cbor:"6,keyasint" json:"answer_tokens"`
	// Micros is the price in millionths of the billing currency.
	Micros  int64   `cbor:"7,keyasint" json:"micros"`
	Outcome Outcome `cbor:"8,keyasint" json:"outcome"`
	// UnixMillis is when the request ended.
	UnixMillis int64 `cbor:"9,keyasint" json:"unix_ms"`
	// Daemon is where it ended.
	Daemon string `cbor:"10,keyasint" json:"daemon"`
	// FirstTokenMillis is the first-token latency in ms.
	FirstTokenMillis int64 `cbor:"11,keyasint,omitempty" json:"first_token_ms"`
	// FailureDomain is where the answering server runs.
	FailureDomain string `cbor:"12,keyasint,omitempty" json:"failure_domain,omitempty"`
}

// Buffer holds a daemon's records until the log has confirmed them. Its size is
// bounded: at the bound new requests are refused before they run, since work
// that cannot be billed must not start.
type Buffer struct {
	limit    int
	records  []UsageRecord
	inFlight int
	// reserved counts requests that run and will need a place.
	reserved int
	// exposed says that a record found no place to survive this VM.
	exposed bool
	// added and confirmed count records over the buffer's life.
	added, confirmed uint64
}

// NewBuffer returns a buffer for up to limit records.
func NewBuffer(limit int) *Buffer { return &Buffer{limit: limit} }

// Reserve takes a place for a request before it runs.
func (b *Buffer) Reserve() error {
	if b.exposed {
		return fault.New(fault.UsageUnprotected, "%d usage records exist on this VM only", len(b.records))
	}
	if len(b.records)+b.reserved >= b.limit {
		return fault.New(fault.BillingBacklog, "%d usage records await the log", len(b.records))
	}
	b.reserved++
	return nil
}

// Release gives a reserved place back unused.
func (b *Buffer) Release() { b.reserved = max(0, b.reserved-1) }

// Add stores a record in a reserved place and returns its place in the order
// of confirmation.
func (b *Buffer) Add(u UsageRecord) uint64 {
	b.Release()
	b.records = append(b.records, u)
	b.added++
	return b.added
}

// Confirmed reports whether the log has the record of a place. A batch that was
// under way when the record was added does not hold it.
func (b *Buffer) Confirmed(place uint64) bool { return place <= b.confirmed }

// Len returns the number of unconfirmed records.
func (b *Buffer) Len() int { return len(b.records) }

// SetUnprotected records whether records can be given to the log or to a keeper. While
// they cannot, new requests are refused: their bills would be lost with this VM.
func (b *Buffer) SetUnprotected(exposed bool) { b.exposed = exposed }

// LastConfirmed returns the place up to which the log has the records.
func (b *Buffer) LastConfirmed() uint64 { return b.confirmed }

// NextBatch returns up to most records to append, or none while a batch is in
// flight. The records stay until Confirm.
func (b *Buffer) NextBatch(most int) []UsageRecord {
	if b.inFlight > 0 || len(b.records) == 0 {
		return nil
	}
	b.inFlight = min(most, len(b.records))
	return slices.Clone(b.records[:b.inFlight])
}

// ConfirmBatch drops the batch in flight.
func (b *Buffer) ConfirmBatch() {
	b.records = append([]UsageRecord(nil), b.records[b.inFlight:]...)
	b.confirmed += uint64(b.inFlight)
	b.exposed = false
	b.inFlight = 0
}

// RetryBatch makes the batch in flight eligible again. The log may have taken it
// although its reply was lost; Ledger drops the second copy.
func (b *Buffer) RetryBatch() { b.inFlight = 0 }

// Ledger folds usage records of the log to one bill a request.
type Ledger struct {
	bills      map[string]UsageRecord
	Duplicates int
	// Conflicting are requests whose copies disagree.
	Conflicting []string
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{bills: map[string]UsageRecord{}} }

// Apply folds one record. The first record of a request stands.
func (l *Ledger) Apply(u UsageRecord) {
	old, known := l.bills[u.RequestID]
	if !known {
		l.bills[u.RequestID] = u
		return
	}
	l.Duplicates++
	if old != u && !slices.Contains(l.Conflicting, u.RequestID) {
		l.Conflicting = append(l.Conflicting, u.RequestID)
	}
}

// Len returns the number of bills.
func (l *Ledger) Len() int { return len(l.bills) }

// Bill returns the bill of a request.
func (l *Ledger) Bill(request string) (UsageRecord, bool) {
	u, ok := l.bills[request]
	return u, ok
}

// Records returns every bill by request id. The map is the ledger's own.
func (l *Ledger) Records() map[string]UsageRecord { return l.bills }

// LineItem is the sum of one workspace's bills for one model and version.
type LineItem struct {
	Workspace string `json:"workspace"`
	Model     string `json:"model"`
	Version   string `json:"version"`
	Requests  int64  `json:"requests"`
	Truncated int64  `json:"cut"`
	Tokens    int64  `json:"tokens"`
	Micros    int64  `json:"micros"`
}

// LineItems sums the bills, ordered by workspace, model and version.
func (l *Ledger) LineItems() []LineItem {
	sums := map[string]*LineItem{}
	for _, u := range l.bills {
		key := fmt.Sprintf("%s\x00%s\x00%s", u.Workspace, u.Model, u.Version)
		s := sums[key]
		if s == nil {
			s = &LineItem{Workspace: u.Workspace, Model: u.Model, Version: u.Version}
			sums[key] = s
		}
		s.Requests++
		s.Tokens += u.PromptTokens + u.CompletionTokens
		s.Micros += u.Micros
		if u.Outcome == Truncated {
			s.Truncated++
		}
	}
	out := make([]LineItem, 0, len(sums))
	for _, s := range sums {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b LineItem) int {
		return strings.Compare(a.Workspace+"\x00"+a.Model+"\x00"+a.Version, b.Workspace+"\x00"+b.Model+"\x00"+b.Version)
	})
	return out
}

// tokensPerPriceUnit is the number of tokens a version's price is given for.
const tokensPerPriceUnit = 1000

// Price returns the price of tokens in micros, rounded up so that a short
// answer is never free.
func Price(tokens, microsPerKiloToken int64) int64 {
	return (tokens*microsPerKiloToken + tokensPerPriceUnit - 1) / tokensPerPriceUnit
}
