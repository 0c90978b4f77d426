package session

import (
	"strings"
	"testing"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/fleet"
)

func ring(current string, ids ...string) *Keyring {
	r := &Keyring{Current: current, Keys: map[string][]byte{}}
	for _, id := range ids {
		r.Keys[id] = []byte(strings.Repeat(id, 16))
	}
	return r
}

// Symptom: sessions lose their version when the signing key is rotated.
// Sequence: a token is signed by k1; daemons learn k2, sign with it, retire k1.
// Cause: tokens of every known key must verify until the key is retired.
func TestTokenSurvivesKeyRotation(t *testing.T) {
	pin := Pin{Workspace: "w", Name: "s", Model: "m", Version: "v1"}
	token := pin.Token(ring("k1", "k1"))
	for _, r := range []*Keyring{ring("k1", "k1", "k2"), ring("k2", "k1", "k2")} {
		if got, err := ParseToken(r, "w", token); err != nil || got != pin {
			t.Fatalf("%v %v", got, err)
		}
	}
	if _, err := ParseToken(ring("k2", "k2"), "w", token); !fault.Is(err, fault.SessionRefused) {
		t.Fatalf("a retired key: %v", err)
	}
}

func TestForeignTokensAreRefused(t *testing.T) {
	r := ring("k1", "k1")
	good := Pin{Workspace: "w", Name: "s", Model: "m", Version: "v1"}.Token(r)
	for name, token := range map[string]string{
		"another workspace's": Pin{Workspace: "x", Name: "s", Model: "m", Version: "v1"}.Token(r),
		"cut":                 good[:len(good)-1],
		"changed":             strings.Replace(good, ".", ".A", 2),
		"unsigned":            "s1.k1..",
		"another purpose's":   r.Sign("dk1", "w\ns\nm\nv1\n"),
		"another key's":       Pin{Workspace: "w"}.Token(ring("k9", "k9")),
		"too few parts":       r.Sign(tokenPurpose, "w\ns"),
	} {
		if _, err := ParseToken(r, "w", token); !fault.Is(err, fault.SessionRefused) {
			t.Errorf("%s token: %v", name, err)
		}
	}
}

// Symptom: a session of a cascade changes its cheap model's version.
// Sequence: the cheap model answers, then the dear one, then the cheap one again,
// under a roll-out of the cheap one.
// Cause: the pin must hold the version of every model that answered the session.
func TestPinKeepsEveryModelOfASession(t *testing.T) {
	p := Pin{Workspace: "w", Name: "s"}.WithVersion("cheap", "v1").WithVersion("dear", "v7").WithVersion("dear", "v8")
	got, err := ParseToken(ring("k1", "k1"), "w", p.Token(ring("k1", "k1")))
	if err != nil || got != p || got.VersionOf("cheap") != "v1" || got.VersionOf("dear") != "v8" || got.VersionOf("none") != "" {
		t.Fatalf("%+v %v", got, err)
	}
	p = p.WithVersion("cheap", "v2")
	if p.VersionOf("cheap") != "v2" || p.VersionOf("dear") != "v8" || p.Others != "dear@v8" {
		t.Fatalf("%+v", p)
	}
	for i := range 20 {
		p = p.WithVersion(strings.Repeat("m", i+1), "v")
	}
	if n := len(strings.Fields(p.Others)); n != maxOthers {
		t.Fatalf("%d other models are kept", n)
	}
}

func TestResolve(t *testing.T) {
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
		{"a pin outlives a full roll-out", all, Pin{Model: "m", Version: "v1"}, "v1"},
		{"no pin follows the roll-out", all, Pin{Name: "s"}, "v2"},
		{"a pin of another model does not count", all, Pin{Model: "n", Version: "v1"}, "v2"},
		{"a withdrawn version moves to its successor", all, Pin{Model: "m", Version: "v0"}, "v2"},
		{"a roll-out does not widen the entitlement", only, Pin{Name: "s"}, "v1"},
		{"nor does a successor", only, Pin{Model: "m", Version: "v0"}, "v1"},
	}
	for _, x := range cases {
		if got, err := ResolveVersion(c, x.w, "m", x.pin); err != nil || got != x.want {
			t.Errorf("%s: %q %v", x.name, got, err)
		}
	}
	if _, err := ResolveVersion(c, fleet.Workspace{}, "m", Pin{}); !fault.Is(err, fault.NotEntitled) {
		t.Errorf("no entitlement: %v", err)
	}
}

func FuzzParse(f *testing.F) {
	r := ring("k1", "k1")
	f.Add(Pin{Workspace: "w", Name: "s", Model: "m", Version: "v1"}.Token(r))
	f.Add("s1.k1.dw.AA")
	f.Fuzz(func(t *testing.T, token string) {
		if pin, err := ParseToken(r, "w", token); err == nil && pin.Token(r) != token {
			t.Fatalf("%q is accepted and is not what we sign", token)
		}
	})
}
