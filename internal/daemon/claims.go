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
	// claimPartitions is the number of log streams that keys are hashed to. A
	// daemon reads only the streams of the keys it claims.
	claimPartitions = 16
	// claimTimeout bounds the wait for the log to confirm a claim.
	claimTimeout = 3 * time.Second
	// claimExpiryInterval is the period of removing expired keys.
	claimExpiryInterval = time.Minute
	// maxStoredResponse is the largest response stored with its claim, in bytes.
	// Larger ones cannot be replayed.
	maxStoredResponse = 16 << 10
)

// claimManager claims idempotency keys through the log, so that a request with a
// key runs at most once across all daemons.
type claimManager struct {
	d          *Daemon
	partitions [claimPartitions]claimPartition
	mu         sync.Mutex
	mintedKeys map[string]*mintedKeyState
}

type claimPartition struct {
	mu    sync.Mutex
	table *request.ClaimTable
}

// mintedKeyState is the state of a key minted by this incarnation. Such keys are
// kept in memory only.
type mintedKeyState struct {
	bodyHash  string
	done      bool
	status    int
	response  []byte
	createdAt time.Time
}

func newClaimManager(d *Daemon) *claimManager {
	c := &claimManager{d: d, mintedKeys: map[string]*mintedKeyState{}}
	for i := range c.partitions {
		c.partitions[i].table = request.NewClaimTable()
	}
	return c
}

func (c *claimManager) run(ctx context.Context) {
	runPeriodically(ctx, claimExpiryInterval, func(context.Context) {
		for i := range c.partitions {
			p := &c.partitions[i]
			p.mu.Lock()
			p.table.Expire(time.Now())
			p.mu.Unlock()
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		for key, state := range c.mintedKeys {
			if time.Since(state.createdAt) > request.KeyRetention {
				delete(c.mintedKeys, key)
			}
		}
	})
}

// claim is the exclusive right to run the request of an idempotency key.
type claim struct {
	manager *claimManager
	record  request.ClaimRecord
	minted  *mintedKeyState
}

func digest(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		fmt.Fprintf(h, "%d:%s", len(p), p)
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// acquire claims a key. It returns the claim, or the stored response of an
// earlier request, or the refusal.
func (c *claimManager) acquire(ctx context.Context, workspace, key string, body []byte, requestID string) (*claim, *request.ClaimResult, error) {
	if request.IsMintedKey(key) {
		return c.acquireMinted(workspace, key, body)
	}
	rec := request.ClaimRecord{
		Kind: request.Claimed, Key: digest(workspace, key), BodyHash: digest(string(body)), RequestID: requestID,
		Owner: c.d.ownerID(), UnixSeconds: time.Now().Unix(),
	}
	result, err := c.commit(ctx, rec)
	if err != nil {
		return nil, nil, err
	}
	switch result.State {
	case request.ClaimGranted:
		return &claim{manager: c, record: rec}, nil, nil
	case request.ClaimReplay:
		return nil, &result, nil
	}
	c.d.metrics.claimsLost.Inc(1)
	return nil, nil, result.Err()
}

func partitionOf(key string) int {
	n, _ := strconv.ParseUint(key[:2], 16, 8)
	return int(n) % claimPartitions
}

func claimStream(partition int) string { return "claims-" + strconv.Itoa(partition) }

// commit appends the claim and reads the stream until its outcome is known. When
// the append fails, it is repeated: duplicates are recognized by the request id.
func (c *claimManager) commit(ctx context.Context, rec request.ClaimRecord) (request.ClaimResult, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	partition := partitionOf(rec.Key)
	appended := false
	for {
		if !appended {
			appended = c.append(ctx, partition, rec) == nil
		}
		if err := c.readStream(ctx, partition); err == nil {
			if result := c.resolve(partition, rec); result.State != request.ClaimPending {
				return result, nil
			}
		}
		if !loop.Sleep(ctx, readRetryDelay/5) {
			c.abandon(rec)
			return request.ClaimResult{}, request.ClaimResult{}.Err()
		}
	}
}

func (c *claimManager) append(ctx context.Context, partition int, rec request.ClaimRecord) error {
	data, err := cbor.Marshal(rec)
	if err != nil {
		return err
	}
	c.d.metrics.logAppends.Inc(1)
	if _, err = c.d.deps.Log.Append(ctx, claimStream(partition), [][]byte{data}); err != nil {
		c.d.metrics.logErrors.Inc(1)
	}
	return err
}

func (c *claimManager) readStream(ctx context.Context, partition int) error {
	p := &c.partitions[partition]
	for {
		p.mu.Lock()
		from := p.table.NextOffset()
		p.mu.Unlock()
		batch, err := c.d.deps.Log.Read(ctx, claimStream(partition), from, readLimit, 0)
		if err != nil {
			return err
		}
		p.mu.Lock()
		for _, r := range batch.Records {
			var rec request.ClaimRecord
			if cbor.Unmarshal(r.Data, &rec) == nil {
				p.table.Apply(r.Offset, rec)
			}
		}
		p.mu.Unlock()
		if len(batch.Records) < readLimit {
			return nil
		}
	}
}

func (c *claimManager) resolve(partition int, rec request.ClaimRecord) request.ClaimResult {
	p := &c.partitions[partition]
	p.mu.Lock()
	defer p.mu.Unlock()
	result := p.table.Resolve(rec.Key, rec.BodyHash, rec.RequestID)
	if result.State != request.ClaimPending && result.State != request.ClaimReplay && result.State != request.ClaimKeyReused && !p.table.Applied(rec.RequestID) {
		return request.ClaimResult{State: request.ClaimPending}
	}
	return result
}

// abandon voids a claim that may have reached the log although its request will
// not run, so that the key can be used again. It retries in the background for
// up to one hour.
func (c *claimManager) abandon(rec request.ClaimRecord) {
	rec.Kind = request.Abandoned
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
		defer cancel()
		for wait := readRetryDelay; c.append(ctx, partitionOf(rec.Key), rec) != nil; wait = min(2*wait, 30*time.Second) {
			if !loop.Sleep(ctx, wait) {
				return
			}
		}
	}()
}

// finish stores the response for repeats of the key. If the request is known not
// to have run, the claim is abandoned and the key can be used again.
func (c *claim) finish(state fault.ExecutionState, status int, response []byte) {
	if c == nil {
		return
	}
	if c.minted != nil {
		c.manager.finishMinted(c.minted, state, status, response)
		return
	}
	if state == fault.NotRun {
		c.manager.abandon(c.record)
		return
	}
	if status == 0 || len(response) > maxStoredResponse {
		return
	}
	rec := c.record
	rec.Kind, rec.Status, rec.Response = request.Finished, status, response
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	_ = c.manager.append(ctx, partitionOf(rec.Key), rec)
}

func (c *claimManager) acquireMinted(workspace, key string, body []byte) (*claim, *request.ClaimResult, error) {
	minted, err := request.ParseMintedKey(c.d.keyring.Load(), key)
	if err != nil {
		return nil, nil, err
	}
	if err := minted.Authorize(workspace, c.d.settings.ID, c.d.incarnation); err != nil {
		return nil, nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	state, exists := c.mintedKeys[key]
	hash := digest(string(body))
	switch {
	case !exists:
		state = &mintedKeyState{bodyHash: hash, createdAt: time.Now()}
		c.mintedKeys[key] = state
		return &claim{manager: c, minted: state}, nil, nil
	case state.bodyHash != hash:
		return nil, nil, request.ClaimResult{State: request.ClaimKeyReused}.Err()
	case state.done:
		return nil, &request.ClaimResult{State: request.ClaimReplay, Status: state.status, Response: state.response}, nil
	}
	return nil, nil, request.ClaimResult{State: request.ClaimInProgress, Owner: c.d.settings.ID}.Err()
}

func (c *claimManager) finishMinted(minted *mintedKeyState, state fault.ExecutionState, status int, response []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == fault.NotRun {
		for key, candidate := range c.mintedKeys {
			if candidate == minted {
				delete(c.mintedKeys, key)
			}
		}
		return
	}
	minted.done, minted.status, minted.response = status != 0, status, response
}

// MintIdempotencyKey returns an idempotency key that is valid at this incarnation
// of the daemon only.
func (d *Daemon) MintIdempotencyKey(workspace string) string {
	return request.MintedKey{Workspace: workspace, Daemon: d.settings.ID, Incarnation: d.incarnation, Nonce: newID("")}.Mint(d.keyring.Load())
}
