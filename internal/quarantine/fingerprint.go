// Package quarantine detects requests that crash the backend servers that run them and holds
// them, so that retries do not crash one server after another. Requests are identified by
// fingerprint, server incarnations by key. The package does not read the clock.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"strconv"
)

// Fingerprint identifies a request independently of its request ID and of the daemon that
// receives it, so that retries by the caller share a fingerprint.
type Fingerprint uint64

// String returns the fingerprint as 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// ParseFingerprint parses the output of String.
func ParseFingerprint(text string) (Fingerprint, error) {
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != fingerprintDigits {
		return 0, fmt.Errorf("%q is no fingerprint of %d hexadecimal digits", text, fingerprintDigits)
	}
	return Fingerprint(n), nil
}

// fingerprintDigits is the length of a fingerprint in its text form.
const fingerprintDigits = 16

// FingerprintOf computes the fingerprint of a request. It truncates a cryptographic hash, so
// that a caller cannot craft a request that collides with one of another workspace.
func FingerprintOf(workspace, host, method, target string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range []string{workspace, host, method, target} {
		writePart(h, []byte(part))
	}
	writePart(h, body)
	f := Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
	if f.IsPart() {
		f ^= 1 << tagShift
	}
	return f
}

// writePart writes a length-prefixed part, which keeps the encoding of a list unambiguous.
func writePart(h hash.Hash, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = h.Write(length[:]) // hash.Hash never returns an error
	_, _ = h.Write(part)
}
