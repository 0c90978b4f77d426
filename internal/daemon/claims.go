package daemon

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/loop"
	"github.com/damaskrudder/damaskrudder/internal/request"
)

const (
	// claimPartitions spreads keys over streams, so that a daemon reads only the
	// claims that share a stream with its own.
	claimPartitions = 16
	// claimTimeout bounds the wait for the log to confirm a claim.
	claimTimeout = 3 * time.Second
	// claimExpiry is the period of forgetting old keys.
	claimExpiry = time.Minute
	// storedAnswerLimit bounds an answer kept with its claim, in bytes. A longer
	// one cannot be replayed.
	storedAnswerLimit = 16 << 10
)

// claims drives the at-most-once claims of idempotency keys.
type claims struct {
	d          *Daemon
	partitions [claimPartitions]claimPartition
	mu         sync.Mutex
	minted     map[string]*mintedUse
}

type claimPartition struct {
	mu   sync.Mutex
	fold *request.ClaimTable
}

// mintedUse is the memory of one minted key of this incarnation.
type mintedUse struct {
	body   string
	done   bool
	status int
	answer []byte
	at     time.Time
}

func newClaims(d *Daemon) *claims {
	c := &claims{d: d, minted: map[string]*mintedUse{}}
	for i := range c.partitions {
		c.partitions[i].fold = request.NewClaimTable()
	}
	return c
}

func (c *claims) loop(ctx context.Context) {
	every(ctx, claimExpiry, func(context.Context) {
		for i := range c.partitions {
			p := &c.partitions[i]
			p.mu.Lock()
			p.fold.Expire(time.Now())
			p.mu.Unlock()
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		for k, m := range c.minted {
			if time.Since(m.at) > request.KeyRetention {
				delete(c.minted, k)
			}
		}
	})
}

// ticket is the right to run one non-repeatable request.
type ticket struct {
	claims *claims
	record request.ClaimRecord
	minted *mintedUse
}

func digest(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		fmt.Fprintf(h, "%d:%s", len(p), p)
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// acquire claims a key before the run. It returns a ticket, a stored answer, or
// the refusal.
func (c *claims) acquire(ctx context.Context, workspace, key string, body []byte, requestID string) (*ticket, *request.ClaimResult, error) {
	if request.IsMintedKey(key) {
		return c.acquireMinted(workspace, key, body)
	}
	rec := request.ClaimRecord{
		Kind: request.Claimed, Key: digest(workspace, key), BodyHash: digest(string(body)), RequestID: requestID,
		Owner: c.d.owner(), UnixSeconds: time.Now().Unix(),
	}
	v, err := c.settle(ctx, rec)
	if err != nil {
		return nil, nil, err
	}
	switch v.State {
	case request.ClaimGranted:
		return &ticket{claims: c, record: rec}, nil, nil
	case request.ClaimReplay:
		return nil, &v, nil
	}
	c.d.metrics.claimsLost.Inc(1)
	return nil, nil, v.Err()
}

func partitionOf(key string) int {
	n, _ := strconv.ParseUint(key[:2], 16, 8)
	return int(n) % claimPartitions
}

func stream(partition int) string { return "claims-" + strconv.Itoa(partition) }

// settle appends the claim and reads the stream up to it. When the reply of the
// append is lost, the claim is appended again: its request id makes the second
// copy count as the first.
func (c *claims) settle(ctx context.Context, rec request.ClaimRecord) (request.ClaimResult, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	n := partitionOf(rec.Key)
	appended := false
	for {
		if !appended {
			appended = c.append(ctx, n, rec) == nil
		}
		if err := c.catchUp(ctx, n); err == nil {
			if v := c.verdict(n, rec); v.State != request.ClaimPending {
				return v, nil
			}
		}
		if !loop.Pause(ctx, readRetry/5) {
			c.abandon(rec)
			return request.ClaimResult{}, request.ClaimResult{}.Err()
		}
	}
}

func (c *claims) append(ctx context.Context, partition int, rec request.ClaimRecord) error {
	data, err := cbor.Marshal(rec)
	if err != nil {
		return err
	}
	c.d.metrics.logAppends.Inc(1)
	if _, err = c.d.ports.Log.Append(ctx, stream(partition), [][]byte{data}); err != nil {
		c.d.metrics.logErrors.Inc(1)
	}
	return err
}

func (c *claims) catchUp(ctx context.Context, n int) error {
	p := &c.partitions[n]
	for {
		p.mu.Lock()
		from := p.fold.NextOffset()
		p.mu.Unlock()
		b, err := c.d.ports.Log.Read(ctx, stream(n), from, readLimit, 0)
		if err != nil {
			return err
		}
		p.mu.Lock()
		for _, r := range b.Records {
			var rec request.ClaimRecord
			if cbor.Unmarshal(r.Data, &rec) == nil {
				p.fold.Apply(r.Offset, rec)
			}
		}
		p.mu.Unlock()
		if len(b.Records) < readLimit {
			return nil
		}
	}
}

func (c *claims) verdict(n int, rec request.ClaimRecord) request.ClaimResult {
	p := &c.partitions[n]
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.fold.Resolve(rec.Key, rec.BodyHash, rec.RequestID)
	if v.State != request.ClaimPending && v.State != request.ClaimReplay && v.State != request.ClaimKeyReused && !p.fold.Applied(rec.RequestID) {
		return request.ClaimResult{State: request.ClaimPending}
	}
	return v
}

// abandon voids a claim that may have reached the log although this request will
// not run, so that a repeat of the key is not locked out. It is tried in the
// background for as long as an outage may last.
func (c *claims) abandon(rec request.ClaimRecord) {
	rec.Kind = request.Abandoned
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
		defer cancel()
		for wait := readRetry; c.append(ctx, partitionOf(rec.Key), rec) != nil; wait = min(2*wait, 30*time.Second) {
			if !loop.Pause(ctx, wait) {
				return
			}
		}
	}()
}

// finish stores the outcome for repeats of the key. State tells whether the run
// is proven not to have happened; then the key is free again.
func (t *ticket) finish(state fault.ExecutionState, status int, answer []byte) {
	if t == nil {
		return
	}
	if t.minted != nil {
		t.claims.finishMinted(t.minted, state, status, answer)
		return
	}
	if state == fault.NotRun {
		t.claims.abandon(t.record)
		return
	}
	if status == 0 || len(answer) > storedAnswerLimit {
		return
	}
	rec := t.record
	rec.Kind, rec.Status, rec.Response = request.Finished, status, answer
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	_ = t.claims.append(ctx, partitionOf(rec.Key), rec)
}

func (c *claims) acquireMinted(workspace, key string, body []byte) (*ticket, *request.ClaimResult, error) {
	m, err := request.ParseMintedKey(c.d.ring.Load(), key)
	if err != nil {
		return nil, nil, err
	}
	if err := m.Authorize(workspace, c.d.settings.ID, c.d.incarnation); err != nil {
		return nil, nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	use, again := c.minted[key]
	hash := digest(string(body))
	switch {
	case !again:
		use = &mintedUse{body: hash, at: time.Now()}
		c.minted[key] = use
		return &ticket{claims: c, minted: use}, nil, nil
	case use.body != hash:
		return nil, nil, request.ClaimResult{State: request.ClaimKeyReused}.Err()
	case use.done:
		return nil, &request.ClaimResult{State: request.ClaimReplay, Status: use.status, Response: use.answer}, nil
	}
	return nil, nil, request.ClaimResult{State: request.ClaimInProgress, Owner: c.d.settings.ID}.Err()
}

func (c *claims) finishMinted(use *mintedUse, state fault.ExecutionState, status int, answer []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == fault.NotRun {
		for k, u := range c.minted {
			if u == use {
				delete(c.minted, k)
			}
		}
		return
	}
	use.done, use.status, use.answer = status != 0, status, answer
}

// MintIdempotencyKey returns an idempotency key that only this incarnation may run.
func (d *Daemon) MintIdempotencyKey(workspace string) string {
	return request.MintedKey{Workspace: workspace, Daemon: d.settings.ID, Incarnation: d.incarnation, Nonce: newID("")}.Mint(d.ring.Load())
}
