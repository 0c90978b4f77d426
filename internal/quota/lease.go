package quota

import "time"

// LeaseRequest is a daemon's request to the lessor of a meter.
type LeaseRequest struct {
	// Meter identifies the workspace and the limited quantity.
	Meter     string `cbor:"1,keyasint"`
	Requested int64  `cbor:"2,keyasint"`
	// Unused is the unspent part of the last lease, and UnusedBucket the bucket in
	// which the lessor counted that lease. Subtracting it from a later bucket would
	// release the amount twice: now, and when the bucket of the lease expires.
	Unused       int64 `cbor:"3,keyasint,omitempty"`
	UnusedBucket int64 `cbor:"6,keyasint,omitempty"`
	// UnleasedSpend is the amount spent without a lease while the lessor was
	// unreachable.
	UnleasedSpend int64 `cbor:"7,keyasint,omitempty"`
	// Snapshot is the newest window received by the daemon, from which a new lessor
	// restores its state. It is omitted if that window is from the current epoch.
	Snapshot *WindowSnapshot `cbor:"4,keyasint,omitempty"`
	// Limit is the limit configured at the daemon.
	Limit int64 `cbor:"5,keyasint"`
}

// Lease is an amount that may be spent until LeaseTTL after it was requested.
type Lease struct {
	Amount int64 `cbor:"1,keyasint"`
	// Epoch is the lessor's incarnation.
	Epoch uint64 `cbor:"2,keyasint"`
	// Snapshot is the lessor's window after this lease.
	Snapshot WindowSnapshot `cbor:"3,keyasint"`
	// RetryAfter is the time until the requested amount is available. It is set if
	// Amount is less than requested.
	RetryAfter time.Duration `cbor:"4,keyasint"`
}

// Lessor grants leases and holds the windows of its meters.
type Lessor struct {
	epoch   uint64
	windows map[string]*Window
}

// NewLessor returns a lessor with empty windows.
func NewLessor(epoch uint64) *Lessor { return &Lessor{epoch: epoch, windows: map[string]*Window{}} }

// Grant handles a lease request. It limits the sum of the leases over WindowSpan+LeaseTTL,
// because a lease may be spent up to LeaseTTL after it was granted. The spending in any
// WindowSpan then stays within the limit.
func (l *Lessor) Grant(now time.Time, req LeaseRequest) Lease {
	w := l.windows[req.Meter]
	if w == nil {
		w = &Window{}
		l.windows[req.Meter] = w
	}
	if req.Snapshot != nil {
		w.Merge(now, *req.Snapshot)
	}
	w.AddToBucket(now, req.UnusedBucket, -req.Unused)
	w.Add(now, req.UnleasedSpend)
	available := max(0, req.Limit-w.Sum(now, WindowSpan+LeaseTTL))
	lease := Lease{Amount: min(req.Requested, available), Epoch: l.epoch}
	w.Add(now, lease.Amount)
	lease.Snapshot = w.Snapshot(now)
	if lease.Amount < req.Requested {
		lease.RetryAfter = w.TimeUntilFree(now, WindowSpan+LeaseTTL, req.Limit, req.Requested)
	}
	return lease
}

// Limiter enforces the limit of one meter at a daemon, using leases from the lessor.
// It is not safe for concurrent use.
type Limiter struct {
	meter        string
	spent        Window
	available    int64
	expires      time.Time
	unused       int64
	unusedBucket int64
	lessorEpoch  uint64
	snapshot     WindowSnapshot
	// offlineLimit limits the daemon's own spending per WindowSpan while the lessor is
	// unreachable; unleasedSpend is the amount spent in that state.
	offlineLimit      int64
	unleasedSpend     int64
	lessorUnreachable bool
	// offlineUntil is the time after which the daemon may not spend without a lease
	// before it has tried the lessor again. Otherwise a new lessor could lease the same
	// amount to other daemons.
	offlineUntil time.Time
	// deniedUntil is the earliest time of a lease request after a denied or unanswered one.
	deniedUntil time.Time
	rate        float64
	rateAt      time.Time
}

// NewLimiter returns a limiter without a lease.
func NewLimiter(meter string) *Limiter { return &Limiter{meter: meter} }

// TryAcquire spends n from the lease and reports whether the lease covered it. While
// the lessor is unreachable, the daemon may spend as much per WindowSpan as it had spent
// when contact was lost, so that the sum over all daemons stays within the limit.
func (l *Limiter) TryAcquire(now time.Time, n int64) bool {
	l.expire(now)
	if l.lessorUnreachable {
		if !now.Before(l.offlineUntil) || l.spent.Sum(now, WindowSpan)+n > l.offlineLimit {
			return false
		}
		l.unleasedSpend += n
		l.record(now, n)
		return true
	}
	if l.available < n {
		return false
	}
	l.available -= n
	l.record(now, n)
	return true
}

func (l *Limiter) record(now time.Time, n int64) {
	l.spent.Add(now, n)
	l.rate = l.rate*decay(now.Sub(l.rateAt)) + float64(n)
	l.rateAt = now
}

func decay(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return max(0, 1-float64(age)/float64(LeaseTTL))
}

func (l *Limiter) expire(now time.Time) {
	if l.available > 0 && !now.Before(l.expires) {
		l.unused += l.available
		l.available = 0
	}
}

// Settle returns the unused part of a reservation. Requests reserve the maximum they
// may use, so that concurrent requests cannot be admitted for the same amount.
func (l *Limiter) Settle(now time.Time, reserved, used int64) {
	unused := reserved - used
	l.spent.Add(now, -unused)
	if l.lessorUnreachable {
		l.unleasedSpend -= unused
		return
	}
	l.unused += unused
}

// NewLeaseRequest returns a request for the amount needed now plus the amount that the
// recent rate will use within LeaseTTL. epoch is the incarnation of the current lessor,
// or 0 if unknown.
func (l *Limiter) NewLeaseRequest(now time.Time, need, limit int64, epoch uint64) LeaseRequest {
	l.expire(now)
	req := LeaseRequest{Meter: l.meter, Requested: need + int64(l.rate*decay(now.Sub(l.rateAt))), Limit: limit, Unused: l.unused, UnusedBucket: l.unusedBucket, UnleasedSpend: l.unleasedSpend}
	l.unused, l.unleasedSpend = 0, 0
	if epoch == 0 || epoch != l.lessorEpoch {
		snapshot := l.snapshot
		req.Snapshot = &snapshot
	}
	return req
}

// maxDenialTime is the maximum time for which a denial is cached. Without the cache, a
// workspace over its limit would cause a lease request for every rejected request.
const maxDenialTime = 200 * time.Millisecond

// Denied reports whether a recent lease request was denied.
func (l *Limiter) Denied(now time.Time) bool { return now.Before(l.deniedUntil) }

// DenyUntil makes Denied report a denial until a time.
func (l *Limiter) DenyUntil(until time.Time) { l.deniedUntil = until }

// HasUnleasedSpend reports whether spending without a lease is not yet reported to the
// lessor. It must be reported at once; otherwise a new lessor leases that amount again.
func (l *Limiter) HasUnleasedSpend() bool { return l.unleasedSpend != 0 }

// ApplyLease adds a lease that was requested at the given time.
func (l *Limiter) ApplyLease(requestedAt time.Time, lease Lease) {
	l.available += lease.Amount
	l.expires = requestedAt.Add(LeaseTTL)
	l.lessorEpoch, l.snapshot, l.lessorUnreachable = lease.Epoch, lease.Snapshot, false
	l.unusedBucket = lease.Snapshot.Newest
	if lease.Amount == 0 && lease.RetryAfter > 0 {
		l.deniedUntil = requestedAt.Add(min(lease.RetryAfter, maxDenialTime))
	}
}

// LeaseRequestFailed records that a lease request got no reply. The lessor may or may
// not have applied it, so its unused amount counts as spent and its unleased spending
// is reported again; neither can lead to spending over the limit.
func (l *Limiter) LeaseRequestFailed(now time.Time, failed LeaseRequest) {
	l.expire(now)
	l.unused = 0
	l.unleasedSpend += failed.UnleasedSpend
	l.offlineUntil = now.Add(LeaseTTL / 2)
	if l.lessorUnreachable {
		return
	}
	l.lessorUnreachable = true
	l.offlineLimit = l.spent.Sum(now, WindowSpan)
}
