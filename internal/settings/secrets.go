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

// minSecretBytes is the least length of a key in bytes.
const minSecretBytes = 16

// Secrets are the keys of a daemon. They are never printed.
type Secrets struct {
	// PeerKey authenticates daemons to each other.
	PeerKey string `json:"peer_key"`
	// OperatorKey authenticates operators.
	OperatorKey string `json:"operator_key"`
	// SessionCurrent is the id of the key that signs session tokens.
	SessionCurrent string `json:"session_current"`
	// SessionKeys maps ids to keys; retired ones stay until their tokens are gone.
	SessionKeys map[string]string `json:"session_keys"`
}

// String hides the keys from logs and errors.
func (Secrets) String() string { return "[secrets]" }

// LoadSecrets reads the secrets that settings name.
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
		return out, fmt.Errorf("%s: not a JSON object of secrets", source)
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
		return errors.New("session_current: names no entry of session_keys")
	}
	for id, k := range s.SessionKeys {
		if len(k) < minSecretBytes {
			return fmt.Errorf("session_keys/%s: needs at least %d bytes", id, minSecretBytes)
		}
	}
	return nil
}

// Keyring returns the session keyring.
func (s Secrets) Keyring() *session.Keyring {
	keys := make(map[string][]byte, len(s.SessionKeys))
	for id, k := range s.SessionKeys {
		keys[id] = []byte(k)
	}
	return &session.Keyring{Current: s.SessionCurrent, Keys: keys}
}
