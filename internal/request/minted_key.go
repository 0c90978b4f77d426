package request

import (
	"strconv"
	"strings"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/session"
)

// MintedKey is a signed idempotency key that only the daemon incarnation that issued
// it may run. It needs no log, because the incarnation keeps its keys in memory. If the
// daemon restarts, the execution state of its keys is reported as unknown.
type MintedKey struct {
	Workspace   string
	Daemon      string
	Incarnation uint64
	Nonce       string
}

// mintedKeyPurpose is the token purpose of minted keys.
const mintedKeyPurpose = "dk1"

// IsMintedKey reports whether a key has the form of a minted key. The signature is not
// verified.
func IsMintedKey(key string) bool { return strings.HasPrefix(key, mintedKeyPurpose+".") }

// Mint returns the signed key.
func (k MintedKey) Mint(keyring *session.Keyring) string {
	payload := strings.Join([]string{k.Workspace, k.Daemon, strconv.FormatUint(k.Incarnation, 10), k.Nonce}, "/")
	return keyring.Sign(mintedKeyPurpose, payload)
}

// ParseMintedKey verifies the signature of a key and decodes it.
func ParseMintedKey(keyring *session.Keyring, key string) (MintedKey, error) {
	invalid := fault.NewField(fault.BadRequest, "Idempotency-Key", "the key looks minted but its signature is wrong")
	payload, ok := keyring.Verify(mintedKeyPurpose, key)
	if !ok {
		return MintedKey{}, invalid
	}
	parts := strings.Split(payload, "/")
	if len(parts) != 4 {
		return MintedKey{}, invalid
	}
	incarnation, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return MintedKey{}, invalid
	}
	return MintedKey{parts[0], parts[1], incarnation, parts[3]}, nil
}

// Authorize returns an error unless the given workspace may use the key at the given
// daemon incarnation. The caller checks that the key was not used before.
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
