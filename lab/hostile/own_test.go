package hostile

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/api"
	"github.com/damaskrudder/damaskrudder/internal/app"
	"github.com/damaskrudder/damaskrudder/internal/demo"
	"github.com/damaskrudder/damaskrudder/internal/settings"
)

// ownDaemon is a daemon of the own interface that runs as a process.
type ownDaemon struct {
	*process
	settings settings.Settings
}

// startOwnDaemon starts a daemon of the own interface beside the demo's stand-ins, with TLS if certificates are
// given. The demo's own daemon, in this process, is its operator's.
func startOwnDaemon(t *testing.T, certificates *settings.TLS) *ownDaemon {
	t.Helper()
	cluster, err := demo.NewCluster(1, func(s settings.Settings, secrets settings.Secrets) (demo.Node, error) {
		return app.Start(s, secrets, app.NewLogger(io.Discard, s.ID, s.LogLevel))
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	s := cluster.Settings[0]
	addresses := freeAddresses(t, 2)
	s.ID, s.ListenAddress, s.PeerListenAddress, s.Peers, s.TLS = "router-p", addresses[0], addresses[1], nil, certificates
	return runOwn(t, s, demo.Secrets)
}

func runOwn(t *testing.T, s settings.Settings, secrets settings.Secrets) *ownDaemon {
	t.Helper()
	s.MemoryMB, s.MaxFiles, s.LogOutagePolicy = memoryMB, maxFiles, "refuse"
	file := filepath.Join(t.TempDir(), "daemon.jsonc")
	text, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	keys, err := json.Marshal(secrets)
	if err != nil {
		t.Fatal(err)
	}
	d := &ownDaemon{startProcess(t, []string{settings.SecretsEnvVar + "=" + string(keys)}, "run", "-config", file), s}
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(watchInterval) {
		if status, _, err := d.callOnce(http.MethodGet, "/healthz", ""); err == nil && status == http.StatusNoContent {
			return d
		}
	}
	t.Fatal("the daemon does not become healthy")
	return nil
}

// callOnce sends a request on a new connection.
func (d *ownDaemon) callOnce(method, path, body string) (status int, answer string, err error) {
	scheme := "http://"
	if d.settings.TLS != nil {
		scheme = "https://"
	}
	req, err := http.NewRequest(method, scheme+d.settings.ListenAddress+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer "+demo.APIKey(demo.Goldfields))
	req.Header.Set(api.HeaderIdempotencyKey, fmt.Sprint("key-", time.Now().UnixNano()))
	transport := &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}} // the certificate is the test's
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport, Timeout: waitLimit}).Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }() // read to its end
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// expectAnswer reports an ordinary request that is not answered.
func (d *ownDaemon) expectAnswer(when string) {
	d.t.Helper()
	var status int
	var answer string
	var err error
	for range callTries {
		status, answer, err = d.callOnce(http.MethodPost, "/v1/services/confirm", `{"lot":"7"}`)
		if err == nil && status == http.StatusOK {
			return
		}
		time.Sleep(callPause)
	}
	d.t.Errorf("%s: an ordinary request got %d %q, %v", when, status, answer, err)
}

// playBeside plays a crowd at an address, with an ordinary request beside it and one afterwards.
func (d *ownDaemon) playBeside(address string, count int, send client) {
	d.t.Helper()
	d.expectAnswer("before the crowd")
	r := playAccepted(d.t, address, count, send)
	d.look()
	d.expectAnswer("beside the crowd")
	r.leave()
	d.expectAnswer("after the crowd")
	d.check()
}

// newCertificates returns the files of a certificate that signs itself.
func newCertificates(t *testing.T) *settings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	certificate := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "router"}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, certificate, certificate, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	files := &settings.TLS{CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem"), CAFile: filepath.Join(dir, "cert.pem")}
	for file, block := range map[string]*pem.Block{files.CertFile: {Type: "CERTIFICATE", Bytes: der}, files.KeyFile: {Type: "EC PRIVATE KEY", Bytes: keyDER}} {
		if err := os.WriteFile(file, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// encrypted plays a client over TLS.
func encrypted(send client) client {
	return func(c net.Conn, number int) {
		send(tls.Client(c, &tls.Config{InsecureSkipVerify: true}), number) // the certificate is the test's
	}
}

// ownHead is the head of a request to the own interface, without its last empty line.
func ownHead(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer " + demo.APIKey(demo.Goldfields) + "\r\n"
}

// ownListeners are the listeners of a daemon of the own interface.
var ownListeners = map[string]func(s settings.Settings) string{
	"callers": func(s settings.Settings) string { return s.ListenAddress },
	"peers":   func(s settings.Settings) string { return s.PeerListenAddress },
}

// ownCrowds are the crowds that are played at each listener of the own interface, with and without TLS.
var ownCrowds = map[string]struct {
	count int
	send  client
}{
	"short lines over the limit": {headCrowd, endless(func(int) string { return ownHead(http.MethodGet, "/v1/models") }, shortLines(chunkBytes))},
	"line without end":           {headCrowd, endless(func(int) string { return ownHead(http.MethodGet, "/v1/models") + "A: " }, "x")},
	"empty lines without end":    {headCrowd, endless(nothing, "\r\n")},
	"silent":                     {silentCrowd, silent},
	"one byte of a head":         {silentCrowd, func(c net.Conn, _ int) { write(c, "G") }},
	"legal heads of short lines": {requestCrowd, func(c net.Conn, _ int) {
		start := ownHead(http.MethodPost, "/v1/services/confirm") + "Content-Length: 100\r\n"
		write(c, start+shortLines(headBytes-len(start)-2)+"\r\n")
	}},
}

// Guards against clients of the own interface that end the process or shut callers out.
func TestCrowdsAtTheOwnInterface(t *testing.T) {
	for listener, address := range ownListeners {
		for name, crowd := range ownCrowds {
			t.Run(listener+"/"+name, func(t *testing.T) {
				d := startOwnDaemon(t, nil)
				d.playBeside(address(d.settings), crowd.count, crowd.send)
			})
		}
	}
}

// Guards against the same with TLS.
func TestCrowdsAtTheOwnInterfaceWithTLS(t *testing.T) {
	for name, crowd := range ownCrowds {
		t.Run(name, func(t *testing.T) {
			d := startOwnDaemon(t, newCertificates(t))
			d.playBeside(d.settings.ListenAddress, crowd.count, encrypted(crowd.send))
		})
	}
}

// Guards against handshakes that do not end and shut callers out.
func TestHandshakesThatDoNotEnd(t *testing.T) {
	const clientHelloStart = "\x16\x03\x01\x02\x00\x01"
	for name, send := range map[string]client{
		"silent":     silent,
		"begun":      func(c net.Conn, _ int) { write(c, clientHelloStart) },
		"plain HTTP": func(c net.Conn, _ int) { write(c, ownHead(http.MethodGet, "/v1/models")+"\r\n") },
	} {
		for listener, address := range ownListeners {
			t.Run(listener+"/"+name, func(t *testing.T) {
				d := startOwnDaemon(t, newCertificates(t))
				d.playBeside(address(d.settings), silentCrowd, send)
			})
		}
	}
}

// Guards against bodies of the own interface that take the memory, while their ends are due.
func TestBodiesOutstandingAtTheOwnInterface(t *testing.T) {
	d := startOwnDaemon(t, nil)
	const size = 1 << 20
	d.playBeside(d.settings.ListenAddress, requestCrowd, func(c net.Conn, _ int) {
		write(c, ownHead(http.MethodPost, "/v1/services/confirm")+fmt.Sprintf("Content-Length: %d\r\n\r\n{\"lot\":\"", size)+strings.Repeat("x", size-100))
	})
}
