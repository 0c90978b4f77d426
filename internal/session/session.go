// Package session pins a caller's session to model versions. The pin is stored in a
// signed token that the caller sends with each request, so that every daemon can read
// it and no server-side storage is needed.
package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"slices"
	"strings"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/fleet"
)

// Keyring signs with its current key and verifies with any of its keys. In a rotation,
// the new key must be known to every daemon before it becomes the current one.
type Keyring struct {
	// Current is the ID of the signing key.
	Current string
	// Keys maps key IDs to secrets.
	Keys map[string][]byte
}

// Sign returns a token that contains the purpose, the key ID, the payload and a MAC. The
// purpose prevents a token of one kind from being accepted as another.
func (k *Keyring) Sign(purpose, payload string) string {
	body := base64.RawURLEncoding.EncodeToString([]byte(payload))
	return purpose + "." + k.Current + "." + body + "." + k.mac(k.Current, purpose, body)
}

// Verify returns the payload of a token and whether its signature and purpose are valid.
func (k *Keyring) Verify(purpose, token string) (string, bool) {
	parts := strings.Split(token, ".")
	if len(parts) != 4 || parts[0] != purpose {
		return "", false
	}
	id, body := parts[1], parts[2]
	if _, ok := k.Keys[id]; !ok || !hmac.Equal([]byte(parts[3]), []byte(k.mac(id, purpose, body))) {
		return "", false
	}
	payload, err := base64.RawURLEncoding.DecodeString(body)
	return string(payload), err == nil
}

func (k *Keyring) mac(id, purpose, body string) string {
	m := hmac.New(sha256.New, k.Keys[id])
	m.Write([]byte(purpose + "." + body))
	return base64.RawURLEncoding.EncodeToString(m.Sum(nil))
}

// Pin holds the model versions used by a session of a workspace.
type Pin struct {
	Workspace string
	// Name is the name of the session, which determines its bucket in a rollout.
	Name string
	// Model and Version are those of the latest response.
	Model   string
	Version string
	// OtherModels lists "model@version" for the other models used by the session,
	// newest first, separated by spaces. The sessions of a cascade alternate between
	// models.
	OtherModels string
}

// maxOtherModels is the maximum number of entries in OtherModels; the oldest are dropped.
const maxOtherModels = 8

// VersionOf returns the pinned version of a model, or "".
func (p Pin) VersionOf(model string) string {
	if p.Model == model {
		return p.Version
	}
	for _, other := range strings.Fields(p.OtherModels) {
		if name, version, _ := strings.Cut(other, "@"); name == model {
			return version
		}
	}
	return ""
}

// WithVersion returns the pin after a response from the given version of a model.
func (p Pin) WithVersion(model, version string) Pin {
	others := slices.DeleteFunc(strings.Fields(p.OtherModels), func(other string) bool { return strings.HasPrefix(other, model+"@") })
	if p.Model != "" && p.Model != model {
		others = slices.Insert(others, 0, p.Model+"@"+p.Version)
	}
	p.OtherModels = strings.Join(others[:min(len(others), maxOtherModels)], " ")
	p.Model, p.Version = model, version
	return p
}

// tokenFields is the number of fields in the payload of a session token.
const tokenFields = 5

// tokenPurpose is the purpose of session tokens.
const tokenPurpose = "s1"

// IsToken reports whether a session header has the form of a signed token. The signature
// is not verified.
func IsToken(s string) bool { return strings.HasPrefix(s, tokenPurpose+".") }

// Token returns the pin as a signed token.
func (p Pin) Token(ring *Keyring) string {
	return ring.Sign(tokenPurpose, strings.Join([]string{p.Workspace, p.Name, p.Model, p.Version, p.OtherModels}, "\n"))
}

// ParseToken verifies a token of a workspace and decodes its pin.
func ParseToken(ring *Keyring, workspace, token string) (Pin, error) {
	payload, ok := ring.Verify(tokenPurpose, token)
	parts := strings.Split(payload, "\n")
	if !ok || len(parts) != tokenFields {
		return Pin{}, fault.NewField(fault.SessionRefused, "X-Session-Id", "the signature is wrong or its key has been retired")
	}
	if parts[0] != workspace {
		return Pin{}, fault.NewField(fault.SessionRefused, "X-Session-Id", "the session belongs to another workspace")
	}
	return Pin{parts[0], parts[1], parts[2], parts[3], parts[4]}, nil
}

// maxNameLength is the maximum length of a session name in bytes.
const maxNameLength = 128

// ValidateName checks a session name chosen by the caller.
func ValidateName(name string) error {
	invalid := func(r rune) bool { return r <= ' ' || r > '~' }
	if len(name) > maxNameLength || slices.ContainsFunc([]rune(name), invalid) {
		return fault.NewField(fault.BadRequest, "X-Session-Id", "a session name has 1 to %d printable ASCII characters", maxNameLength)
	}
	return nil
}

// ResolveVersion returns the version of a model for a session. A pinned version is kept
// while it is serving and allowed, regardless of rollouts; otherwise its successor is
// used. A session without a pin gets the version selected by its name.
func ResolveVersion(c *fleet.Config, w fleet.Workspace, model string, pin Pin) (string, error) {
	if pinned := pin.VersionOf(model); pinned != "" {
		if v, ok := c.ResolveSuccessor(w, model, pinned); ok {
			return v, nil
		}
		return "", fault.New(fault.VersionWithdrawn, "version %s of %s is withdrawn and has no successor for this workspace", pinned, model)
	}
	if v, ok := c.SelectVersion(w, model, pin.Name); ok {
		return v, nil
	}
	return "", fault.New(fault.NotEntitled, "no serving version of %s is allowed for this workspace", model)
}
