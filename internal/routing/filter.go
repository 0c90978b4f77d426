package routing

// Filter excludes candidates that must not get the request.
type Filter interface {
	// Name identifies the filter in an explanation.
	Name() string
	// Keep reports whether the candidate may get the request.
	Keep(r *Request, c *Candidate, index int) bool
}

// Live excludes servers that are leaving or suspect.
type Live struct{}

// Name implements Filter.
func (Live) Name() string { return "live" }

// Keep implements Filter.
func (Live) Keep(_ *Request, c *Candidate, _ int) bool { return !c.Leaving && !c.Suspect }

// Untried excludes the servers of earlier attempts.
type Untried struct{}

// Name implements Filter.
func (Untried) Name() string { return "untried" }

// Keep implements Filter.
func (Untried) Keep(r *Request, _ *Candidate, index int) bool { return !r.Tried.Has(index) }
