package routing

import "time"

// LargeBodies is the cost of sending a large body to a server that holds other large ones. It spreads
// bodies over servers, whose memory bounds what they hold; small bodies cost next to nothing.
type LargeBodies struct {
	// PerSquareMB is the cost of 1,000,000 bytes at a server that holds as many.
	PerSquareMB time.Duration
}

// Name implements Scorer.
func (LargeBodies) Name() string { return "bodies" }

// Cost implements Scorer.
func (l LargeBodies) Cost(r *Request, c *Candidate, _ int) time.Duration {
	const megabyte = 1e6
	return time.Duration(float64(r.BodyBytes) / megabyte * float64(c.BodyBytes) / megabyte * float64(l.PerSquareMB))
}
