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
	// flushLeast is the shortest time between two appends of one daemon.
	flushLeast = 100 * time.Millisecond
	// appendsPerSecond is what all daemons together spend on usage records; the
	// flush period grows with their number. Keepers, not the flush, protect a
	// record in the meantime.
	appendsPerSecond = 150
	// flushBatch bounds one append in records.
	flushBatch = 2000
	// keeperTimeout bounds the wait for the keepers before the log is waited for.
	keeperTimeout = time.Second
	// logTimeout bounds the wait for the log before new requests are refused.
	logTimeout = time.Second
	// protectTimeout bounds the wait for keepers and log together.
	protectTimeout = 5 * time.Second
	// adoptAfter is how long a keeper waits for a confirmation before it appends
	// the records itself.
	adoptAfter = 30 * time.Second
)

// usage writes the usage records of this daemon and keeps copies for others.
type usage struct {
	d         *Daemon
	mu        sync.Mutex
	buffer    *billing.Buffer
	confirmed chan struct{}
	kept      map[string]keptRecord
	// keepers are the peer addresses that got own records since the last flush.
	keepers map[string]bool
	// hurry asks for a flush at once, for a record that no keeper holds.
	hurry chan struct{}
}

// keptRecord is a copy held for another daemon.
type keptRecord struct {
	owner       string
	incarnation uint64
	place       uint64
	usage       billing.UsageRecord
	at          time.Time
}

func newUsage(d *Daemon) *usage {
	return &usage{
		d: d, buffer: billing.NewBuffer(d.settings.BillingBufferSize), confirmed: make(chan struct{}),
		kept: map[string]keptRecord{}, keepers: map[string]bool{}, hurry: make(chan struct{}, 1),
	}
}

func (u *usage) register(s *peer.Server) {
	peer.Handle(s, "store_usage", func(_ context.Context, _ string, q peer.StoreUsageRequest) (peer.Empty, error) {
		return peer.Empty{}, u.keep(q)
	})
	peer.Handle(s, "confirm_usage", func(_ context.Context, _ string, q peer.ConfirmUsageRequest) (peer.Empty, error) {
		u.release(q)
		return peer.Empty{}, nil
	})
}

func (u *usage) reserve() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.buffer.Reserve()
}

func (u *usage) cancel() {
	u.mu.Lock()
	u.buffer.Release()
	u.mu.Unlock()
}

// add stores a record and returns once it would survive the loss of this VM: a
// keeper in another failure domain, or the log, has it. It reports false when
// neither could be reached; the record stays and is tried on.
func (u *usage) add(ctx context.Context, rec billing.UsageRecord) bool {
	u.mu.Lock()
	place, pending := u.buffer.Add(rec), u.buffer.Len()
	u.mu.Unlock()
	u.d.metrics.billed.Inc(1)
	u.d.metrics.usagePending.Update(float64(pending))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), protectTimeout)
	defer cancel()
	if u.protect(ctx, place, rec) {
		return true
	}
	select {
	case u.hurry <- struct{}{}:
	default:
	}
	// A keeper that was just replaced fails this one record; the log takes it
	// within a flush. Only when that fails too is the daemon cut off.
	if u.awaitFor(ctx, place, logTimeout) {
		return true
	}
	u.exposed(true)
	if u.await(ctx, place) {
		return true
	}
	u.d.metrics.unprotected.Inc(1)
	return false
}

func (u *usage) exposed(exposed bool) {
	u.mu.Lock()
	u.buffer.SetUnprotected(exposed)
	u.mu.Unlock()
}

func (u *usage) awaitFor(ctx context.Context, place uint64, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return u.await(ctx, place)
}

// await waits until the log has the record of a place.
func (u *usage) await(ctx context.Context, place uint64) bool {
	for {
		u.mu.Lock()
		done, changed := u.buffer.Confirmed(place), u.confirmed
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

func (u *usage) protect(ctx context.Context, place uint64, rec billing.UsageRecord) bool {
	ctx, cancel := context.WithTimeout(ctx, keeperTimeout)
	defer cancel()
	for _, k := range u.d.members.keepers(2) {
		_, err := peer.Call[peer.StoreUsageRequest, peer.Empty](ctx, u.d.links, k.PeerAddress, "store_usage",
			peer.StoreUsageRequest{Owner: u.d.settings.ID, Incarnation: u.d.incarnation, FirstSequence: place, Records: []billing.UsageRecord{rec}})
		if err != nil {
			continue
		}
		u.mu.Lock()
		u.keepers[k.PeerAddress] = true
		u.mu.Unlock()
		return true
	}
	return false
}

func (u *usage) keep(q peer.StoreUsageRequest) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.kept)+len(q.Records) > u.d.settings.BillingBufferSize {
		return fault.New(fault.BillingBacklog, "%d copies are kept already", len(u.kept))
	}
	for i, r := range q.Records {
		u.kept[r.RequestID] = keptRecord{q.Owner, q.Incarnation, q.FirstSequence + uint64(i), r, time.Now()}
	}
	return nil
}

func (u *usage) release(q peer.ConfirmUsageRequest) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, k := range u.kept {
		if k.owner == q.Owner && k.incarnation == q.Incarnation && k.place <= q.ThroughSequence {
			delete(u.kept, id)
		}
	}
}

func (u *usage) loop(ctx context.Context) {
	for {
		timer := time.NewTimer(u.period())
		select {
		case <-timer.C:
		case <-u.hurry:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return
		}
		u.flush(ctx)
		u.adopt(ctx)
	}
}

func (u *usage) period() time.Duration {
	return max(flushLeast, time.Duration(u.d.members.size())*time.Second/appendsPerSecond)
}

// flush appends what is buffered. A lost reply leaves the records in the
// buffer; their second copy folds away.
func (u *usage) flush(ctx context.Context) {
	u.mu.Lock()
	batch := u.buffer.NextBatch(flushBatch)
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
	keepers := u.keepers
	u.keepers = map[string]bool{}
	pending, through := u.buffer.Len(), u.buffer.LastConfirmed()
	u.mu.Unlock()
	u.d.metrics.usagePending.Update(float64(pending))
	u.confirm(ctx, keepers, through)
}

func (u *usage) append(ctx context.Context, batch []billing.UsageRecord) error {
	data, err := cbor.Marshal(batch)
	if err != nil {
		return err
	}
	u.d.metrics.logAppends.Inc(1)
	if _, err = u.d.ports.Log.Append(ctx, UsageStream, [][]byte{data}); err != nil {
		u.d.metrics.logErrors.Inc(1)
	}
	return err
}

// confirm tells the keepers up to which place the log has the records. One that
// misses it appends its copies again, and they fold away.
func (u *usage) confirm(ctx context.Context, keepers map[string]bool, through uint64) {
	msg := peer.ConfirmUsageRequest{Owner: u.d.settings.ID, Incarnation: u.d.incarnation, ThroughSequence: through}
	for address := range keepers {
		callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		_, _ = peer.Call[peer.ConfirmUsageRequest, peer.Empty](callCtx, u.d.links, address, "confirm_usage", msg)
		cancel()
	}
}

// adopt appends copies whose owner is gone or has not confirmed for long.
func (u *usage) adopt(ctx context.Context) {
	var batch []billing.UsageRecord
	now := time.Now()
	u.mu.Lock()
	for _, k := range u.kept {
		m, known := u.d.members.find(k.owner)
		gone := !known || m.State == membership.Gone || m.Incarnation != k.incarnation
		if gone || now.Sub(k.at) > adoptAfter {
			batch = append(batch, k.usage)
		}
	}
	u.mu.Unlock()
	if len(batch) == 0 || u.append(ctx, batch) != nil {
		return
	}
	u.d.metrics.adopted.Inc(int64(len(batch)))
	u.mu.Lock()
	for _, b := range batch {
		delete(u.kept, b.RequestID)
	}
	u.mu.Unlock()
}

func (u *usage) pending() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.buffer.Len()
}

// UsageLedger folds the usage stream that the log still keeps.
func (d *Daemon) UsageLedger(ctx context.Context) (*billing.Ledger, error) {
	l := billing.NewLedger()
	var from uint64
	for {
		b, err := d.ports.Log.Read(ctx, UsageStream, from, readLimit, 0)
		if err != nil {
			return nil, fault.New(fault.LogUnavailable, "the usage stream cannot be read").WithCause(err)
		}
		for _, r := range b.Records {
			var batch []billing.UsageRecord
			if cbor.Unmarshal(r.Data, &batch) == nil {
				for _, u := range batch {
					l.Apply(u)
				}
			}
			from = r.Offset + 1
		}
		if len(b.Records) == 0 {
			return l, nil
		}
	}
}
