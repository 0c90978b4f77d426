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
		if err == nil && (s.ID == "" || s.SubsetSize < 1 || s.StreamIdleTimeout <= 0 || s.DrainGrace < minDrainGrace) {
			t.Fatalf("accepted: %+v", s)
		}
	})
}

func TestSecretsValidationAndRedaction(t *testing.T) {
	validKey := strings.Repeat("k", minSecretBytes)
	valid := Secrets{PeerKey: validKey, OperatorKey: validKey, SessionCurrent: "k1", SessionKeys: map[string]string{"k1": validKey}}
	if err := valid.validate(); err != nil {
		t.Fatal(err)
	}
	if strings.Contains(valid.String(), validKey) {
		t.Error("String contains a key")
	}
	for want, invalid := range map[string]Secrets{
		"peer_key":        {OperatorKey: validKey, SessionCurrent: "k1", SessionKeys: valid.SessionKeys},
		"operator_key":    {PeerKey: validKey, SessionCurrent: "k1", SessionKeys: valid.SessionKeys},
		"session_current": {PeerKey: validKey, OperatorKey: validKey, SessionCurrent: "k2", SessionKeys: valid.SessionKeys},
		"session_keys/k1": {PeerKey: validKey, OperatorKey: validKey, SessionCurrent: "k1", SessionKeys: map[string]string{"k1": "short"}},
	} {
		if err := invalid.validate(); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}
