// Package quarantine decides which requests are kept from backend servers, because the
// servers that run them end: a request that crashes its server would else be repeated onto
// one after the other. It knows requests by fingerprints and servers by the keys of their
// runs, and is told what ended when; it reads no clock.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"strconv"
)

// Fingerprint names a request over its repeats: one that its caller sends again, under
// another id and to another daemon, has the same fingerprint.
type Fingerprint uint64

// String returns the fingerprint as operators see it.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// ParseFingerprint reads what String wrote.
func ParseFingerprint(text string) (Fingerprint, error) {
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != fingerprintDigits {
		return 0, fmt.Errorf("%q is no fingerprint of %d hexadecimal digits", text, fingerprintDigits)
	}
	return Fingerprint(n), nil
}

// fingerprintDigits is the length of a fingerprint as text.
const fingerprintDigits = 16

// FingerprintOf returns the fingerprint of a request: whose it is, what it asks for, and its body. It
// is a part of a cryptographic hash, or somebody could make a request with the fingerprint
// of another workspace's and have that one refused.
func FingerprintOf(workspace, host, method, target string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range []string{workspace, host, method, target} {
		writePart(h, []byte(part))
	}
	writePart(h, body)
	return Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}

// writePart adds a part and its length, so that no two lists of parts are one text.
func writePart(h hash.Hash, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = h.Write(length[:]) // a hash returns no error
	_, _ = h.Write(part)
}
