// Package request holds the state of one request: its attempts, retries, resumes
// and cancellation, the ordering of its response frames, and the idempotency key
// claims that let a non-repeatable request run at most once. It does no I/O.
package request

// Frame is one piece of a streamed response as received on a connection.
type Frame struct {
	// Run is the ID of the run that produced the frame.
	Run string
	// Offset is the frame's sequence number within the run, starting at 1.
	Offset int
	// Delta is the response text of the frame.
	Delta string
	// End marks the last frame of a complete response.
	End bool
	// Failed marks the last frame of a run that failed.
	Failed bool
}

// FrameAction is how a received frame must be handled.
type FrameAction uint8

const (
	// Deliver forwards the frame to the caller.
	Deliver FrameAction = iota
	// DropOtherRun drops a frame that belongs to another run.
	DropOtherRun
	// DropDuplicate drops a frame that was already delivered.
	DropDuplicate
	// SequenceGap drops a frame that skips offsets; the stream must be resumed
	// from LastOffset.
	SequenceGap
	// DropAfterEnd drops a frame received after the last one.
	DropAfterEnd
)

// Assembler accepts the frames of one run in order and exactly once. Frames can
// be duplicated, reordered or lost while a stream is resumed on a new connection
// and the old connection still delivers.
type Assembler struct {
	run        string
	lastOffset int
	done       bool
}

// NewAssembler returns an assembler for one run.
func NewAssembler(run string) *Assembler { return &Assembler{run: run} }

// LastOffset returns the offset of the last delivered frame, after which to resume.
func (a *Assembler) LastOffset() int { return a.lastOffset }

// Done reports whether the last frame was delivered. Until then the response is
// incomplete, even if the connection was closed cleanly.
func (a *Assembler) Done() bool { return a.done }

// Accept returns how to handle a frame and advances the offset if it is delivered.
func (a *Assembler) Accept(frame Frame) FrameAction {
	switch {
	case frame.Run != a.run:
		return DropOtherRun
	case a.done:
		return DropAfterEnd
	case frame.Offset <= a.lastOffset:
		return DropDuplicate
	case frame.Offset > a.lastOffset+1:
		return SequenceGap
	}
	a.lastOffset = frame.Offset
	a.done = frame.End || frame.Failed
	return Deliver
}
