package settings

import (
	"fmt"
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

// Guards against limits that leave a daemon no room to work.
func TestLimitsOfTheVMAreChecked(t *testing.T) {
	const valid = `{"id":"a","region":"r","failure_domain":"f","listen":"127.0.0.1:1","peer_listen":"127.0.0.1:2","log":"http://x",%s}`
	for field, accepted := range map[string]bool{
		`"max_header_bytes":4096`: true, `"max_header_bytes":4095`: false, `"max_header_bytes":0`: false,
		`"memory_mb":96`: true, `"memory_mb":0`: true, `"memory_mb":95`: false, `"memory_mb":-1`: false,
		`"max_files":128`: true, `"max_files":0`: true, `"max_files":127`: false,
	} {
		if _, err := Parse(fmt.Appendf(nil, valid, field)); (err == nil) != accepted {
			t.Errorf("%s: %v", field, err)
		}
	}
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
