package app

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/damaskrudder/damaskrudder/internal/settings"
)

// reloadInterval is the minimum time between checks for changed certificate files.
const reloadInterval = 2 * time.Second

// certReloader provides a certificate and a CA pool and reloads them when their files
// change. If reloading fails, the previous ones stay in use.
type certReloader struct {
	files     settings.TLS
	mu        sync.Mutex
	cert      *tls.Certificate
	caPool    *x509.CertPool
	modTime   time.Time
	lastCheck time.Time
}

func newCertReloader(files settings.TLS) (*certReloader, error) {
	c := &certReloader{files: files}
	return c, c.load()
}

func (c *certReloader) load() error {
	cert, err := tls.LoadX509KeyPair(c.files.CertFile, c.files.KeyFile)
	if err != nil {
		return oops.In("tls").Wrapf(err, "tls: cert_file and key_file")
	}
	caPEM, err := os.ReadFile(c.files.CAFile)
	if err != nil {
		return oops.In("tls").Wrapf(err, "tls: ca_file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(caPEM) {
		return oops.In("tls").Errorf("tls: ca_file: %s holds no certificate", c.files.CAFile)
	}
	c.cert, c.caPool, c.modTime = &cert, pool, c.newestModTime()
	return nil
}

func (c *certReloader) newestModTime() time.Time {
	var newest time.Time
	for _, file := range []string{c.files.CertFile, c.files.KeyFile, c.files.CAFile} {
		if info, err := os.Stat(file); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

func (c *certReloader) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.lastCheck) >= reloadInterval {
		c.lastCheck = now
		if c.newestModTime() != c.modTime {
			_ = c.load()
		}
	}
	return c.cert, c.caPool
}

func (c *certReloader) clientListener(l net.Listener) net.Listener {
	return tls.NewListener(l, &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := c.current()
			return cert, nil
		},
	})
}

func (c *certReloader) peerListener(l net.Listener) net.Listener {
	return tls.NewListener(l, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := c.current()
			return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert}, nil
		},
	})
}

// peerClientConfig returns a client configuration that verifies peer certificates in
// VerifyConnection, because RootCAs cannot be replaced when the files change. Host names
// are not verified: peers are addressed by IP address and authenticated by the peer key.
func (c *certReloader) peerClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := c.current()
			return cert, nil
		},
		InsecureSkipVerify: true, // VerifyConnection verifies the chain instead.
		VerifyConnection: func(state tls.ConnectionState) error {
			_, pool := c.current()
			intermediates := x509.NewCertPool()
			for _, cert := range state.PeerCertificates[1:] {
				intermediates.AddCert(cert)
			}
			_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
				Roots: pool, Intermediates: intermediates, CurrentTime: time.Now(),
			})
			return err
		},
	}
}
