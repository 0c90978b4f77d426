package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/damaskrudder/damaskrudder/internal/billing"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/membership"
	"github.com/damaskrudder/damaskrudder/internal/peer"
)

const (
	// UsageStream is the log stream of usage records.
	UsageStream = "usage"
	// minFlushInterval is the minimum interval between two appends of a daemon.
	minFlushInterval = 100 * time.Millisecond
	// maxAppendsPerSecond bounds the appends of all daemons together, so the flush
	// interval grows with their number. Records that wait for a flush are replicated.
	maxAppendsPerSecond = 150
	// maxFlushRecords is the maximum number of records in one append.
	maxFlushRecords = 2000
	// replicaTimeout bounds the wait for replicas, before the wait for the log.
	replicaTimeout = time.Second
	// logConfirmTimeout bounds the wait for the log, before new requests are refused.
	logConfirmTimeout = time.Second
	// storeTimeout bounds the wait for replicas and the log together.
	storeTimeout = 5 * time.Second
	// orphanTimeout is how long a replica waits for a confirmation before it appends
	// the records itself.
	orphanTimeout = 30 * time.Second
)

// usageRecorder writes the usage records of this daemon to the log and stores replicas
// of records of other daemons.
type usageRecorder struct {
	d         *Daemon
	mu        sync.Mutex
	buffer    *billing.Buffer
	confirmed chan struct{}
	replicas  map[string]replicaRecord
	// replicaAddresses are the peers that stored records of this daemon since the
	// last flush.
	replicaAddresses map[string]bool
	// flushNow triggers a flush for a record that could not be replicated.
	flushNow chan struct{}
}

// replicaRecord is a usage record stored for another daemon.
type replicaRecord struct {
	owner       string
	incarnation uint64
	sequence    uint64
	record      billing.UsageRecord
	storedAt    time.Time
}

func newUsageRecorder(d *Daemon) *usageRecorder {
	return &usageRecorder{
		d: d, buffer: billing.NewBuffer(d.settings.BillingBufferSize), confirmed: make(chan struct{}),
		replicas: map[string]replicaRecord{}, replicaAddresses: map[string]bool{}, flushNow: make(chan struct{}, 1),
	}
}

func (u *usageRecorder) register(server *peer.Server) {
	peer.Handle(server, "store_usage", func(_ context.Context, _ string, req peer.StoreUsageRequest) (peer.Empty, error) {
		return peer.Empty{}, u.storeReplicas(req)
	})
	peer.Handle(server, "confirm_usage", func(_ context.Context, _ string, req peer.ConfirmUsageRequest) (peer.Empty, error) {
		u.deleteConfirmed(req)
		return peer.Empty{}, nil
	})
}

func (u *usageRecorder) reserve() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.buffer.Reserve()
}

func (u *usageRecorder) cancel() {
	u.mu.Lock()
	u.buffer.Release()
	u.mu.Unlock()
}

// add stores a record and returns once a replica, preferably in another failure domain,
// or the log has stored it too. It returns false if neither has in time; the record then
// stays in the buffer and is retried.
func (u *usageRecorder) add(ctx context.Context, rec billing.UsageRecord) bool {
	u.mu.Lock()
	sequence, pending := u.buffer.Add(rec), u.buffer.Len()
	u.mu.Unlock()
	u.d.metrics.billed.Inc(1)
	u.d.metrics.usagePending.Update(float64(pending))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	if u.replicate(ctx, sequence, rec) {
		return true
	}
	select {
	case u.flushNow <- struct{}{}:
	default:
	}
	// A replica may fail while the log is available, so new requests are only
	// refused if the log does not confirm the record either.
	if u.awaitConfirmationFor(ctx, sequence, logConfirmTimeout) {
		return true
	}
	u.setUnprotected(true)
	if u.awaitConfirmation(ctx, sequence) {
		return true
	}
	u.d.metrics.billingUnprotected.Inc(1)
	return false
}

func (u *usageRecorder) setUnprotected(unprotected bool) {
	u.mu.Lock()
	u.buffer.SetUnprotected(unprotected)
	u.mu.Unlock()
}

func (u *usageRecorder) awaitConfirmationFor(ctx context.Context, sequence uint64, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return u.awaitConfirmation(ctx, sequence)
}

// awaitConfirmation waits until the log has confirmed the record with a sequence
// number. It returns false if the context ends first.
func (u *usageRecorder) awaitConfirmation(ctx context.Context, sequence uint64) bool {
	for {
		u.mu.Lock()
		done, changed := u.buffer.Confirmed(sequence), u.confirmed
		u.mu.Unlock()
		if done {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (u *usageRecorder) replicate(ctx context.Context, sequence uint64, rec billing.UsageRecord) bool {
	ctx, cancel := context.WithTimeout(ctx, replicaTimeout)
	defer cancel()
	for _, replica := range u.d.members.replicas(2) {
		_, err := peer.Call[peer.StoreUsageRequest, peer.Empty](ctx, u.d.peers, replica.PeerAddress, "store_usage",
			peer.StoreUsageRequest{Owner: u.d.settings.ID, Incarnation: u.d.incarnation, FirstSequence: sequence, Records: []billing.UsageRecord{rec}})
		if err != nil {
			continue
		}
		u.mu.Lock()
		u.replicaAddresses[replica.PeerAddress] = true
		u.mu.Unlock()
		return true
	}
	return false
}

func (u *usageRecorder) storeReplicas(req peer.StoreUsageRequest) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.replicas)+len(req.Records) > u.d.settings.BillingBufferSize {
		return fault.New(fault.BillingBacklog, "%d copies are kept already", len(u.replicas))
	}
	for i, rec := range req.Records {
		u.replicas[rec.RequestID] = replicaRecord{req.Owner, req.Incarnation, req.FirstSequence + uint64(i), rec, time.Now()}
	}
	return nil
}

func (u *usageRecorder) deleteConfirmed(req peer.ConfirmUsageRequest) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, replica := range u.replicas {
		if replica.owner == req.Owner && replica.incarnation == req.Incarnation && replica.sequence <= req.ThroughSequence {
			delete(u.replicas, id)
		}
	}
}

func (u *usageRecorder) run(ctx context.Context) {
	for {
		timer := time.NewTimer(u.flushInterval())
		select {
		case <-timer.C:
		case <-u.flushNow:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return
		}
		u.flush(ctx)
		u.adoptOrphans(ctx)
	}
}

func (u *usageRecorder) flushInterval() time.Duration {
	return max(minFlushInterval, time.Duration(u.d.members.aliveCount())*time.Second/maxAppendsPerSecond)
}

// flush appends the buffered records. After an error they stay in the buffer and are
// appended again; the ledger drops duplicates.
func (u *usageRecorder) flush(ctx context.Context) {
	u.mu.Lock()
	batch := u.buffer.NextBatch(maxFlushRecords)
	u.mu.Unlock()
	if len(batch) == 0 {
		return
	}
	err := u.append(ctx, batch)
	u.mu.Lock()
	if err != nil {
		u.buffer.RetryBatch()
		u.mu.Unlock()
		return
	}
	u.buffer.ConfirmBatch()
	close(u.confirmed)
	u.confirmed = make(chan struct{})
	replicas := u.replicaAddresses
	u.replicaAddresses = map[string]bool{}
	pending, through := u.buffer.Len(), u.buffer.LastConfirmed()
	u.mu.Unlock()
	u.d.metrics.usagePending.Update(float64(pending))
	u.notifyReplicas(ctx, replicas, through)
}

func (u *usageRecorder) append(ctx context.Context, batch []billing.UsageRecord) error {
	data, err := cbor.Marshal(batch)
	if err != nil {
		return err
	}
	u.d.metrics.logAppends.Inc(1)
	if _, err = u.d.deps.Log.Append(ctx, UsageStream, [][]byte{data}); err != nil {
		u.d.metrics.logErrors.Inc(1)
	}
	return err
}

// notifyReplicas lets replicas delete the records up to a sequence number. A replica
// that misses the call appends them again, and the ledger drops the duplicates.
func (u *usageRecorder) notifyReplicas(ctx context.Context, replicas map[string]bool, through uint64) {
	msg := peer.ConfirmUsageRequest{Owner: u.d.settings.ID, Incarnation: u.d.incarnation, ThroughSequence: through}
	for address := range replicas {
		callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		_, _ = peer.Call[peer.ConfirmUsageRequest, peer.Empty](callCtx, u.d.peers, address, "confirm_usage", msg)
		cancel()
	}
}

// adoptOrphans appends replicas whose owner is gone or has not confirmed them within
// orphanTimeout.
func (u *usageRecorder) adoptOrphans(ctx context.Context) {
	var batch []billing.UsageRecord
	now := time.Now()
	u.mu.Lock()
	for _, replica := range u.replicas {
		owner, known := u.d.members.find(replica.owner)
		gone := !known || owner.State == membership.Gone || owner.Incarnation != replica.incarnation
		if gone || now.Sub(replica.storedAt) > orphanTimeout {
			batch = append(batch, replica.record)
		}
	}
	u.mu.Unlock()
	if len(batch) == 0 || u.append(ctx, batch) != nil {
		return
	}
	u.d.metrics.usageAdopted.Inc(int64(len(batch)))
	u.mu.Lock()
	for _, rec := range batch {
		delete(u.replicas, rec.RequestID)
	}
	u.mu.Unlock()
}

func (u *usageRecorder) pending() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.buffer.Len()
}

// UsageLedger builds the ledger from the usage records that the log retains.
func (d *Daemon) UsageLedger(ctx context.Context) (*billing.Ledger, error) {
	ledger := billing.NewLedger()
	var from uint64
	for {
		logBatch, err := d.deps.Log.Read(ctx, UsageStream, from, readLimit, 0)
		if err != nil {
			return nil, fault.New(fault.LogUnavailable, "the usage stream cannot be read").WithCause(err)
		}
		for _, r := range logBatch.Records {
			var batch []billing.UsageRecord
			if cbor.Unmarshal(r.Data, &batch) == nil {
				for _, rec := range batch {
					ledger.Apply(rec)
				}
			}
			from = r.Offset + 1
		}
		if len(logBatch.Records) == 0 {
			return ledger, nil
		}
	}
}
