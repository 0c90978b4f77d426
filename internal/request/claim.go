package request

import (
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fault"
)

// ClaimKind says what a record of a claims stream means.
type ClaimKind string

const (
	// Claimed asks for the right to run a key.
	Claimed ClaimKind = "claimed"
	// Finished carries the outcome of the run.
	Finished ClaimKind = "finished"
	// Abandoned says that the claim's owner did not and will not run it.
	Abandoned ClaimKind = "abandoned"
)

// KeyRetention is how long a key is remembered. It must stay below the log's
// retention, since a claim that aged out can no longer stop a second run.
const KeyRetention = 24 * time.Hour

// ClaimRecord is one record of a claims stream.
type ClaimRecord struct {
	Kind ClaimKind `cbor:"1,keyasint"`
	// Key is the hash of workspace and idempotency key.
	Key string `cbor:"2,keyasint"`
	// Body is the hash of the request's body.
	Body string `cbor:"3,keyasint"`
	// Request identifies the claimant; a repeated append of one claim carries
	// the same value and counts once.
	Request string `cbor:"4,keyasint"`
	// Owner is the daemon and incarnation that runs the request.
	Owner string `cbor:"5,keyasint"`
	// At is the claimant's time in Unix seconds, used for retention only.
	At int64 `cbor:"6,keyasint"`
	// Status and Answer are the outcome of a finished run.
	Status int    `cbor:"7,keyasint,omitempty"`
	Answer []byte `cbor:"8,keyasint,omitempty"`
}

// VerdictKind says what a claimant may do.
type VerdictKind uint8

const (
	// Wait means the claim is not folded yet.
	Wait VerdictKind = iota
	// Run grants the run to this claimant, once.
	Run
	// Replay returns the stored answer.
	Replay
	// InProgress means another claimant holds the key.
	InProgress
	// Reused means the key stands for another body.
	Reused
)

// Verdict is the state of a key as seen by one claimant.
type Verdict struct {
	Kind   VerdictKind
	Owner  string
	Status int
	Answer []byte
}

type claim struct {
	body, request, owner string
	at                   int64
	finished             bool
	status               int
	answer               []byte
}

// Claims folds one claims stream. The first claim of a key that no live claim
// precedes owns the key; the log's order decides and nothing else does.
type Claims struct {
	next  uint64
	owner map[string]*claim
	void  map[string]int64
	// seen holds the time of every claim that was folded, winners' and losers', by
	// request.
	seen map[string]int64
}

// NewClaims returns an empty fold.
func NewClaims() *Claims {
	return &Claims{owner: map[string]*claim{}, void: map[string]int64{}, seen: map[string]int64{}}
}

// Next returns the offset of the next record to fold.
func (c *Claims) Next() uint64 { return c.next }

// Len returns the number of remembered keys.
func (c *Claims) Len() int { return len(c.owner) }

// Apply folds the record at an offset; repeated offsets are ignored.
func (c *Claims) Apply(offset uint64, r ClaimRecord) {
	if offset < c.next {
		return
	}
	c.next = offset + 1
	switch r.Kind {
	case Claimed:
		c.claim(r)
	case Finished:
		if o := c.owner[r.Key]; o != nil && o.request == r.Request {
			o.finished, o.status, o.answer = true, r.Status, r.Answer
		}
	case Abandoned:
		c.void[r.Request] = r.At
		if o := c.owner[r.Key]; o != nil && o.request == r.Request && !o.finished {
			delete(c.owner, r.Key)
		}
	}
}

// claim admits a claim only when no live one stands. A loser never inherits the
// key later: it has told its caller "not run" by then, and granting it the key
// would lock out everybody else.
func (c *Claims) claim(r ClaimRecord) {
	c.seen[r.Request] = r.At
	if _, void := c.void[r.Request]; void {
		return
	}
	o := c.owner[r.Key]
	if o != nil && r.At-o.at < int64(KeyRetention/time.Second) {
		return
	}
	c.owner[r.Key] = &claim{body: r.Body, request: r.Request, owner: r.Owner, at: r.At}
}

// Verdict judges a claimant's request for a key.
func (c *Claims) Verdict(key, body, request string) Verdict {
	o := c.owner[key]
	switch {
	case o == nil:
		return Verdict{Kind: Wait}
	case o.body != body:
		return Verdict{Kind: Reused, Owner: o.owner}
	case o.finished:
		return Verdict{Kind: Replay, Owner: o.owner, Status: o.status, Answer: o.answer}
	case o.request == request:
		return Verdict{Kind: Run, Owner: o.owner}
	}
	return Verdict{Kind: InProgress, Owner: o.owner}
}

// Folded reports whether a claimant's own record has been folded.
func (c *Claims) Folded(request string) bool {
	_, folded := c.seen[request]
	return folded
}

// Expire forgets keys, void marks and requests past retention.
func (c *Claims) Expire(now time.Time) {
	cut := now.Add(-KeyRetention).Unix()
	for k, o := range c.owner {
		if o.at < cut {
			delete(c.owner, k)
		}
	}
	for _, times := range []map[string]int64{c.void, c.seen} {
		for r, at := range times {
			if at < cut {
				delete(times, r)
			}
		}
	}
}

// Refusal turns a verdict that forbids the run into the caller's answer. The
// claimant itself never ran; whether the key's owner did is for the owner to say.
func (v Verdict) Refusal() *fault.Error {
	switch v.Kind {
	case Reused:
		return fault.Field(fault.KeyReused, "Idempotency-Key", "the key stands for another body")
	case InProgress:
		return fault.Field(fault.KeyInProgress, "Idempotency-Key", "a request with this key is held by %s", v.Owner)
	}
	return fault.New(fault.LogUnavailable, "the claim was not confirmed by the log in time")
}
