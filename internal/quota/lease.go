package quota

import "time"

// Ask is a daemon's request for a lease.
type Ask struct {
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

// Home holds the windows of the meters it is home of.
type Home struct {
	epoch  uint64
	meters map[string]*Window
}

// NewHome returns a home with no history.
func NewHome(epoch uint64) *Home { return &Home{epoch: epoch, meters: map[string]*Window{}} }

// Grant answers an ask. An amount leased at t may be spent until t+LeaseTerm,
// so the home bounds leases over Span+LeaseTerm: no span of spending can then
// hold more than the limit.
func (h *Home) Grant(now time.Time, a Ask) Lease {
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
	free := max(0, a.Limit-w.Sum(now, Span+LeaseTerm))
	l := Lease{Amount: min(a.Want, free), Epoch: h.epoch}
	w.Add(now, l.Amount)
	l.History = w.History(now)
	if l.Amount < a.Want {
		l.RetryAfter = w.FreeAt(now, Span+LeaseTerm, a.Limit, a.Want)
	}
	return l
}

// Share is a daemon's side of one meter.
type Share struct {
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

// NewShare returns a share with nothing leased.
func NewShare(meter string) *Share { return &Share{meter: meter} }

// TrySpend takes n from the lease and reports whether it was there. While no
// home answers, a daemon may keep its own window at the level it had when the
// home was lost: the sum over all daemons then stays within the limit without
// any of them knowing the others.
func (s *Share) TrySpend(now time.Time, n int64) bool {
	s.expire(now)
	if s.lost {
		if !now.Before(s.askAgain) || s.spent.Sum(now, Span)+n > s.ceiling {
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

func (s *Share) record(now time.Time, n int64) {
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

func (s *Share) expire(now time.Time) {
	if s.amount > 0 && !now.Before(s.expires) {
		s.unused += s.amount
		s.amount = 0
	}
}

// Settle gives back what a reservation did not use. A reservation counts the
// most a request may use, so that concurrent requests cannot all pass on the
// same room.
func (s *Share) Settle(now time.Time, reserved, used int64) {
	back := reserved - used
	s.spent.Add(now, -back)
	if s.lost {
		s.homeless -= back
		return
	}
	s.unused += back
}

// Ask returns what to ask the home for: what is needed now plus what the recent
// rate will use within a lease's term.
func (s *Share) Ask(now time.Time, need, limit int64, epoch uint64) Ask {
	s.expire(now)
	a := Ask{Meter: s.meter, Want: need + int64(s.rate*decay(now.Sub(s.rateAt))), Limit: limit, Unused: s.unused, Bucket: s.bucket, Homeless: s.homeless}
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
func (s *Share) Denied(now time.Time) bool { return now.Before(s.deniedUntil) }

// Owes reports whether the home must hear of spending without a lease. A daemon
// with little demand would otherwise tell it much later, and the new home would
// lease out room that is used up.
func (s *Share) Owes() bool { return s.homeless != 0 }

// Granted stores a lease that was asked for at a time.
func (s *Share) Granted(askedAt time.Time, l Lease) {
	s.amount += l.Amount
	s.expires = askedAt.Add(LeaseTerm)
	s.epoch, s.known, s.lost = l.Epoch, l.History, false
	s.bucket = l.History.Newest
	if l.Amount == 0 && l.RetryAfter > 0 {
		s.deniedUntil = askedAt.Add(min(l.RetryAfter, denialTerm))
	}
}

// Epoch returns the home incarnation that last answered, or 0.
func (s *Share) Epoch() uint64 { return s.epoch }

// HomeLost records that an ask got no answer. What the ask reported was perhaps
// not heard: the unused part is forgotten, so that it counts as spent, and what
// was spent without a home is reported again. Both err on the safe side.
func (s *Share) HomeLost(now time.Time, failed Ask) {
	s.expire(now)
	s.unused = 0
	s.homeless += failed.Homeless
	s.askAgain = now.Add(LeaseTerm / 2)
	if s.lost {
		return
	}
	s.lost = true
	s.ceiling = s.spent.Sum(now, Span)
}
