package kvtransfer

import (
	"math"
	"time"
)

const (
	// yieldHalfLife is the half-life of observations. Afterwards transfers are tried again.
	yieldHalfLife = 10 * time.Second
	// priorSaving and priorSuccess are the weight, as a time expected to be saved, and the value of
	// the initial estimate.
	priorSaving  = 500 * time.Millisecond
	priorSuccess = 0.8
	// maxSample bounds one observation, as a multiple of the time that it should have saved.
	maxSample = 2
	// maxExcess bounds the excess of one send, so that a stuck one does not stand for all.
	maxExcess = 500 * time.Millisecond
)

// Yield estimates which part of the expected saving transfers realize. It falls if lenders have
// evicted what they are expected to hold, are gone, or are slow.
type Yield struct {
	// saved and expected are decaying sums of the time that transfers have saved and that they
	// should have saved, in seconds.
	saved, expected float64
	// bias is the mean by which sends without a transfer take longer than expected.
	bias, biasWeight float64
	at               time.Time
}

// Success returns the expected part, 0 to 1, of the saving of the next transfer.
func (y *Yield) Success(now time.Time) float64 {
	kept, prior := y.kept(now), priorSaving.Seconds()
	mean := (prior*priorSuccess + y.saved*kept) / (prior + y.expected*kept)
	return min(max(mean, 0), 1)
}

// ObserveTransfer records that a send with a transfer took elapsed, where the other times are those
// expected if it succeeds completely and if it fails.
func (y *Yield) ObserveTransfer(elapsed, success, failure time.Duration, now time.Time) {
	expected := (failure - success).Seconds()
	if expected <= 0 {
		return
	}
	saved := (failure - elapsed).Seconds() + y.meanBias()
	y.decay(now)
	y.saved += min(max(saved, (1-maxSample)*expected), maxSample*expected)
	y.expected += expected
}

// ObservePlain records by how much a send without a transfer took longer than expected.
func (y *Yield) ObservePlain(excess time.Duration, now time.Time) {
	y.decay(now)
	y.bias += min(max(excess, -maxExcess), maxExcess).Seconds()
	y.biasWeight++
}

func (y *Yield) meanBias() float64 { return y.bias / max(y.biasWeight, 1) }

func (y *Yield) kept(now time.Time) float64 {
	return math.Exp2(-float64(max(0, now.Sub(y.at))) / float64(yieldHalfLife))
}

func (y *Yield) decay(now time.Time) {
	kept := y.kept(now)
	y.saved, y.expected = y.saved*kept, y.expected*kept
	y.bias, y.biasWeight = y.bias*kept, y.biasWeight*kept
	y.at = now
}
