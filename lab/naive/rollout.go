package naive

import "time"

// FixedStages moves a roll-out on after a fixed time a stage and halts on one
// error threshold over all traffic of the model.
type FixedStages struct {
	// Stages are shares in percent; StageTime is how long each lasts.
	Stages        []float64
	StageDuration time.Duration
	// MaxErrorRate halts at this error rate over Window.
	MaxErrorRate float64
	Window       time.Duration

	samples []sample
	halted  bool
}

type sample struct {
	at               time.Duration
	requests, errors int
}

// Observe takes the totals of all traffic since the last call.
func (f *FixedStages) Observe(at time.Duration, requests, errors int) {
	f.samples = append(f.samples, sample{at, requests, errors})
	for f.samples[0].at < at-f.Window {
		f.samples = f.samples[1:]
	}
	requestTotal, errorTotal := 0, 0
	for _, s := range f.samples {
		requestTotal += s.requests
		errorTotal += s.errors
	}
	if requestTotal > 0 && float64(errorTotal)/float64(requestTotal) > f.MaxErrorRate {
		f.halted = true
	}
}

// TrafficPercent returns the share at a time since the start; a halt sends nobody.
func (f *FixedStages) TrafficPercent(at time.Duration) float64 {
	if f.halted {
		return 0
	}
	return f.Stages[min(int(at/f.StageDuration), len(f.Stages)-1)]
}

// Done reports whether every session is on the new version.
func (f *FixedStages) Done(at time.Duration) bool {
	return !f.halted && at >= f.StageDuration*time.Duration(len(f.Stages)-1)
}
