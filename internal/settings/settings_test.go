package settings

import (
	"strings"
	"testing"
)

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"id":"a","region":"r","failure_domain":"f","listen":"127.0.0.1:1","peer_listen":"127.0.0.1:2","log":"http://x"}`))
	f.Add([]byte(`{"tls":{}} // x`))
	f.Add([]byte(`{"subset":-1,"silence":"-1s"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if err == nil && (s.ID == "" || s.Subset < 1 || s.Silence <= 0 || s.DrainGrace < minDrainGrace) {
			t.Fatalf("%+v", s)
		}
	})
}

func TestSecretsAreCheckedAndHidden(t *testing.T) {
	long := strings.Repeat("k", minSecretLength)
	good := Secrets{PeerKey: long, OperatorKey: long, SessionCurrent: "k1", SessionKeys: map[string]string{"k1": long}}
	if err := good.validate(); err != nil {
		t.Fatal(err)
	}
	if strings.Contains(good.String(), long) {
		t.Error("a key is printed")
	}
	for want, bad := range map[string]Secrets{
		"peer_key":        {OperatorKey: long, SessionCurrent: "k1", SessionKeys: good.SessionKeys},
		"operator_key":    {PeerKey: long, SessionCurrent: "k1", SessionKeys: good.SessionKeys},
		"session_current": {PeerKey: long, OperatorKey: long, SessionCurrent: "k2", SessionKeys: good.SessionKeys},
		"session_keys/k1": {PeerKey: long, OperatorKey: long, SessionCurrent: "k1", SessionKeys: map[string]string{"k1": "short"}},
	} {
		if err := bad.validate(); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}
