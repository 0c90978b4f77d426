package enginespeed

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
)

// Report carries sums to another daemon.
type Report struct {
	// Contributions are the sender's own observations, Pools those that it has collected from all
	// daemons. Both are lists of entries of entryBytes each.
	Contributions []byte `cbor:"1,keyasint,omitempty"`
	Pools         []byte `cbor:"2,keyasint,omitempty"`
}

const (
	// entryBytes is the size of an entry: four bytes of the engine's key, one of the number of
	// samples, one of the mean in units of 1/meanScale, and one of the number of daemons.
	entryBytes = 7
	meanScale  = 100
	// maxEntries bounds the entries of one list.
	maxEntries = 16
	// maxCount and maxDaemons are the largest numbers of samples and daemons in an entry.
	maxCount   = 250
	maxDaemons = 255
)

// ErrMalformed is wrapped by the errors of reports that no correct daemon sends.
var ErrMalformed = errors.New("malformed report of engine speeds")

// entry is the sum for one engine.
type entry struct {
	engine  Engine
	count   float64
	mean    float64
	daemons int
}

// appendEntry appends the encoding of an entry.
func appendEntry(out []byte, e entry) []byte {
	out = binary.BigEndian.AppendUint32(out, uint32(e.engine))
	count := min(max(math.Round(e.count), 1), maxCount)
	mean := min(max(e.mean, -maxLogRatio), maxLogRatio)
	return append(out, byte(count), byte(int8(math.Round(mean*meanScale))), byte(min(e.daemons, maxDaemons)))
}

// decodeEntries decodes a list of entries.
func decodeEntries(data []byte) ([]entry, error) {
	if len(data)%entryBytes != 0 || len(data) > maxEntries*entryBytes {
		return nil, fmt.Errorf("%w: list of %d bytes", ErrMalformed, len(data))
	}
	out := make([]entry, 0, len(data)/entryBytes)
	for ; len(data) > 0; data = data[entryBytes:] {
		e := entry{
			engine: Engine(binary.BigEndian.Uint32(data)), count: float64(data[4]),
			mean: float64(int8(data[5])) / meanScale, daemons: int(data[6]),
		}
		switch {
		case e.count < 1 || e.count > maxCount || e.daemons < 1:
			return nil, fmt.Errorf("%w: %v samples of %d daemons", ErrMalformed, e.count, e.daemons)
		case math.Abs(e.mean) > maxLogRatio:
			return nil, fmt.Errorf("%w: mean %v", ErrMalformed, e.mean)
		}
		out = append(out, e)
	}
	return out, nil
}
