package gossip

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/damaskrudder/damaskrudder/internal/feed"
)

const (
	// minPackedBytes is the size of the records from which a response is compressed. Entries of
	// servers and routes of a configuration resemble each other, and shrink to a fraction.
	minPackedBytes = 2 << 10
	// maxUnpackedBytes bounds the memory for a compressed response.
	maxUnpackedBytes = 8 << 20
)

// compressors are reused, since each holds buffers of about a megabyte.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is valid
	}
	return w
}}

// packRecords encodes records as compressed CBOR, or returns nil if it cannot.
func packRecords(records []feed.Record) []byte {
	var out bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&out)
	if cbor.NewEncoder(w).Encode(records) != nil || w.Close() != nil {
		return nil
	}
	return out.Bytes()
}

// unpackRecords decodes the result of packRecords.
func unpackRecords(packed []byte) ([]feed.Record, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes))
	if err != nil {
		return nil, fmt.Errorf("unpack records: %w", err)
	}
	var records []feed.Record
	if err := cbor.Unmarshal(data, &records); err != nil {
		return nil, fmt.Errorf("unpack records: %w", err)
	}
	return records, nil
}
