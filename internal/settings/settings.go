// Package settings loads and validates a daemon's settings file, which is JSON
// with comments. Errors contain the file, the line or field, and the value.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// Duration is a time.Duration written as a string such as "1.5s".
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("duration must be a string such as \"1.5s\", not %s", data)
	}
	v, err := time.ParseDuration(s)
	*d = Duration(v)
	return err
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// Settings holds the settings of one daemon.
type Settings struct {
	// ID identifies the daemon and must not change across restarts. Required.
	ID string `json:"id"`
	// Region is the region of the failure domain. Required.
	Region string `json:"region"`
	// FailureDomain is the failure domain of the VM. Required.
	FailureDomain string `json:"failure_domain"`
	// ListenAddress is the ip:port that serves callers and operators. Required.
	ListenAddress string `json:"listen"`
	// PeerListenAddress is the ip:port that serves other daemons. Required.
	PeerListenAddress string `json:"peer_listen"`
	// Peers lists the ip:port of daemons to join the cluster through. Default: none.
	Peers []string `json:"peers"`
	// LogURL is the base URL of the append-only log service. Required.
	LogURL string `json:"log"`
	// VMListURL is the base URL of the VM list service. Default: not used.
	VMListURL string `json:"vm_list"`
	// RatingURL is the base URL of the rating service. Default: not used.
	RatingURL string `json:"rating"`
	// WeightStoreURL is the base URL of the weight store, which limits concurrent
	// weight loads. Default: loads are not limited.
	WeightStoreURL string `json:"weights"`
	// Pools lists the pools that the daemon routes to. Default: all.
	Pools []string `json:"pools"`
	// SecretsFile is the path of a JSON file with the keys. Default: the keys are
	// read from the environment variable DAMASKRUDDER_SECRETS.
	SecretsFile string `json:"secrets_file"`
	// MaxBodyBytes is the maximum size of a request body in bytes. Default 1,048,576.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// MaxHeaderBytes is the maximum size of a request line with its header fields in
	// bytes. Default 65,536.
	MaxHeaderBytes int `json:"max_header_bytes"`
	// MemoryMB is the memory of the VM that the daemon may use, in MiB. Callers get
	// a part of it. Default: the memory of the VM.
	MemoryMB int `json:"memory_mb"`
	// MaxFiles is the number of descriptors that the daemon may open. Callers get a
	// part of them. Default: the limit of the process.
	MaxFiles int `json:"max_files"`
	// SubsetSize is the maximum number of servers of a pool that the daemon sends
	// to, 1 to 64. Default 24.
	SubsetSize int `json:"subset"`
	// EndpointTTL is how long callers may cache a response of /v1/endpoints.
	// Default "5s".
	EndpointTTL Duration `json:"endpoint_ttl"`
	// DrainGrace is how long a stopping daemon accepts requests after the endpoint
	// TTL has passed. The minimum, "2s", is the time in which its leaving state
	// reaches daemons that have just started. Default "3s".
	DrainGrace Duration `json:"drain_grace"`
	// DrainTimeout is the maximum wait for running requests at shutdown. Default "2m".
	DrainTimeout Duration `json:"drain_limit"`
	// StreamIdleTimeout is how long a response stream from a server may be idle
	// before it is resumed on a new connection. Default "3s".
	StreamIdleTimeout Duration `json:"silence"`
	// BillingBufferSize is the maximum number of usage records waiting to be written
	// to the log. Default 20,000, about 8 MB.
	BillingBufferSize int `json:"billing_buffer"`
	// RatingShare is the fraction of answers sent to the rating service, 0 to 1.
	// Default 0.05.
	RatingShare float64 `json:"rating_share"`
	// LogOutagePolicy is the behaviour while the log is unreachable: "majority"
	// keeps serving while a majority of daemons is reachable, "refuse" stops serving
	// 15 s after the last response of the log. Default "majority".
	LogOutagePolicy string `json:"without_log"`
	// LogLevel is debug, info, warn or error. Default "info".
	LogLevel string `json:"log_level"`
	// TLS configures TLS for the listeners and for connections to other daemons.
	// Default: no TLS.
	TLS *TLS `json:"tls"`
}

// TLS holds the paths of PEM files. They are reloaded when they change.
type TLS struct {
	// CertFile is the path of the daemon's certificate chain, PEM.
	CertFile string `json:"cert_file"`
	// KeyFile is the path of the certificate's private key, PEM.
	KeyFile string `json:"key_file"`
	// CAFile is the path of the CA certificates that verify other daemons'
	// certificates, PEM.
	CAFile string `json:"ca_file"`
}

// Defaults returns settings with all defaults set. Required fields are empty.
func Defaults() Settings {
	return Settings{
		MaxBodyBytes:      1 << 20,
		MaxHeaderBytes:    64 << 10,
		SubsetSize:        24,
		EndpointTTL:       Duration(5 * time.Second),
		DrainGrace:        Duration(3 * time.Second),
		DrainTimeout:      Duration(2 * time.Minute),
		StreamIdleTimeout: Duration(3 * time.Second),
		BillingBufferSize: 20000,
		RatingShare:       0.05,
		LogOutagePolicy:   "majority",
		LogLevel:          "info",
	}
}

// Load reads and validates a settings file.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, err
	}
	s, err := Parse(data)
	if err != nil {
		return Settings{}, fmt.Errorf("%s: %w", file, err)
	}
	return s, nil
}

// Parse decodes settings over the defaults and validates them. An unknown field
// is an error.
func Parse(data []byte) (Settings, error) {
	s := Defaults()
	standardJSON, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return s, err
	}
	d := json.NewDecoder(bytes.NewReader(standardJSON))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, addLineNumber(standardJSON, err)
	}
	return s, s.Validate()
}

// addLineNumber adds the line of the invalid field to a decoding error.
func addLineNumber(data []byte, err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return fmt.Errorf("line %d: %s: %s does not fit (a JSON %s)", lineNumber(data, int(typeErr.Offset)), typeErr.Field, valueEndingAt(data, int(typeErr.Offset)), typeErr.Value)
	}
	if _, field, ok := strings.Cut(err.Error(), "unknown field "); ok {
		return fmt.Errorf("line %d: unknown field %s", lineNumber(data, bytes.Index(data, []byte(field))), field)
	}
	return err
}

// valueEndingAt returns the JSON text of the value that ends at offset.
func valueEndingAt(data []byte, offset int) string {
	before := data[:min(max(offset, 0), len(data))]
	return string(bytes.TrimSpace(before[bytes.LastIndexByte(before, ':')+1:]))
}

func lineNumber(data []byte, offset int) int {
	return 1 + bytes.Count(data[:min(max(offset, 0), len(data))], []byte("\n"))
}

// Validate checks all fields and returns an error that names an invalid one.
func (s *Settings) Validate() error {
	for _, f := range []struct{ name, value string }{{"id", s.ID}, {"region", s.Region}, {"failure_domain", s.FailureDomain}} {
		if f.value == "" {
			return fmt.Errorf("%s: must not be empty", f.name)
		}
	}
	if err := s.validateAddresses(); err != nil {
		return err
	}
	return s.validateNumbers()
}

func (s *Settings) validateAddresses() error {
	addresses := map[string]string{"listen": s.ListenAddress, "peer_listen": s.PeerListenAddress}
	for i, p := range s.Peers {
		addresses[fmt.Sprintf("peers[%d]", i)] = p
	}
	for field, value := range addresses {
		if _, err := netip.ParseAddrPort(value); err != nil {
			return fmt.Errorf("%s: %q is not ip:port", field, value)
		}
	}
	if s.LogURL == "" {
		return errors.New("log: must not be empty")
	}
	for _, f := range []struct{ name, value string }{{"log", s.LogURL}, {"vm_list", s.VMListURL}, {"rating", s.RatingURL}, {"weights", s.WeightStoreURL}} {
		u, err := url.Parse(f.value)
		if f.value != "" && (err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "") {
			return fmt.Errorf("%s: %q is not an http or https URL", f.name, f.value)
		}
	}
	return nil
}

const (
	maxSubsetSize = 64
	// minHeaderBytes has room for the fields of a request with a session token.
	minHeaderBytes = 4 << 10
	// minMemoryMB has room for a daemon without requests and a few of the largest ones, and minFiles
	// for its connections to other daemons and to servers.
	minMemoryMB = 96
	minFiles    = 128
	// minDrainGrace covers two heartbeat rounds.
	minDrainGrace = Duration(2 * time.Second)
)

func (s *Settings) validateNumbers() error {
	for _, f := range []struct {
		name  string
		value Duration
	}{{"endpoint_ttl", s.EndpointTTL}, {"drain_grace", s.DrainGrace}, {"drain_limit", s.DrainTimeout}, {"silence", s.StreamIdleTimeout}} {
		if f.value <= 0 {
			return fmt.Errorf("%s: %s must be greater than zero", f.name, time.Duration(f.value))
		}
	}
	switch {
	case s.MaxBodyBytes <= 0:
		return fmt.Errorf("max_body_bytes: %d must be greater than zero", s.MaxBodyBytes)
	case s.MaxHeaderBytes < minHeaderBytes:
		return fmt.Errorf("max_header_bytes: %d is less than %d", s.MaxHeaderBytes, minHeaderBytes)
	case s.MemoryMB != 0 && s.MemoryMB < minMemoryMB:
		return fmt.Errorf("memory_mb: %d is less than %d", s.MemoryMB, minMemoryMB)
	case s.MaxFiles != 0 && s.MaxFiles < minFiles:
		return fmt.Errorf("max_files: %d is less than %d", s.MaxFiles, minFiles)
	case s.SubsetSize < 1 || s.SubsetSize > maxSubsetSize:
		return fmt.Errorf("subset: %d is out of 1..%d", s.SubsetSize, maxSubsetSize)
	case s.DrainGrace < minDrainGrace:
		return fmt.Errorf("drain_grace: %s must be at least %s", time.Duration(s.DrainGrace), time.Duration(minDrainGrace))
	case s.BillingBufferSize < 1:
		return fmt.Errorf("billing_buffer: %d must be greater than zero", s.BillingBufferSize)
	case s.RatingShare < 0 || s.RatingShare > 1:
		return fmt.Errorf("rating_share: %v is out of 0..1", s.RatingShare)
	case s.LogOutagePolicy != "majority" && s.LogOutagePolicy != "refuse":
		return fmt.Errorf("without_log: %q is neither majority nor refuse", s.LogOutagePolicy)
	case !strings.Contains(" debug info warn error ", " "+s.LogLevel+" "):
		return fmt.Errorf("log_level: %q is not debug, info, warn or error", s.LogLevel)
	case s.TLS != nil && (s.TLS.CertFile == "" || s.TLS.KeyFile == "" || s.TLS.CAFile == ""):
		return errors.New("tls: cert_file, key_file and ca_file are all required")
	}
	return nil
}
