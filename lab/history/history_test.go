package history

import (
	"reflect"
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/invariant"
)

const (
	// historiesPerPair is the number of seeds for each pair of faults, including pairs of
	// the same fault.
	historiesPerPair = 130
	// historiesPerPairShort is used with -short.
	historiesPerPairShort = 4
)

// Guards against invariants that hold under single faults but not under two at once.
func TestInvariantsHoldUnderFaultPairs(t *testing.T) {
	perPair := historiesPerPair
	if testing.Short() {
		perPair = historiesPerPairShort
	}
	sums := make([]Stats, len(Faults))
	t.Run("pairs", func(t *testing.T) {
		for i, a := range Faults {
			t.Run(a.Name, func(t *testing.T) {
				t.Parallel()
				for j, b := range Faults[:i+1] {
					for n := range perPair {
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
	t.Logf("%d histories of %d faults in %d pairs: %+v", pairs*perPair, len(Faults), pairs, sum)
	totals := reflect.ValueOf(sum)
	for i := range totals.NumField() {
		if totals.Field(i).Int() == 0 {
			t.Errorf("no history has a nonzero %s", totals.Type().Field(i).Name)
		}
	}
}

func runAndCheck(t *testing.T, seed uint64, sum *Stats, a, b Fault) {
	t.Helper()
	events, stats := Run(seed, a, b)
	addStats(sum, stats)
	if violations := invariant.Check(events, Limits); len(violations) > 0 {
		t.Errorf("seed %d, %s and %s: %v", seed, a.Name, b.Name, violations[:min(2, len(violations))])
	}
}

func addStats(sum *Stats, stats Stats) {
	stats.MaxConfigDelay = max(0, stats.MaxConfigDelay-sum.MaxConfigDelay)
	total, added := reflect.ValueOf(sum).Elem(), reflect.ValueOf(stats)
	for i := range total.NumField() {
		total.Field(i).SetInt(total.Field(i).Int() + added.Field(i).Int())
	}
}

// Checks how long daemons take to apply a committed configuration when there are no faults.
// The delays under faults are only logged.
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
	t.Logf("no faults: %s", healthy.Round(10*time.Millisecond))
	if healthy > 2*time.Second {
		t.Errorf("propagation delay without faults: %s", healthy)
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
		t.Fatal("two runs with the same seed differ")
	}
}
