package httpframing

// Responses follows the responses that a client reads from a connection, and finds the first that is
// malformed. The zero value precedes the first response.
type Responses struct {
	position position
	// section collects the present head or trailer.
	section collector
	body    Body
	// finals is the number of heads that are not those of interim responses.
	finals int
}

// position is a position in the responses of a connection.
type position uint8

const (
	inHead position = iota
	inBody
	inTrailer
	// untilEnd is a body that ends with the connection.
	untilEnd
	// switched means that the connection is no longer one of HTTP/1.
	switched
)

// UntilEnd reports whether the present response ends with its connection.
func (r *Responses) UntilEnd() bool { return r.position == untilEnd }

// Unsolicited reports whether all responses to the requests have come, so that further bytes are part of none.
func (r *Responses) Unsolicited(to *Requests) bool {
	return r.position == inHead && r.section.empty() && r.finals >= to.heads && to.head.empty()
}

// Switched reports whether the connection is no longer one of HTTP/1.
func (r *Responses) Switched() bool { return r.position == switched }

// Next returns the number of bytes of p that belong to the next part of a response, and a *MalformedError if
// they end a head, chunk size or trailer that is malformed. The last request written is to.
func (r *Responses) Next(p []byte, to Request) (n int, err error) {
	switch r.position {
	case inHead:
		n, head := r.section.scan(p)
		switch {
		case head != nil:
			return n, r.endHead(head, to)
		case r.section.lines.Bytes > maxHeadBytes:
			return n, malformed("a head of more than %d bytes", maxHeadBytes)
		}
		return n, nil
	case inBody:
		n = r.body.step(p)
		return n, r.followBody()
	case inTrailer:
		n, trailer := r.section.scan(p)
		switch {
		case trailer != nil:
			r.position = inHead
			return n, checkTrailer(trailer)
		case r.section.lines.Bytes > maxHeadBytes:
			return n, malformed("a trailer of more than %d bytes", maxHeadBytes)
		}
		return n, nil
	}
	return len(p), nil
}

// endHead goes on to what follows a head.
func (r *Responses) endHead(head []byte, to Request) error {
	h, err := parseResponseHead(head)
	if err != nil {
		return err
	}
	if !h.isInterim() {
		r.finals++
	}
	switch {
	case h.status == statusSwitchingProtocols && to.Upgrade, to.Connect && h.status/100 == 2:
		r.position = switched
	case h.status == statusSwitchingProtocols:
		return malformed("another protocol, which was not asked for")
	case h.isInterim(), h.hasNoBody(), to.Head:
		// the next head follows
	case h.chunked:
		r.body, r.position = Body{framing: byChunks, trailer: Head{Lines: 1}}, inBody
	case h.length > 0:
		r.body, r.position = Body{remaining: h.length}, inBody
	case h.length == noLength:
		r.position = untilEnd
	}
	return nil
}

// followBody goes on to what follows a part of the body.
func (r *Responses) followBody() error {
	switch {
	case !r.body.Known():
		return malformed("a chunk")
	case r.body.Done():
		r.position = inHead
	case r.body.inTrailer():
		r.section.lines, r.position = r.body.trailer, inTrailer
	}
	return nil
}
