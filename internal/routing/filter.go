package routing

// Filter rejects candidates that must not get the request.
type Filter interface {
	// Name identifies the filter in an explanation.
	Name() string
	// Keep reports whether the candidate stays.
	Keep(r *Request, c *Candidate, index int) bool
}

// Live drops servers that leave or have gone silent.
type Live struct{}

// Name implements Filter.
func (Live) Name() string { return "live" }

// Keep implements Filter.
func (Live) Keep(_ *Request, c *Candidate, _ int) bool { return !c.Leaving && !c.Suspect }

// Untried drops servers that an earlier attempt of the request used.
type Untried struct{}

// Name implements Filter.
func (Untried) Name() string { return "untried" }

// Keep implements Filter.
func (Untried) Keep(r *Request, _ *Candidate, index int) bool { return !r.Tried.Has(index) }
