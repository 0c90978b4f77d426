package request

import (
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fault"
)

// ClaimRecordKind is the type of a record in a claims stream.
type ClaimRecordKind string

const (
	// Claimed requests the right to run the request of a key.
	Claimed ClaimRecordKind = "claimed"
	// Finished carries the response of the run.
	Finished ClaimRecordKind = "finished"
	// Abandoned releases a claim whose request did not run and will not run.
	Abandoned ClaimRecordKind = "abandoned"
)

// KeyRetention is how long a key is kept. It must be shorter than the retention of
// the log: a claim that was deleted from the log cannot prevent a second run.
const KeyRetention = 24 * time.Hour

// ClaimRecord is one record of a claims stream.
type ClaimRecord struct {
	Kind ClaimRecordKind `cbor:"1,keyasint"`
	// Key is the hash of the workspace and the idempotency key.
	Key string `cbor:"2,keyasint"`
	// BodyHash is the hash of the request body.
	BodyHash string `cbor:"3,keyasint"`
	// RequestID identifies the claimant. Repeated appends of one claim carry the
	// same value.
	RequestID string `cbor:"4,keyasint"`
	// Owner is the daemon and incarnation that handles the request.
	Owner string `cbor:"5,keyasint"`
	// UnixSeconds is the time of the claimant's clock, used for retention only.
	UnixSeconds int64 `cbor:"6,keyasint"`
	// Status and Response are the HTTP status and body of a finished run.
	Status   int    `cbor:"7,keyasint,omitempty"`
	Response []byte `cbor:"8,keyasint,omitempty"`
}

// ClaimState is the state of a key for one claimant.
type ClaimState uint8

const (
	// ClaimPending means that no claim of the key has been applied yet.
	ClaimPending ClaimState = iota
	// ClaimGranted allows this claimant to run the request once.
	ClaimGranted
	// ClaimReplay means that the request finished and its response is stored.
	ClaimReplay
	// ClaimInProgress means that another claimant owns the key.
	ClaimInProgress
	// ClaimKeyReused means that the key was claimed with a different body.
	ClaimKeyReused
)

// ClaimResult is the result of resolving a key for one claimant.
type ClaimResult struct {
	State    ClaimState
	Owner    string
	Status   int
	Response []byte
}

type claim struct {
	bodyHash, requestID, owner string
	unixSeconds                int64
	finished                   bool
	status                     int
	response                   []byte
}

// ClaimTable is the state built from one claims stream. A claim owns its key if no
// unexpired claim precedes it in log order.
type ClaimTable struct {
	nextOffset uint64
	byKey      map[string]*claim
	abandoned  map[string]int64
	// applied maps the request ID of every applied claim to its time, whether or not
	// the claim was granted.
	applied map[string]int64
}

// NewClaimTable returns an empty table that expects offset 0.
func NewClaimTable() *ClaimTable {
	return &ClaimTable{byKey: map[string]*claim{}, abandoned: map[string]int64{}, applied: map[string]int64{}}
}

// NextOffset returns the offset of the next record to apply.
func (c *ClaimTable) NextOffset() uint64 { return c.nextOffset }

// Len returns the number of claimed keys.
func (c *ClaimTable) Len() int { return len(c.byKey) }

// Apply applies the record at an offset. Offsets that were already applied are ignored.
func (c *ClaimTable) Apply(offset uint64, rec ClaimRecord) {
	if offset < c.nextOffset {
		return
	}
	c.nextOffset = offset + 1
	switch rec.Kind {
	case Claimed:
		c.applyClaim(rec)
	case Finished:
		if current := c.byKey[rec.Key]; current != nil && current.requestID == rec.RequestID {
			current.finished, current.status, current.response = true, rec.Status, rec.Response
		}
	case Abandoned:
		c.abandoned[rec.RequestID] = rec.UnixSeconds
		if current := c.byKey[rec.Key]; current != nil && current.requestID == rec.RequestID && !current.finished {
			delete(c.byKey, rec.Key)
		}
	}
}

// applyClaim grants the key if it has no unexpired claim. A claim that was not granted
// never gets the key later: its caller may already have received an error, and the key
// would not be released.
func (c *ClaimTable) applyClaim(rec ClaimRecord) {
	c.applied[rec.RequestID] = rec.UnixSeconds
	if _, abandoned := c.abandoned[rec.RequestID]; abandoned {
		return
	}
	current := c.byKey[rec.Key]
	if current != nil && rec.UnixSeconds-current.unixSeconds < int64(KeyRetention/time.Second) {
		return
	}
	c.byKey[rec.Key] = &claim{bodyHash: rec.BodyHash, requestID: rec.RequestID, owner: rec.Owner, unixSeconds: rec.UnixSeconds}
}

// Resolve returns the state of a key for the claimant with the given body hash and
// request ID.
func (c *ClaimTable) Resolve(key, bodyHash, requestID string) ClaimResult {
	current := c.byKey[key]
	switch {
	case current == nil:
		return ClaimResult{State: ClaimPending}
	case current.bodyHash != bodyHash:
		return ClaimResult{State: ClaimKeyReused, Owner: current.owner}
	case current.finished:
		return ClaimResult{State: ClaimReplay, Owner: current.owner, Status: current.status, Response: current.response}
	case current.requestID == requestID:
		return ClaimResult{State: ClaimGranted, Owner: current.owner}
	}
	return ClaimResult{State: ClaimInProgress, Owner: current.owner}
}

// Applied reports whether the claim of a request has been applied.
func (c *ClaimTable) Applied(requestID string) bool {
	_, ok := c.applied[requestID]
	return ok
}

// Expire removes keys, abandonments and request IDs that are past retention.
func (c *ClaimTable) Expire(now time.Time) {
	cutoff := now.Add(-KeyRetention).Unix()
	for key, current := range c.byKey {
		if current.unixSeconds < cutoff {
			delete(c.byKey, key)
		}
	}
	for _, times := range []map[string]int64{c.abandoned, c.applied} {
		for id, at := range times {
			if at < cutoff {
				delete(times, id)
			}
		}
	}
}

// Err returns the error for a claimant that may not run the request. It applies to
// this claimant only; the owner of the key may have run its own request.
func (r ClaimResult) Err() *fault.Error {
	switch r.State {
	case ClaimKeyReused:
		return fault.NewField(fault.KeyReused, "Idempotency-Key", "the key stands for another body")
	case ClaimInProgress:
		return fault.NewField(fault.KeyInProgress, "Idempotency-Key", "a request with this key is held by %s", r.Owner)
	}
	return fault.New(fault.LogUnavailable, "the claim was not confirmed by the log in time")
}
