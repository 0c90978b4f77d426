package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/damaskrudder/damaskrudder/internal/session"
)

// SecretsEnvVar is the environment variable that holds the secrets as JSON
// when no file is named.
const SecretsEnvVar = "DAMASKRUDDER_SECRETS"

// minSecretBytes is the minimum length of a key.
const minSecretBytes = 16

// Secrets holds the keys of a daemon.
type Secrets struct {
	// PeerKey authenticates daemons to each other.
	PeerKey string `json:"peer_key"`
	// OperatorKey authenticates operators.
	OperatorKey string `json:"operator_key"`
	// SessionCurrent is the ID of the key that signs new session tokens.
	SessionCurrent string `json:"session_current"`
	// SessionKeys maps key IDs to keys. A retired key must stay until all tokens
	// that it signed have expired.
	SessionKeys map[string]string `json:"session_keys"`
}

// String returns a placeholder, which keeps the keys out of logs and errors.
func (Secrets) String() string { return "[secrets]" }

// LoadSecrets reads and validates the secrets from s.SecretsFile or, if it is
// empty, from the environment variable SecretsEnvVar.
func LoadSecrets(s Settings) (Secrets, error) {
	source := "environment variable " + SecretsEnvVar
	data := []byte(os.Getenv(SecretsEnvVar))
	if s.SecretsFile != "" {
		source = s.SecretsFile
		var err error
		if data, err = os.ReadFile(s.SecretsFile); err != nil {
			return Secrets{}, err
		}
	}
	var out Secrets
	if json.Unmarshal(data, &out) != nil {
		return out, fmt.Errorf("%s: secrets are not a valid JSON object", source)
	}
	if err := out.validate(); err != nil {
		return Secrets{}, fmt.Errorf("%s: %w", source, err)
	}
	return out, nil
}

func (s Secrets) validate() error {
	if len(s.PeerKey) < minSecretBytes {
		return fmt.Errorf("peer_key: needs at least %d bytes", minSecretBytes)
	}
	if len(s.OperatorKey) < minSecretBytes {
		return fmt.Errorf("operator_key: needs at least %d bytes", minSecretBytes)
	}
	if _, ok := s.SessionKeys[s.SessionCurrent]; !ok {
		return errors.New("session_current: not found in session_keys")
	}
	for id, k := range s.SessionKeys {
		if len(k) < minSecretBytes {
			return fmt.Errorf("session_keys/%s: needs at least %d bytes", id, minSecretBytes)
		}
	}
	return nil
}

// Keyring returns the keyring that signs and verifies session tokens.
func (s Secrets) Keyring() *session.Keyring {
	keys := make(map[string][]byte, len(s.SessionKeys))
	for id, k := range s.SessionKeys {
		keys[id] = []byte(k)
	}
	return &session.Keyring{Current: s.SessionCurrent, Keys: keys}
}
