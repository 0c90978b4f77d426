// Package app starts a daemon from its settings and implements the commands of the
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
	"github.com/damaskrudder/damaskrudder/internal/conntrack"
	"github.com/damaskrudder/damaskrudder/internal/daemon"
	"github.com/damaskrudder/damaskrudder/internal/listenqueue"
	"github.com/damaskrudder/damaskrudder/internal/peer"
	"github.com/damaskrudder/damaskrudder/internal/platform"
	"github.com/damaskrudder/damaskrudder/internal/recovery"
	"github.com/damaskrudder/damaskrudder/internal/settings"
)

const (
	// platformTimeout is the timeout of calls to platform services, including long polls.
	platformTimeout = 5 * time.Second
	// metricsInterval is the period between updates of the exported metrics.
	metricsInterval = time.Second
	// closeMargin is the time between the latest start of closing the listener and the end of a shutdown.
	closeMargin = 500 * time.Millisecond
	// responseMargin is the time between the latest close of a listener and the end of a shutdown.
	responseMargin = 100 * time.Millisecond
)

// Node is a running daemon with its caller and peer servers.
type Node struct {
	Daemon *daemon.Daemon
	logger *log.Logger
	// listeners holds the listener of clientServer. What waits in the queue of the other one is safe to repeat: a
	// peer sends its request only once the connection has been upgraded.
	listeners    *listenqueue.Group
	clientServer *http.Server
	// clients are the connections of clientServer, with their requests.
	clients        *conntrack.Tracker
	peerHTTPServer *http.Server
	peerServer     *peer.Server
	cancel         context.CancelFunc
	done           chan struct{}
	closers        []io.Closer
	killOnce       sync.Once
}

// NewLogger returns a logger that prefixes lines with the daemon ID. If the level is
// invalid, the default level is used.
func NewLogger(w io.Writer, id, level string) *log.Logger {
	logger := log.NewWithOptions(w, log.Options{ReportTimestamp: true, Prefix: id})
	if parsedLevel, err := log.ParseLevel(level); err == nil {
		logger.SetLevel(parsedLevel)
	}
	return logger
}

// Option changes the dependencies of a daemon.
type Option func(deps *daemon.Dependencies)

// Start listens on the addresses in the settings and starts a daemon.
func Start(s settings.Settings, secrets settings.Secrets, logger *log.Logger, options ...Option) (*Node, error) {
	callerListener, err := listenqueue.Listen("tcp", s.ListenAddress)
	if err != nil {
		return nil, oops.In("app").Wrapf(err, "listen: %s", s.ListenAddress)
	}
	peerListener, err := listenqueue.Listen("tcp", s.PeerListenAddress)
	if err != nil {
		_ = callerListener.Close()
		return nil, oops.In("app").Wrapf(err, "peer_listen: %s", s.PeerListenAddress)
	}
	return StartWithListeners(s, secrets, logger, callerListener, peerListener, options...)
}

// StartWithListeners starts a daemon on open listeners. Their addresses replace those in
// the settings.
func StartWithListeners(s settings.Settings, secrets settings.Secrets, logger *log.Logger, callerListener, peerListener net.Listener, options ...Option) (*Node, error) {
	s.ListenAddress, s.PeerListenAddress = callerListener.Addr().String(), peerListener.Addr().String()
	scope, handler, closer := newMetricsScope()
	deps := daemon.Dependencies{Log: platform.NewClient(s.LogURL, platformTimeout), Logger: logger, Metrics: scope}
	if s.VMListURL != "" {
		deps.VMs = platform.NewClient(s.VMListURL, platformTimeout)
	}
	if s.RatingURL != "" {
		deps.Ratings = platform.NewClient(s.RatingURL, platformTimeout)
	}
	if s.WeightStoreURL != "" {
		deps.Weights = platform.NewClient(s.WeightStoreURL, platformTimeout)
	}
	n := &Node{logger: logger, listeners: listenqueue.NewGroup(scope, logger), done: make(chan struct{}), closers: []io.Closer{closer}}
	n.clients = conntrack.New(logger)
	callerListener = n.clients.Listen(n.listeners.Add("clients", callerListener))
	if s.TLS != nil {
		certs, err := newCertReloader(*s.TLS)
		if err != nil {
			return nil, err
		}
		deps.PeerTLS = certs.peerClientConfig()
		callerListener, peerListener = certs.clientListener(callerListener), certs.peerListener(peerListener)
	}
	for _, apply := range options {
		apply(&deps)
	}
	n.Daemon = daemon.New(s, secrets, deps)
	panicCounter := n.Daemon.PanicCounter()
	inbound := newInbound(s, scope, logger)
	n.clientServer = &http.Server{Handler: recovery.Handler(inbound.account.Handler(api.New(n.Daemon, logger, handler)), panicCounter, logger)}
	n.clients.Attach(n.clientServer)
	inbound.serve("callers", callerListener, n.clientServer)
	n.peerServer = n.Daemon.PeerServer()
	n.peerServer.Memory = inbound.account
	n.peerHTTPServer = &http.Server{Handler: recovery.Handler(n.peerServer, panicCounter, logger)}
	inbound.serve("peers", peerListener, n.peerHTTPServer)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.done)
		n.Daemon.Run(ctx)
	}()
	return n, nil
}

func newMetricsScope() (tally.Scope, http.Handler, io.Closer) {
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "damaskrudder", Separator: promreporter.DefaultSeparator,
		CachedReporter: reporter, OmitCardinalityMetrics: true,
	}, metricsInterval)
	return scope, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), closer
}

// Shutdown drains the daemon and stops it. The listener of clients closes once what waits in its queue is
// accepted. Connections without a request close after that, new ones only if they stay silent. Shutdown ends
// once no request is being read or served and all responses are flushed, or the drain limit has passed.
// Cancelling the context aborts the requests that are still running. The error reports aborted requests and
// unconfirmed usage records.
func (n *Node) Shutdown(ctx context.Context) error {
	settings := n.Daemon.Settings()
	end := time.Now().Add(time.Duration(settings.EndpointTTL + settings.DrainGrace + settings.DrainTimeout))
	closeListeners := func() { n.listeners.Close(end.Add(-responseMargin)) }
	latest := time.AfterFunc(time.Until(end.Add(-closeMargin)), closeListeners)
	defer latest.Stop()
	running, unconfirmed := n.Daemon.Drain(ctx)
	closeCtx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	closeListeners()
	n.listeners.Wait(closeCtx)
	// Shutdown of the server would drop requests that come on open connections.
	n.clients.CloseIdle()
	n.clients.Wait(closeCtx)
	cut := max(running, n.logOpenRequests())
	n.Kill()
	if cut > 0 || unconfirmed > 0 {
		return oops.In("app").Errorf("cut %d running requests; %d usage records are unconfirmed", cut, unconfirmed)
	}
	return nil
}

// logOpenRequests logs the requests on the connections that are about to be closed.
func (n *Node) logOpenRequests() (open int) {
	for _, r := range n.clients.Requests() {
		open++
		n.logger.Warn("connection closed with a request on it", "remote", r.Remote, "method", r.Method, "path", r.Path, "phase", r.Phase, "age_ms", time.Since(r.Since).Milliseconds())
	}
	return open
}

// Kill stops the daemon without draining it. Further calls have no effect.
func (n *Node) Kill() { n.killOnce.Do(n.shutDown) }

func (n *Node) shutDown() {
	_ = n.clientServer.Close()
	_ = n.peerHTTPServer.Close()
	n.peerServer.Close()
	n.cancel()
	<-n.done
	for _, c := range n.closers {
		_ = c.Close()
	}
}

var errSecondSignal = errors.New("stopped by a second signal")
