package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
)

// maxParts bounds the parts of a prompt that are tracked, the first ones.
const maxParts = 16

// partTag is the first byte of the fingerprints of parts of prompts. Requests do not have it.
const partTag = 0xff

// tagShift is the position of the first byte of a fingerprint.
const tagShift = 56

// Identity is what a request has in common with others that may crash servers as well: with its
// retries all of it, with other requests parts of its prompt.
type Identity struct {
	Request Fingerprint
	// Parts are the fingerprints of the prompt's parts that other requests may share.
	Parts []Fingerprint
}

// All returns the fingerprints of the request and of its parts.
func (i Identity) All() []Fingerprint { return append([]Fingerprint{i.Request}, i.Parts...) }

// Has reports whether a fingerprint is that of the request or of one of its parts.
func (i Identity) Has(f Fingerprint) bool { return i.Request == f || slices.Contains(i.Parts, f) }

// PartFingerprint computes the fingerprint of a part of a prompt for the servers of a service.
func PartFingerprint(service string, part []byte) Fingerprint {
	h := sha256.New()
	writePart(h, []byte(service))
	writePart(h, part)
	f := binary.BigEndian.Uint64(h.Sum(nil))
	return Fingerprint(f | partTag<<tagShift)
}

// PartFingerprints computes the fingerprints of the parts of a prompt but the last, which belongs to
// the request alone.
func PartFingerprints(service string, parts [][]byte) (out []Fingerprint) {
	for i, part := range parts {
		if i == len(parts)-1 || i == maxParts {
			break
		}
		if f := PartFingerprint(service, part); !slices.Contains(out, f) {
			out = append(out, f)
		}
	}
	return out
}

// IsPart reports whether a fingerprint is that of a part of a prompt.
func (f Fingerprint) IsPart() bool { return f>>tagShift == partTag }
