package request

// Handover decides whether a request stays with the server that it waits for or continues with
// another send. The first server loses it only when the other has taken it.
type Handover struct{ state handoverState }

type handoverState uint8

const (
	// processing means that the request does not wait for its server.
	processing handoverState = iota
	// waiting means that the request waits for its server.
	waiting
	// contested means that another send is under way while the request waits.
	contested
	// handedOver means that the other send has taken the request.
	handedOver
)

// Wait records that the request waits for its server.
func (h *Handover) Wait() { h.move(processing, waiting) }

// Waiting reports whether the request waits for its server, without another send.
func (h *Handover) Waiting() bool { return h.state == waiting }

// Contest reports whether another send may begin, and records that it does.
func (h *Handover) Contest() bool { return h.move(waiting, contested) }

// Take reports whether the other send gets the request.
func (h *Handover) Take() bool { return h.move(contested, handedOver) }

// GiveUp records that the other send has ended without taking the request.
func (h *Handover) GiveUp() { h.move(contested, waiting) }

// Proceed records that the server has gone on or failed, and reports whether the request is still
// with it. Another send that is under way does not get the request any more.
func (h *Handover) Proceed() bool {
	if h.state == handedOver {
		return false
	}
	h.state = processing
	return true
}

func (h *Handover) move(from, to handoverState) bool {
	if h.state != from {
		return false
	}
	h.state = to
	return true
}
