// Package request is the life of one request: its attempts, retries, resumes
// and cancellation, the assembly of its answer from frames, and the claim that
// lets a non-repeatable request run at most once. It does no I/O.
package request

// Frame is one piece of an answer as it arrived on some connection.
type Frame struct {
	// Run is the attempt the frame says it belongs to.
	Run string
	// Offset numbers the frames of a run from 1 without gaps.
	Offset int
	// Delta is the answer text of the frame.
	Delta string
	// End marks the last frame of a complete answer.
	End bool
	// Failed marks the last frame of a run that failed.
	Failed bool
}

// FrameVerdict says what to do with a frame.
type FrameVerdict uint8

const (
	// Deliver passes the frame on.
	Deliver FrameVerdict = iota
	// DropForeign drops a frame of another run.
	DropForeign
	// DropRepeated drops a frame that was delivered before.
	DropRepeated
	// SequenceGap drops the frame and asks for a resume from Last.
	SequenceGap
	// DropAfterEnd drops a frame after the terminal one.
	DropAfterEnd
)

// Assembler admits the frames of one run in order, each once. Connections cross,
// repeat and lose frames when a stream is resumed on a new connection while the
// old one still drains; a caller would see doubled or missing words.
type Assembler struct {
	run  string
	last int
	done bool
}

// NewAssembler returns an assembler for one run.
func NewAssembler(run string) *Assembler { return &Assembler{run: run} }

// LastOffset returns the offset of the newest delivered frame, from which to resume.
func (a *Assembler) LastOffset() int { return a.last }

// Done reports whether the terminal frame was delivered. Without it the answer
// is not whole, however the connection ended.
func (a *Assembler) Done() bool { return a.done }

// Accept judges a frame.
func (a *Assembler) Accept(f Frame) FrameVerdict {
	switch {
	case f.Run != a.run:
		return DropForeign
	case a.done:
		return DropAfterEnd
	case f.Offset <= a.last:
		return DropRepeated
	case f.Offset > a.last+1:
		return SequenceGap
	}
	a.last = f.Offset
	a.done = f.End || f.Failed
	return Deliver
}
