package app

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/settings"
)

// testCA is a certificate authority for tests.
type testCA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newTestCA(t *testing.T) *testCA {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	ca := &testCA{key: key, cert: &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}}
	return ca
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// issueFiles writes a new certificate with the given serial number, its key and the CA
// certificate to dir.
func (ca *testCA) issueFiles(t *testing.T, dir string, serial int64) settings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	caDER, err := x509.CreateCertificate(rand.Reader, ca.cert, ca.cert, &ca.key.PublicKey, ca.key)
	if err != nil {
		t.Fatal(err)
	}
	der, err := x509.CreateCertificate(rand.Reader, leaf, ca.cert, &key.PublicKey, ca.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	files := settings.TLS{CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem"), CAFile: filepath.Join(dir, "ca.pem")}
	writePEM(t, files.CertFile, "CERTIFICATE", der)
	writePEM(t, files.KeyFile, "EC PRIVATE KEY", keyDER)
	writePEM(t, files.CAFile, "CERTIFICATE", caDER)
	return files
}

// TestPeerTLS checks that the peer port requires a certificate of the same CA and that
// renewed certificate files take effect without a restart.
func TestPeerTLS(t *testing.T) {
	trustedCA, dir := newTestCA(t), t.TempDir()
	server, err := newCertReloader(trustedCA.issueFiles(t, dir, 7))
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "in") })}
	go func() { _ = srv.Serve(server.peerListener(listener)) }()
	defer srv.Close()
	get := func(c *tls.Config) (serial int64, err error) {
		transport := &http.Transport{TLSClientConfig: c}
		defer transport.CloseIdleConnections()
		resp, err := (&http.Client{Transport: transport}).Get("https://" + listener.Addr().String())
		if err != nil {
			return 0, err
		}
		defer resp.Body.Close()
		return resp.TLS.PeerCertificates[0].SerialNumber.Int64(), nil
	}
	trustedPeer, err := newCertReloader(trustedCA.issueFiles(t, t.TempDir(), 8))
	if err != nil {
		t.Fatal(err)
	}
	if serial, err := get(trustedPeer.peerClientConfig()); err != nil || serial != 7 {
		t.Fatalf("peer with a certificate of the same CA: serial %d, error %v", serial, err)
	}
	untrustedPeer, err := newCertReloader(newTestCA(t).issueFiles(t, t.TempDir(), 9))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := get(untrustedPeer.peerClientConfig()); err == nil {
		t.Fatal("accepted a peer with a certificate of another CA")
	}
	if _, err := get(&tls.Config{InsecureSkipVerify: true}); err == nil {
		t.Fatal("accepted a peer without a certificate")
	}
	trustedCA.issueFiles(t, dir, 10)
	later := time.Now().Add(time.Minute)
	if err := os.Chtimes(filepath.Join(dir, "cert.pem"), later, later); err != nil {
		t.Fatal(err)
	}
	server.mu.Lock()
	server.lastCheck = time.Time{}
	server.mu.Unlock()
	if serial, err := get(trustedPeer.peerClientConfig()); err != nil || serial != 10 {
		t.Fatalf("after the renewal: serial %d, error %v", serial, err)
	}
	if err := os.WriteFile(filepath.Join(dir, "key.pem"), []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	server.mu.Lock()
	server.lastCheck = time.Time{}
	server.mu.Unlock()
	if serial, err := get(trustedPeer.peerClientConfig()); err != nil || serial != 10 {
		t.Fatalf("with an invalid key file: serial %d, error %v", serial, err)
	}
}
