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
	// Cut answers ended early because the caller left or a run was lost; the
	// tokens delivered until then are billed.
	Cut Outcome = "cut"
)

// Usage is the bill of one request.
type Usage struct {
	RequestID string `cbor:"1,keyasint" json:"request_id"`
	Workspace string `cbor:"2,keyasint" json:"workspace"`
	Model     string `cbor:"3,keyasint" json:"model"`
	Version   string `cbor:"4,keyasint" json:"version"`
	// PromptTokens and AnswerTokens sum over the steps of a cascade.
	PromptTokens int64 `cbor:"5,keyasint" json:"prompt_tokens"`
	AnswerTokens int64 `cbor:"6,keyasint" json:"answer_tokens"`
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
	records  []Usage
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
func (b *Buffer) Add(u Usage) uint64 {
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

// Exposed records whether records can be given to the log or to a keeper. While
// they cannot, new requests are refused: their bills would be lost with this VM.
func (b *Buffer) Exposed(exposed bool) { b.exposed = exposed }

// Through returns the place up to which the log has the records.
func (b *Buffer) Through() uint64 { return b.confirmed }

// Batch returns up to most records to append, or none while a batch is in
// flight. The records stay until Confirm.
func (b *Buffer) Batch(most int) []Usage {
	if b.inFlight > 0 || len(b.records) == 0 {
		return nil
	}
	b.inFlight = min(most, len(b.records))
	return slices.Clone(b.records[:b.inFlight])
}

// Confirm drops the batch in flight.
func (b *Buffer) Confirm() {
	b.records = append([]Usage(nil), b.records[b.inFlight:]...)
	b.confirmed += uint64(b.inFlight)
	b.exposed = false
	b.inFlight = 0
}

// Retry makes the batch in flight eligible again. The log may have taken it
// although its reply was lost; Ledger drops the second copy.
func (b *Buffer) Retry() { b.inFlight = 0 }

// Ledger folds usage records of the log to one bill a request.
type Ledger struct {
	bills      map[string]Usage
	Duplicates int
	// Doubtful are requests whose copies disagree.
	Doubtful []string
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{bills: map[string]Usage{}} }

// Apply folds one record. The first record of a request stands.
func (l *Ledger) Apply(u Usage) {
	old, known := l.bills[u.RequestID]
	if !known {
		l.bills[u.RequestID] = u
		return
	}
	l.Duplicates++
	if old != u && !slices.Contains(l.Doubtful, u.RequestID) {
		l.Doubtful = append(l.Doubtful, u.RequestID)
	}
}

// Len returns the number of bills.
func (l *Ledger) Len() int { return len(l.bills) }

// Bill returns the bill of a request.
func (l *Ledger) Bill(request string) (Usage, bool) {
	u, ok := l.bills[request]
	return u, ok
}

// All returns every bill by request id. The map is the ledger's own.
func (l *Ledger) All() map[string]Usage { return l.bills }

// Line is the sum of one workspace's bills for one model and version.
type Line struct {
	Workspace string `json:"workspace"`
	Model     string `json:"model"`
	Version   string `json:"version"`
	Requests  int64  `json:"requests"`
	Cut       int64  `json:"cut"`
	Tokens    int64  `json:"tokens"`
	Micros    int64  `json:"micros"`
}

// Lines sums the bills, ordered by workspace, model and version.
func (l *Ledger) Lines() []Line {
	sums := map[string]*Line{}
	for _, u := range l.bills {
		key := fmt.Sprintf("%s\x00%s\x00%s", u.Workspace, u.Model, u.Version)
		s := sums[key]
		if s == nil {
			s = &Line{Workspace: u.Workspace, Model: u.Model, Version: u.Version}
			sums[key] = s
		}
		s.Requests++
		s.Tokens += u.PromptTokens + u.AnswerTokens
		s.Micros += u.Micros
		if u.Outcome == Cut {
			s.Cut++
		}
	}
	out := make([]Line, 0, len(sums))
	for _, s := range sums {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b Line) int {
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
