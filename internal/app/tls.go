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

// reloadEvery is how often certificate files are looked at again.
const reloadEvery = 2 * time.Second

// certificates serves a certificate that is read again when its file changes,
// so that keys rotate without a restart. A file that cannot be read keeps the
// last good one.
type certificates struct {
	files   settings.TLS
	mu      sync.Mutex
	cert    *tls.Certificate
	pool    *x509.CertPool
	changed time.Time
	looked  time.Time
}

func newTLS(files settings.TLS) (*certificates, error) {
	c := &certificates{files: files}
	return c, c.load()
}

func (c *certificates) load() error {
	cert, err := tls.LoadX509KeyPair(c.files.CertFile, c.files.KeyFile)
	if err != nil {
		return oops.In("tls").Wrapf(err, "tls: cert_file and key_file")
	}
	ca, err := os.ReadFile(c.files.CAFile)
	if err != nil {
		return oops.In("tls").Wrapf(err, "tls: ca_file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return oops.In("tls").Errorf("tls: ca_file: %s holds no certificate", c.files.CAFile)
	}
	c.cert, c.pool, c.changed = &cert, pool, c.modified()
	return nil
}

func (c *certificates) modified() time.Time {
	var newest time.Time
	for _, f := range []string{c.files.CertFile, c.files.KeyFile, c.files.CAFile} {
		if info, err := os.Stat(f); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

func (c *certificates) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.looked) >= reloadEvery {
		c.looked = now
		if c.modified() != c.changed {
			_ = c.load()
		}
	}
	return c.cert, c.pool
}

func (c *certificates) callers(l net.Listener) net.Listener {
	return tls.NewListener(l, &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := c.current()
			return cert, nil
		},
	})
}

func (c *certificates) peers(l net.Listener) net.Listener {
	return tls.NewListener(l, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := c.current()
			return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert}, nil
		},
	})
}

// client verifies the peer's chain against the current authorities itself,
// because a static RootCAs would outlive a rotation. Names are not compared:
// peers are reached by IP number, and the peer key proves that they are ours.
func (c *certificates) client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := c.current()
			return cert, nil
		},
		InsecureSkipVerify: true, // VerifyConnection below replaces it.
		VerifyConnection: func(s tls.ConnectionState) error {
			_, pool := c.current()
			rest := x509.NewCertPool()
			for _, cert := range s.PeerCertificates[1:] {
				rest.AddCert(cert)
			}
			_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
				Roots: pool, Intermediates: rest, CurrentTime: time.Now(),
			})
			return err
		},
	}
}
