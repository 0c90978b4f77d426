package quota

import "time"

// LeaseRequest is a daemon's request for a lease.
type LeaseRequest struct {
	// Meter names the workspace and what is limited.
	Meter string `cbor:"1,keyasint"`
	Want  int64  `cbor:"2,keyasint"`
	// Unused is the part of the last lease that was not spent, and Bucket the
	// window's bucket the lease stands in. Taking it out of a later bucket would
	// free the room twice: now, and when the lease's bucket expires.
	Unused int64 `cbor:"3,keyasint,omitempty"`
	Bucket int64 `cbor:"6,keyasint,omitempty"`
	// Homeless is what was spent without a lease while no home answered.
	Homeless int64 `cbor:"7,keyasint,omitempty"`
	// Known is the newest history the daemon heard, for a home that has none.
	// It is left out once the home's epoch is known to it.
	Known *History `cbor:"4,keyasint,omitempty"`
	// Limit is the limit in force at the daemon.
	Limit int64 `cbor:"5,keyasint"`
}

// Lease is an amount that may be spent until LeaseTerm after it was asked for.
type Lease struct {
	Amount int64 `cbor:"1,keyasint"`
	// Epoch identifies the home's incarnation.
	Epoch uint64 `cbor:"2,keyasint"`
	// History is the home's window after this lease.
	History History `cbor:"3,keyasint"`
	// RetryAfter is set when Amount falls short of what was wanted.
	RetryAfter time.Duration `cbor:"4,keyasint"`
}

// Lessor holds the windows of the meters it is home of.
type Lessor struct {
	epoch  uint64
	meters map[string]*Window
}

// NewLessor returns a home with no history.
func NewLessor(epoch uint64) *Lessor { return &Lessor{epoch: epoch, meters: map[string]*Window{}} }

// Grant answers an ask. An amount leased at t may be spent until t+LeaseTerm,
// so the home bounds leases over Span+LeaseTerm: no span of spending can then
// hold more than the limit.
func (h *Lessor) Grant(now time.Time, a LeaseRequest) Lease {
	w := h.meters[a.Meter]
	if w == nil {
		w = &Window{}
		h.meters[a.Meter] = w
	}
	if a.Known != nil {
		w.Merge(now, *a.Known)
	}
	w.AddAt(now, a.Bucket, -a.Unused)
	w.Add(now, a.Homeless)
	free := max(0, a.Limit-w.Sum(now, WindowSpan+LeaseTerm))
	l := Lease{Amount: min(a.Want, free), Epoch: h.epoch}
	w.Add(now, l.Amount)
	l.History = w.History(now)
	if l.Amount < a.Want {
		l.RetryAfter = w.FreeAt(now, WindowSpan+LeaseTerm, a.Limit, a.Want)
	}
	return l
}

// Limiter is a daemon's side of one meter.
type Limiter struct {
	meter   string
	spent   Window
	amount  int64
	expires time.Time
	unused  int64
	bucket  int64
	epoch   uint64
	known   History
	// ceiling caps the own window while no home answers; homeless is what was
	// spent under it.
	ceiling  int64
	homeless int64
	lost     bool
	// askAgain ends the spending without a lease until the home was asked once
	// more. Without it a daemon would go on under its ceiling while a new home,
	// unaware of it, leases the same room to others.
	askAgain time.Time
	// deniedUntil is when to ask again after the home had nothing.
	deniedUntil time.Time
	rate        float64
	rateAt      time.Time
}

// NewLimiter returns a share with nothing leased.
func NewLimiter(meter string) *Limiter { return &Limiter{meter: meter} }

// TryAcquire takes n from the lease and reports whether it was there. While no
// home answers, a daemon may keep its own window at the level it had when the
// home was lost: the sum over all daemons then stays within the limit without
// any of them knowing the others.
func (s *Limiter) TryAcquire(now time.Time, n int64) bool {
	s.expire(now)
	if s.lost {
		if !now.Before(s.askAgain) || s.spent.Sum(now, WindowSpan)+n > s.ceiling {
			return false
		}
		s.homeless += n
		s.record(now, n)
		return true
	}
	if s.amount < n {
		return false
	}
	s.amount -= n
	s.record(now, n)
	return true
}

func (s *Limiter) record(now time.Time, n int64) {
	s.spent.Add(now, n)
	s.rate = s.rate*decay(now.Sub(s.rateAt)) + float64(n)
	s.rateAt = now
}

func decay(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return max(0, 1-float64(age)/float64(LeaseTerm))
}

func (s *Limiter) expire(now time.Time) {
	if s.amount > 0 && !now.Before(s.expires) {
		s.unused += s.amount
		s.amount = 0
	}
}

// Settle gives back what a reservation did not use. A reservation counts the
// most a request may use, so that concurrent requests cannot all pass on the
// same room.
func (s *Limiter) Settle(now time.Time, reserved, used int64) {
	back := reserved - used
	s.spent.Add(now, -back)
	if s.lost {
		s.homeless -= back
		return
	}
	s.unused += back
}

// NewLeaseRequest returns what to ask the home for: what is needed now plus what the recent
// rate will use within a lease's term.
func (s *Limiter) NewLeaseRequest(now time.Time, need, limit int64, epoch uint64) LeaseRequest {
	s.expire(now)
	a := LeaseRequest{Meter: s.meter, Want: need + int64(s.rate*decay(now.Sub(s.rateAt))), Limit: limit, Unused: s.unused, Bucket: s.bucket, Homeless: s.homeless}
	s.unused, s.homeless = 0, 0
	if epoch == 0 || epoch != s.epoch {
		known := s.known
		a.Known = &known
	}
	return a
}

// denialTerm bounds how long a daemon takes the home's "nothing left" for true
// without asking. A workspace far over its limit would otherwise cost its home a
// message for every refused request.
const denialTerm = 200 * time.Millisecond

// Denied reports whether the home had nothing a moment ago.
func (s *Limiter) Denied(now time.Time) bool { return now.Before(s.deniedUntil) }

// HasUnleasedSpend reports whether the home must hear of spending without a lease. A daemon
// with little demand would otherwise tell it much later, and the new home would
// lease out room that is used up.
func (s *Limiter) HasUnleasedSpend() bool { return s.homeless != 0 }

// ApplyLease stores a lease that was asked for at a time.
func (s *Limiter) ApplyLease(askedAt time.Time, l Lease) {
	s.amount += l.Amount
	s.expires = askedAt.Add(LeaseTerm)
	s.epoch, s.known, s.lost = l.Epoch, l.History, false
	s.bucket = l.History.Newest
	if l.Amount == 0 && l.RetryAfter > 0 {
		s.deniedUntil = askedAt.Add(min(l.RetryAfter, denialTerm))
	}
}

// LessorEpoch returns the home incarnation that last answered, or 0.
func (s *Limiter) LessorEpoch() uint64 { return s.epoch }

// LeaseRequestFailed records that an ask got no answer. What the ask reported was perhaps
// not heard: the unused part is forgotten, so that it counts as spent, and what
// was spent without a home is reported again. Both err on the safe side.
func (s *Limiter) LeaseRequestFailed(now time.Time, failed LeaseRequest) {
	s.expire(now)
	s.unused = 0
	s.homeless += failed.Homeless
	s.askAgain = now.Add(LeaseTerm / 2)
	if s.lost {
		return
	}
	s.lost = true
	s.ceiling = s.spent.Sum(now, WindowSpan)
}
