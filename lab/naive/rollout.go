package naive

import "time"

// FixedSteps moves a roll-out on after a fixed time a stage and halts on one
// error threshold over all traffic of the model.
type FixedSteps struct {
	// Stages are shares in percent; StageTime is how long each lasts.
	Stages    []float64
	StageTime time.Duration
	// Threshold halts at this error rate over Window.
	Threshold float64
	Window    time.Duration

	samples []sample
	halted  bool
}

type sample struct {
	at               time.Duration
	requests, errors int
}

// Observe takes the totals of all traffic since the last call.
func (f *FixedSteps) Observe(at time.Duration, requests, errors int) {
	f.samples = append(f.samples, sample{at, requests, errors})
	for f.samples[0].at < at-f.Window {
		f.samples = f.samples[1:]
	}
	n, bad := 0, 0
	for _, s := range f.samples {
		n += s.requests
		bad += s.errors
	}
	if n > 0 && float64(bad)/float64(n) > f.Threshold {
		f.halted = true
	}
}

// Percent returns the share at a time since the start; a halt sends nobody.
func (f *FixedSteps) Percent(at time.Duration) float64 {
	if f.halted {
		return 0
	}
	return f.Stages[min(int(at/f.StageTime), len(f.Stages)-1)]
}

// Done reports whether every session is on the new version.
func (f *FixedSteps) Done(at time.Duration) bool {
	return !f.halted && at >= f.StageTime*time.Duration(len(f.Stages)-1)
}
