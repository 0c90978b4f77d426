package serverlimit

import "time"

// maxSequence is the largest sequence in a report; observations do not reach it.
const maxSequence = 1 << 62

// order is the place of a report among those of its server. Daemons pass it on unchanged: ages
// leave out the time in the network, so that each hop makes a report look later.
type order struct {
	// sequence is one more than that of the last report that the observer of a statement knew. An
	// end bears that of the statement that it ends.
	sequence uint64
	// perSecond orders reports of the same sequence: the lower rate holds, and an end over all.
	perSecond float64
}

func (o order) after(other order) bool {
	if o.sequence != other.sequence {
		return o.sequence > other.sequence
	}
	return o.perSecond < other.perSecond
}

// next returns the least sequence with which a report of a rate is after another order.
func (o order) next(perSecond float64) uint64 {
	if (order{o.sequence, perSecond}).after(o) {
		return o.sequence
	}
	return o.sequence + 1
}

func (u Update) order() order { return order{u.Sequence, u.PerSecond} }

func (e *entry) order() order { return order{e.sequence, e.reportedRate()} }

// evidence is what this daemon itself has observed of the reported rate.
type evidence struct {
	// observedAt is when the rate was last stated to this daemon, or when the responses to it
	// began that showed the end. It is never if only others have observed the rate.
	observedAt time.Duration
	// repeated reports whether a report was contradicted with this evidence. Each counts once, so
	// that two observers do not contradict each other for good.
	repeated bool
}

// supersedes reports whether a report holds rather than what is known. One that is much later does in
// any order: its observer did not know the last reports, as after a restart.
func (u Update) supersedes(e *entry, asOf time.Duration) bool {
	if u.Sequence == 0 {
		return u.isLater(e, asOf)
	}
	return u.order().after(e.order()) || asOf-e.asOf() >= minAdvance
}

// isLater orders the reports of daemons that pass on no sequence. A statement holds over an end of
// the same time, so that all daemons decide alike.
func (u Update) isLater(e *entry, asOf time.Duration) bool {
	switch {
	case u.PerSecond == e.reportedRate():
		return asOf-e.asOf() >= minAdvance
	case asOf == e.asOf():
		return u.PerSecond > 0 && e.ended
	}
	return asOf > e.asOf()
}

// contradicts reports whether this daemon's own evidence is later than a report of another rate, whose
// observer did not know it. A statement holds over an end of the same time.
func (e *entry) contradicts(u Update, asOf time.Duration) bool {
	if u.PerSecond == e.reportedRate() || e.repeated {
		return false
	}
	return e.observedAt > asOf || e.observedAt == asOf && u.PerSecond == 0
}

// repeatAfter makes this daemon's evidence hold over a report that it contradicts.
func (e *entry) repeatAfter(u Update) {
	e.repeated = true
	e.sequence = u.order().next(e.reportedRate())
}

// sequenceOf returns the sequence with which a report is kept that supersedes what is known. That of
// an observer that did not know the last reports is put after them.
func (e *entry) sequenceOf(u Update) uint64 {
	switch known := e.order(); {
	case u.order().after(known):
		return u.Sequence
	case u.PerSecond == known.perSecond:
		return known.sequence
	default:
		return known.next(u.PerSecond)
	}
}
