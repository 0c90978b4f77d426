package feed

import "fmt"

// Position is a place in a topic: the era of the store, and an offset in it. A store that
// comes back from an older copy begins a new era, in which offsets go back and are given out
// again. A later era comes after every place of an earlier one.
type Position uint64

const (
	// offsetBits are the bits of a position that hold the offset: a topic with a thousand
	// records a second uses them up in five hundred years.
	offsetBits = 44
	// MaxEra is the largest era that a position can hold.
	MaxEra = 1<<(64-offsetBits) - 1
)

// NewPosition returns the position of an offset in an era of at most LastEra.
func NewPosition(era, offset uint64) Position { return Position(era<<offsetBits | offset) }

// Era returns the store's era.
func (p Position) Era() uint64 { return uint64(p) >> offsetBits }

// Offset returns the offset in the era.
func (p Position) Offset() uint64 { return uint64(p) & (1<<offsetBits - 1) }

// Next returns the position after p.
func (p Position) Next() Position { return p + 1 }

// String returns the position as lines show it: the offset alone in era 0.
func (p Position) String() string {
	if p.Era() == 0 {
		return fmt.Sprint(p.Offset())
	}
	return fmt.Sprintf("%d/%d", p.Era(), p.Offset())
}
