package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Ask is a daemon's request for a lease.
type Ask struct {
	// Meter names the workspace and what is limited.
	Meter string `cbor:"1,keyasint"`
	Want  int64  `cbor:"2,keyasint"`
	// Unused is the part of earlier leases that was not spent.
	Unused int64 `cbor:"3,keyasint"`
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
	if a.Unused > 0 {
		w.Add(now, -a.Unused)
	}
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
	epoch   uint64
	known   History
	// homeless caps the window while no home answers.
	homeless int64
	lost     bool
	rate     float64
	rateAt   time.Time
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
		if s.spent.Sum(now, Span)+n > s.homeless {
			return false
		}
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
		return
	}
	s.unused += back
}

// Ask returns what to ask the home for: what is needed now plus what the recent
// rate will use within a lease's term.
func (s *Share) Ask(now time.Time, need, limit int64, epoch uint64) Ask {
	s.expire(now)
	a := Ask{Meter: s.meter, Want: need + int64(s.rate*decay(now.Sub(s.rateAt))), Limit: limit, Unused: max(0, s.unused)}
	s.unused = min(0, s.unused)
	if epoch == 0 || epoch != s.epoch {
		known := s.known
		a.Known = &known
	}
	return a
}

// Granted stores a lease that was asked for at a time.
func (s *Share) Granted(askedAt time.Time, l Lease) {
	s.amount += l.Amount
	s.expires = askedAt.Add(LeaseTerm)
	s.epoch, s.known, s.lost = l.Epoch, l.History, false
}

// Epoch returns the home incarnation that last answered, or 0.
func (s *Share) Epoch() uint64 { return s.epoch }

// HomeLost records that no home answers. What was taken back for the home in
// the failed ask is forgotten: it then counts as spent, which is safe.
func (s *Share) HomeLost(now time.Time) {
	s.expire(now)
	s.unused = 0
	if s.lost {
		return
	}
	s.lost = true
	s.homeless = s.spent.Sum(now, Span)
}

// Rank orders daemons for a meter by rendezvous hashing: the live daemon with
// the largest value is home.
func Rank(meter, daemon string) uint64 { return xxhash.Sum64String(meter + "\x00" + daemon) }
