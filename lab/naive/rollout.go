package naive

import "time"

// FixedStages advances a rollout after a fixed time per stage, and halts it when the error
// rate over all traffic of the model exceeds a threshold.
type FixedStages struct {
	// Stages are traffic shares in percent, each of which lasts StageDuration.
	Stages        []float64
	StageDuration time.Duration
	// MaxErrorRate is the error rate over Window above which the rollout halts.
	MaxErrorRate float64
	Window       time.Duration

	samples []sample
	halted  bool
}

type sample struct {
	at               time.Duration
	requests, errors int
}

// Observe adds the numbers of requests and errors since the last call.
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

// TrafficPercent returns the traffic share of the new version at a time since the start. It
// is zero after a halt.
func (f *FixedStages) TrafficPercent(at time.Duration) float64 {
	if f.halted {
		return 0
	}
	return f.Stages[min(int(at/f.StageDuration), len(f.Stages)-1)]
}

// Done reports whether the last stage has been reached without a halt.
func (f *FixedStages) Done(at time.Duration) bool {
	return !f.halted && at >= f.StageDuration*time.Duration(len(f.Stages)-1)
}
