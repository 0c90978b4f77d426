package request

import (
	"strconv"
	"strings"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/session"
)

// MintedKey is an idempotency key that names the one daemon incarnation allowed
// to run it. It needs no log: the incarnation remembers its keys in memory and,
// once it is gone, nobody may run them. The price is that a key whose daemon
// died answers "unknown" although it may never have run.
type MintedKey struct {
	Workspace   string
	Daemon      string
	Incarnation uint64
	Nonce       string
}

// mintedPurpose marks minted keys of this form.
const mintedPurpose = "dk1"

// IsMintedKey reports whether a key claims to be one of ours.
func IsMintedKey(key string) bool { return strings.HasPrefix(key, mintedPurpose+".") }

// Mint signs a key.
func (k MintedKey) Mint(ring *session.Keyring) string {
	payload := strings.Join([]string{k.Workspace, k.Daemon, strconv.FormatUint(k.Incarnation, 10), k.Nonce}, "/")
	return ring.Sign(mintedPurpose, payload)
}

// ParseMintedKey verifies a key.
func ParseMintedKey(ring *session.Keyring, key string) (MintedKey, error) {
	refused := fault.NewField(fault.BadRequest, "Idempotency-Key", "the key looks minted but its signature is wrong")
	payload, ok := ring.Verify(mintedPurpose, key)
	if !ok {
		return MintedKey{}, refused
	}
	parts := strings.Split(payload, "/")
	if len(parts) != 4 {
		return MintedKey{}, refused
	}
	inc, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return MintedKey{}, refused
	}
	return MintedKey{parts[0], parts[1], inc, parts[3]}, nil
}

// Authorize says whether daemon may run the key: a nil error allows it, provided
// its own memory holds no earlier use.
func (k MintedKey) Authorize(workspace, daemon string, incarnation uint64) error {
	switch {
	case k.Workspace != workspace:
		return fault.NewField(fault.NotEntitled, "Idempotency-Key", "the key belongs to another workspace")
	case k.Daemon != daemon:
		return fault.NewField(fault.AnswerUnavailable, "Idempotency-Key", "only daemon %s may run this key", k.Daemon)
	case k.Incarnation != incarnation:
		return fault.NewField(fault.AnswerUnavailable, "Idempotency-Key", "the daemon that minted this key was restarted")
	}
	return nil
}
