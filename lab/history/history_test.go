package history

import (
	"reflect"
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/invariant"
)

const (
	// historiesPerPair is the number of histories of each pair of faults, equal ones
	// included: 78 pairs make 10,140.
	historiesPerPair = 130
	// historiesPerPairShort is used with -short, under the race detector.
	historiesPerPairShort = 4
)

// Symptom: a promise breaks when two things go wrong at once.
// Sequence: every pair of faults, at random times, over random traffic.
// Cause: whatever the checker finds; each finding has a test of its own.
func TestInvariantsHoldUnderFaultPairs(t *testing.T) {
	perFaultPair := historiesPerPair
	if testing.Short() {
		perFaultPair = historiesPerPairShort
	}
	sums := make([]Stats, len(Faults))
	t.Run("pairs", func(t *testing.T) {
		for i, a := range Faults {
			t.Run(a.Name, func(t *testing.T) {
				t.Parallel()
				for j, b := range Faults[:i+1] {
					for n := range perFaultPair {
						runAndCheck(t, uint64(i*1_000_000+j*10_000+n), &sums[i], a, b)
					}
				}
			})
		}
	})
	var sum Stats
	for _, s := range sums {
		addStats(&sum, s)
	}
	pairs := len(Faults) * (len(Faults) + 1) / 2
	t.Logf("%d histories of %d faults in %d pairs: %+v", pairs*perFaultPair, len(Faults), pairs, sum)
	v := reflect.ValueOf(sum)
	for i := range v.NumField() {
		if v.Field(i).Int() == 0 {
			t.Errorf("no history had any %s", v.Type().Field(i).Name)
		}
	}
}

func runAndCheck(t *testing.T, seed uint64, sum *Stats, a, b Fault) {
	t.Helper()
	events, s := Run(seed, a, b)
	addStats(sum, s)
	if violations := invariant.Check(events, Limits); len(violations) > 0 {
		t.Errorf("seed %d, %s and %s: %v", seed, a.Name, b.Name, violations[:min(2, len(violations))])
	}
}

func addStats(sum *Stats, s Stats) {
	s.MaxConfigDelay = max(0, s.MaxConfigDelay-sum.MaxConfigDelay)
	v, o := reflect.ValueOf(sum).Elem(), reflect.ValueOf(s)
	for i := range v.NumField() {
		v.Field(i).SetInt(v.Field(i).Int() + o.Field(i).Int())
	}
}

// A change is in force at all six daemons within 2 s of the log's taking it when
// the log is healthy. The times under faults are logged for the design note; what
// bounds them is the checker, by what daemons dispatch.
func TestConfigPropagationDelay(t *testing.T) {
	measure := func(faults ...Fault) time.Duration {
		maxDelay := time.Duration(0)
		for seed := range uint64(40) {
			_, s := Run(seed, faults...)
			maxDelay = max(maxDelay, s.MaxConfigDelay)
		}
		return maxDelay
	}
	healthy := measure()
	t.Logf("no fault: %s", healthy.Round(10*time.Millisecond))
	if healthy > 2*time.Second {
		t.Errorf("with a healthy log a change takes %s", healthy)
	}
	for _, f := range Faults[:8] {
		d := measure(f)
		t.Logf("%s: %s", f.Name, d.Round(10*time.Millisecond))
	}
}

func TestSameSeedSameHistory(t *testing.T) {
	a, _ := Run(7, Faults[0], Faults[4])
	b, _ := Run(7, Faults[0], Faults[4])
	if !reflect.DeepEqual(a, b) {
		t.Fatal("two runs of one seed differ")
	}
}
