package httpframing

// collector collects the bytes of a head or a trailer.
type collector struct {
	lines Head
	// partial holds the bytes of a head that is not complete.
	partial []byte
}

// scan returns the number of bytes of p that belong to the head, and the head once it is complete. The
// head is valid until the next call.
func (c *collector) scan(p []byte) (n int, head []byte) {
	n, done := c.lines.Scan(p)
	if !done {
		c.partial = append(c.partial, p[:n]...)
		return n, nil
	}
	head = p[:n]
	if len(c.partial) > 0 {
		head = append(c.partial, head...)
	}
	*c = collector{}
	return n, head
}

// empty reports whether no byte has been collected.
func (c *collector) empty() bool { return c.lines.Bytes == 0 }
