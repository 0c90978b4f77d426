package session

import (
	"strings"
	"testing"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/fleet"
)

func testKeyring(current string, ids ...string) *Keyring {
	r := &Keyring{Current: current, Keys: map[string][]byte{}}
	for _, id := range ids {
		r.Keys[id] = []byte(strings.Repeat(id, 16))
	}
	return r
}

// Guards against sessions losing their pin when the signing key is rotated.
func TestTokenIsValidDuringKeyRotation(t *testing.T) {
	pin := Pin{Workspace: "w", Name: "s", Model: "m", Version: "v1"}
	token := pin.Token(testKeyring("k1", "k1"))
	for _, r := range []*Keyring{testKeyring("k1", "k1", "k2"), testKeyring("k2", "k1", "k2")} {
		if got, err := ParseToken(r, "w", token); err != nil || got != pin {
			t.Fatalf("%v %v", got, err)
		}
	}
	if _, err := ParseToken(testKeyring("k2", "k2"), "w", token); !fault.Is(err, fault.SessionRefused) {
		t.Fatalf("retired key: %v", err)
	}
}

func TestInvalidTokensAreRejected(t *testing.T) {
	r := testKeyring("k1", "k1")
	good := Pin{Workspace: "w", Name: "s", Model: "m", Version: "v1"}.Token(r)
	for name, token := range map[string]string{
		"other workspace": Pin{Workspace: "x", Name: "s", Model: "m", Version: "v1"}.Token(r),
		"truncated":       good[:len(good)-1],
		"modified":        strings.Replace(good, ".", ".A", 2),
		"unsigned":        "s1.k1..",
		"other purpose":   r.Sign("dk1", "w\ns\nm\nv1\n"),
		"unknown key":     Pin{Workspace: "w"}.Token(testKeyring("k9", "k9")),
		"too few fields":  r.Sign(tokenPurpose, "w\ns"),
	} {
		if _, err := ParseToken(r, "w", token); !fault.Is(err, fault.SessionRefused) {
			t.Errorf("%s token: %v", name, err)
		}
	}
}

// Guards against losing the pinned version of a model when a session of a cascade
// alternates between models.
func TestPinKeepsVersionOfEveryModel(t *testing.T) {
	p := Pin{Workspace: "w", Name: "s"}.WithVersion("small", "v1").WithVersion("large", "v7").WithVersion("large", "v8")
	got, err := ParseToken(testKeyring("k1", "k1"), "w", p.Token(testKeyring("k1", "k1")))
	if err != nil || got != p || got.VersionOf("small") != "v1" || got.VersionOf("large") != "v8" || got.VersionOf("none") != "" {
		t.Fatalf("%+v %v", got, err)
	}
	p = p.WithVersion("small", "v2")
	if p.VersionOf("small") != "v2" || p.VersionOf("large") != "v8" || p.OtherModels != "large@v8" {
		t.Fatalf("%+v", p)
	}
	for i := range 20 {
		p = p.WithVersion(strings.Repeat("m", i+1), "v")
	}
	if n := len(strings.Fields(p.OtherModels)); n != maxOtherModels {
		t.Fatalf("kept %d other models", n)
	}
}

func TestResolveVersion(t *testing.T) {
	c := fleet.NewConfig()
	c.Models["m"] = fleet.Model{Stable: "v1", Versions: map[string]fleet.Version{"v1": {}, "v2": {}, "v0": {State: fleet.Withdrawn, Successor: "v2"}}}
	c.Rollouts["m"] = fleet.Rollout{Model: "m", TargetVersion: "v2", Stages: []float64{100}, State: fleet.RolloutRunning}
	all, only := fleet.Workspace{Models: []string{"m"}}, fleet.Workspace{Models: []string{"m@v1"}}
	cases := []struct {
		name string
		w    fleet.Workspace
		pin  Pin
		want string
	}{
		{"a pin is kept after a complete rollout", all, Pin{Model: "m", Version: "v1"}, "v1"},
		{"a session without a pin follows the rollout", all, Pin{Name: "s"}, "v2"},
		{"a pin of another model is ignored", all, Pin{Model: "n", Version: "v1"}, "v2"},
		{"a withdrawn version resolves to its successor", all, Pin{Model: "m", Version: "v0"}, "v2"},
		{"a rollout does not extend the entitlement", only, Pin{Name: "s"}, "v1"},
		{"a successor does not extend the entitlement", only, Pin{Model: "m", Version: "v0"}, "v1"},
	}
	for _, tt := range cases {
		if got, err := ResolveVersion(c, tt.w, "m", tt.pin); err != nil || got != tt.want {
			t.Errorf("%s: %q %v", tt.name, got, err)
		}
	}
	if _, err := ResolveVersion(c, fleet.Workspace{}, "m", Pin{}); !fault.Is(err, fault.NotEntitled) {
		t.Errorf("no entitlement: %v", err)
	}
}

func FuzzParseToken(f *testing.F) {
	r := testKeyring("k1", "k1")
	f.Add(Pin{Workspace: "w", Name: "s", Model: "m", Version: "v1"}.Token(r))
	f.Add("s1.k1.dw.AA")
	f.Fuzz(func(t *testing.T, token string) {
		if pin, err := ParseToken(r, "w", token); err == nil && pin.Token(r) != token {
			t.Fatalf("%q was accepted but differs from the signed form", token)
		}
	})
}
