// Package session pins a caller's session to a version. The pin rides in a
// signed token that the caller returns, so that any daemon can read it and no
// store is needed.
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

// Keyring signs with its current key and verifies with any of its keys. During
// a rotation every daemon first learns the new key and only then signs with it.
type Keyring struct {
	// Current is the id of the signing key.
	Current string
	// Keys maps ids to secrets.
	Keys map[string][]byte
}

// Sign returns a token for a purpose: the purpose, a key id, the payload and a MAC
// over all of it. The purpose keeps a token of one kind from passing as another.
func (k *Keyring) Sign(purpose, payload string) string {
	body := base64.RawURLEncoding.EncodeToString([]byte(payload))
	return purpose + "." + k.Current + "." + body + "." + k.mac(k.Current, purpose, body)
}

// Verify returns the payload of a token of a purpose.
func (k *Keyring) Verify(purpose, token string) (string, bool) {
	parts := strings.Split(token, ".")
	if len(parts) != 4 || parts[0] != purpose {
		return "", false
	}
	id, body := parts[1], parts[2]
	if _, known := k.Keys[id]; !known || !hmac.Equal([]byte(parts[3]), []byte(k.mac(id, purpose, body))) {
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

// Pin says which versions a session of a workspace uses.
type Pin struct {
	Workspace string
	// Name is the session's own name, which places it in a roll-out.
	Name string
	// Model and Version are of the newest answer.
	Model   string
	Version string
	// Others lists the "model@version" of earlier answers by other models, newest
	// first, separated by blanks. A cascade's session goes back and forth between
	// models and keeps the version of each.
	Others string
}

// maxOthers bounds Others; a session that uses more models forgets the oldest.
const maxOthers = 8

// VersionOf returns the version the session uses of a model, or "".
func (p Pin) VersionOf(model string) string {
	if p.Model == model {
		return p.Version
	}
	for _, o := range strings.Fields(p.Others) {
		if m, v, _ := strings.Cut(o, "@"); m == model {
			return v
		}
	}
	return ""
}

// WithVersion returns the pin after an answer of a model's version.
func (p Pin) WithVersion(model, version string) Pin {
	others := slices.DeleteFunc(strings.Fields(p.Others), func(o string) bool { return strings.HasPrefix(o, model+"@") })
	if p.Model != "" && p.Model != model {
		others = slices.Insert(others, 0, p.Model+"@"+p.Version)
	}
	p.Others = strings.Join(others[:min(len(others), maxOthers)], " ")
	p.Model, p.Version = model, version
	return p
}

// pinParts is the number of a pin's fields in a token.
const pinParts = 5

// tokenPurpose marks session tokens of this form.
const tokenPurpose = "s1"

// IsToken reports whether a session header claims to be a signed token.
func IsToken(s string) bool { return strings.HasPrefix(s, tokenPurpose+".") }

// Token signs the pin.
func (p Pin) Token(ring *Keyring) string {
	return ring.Sign(tokenPurpose, strings.Join([]string{p.Workspace, p.Name, p.Model, p.Version, p.Others}, "\n"))
}

// ParseToken verifies a token for a workspace.
func ParseToken(ring *Keyring, workspace, token string) (Pin, error) {
	payload, ok := ring.Verify(tokenPurpose, token)
	parts := strings.Split(payload, "\n")
	if !ok || len(parts) != pinParts {
		return Pin{}, fault.NewField(fault.SessionRefused, "X-Session-Id", "the signature is wrong or its key has been retired")
	}
	if parts[0] != workspace {
		return Pin{}, fault.NewField(fault.SessionRefused, "X-Session-Id", "the session belongs to another workspace")
	}
	return Pin{parts[0], parts[1], parts[2], parts[3], parts[4]}, nil
}

// maxNameLength bounds a caller's own session name in bytes.
const maxNameLength = 128

// ValidateName validates a caller's own session name.
func ValidateName(name string) error {
	bad := func(r rune) bool { return r <= ' ' || r > '~' }
	if len(name) > maxNameLength || slices.ContainsFunc([]rune(name), bad) {
		return fault.NewField(fault.BadRequest, "X-Session-Id", "a session name has 1 to %d printable ASCII characters", maxNameLength)
	}
	return nil
}

// ResolveVersion chooses the version for a session. A pinned version that is serving
// and allowed stays, whatever a roll-out does. A withdrawn one moves to its
// successor, the same at every daemon of one configuration number. A session
// without a pin gets the version its name falls to.
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
