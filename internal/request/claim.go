package request

import (
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fault"
)

// ClaimRecordKind says what a record of a claims stream means.
type ClaimRecordKind string

const (
	// Claimed asks for the right to run a key.
	Claimed ClaimRecordKind = "claimed"
	// Finished carries the outcome of the run.
	Finished ClaimRecordKind = "finished"
	// Abandoned says that the claim's owner did not and will not run it.
	Abandoned ClaimRecordKind = "abandoned"
)

// KeyRetention is how long a key is remembered. It must stay below the log's
// retention, since a claim that aged out can no longer stop a second run.
const KeyRetention = 24 * time.Hour

// ClaimRecord is one record of a claims stream.
type ClaimRecord struct {
	Kind ClaimRecordKind `cbor:"1,keyasint"`
	// Key is the hash of workspace and idempotency key.
	Key string `cbor:"2,keyasint"`
	// BodyHash is the hash of the request's body.
	BodyHash string `cbor:"3,keyasint"`
	// RequestID identifies the claimant; a repeated append of one claim carries
	// the same value and counts once.
	RequestID string `cbor:"4,keyasint"`
	// Owner is the daemon and incarnation that runs the request.
	Owner string `cbor:"5,keyasint"`
	// UnixSeconds is the claimant's time in Unix seconds, used for retention only.
	UnixSeconds int64 `cbor:"6,keyasint"`
	// Status and Answer are the outcome of a finished run.
	Status   int    `cbor:"7,keyasint,omitempty"`
	Response []byte `cbor:"8,keyasint,omitempty"`
}

// VerdictKind says what a claimant may do.
type VerdictKind uint8

const (
	// ClaimPending means the claim is not folded yet.
	ClaimPending VerdictKind = iota
	// ClaimGranted grants the run to this claimant, once.
	ClaimGranted
	// ClaimReplay returns the stored answer.
	ClaimReplay
	// ClaimInProgress means another claimant holds the key.
	ClaimInProgress
	// ClaimKeyReused means the key stands for another body.
	ClaimKeyReused
)

// ClaimResult is the state of a key as seen by one claimant.
type ClaimResult struct {
	State    VerdictKind
	Owner    string
	Status   int
	Response []byte
}

type claim struct {
	body, request, owner string
	at                   int64
	finished             bool
	status               int
	answer               []byte
}

// ClaimTable folds one claims stream. The first claim of a key that no live claim
// precedes owns the key; the log's order decides and nothing else does.
type ClaimTable struct {
	next  uint64
	owner map[string]*claim
	void  map[string]int64
	// seen holds the time of every claim that was folded, winners' and losers', by
	// request.
	seen map[string]int64
}

// NewClaimTable returns an empty fold.
func NewClaimTable() *ClaimTable {
	return &ClaimTable{owner: map[string]*claim{}, void: map[string]int64{}, seen: map[string]int64{}}
}

// NextOffset returns the offset of the next record to fold.
func (c *ClaimTable) NextOffset() uint64 { return c.next }

// Len returns the number of remembered keys.
func (c *ClaimTable) Len() int { return len(c.owner) }

// Apply folds the record at an offset; repeated offsets are ignored.
func (c *ClaimTable) Apply(offset uint64, r ClaimRecord) {
	if offset < c.next {
		return
	}
	c.next = offset + 1
	switch r.Kind {
	case Claimed:
		c.claim(r)
	case Finished:
		if o := c.owner[r.Key]; o != nil && o.request == r.RequestID {
			o.finished, o.status, o.answer = true, r.Status, r.Response
		}
	case Abandoned:
		c.void[r.RequestID] = r.UnixSeconds
		if o := c.owner[r.Key]; o != nil && o.request == r.RequestID && !o.finished {
			delete(c.owner, r.Key)
		}
	}
}

// claim admits a claim only when no live one stands. A loser never inherits the
// key later: it has told its caller "not run" by then, and granting it the key
// would lock out everybody else.
func (c *ClaimTable) claim(r ClaimRecord) {
	c.seen[r.RequestID] = r.UnixSeconds
	if _, void := c.void[r.RequestID]; void {
		return
	}
	o := c.owner[r.Key]
	if o != nil && r.UnixSeconds-o.at < int64(KeyRetention/time.Second) {
		return
	}
	c.owner[r.Key] = &claim{body: r.BodyHash, request: r.RequestID, owner: r.Owner, at: r.UnixSeconds}
}

// Resolve judges a claimant's request for a key.
func (c *ClaimTable) Resolve(key, body, request string) ClaimResult {
	o := c.owner[key]
	switch {
	case o == nil:
		return ClaimResult{State: ClaimPending}
	case o.body != body:
		return ClaimResult{State: ClaimKeyReused, Owner: o.owner}
	case o.finished:
		return ClaimResult{State: ClaimReplay, Owner: o.owner, Status: o.status, Response: o.answer}
	case o.request == request:
		return ClaimResult{State: ClaimGranted, Owner: o.owner}
	}
	return ClaimResult{State: ClaimInProgress, Owner: o.owner}
}

// Applied reports whether a claimant's own record has been folded.
func (c *ClaimTable) Applied(request string) bool {
	_, folded := c.seen[request]
	return folded
}

// Expire forgets keys, void marks and requests past retention.
func (c *ClaimTable) Expire(now time.Time) {
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

// Err turns a verdict that forbids the run into the caller's answer. The
// claimant itself never ran; whether the key's owner did is for the owner to say.
func (v ClaimResult) Err() *fault.Error {
	switch v.State {
	case ClaimKeyReused:
		return fault.NewField(fault.KeyReused, "Idempotency-Key", "the key stands for another body")
	case ClaimInProgress:
		return fault.NewField(fault.KeyInProgress, "Idempotency-Key", "a request with this key is held by %s", v.Owner)
	}
	return fault.New(fault.LogUnavailable, "the claim was not confirmed by the log in time")
}
