// Package app turns settings into a running daemon and holds the commands of the
// damaskrudder binary.
package app

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/samber/oops"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/damaskrudder/damaskrudder/internal/api"
	"github.com/damaskrudder/damaskrudder/internal/daemon"
	"github.com/damaskrudder/damaskrudder/internal/peer"
	"github.com/damaskrudder/damaskrudder/internal/platform"
	"github.com/damaskrudder/damaskrudder/internal/recovery"
	"github.com/damaskrudder/damaskrudder/internal/settings"
)

const (
	// platformTimeout bounds a call of a platform service, long reads included.
	platformTimeout = 5 * time.Second
	// headerTimeout bounds how long a client may take over its header.
	headerTimeout = 10 * time.Second
	// idleTimeout closes unused connections of callers.
	idleTimeout = 2 * time.Minute
	// metricsInterval is how often counters are reported.
	metricsInterval = time.Second
)

// Node is a daemon with its listeners.
type Node struct {
	Daemon  *daemon.Daemon
	log     *log.Logger
	callers *http.Server
	peers   *http.Server
	peering *peer.Server
	stop    context.CancelFunc
	done    chan struct{}
	closers []io.Closer
	kill    sync.Once
}

// NewLogger returns the logger of a daemon.
func NewLogger(w io.Writer, id, level string) *log.Logger {
	l := log.NewWithOptions(w, log.Options{ReportTimestamp: true, Prefix: id})
	if parsed, err := log.ParseLevel(level); err == nil {
		l.SetLevel(parsed)
	}
	return l
}

// Start opens the listeners and starts the daemon.
func Start(s settings.Settings, secrets settings.Secrets, l *log.Logger) (*Node, error) {
	callers, err := net.Listen("tcp", s.ListenAddress)
	if err != nil {
		return nil, oops.In("app").Wrapf(err, "listen: %s", s.ListenAddress)
	}
	peers, err := net.Listen("tcp", s.PeerListenAddress)
	if err != nil {
		_ = callers.Close()
		return nil, oops.In("app").Wrapf(err, "peer_listen: %s", s.PeerListenAddress)
	}
	return StartOn(s, secrets, l, callers, peers)
}

// StartOn starts a daemon on open listeners; the settings' addresses follow them.
func StartOn(s settings.Settings, secrets settings.Secrets, l *log.Logger, callers, peers net.Listener) (*Node, error) {
	s.ListenAddress, s.PeerListenAddress = callers.Addr().String(), peers.Addr().String()
	scope, handler, closer := newMetrics()
	ports := daemon.Dependencies{Log: platform.NewClient(s.LogURL, platformTimeout), Logger: l, Metrics: scope}
	if s.VMListURL != "" {
		ports.VMs = platform.NewClient(s.VMListURL, platformTimeout)
	}
	if s.RatingURL != "" {
		ports.Rater = platform.NewClient(s.RatingURL, platformTimeout)
	}
	if s.WeightStoreURL != "" {
		ports.Weights = platform.NewClient(s.WeightStoreURL, platformTimeout)
	}
	n := &Node{log: l, done: make(chan struct{}), closers: []io.Closer{closer}}
	if s.TLS != nil {
		t, err := newTLS(*s.TLS)
		if err != nil {
			return nil, err
		}
		ports.PeerTLS = t.client()
		callers, peers = t.callers(callers), t.peers(peers)
	}
	n.Daemon = daemon.New(s, secrets, ports)
	panics := n.Daemon.PanicCounter()
	n.callers = serve(callers, recovery.Handler(api.New(n.Daemon, l, handler), panics, l))
	n.peering = n.Daemon.PeerServer()
	n.peers = serve(peers, recovery.Handler(n.peering, panics, l))
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go func() {
		defer close(n.done)
		n.Daemon.Run(ctx)
	}()
	return n, nil
}

func serve(l net.Listener, h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	go func() { _ = s.Serve(l) }()
	return s
}

func newMetrics() (tally.Scope, http.Handler, io.Closer) {
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "damaskrudder", Separator: promreporter.DefaultSeparator,
		CachedReporter: reporter, OmitCardinalityMetrics: true,
	}, metricsInterval)
	return scope, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), closer
}

// Shutdown drains the daemon and closes it. Cancelling the context cuts what
// still runs. The error says what was cut.
func (n *Node) Shutdown(ctx context.Context) error {
	running, unconfirmed := n.Daemon.Drain(ctx)
	closeCtx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_ = n.callers.Shutdown(closeCtx)
	n.Kill()
	if running > 0 || unconfirmed > 0 {
		return oops.In("app").Errorf("cut %d running requests; %d usage records are unconfirmed", running, unconfirmed)
	}
	return nil
}

// Kill ends the daemon at once, as the loss of its VM does. A second call does
// nothing.
func (n *Node) Kill() { n.kill.Do(n.end) }

func (n *Node) end() {
	_ = n.callers.Close()
	_ = n.peers.Close()
	n.peering.Close()
	n.stop()
	<-n.done
	for _, c := range n.closers {
		_ = c.Close()
	}
}

var errSignal = errors.New("stopped by a second signal")
