package serverlimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Guards against a statement that looks later than its end, as each hop adds the time in the network
// and what the age in a report leaves out.
func TestEndHoldsOverStatementThatPassedHops(t *testing.T) {
	const transit = 4700 * time.Microsecond
	tables, now := [6]*Table{}, time.Minute
	for i := range tables {
		tables[i] = NewTable()
	}
	tables[0].Observe(1, StatedRate(5), 0, now)
	statedAt := now
	for hop := 1; hop < len(tables); hop++ {
		updates := tables[hop-1].Updates(false, now)
		now += transit
		tables[hop].Merge(updates, now)
	}
	now = observeUnstated(tables[0], minUnstated, statedAt+time.Millisecond-unstatedInterval)
	updates := tables[0].Updates(false, now)
	now += transit
	for hop := 1; hop < len(tables); hop++ {
		if tables[hop].Merge(updates, now); tables[hop].Reported(1) != 0 {
			t.Errorf("the end is void after %d hops", hop)
		}
	}
}

// delivery is a message on its way.
type delivery struct {
	at      time.Duration
	to      int
	updates []Update
}

// lossyFleet passes the reports of daemons on in random order: late, repeated, and with ages that are
// rounded in either direction.
type lossyFleet struct {
	random   *rand.Rand
	tables   []*Table
	now      time.Duration
	inFlight []delivery
}

func newLossyFleet(daemons int, seed uint64) *lossyFleet {
	f := &lossyFleet{random: rand.New(rand.NewPCG(seed, 1)), tables: make([]*Table, daemons), now: time.Minute}
	for i := range f.tables {
		f.tables[i] = NewTable()
	}
	return f
}

// send passes the reports of a daemon to three others.
func (f *lossyFleet) send(from int) {
	updates := f.tables[from].Updates(false, f.now)
	if len(updates) == 0 {
		return
	}
	for i := range updates {
		updates[i].AgeMs += int64(f.random.IntN(2))
	}
	for range 3 {
		to := f.random.IntN(len(f.tables))
		for range 1 + f.random.IntN(2) {
			transit := time.Duration(f.random.Int64N(int64(60 * time.Millisecond)))
			f.inFlight = append(f.inFlight, delivery{f.now + transit, to, updates})
		}
	}
}

// run passes reports on for a time.
func (f *lossyFleet) run(duration time.Duration) {
	const step = 2300 * time.Microsecond
	for end := f.now + duration; f.now < end; f.now += step {
		arrived := f.inFlight
		f.inFlight = nil
		for _, d := range arrived {
			if d.at > f.now {
				f.inFlight = append(f.inFlight, d)
				continue
			}
			f.tables[d.to].Merge(d.updates, f.now)
		}
		for i, table := range f.tables {
			if table.TakeUrgent() || f.random.IntN(100) == 0 {
				f.send(i)
			}
		}
	}
}

// disagreeing describes the daemons that report another rate than the wanted one.
func (f *lossyFleet) disagreeing(want float64) (out []string) {
	for i, table := range f.tables {
		if got := table.Reported(1); got != want {
			out = append(out, fmt.Sprintf("daemon %d: %g", i, got))
		}
	}
	return out
}

// Guards against daemons that keep the earlier of a statement and an end, or disagree for good,
// because of the order, the number or the rounding of the reports that reach them.
func TestLaterOfStatementAndEndHoldsAtAllDaemons(t *testing.T) {
	const daemons, seeds = 12, 40
	for seed := range uint64(seeds) {
		f := newLossyFleet(daemons, seed)
		f.tables[0].Observe(1, StatedRate(5), f.now, f.now)
		f.run(time.Duration(f.random.Int64N(int64(100 * time.Millisecond))))
		ender := f.tables[0]
		for range minUnstated {
			ender.Observe(1, Statement{}, f.now, f.now)
			f.run(unstatedInterval)
		}
		f.run(3 * time.Second)
		if wrong := f.disagreeing(0); len(wrong) > 0 {
			t.Errorf("seed %d: the end is void: %v", seed, wrong)
		}
		last, rate := 1+f.random.IntN(daemons-1), float64(5+f.random.IntN(2))
		f.tables[last].Observe(1, StatedRate(rate), f.now, f.now)
		f.run(3 * time.Second)
		if wrong := f.disagreeing(rate); len(wrong) > 0 {
			t.Errorf("seed %d: the later statement is void: %v", seed, wrong)
		}
	}
}

// Guards against a statement that an end voids which its daemon did not know, although the
// statement is later than the responses that showed the end.
func TestStatementBesideEndHoldsAtAllDaemons(t *testing.T) {
	const daemons, seeds = 12, 40
	for seed := range uint64(seeds) {
		f := newLossyFleet(daemons, seed)
		f.tables[0].Observe(1, StatedRate(5), f.now, f.now)
		f.run(3 * time.Second)
		for range minUnstated {
			f.run(unstatedInterval)
			f.tables[0].Observe(1, Statement{}, f.now, f.now)
		}
		f.run(time.Duration(f.random.Int64N(int64(40 * time.Millisecond))))
		f.tables[1+f.random.IntN(daemons-1)].Observe(1, StatedRate(5), f.now, f.now)
		f.run(3 * time.Second)
		if wrong := f.disagreeing(5); len(wrong) > 0 {
			t.Errorf("seed %d: the later statement is void: %v", seed, wrong)
		}
	}
}

// Guards against daemons that disagree for good, or contradict each other for good, after several of
// them have observed different rates and ends at nearly the same time.
func TestDaemonsAgreeAfterReportsOfManyObservers(t *testing.T) {
	const daemons, seeds = 12, 40
	for seed := range uint64(seeds) {
		f := newLossyFleet(daemons, seed)
		for range 60 {
			statement := StatedRate(float64(5 + f.random.IntN(2)))
			if f.random.IntN(3) > 0 {
				statement = Statement{}
			}
			f.tables[f.random.IntN(4)].Observe(1, statement, f.now, f.now)
			f.run(time.Duration(f.random.Int64N(int64(60 * time.Millisecond))))
		}
		f.run(20 * time.Second)
		if wrong := f.disagreeing(f.tables[0].Reported(1)); len(wrong) > 0 {
			t.Errorf("seed %d: daemon 0 reports %g, others do not: %v", seed, f.tables[0].Reported(1), wrong)
		}
		if len(f.inFlight) > 0 {
			t.Errorf("seed %d: reports are still passed on", seed)
		}
	}
}

// Guards against reports of daemons that pass on no sequence which are not applied, or not in the
// order of their times, and against daemons with a sequence that lose it to them.
func TestReportsWithoutSequenceAreOrderedByTime(t *testing.T) {
	known, other, now := NewTable(), NewTable(), time.Minute
	merge := func(perSecond float64, age time.Duration) float64 {
		known.Merge([]Update{{Server: 1, PerSecond: perSecond, AgeMs: age.Milliseconds()}}, now)
		other.Merge(known.Updates(false, now), now)
		if known.Reported(1) != other.Reported(1) {
			t.Errorf("rates %g and %g", known.Reported(1), other.Reported(1))
		}
		return known.Reported(1)
	}
	for _, tt := range []struct {
		perSecond float64
		age       time.Duration
		want      float64
	}{
		{0, 0, 0}, {5, 10 * time.Second, 5}, {0, 11 * time.Second, 5}, {0, 10 * time.Second, 5}, {7, 9 * time.Second, 7},
		{0, 8 * time.Second, 0}, {7, 9 * time.Second, 0}, {5, 8 * time.Second, 5}, {0, time.Second, 0}, {6, 0, 6},
	} {
		if got := merge(tt.perSecond, tt.age); got != tt.want {
			t.Errorf("%g of %s ago: rate %g, want %g", tt.perSecond, tt.age, got, tt.want)
		}
	}
}

// Guards against reports that daemons with and without sequences cannot read from each other.
func TestReportsWithAndWithoutSequenceAreDecoded(t *testing.T) {
	type unsequenced struct {
		Server    uint64  `cbor:"1,keyasint"`
		PerSecond float64 `cbor:"2,keyasint,omitempty"`
		AgeMs     int64   `cbor:"3,keyasint,omitempty"`
	}
	old, update := unsequenced{1, 5, 30}, Update{1, 5, 30, 7}
	data, err := cbor.Marshal([]unsequenced{old})
	if err != nil {
		t.Fatal(err)
	}
	var updates []Update
	if err := cbor.Unmarshal(data, &updates); err != nil || len(updates) != 1 || updates[0] != (Update{1, 5, 30, 0}) {
		t.Errorf("without a sequence: %+v, %v", updates, err)
	}
	if data, err = cbor.Marshal([]Update{update}); err != nil {
		t.Fatal(err)
	}
	var read []unsequenced
	if err := cbor.Unmarshal(data, &read); err != nil || len(read) != 1 || read[0] != old {
		t.Errorf("with a sequence: %+v, %v", read, err)
	}
}
