// Package route holds the routing table of the proxy: the mapping of hosts and paths to
// services, the repeatability of requests, and the owners of API keys. A Table is
// immutable and is replaced as a whole by a newer configuration document.
package route

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/urgency"
)

// Kind is the type of requests of a route, which determines whether they may be
// repeated.
type Kind uint8

const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run again after any failure.
	Idempotent
	// Stream requests get a stream of numbered events. They are non-idempotent
	// unless the route is resumable.
	Stream
)

// Route matches requests by host and path prefix.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Backends are the services to which requests are distributed by weight.
	Backends []Backend
	// Timeout is the maximum duration of a request; zero means unlimited.
	Timeout time.Duration
	// LatencyTarget is the target time to the first event or the response.
	LatencyTarget time.Duration
	// EventIntervalTarget is the target time between events.
	EventIntervalTarget time.Duration
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// MaxAttempts is the maximum number of servers that may run one request.
	MaxAttempts int
	// Public routes require no API key.
	Public bool
	// Resumable streams may continue on another server after the last event.
	Resumable bool
	// Models are the models that may serve the request, smallest first. If empty,
	// the caller selects the model.
	Models []string
}

// Backend is one service of a route with its weight.
type Backend struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// SelectService returns the name of a service selected by weight. random is uniformly
// distributed and must be the same for every attempt of a request.
func (r *Route) SelectService(random uint64) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	if total <= 0 {
		return r.Backends[0].Service
	}
	position := int(random % uint64(total))
	for _, b := range r.Backends {
		if position -= b.Weight; position < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}

// Service is a group of equivalent backend servers.
type Service struct {
	Name string
	// HealthPath is the path of the health check, which returns 200 if the server is
	// healthy.
	HealthPath string
	// MaxConnections is the maximum number of connections to one server from all daemons.
	MaxConnections int
	// Engine describes the model engines of the service; nil for plain services.
	Engine *Engine
	// WarmupPeriod is the duration of the warm-up after a server starts. WarmupRate is the
	// maximum number of requests per second during the warm-up; zero means unlimited.
	WarmupPeriod time.Duration
	WarmupRate   float64
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the maximum number of requests in one batch.
	Slots int
	// KVCacheTokens is the capacity of the KV cache in tokens.
	KVCacheTokens int
	// KVTokenBytes is the size of one token's KV cache in bytes, KVLinkMbps the rate at which an
	// engine transfers it to another one, in Mbit/s. Engines transfer nothing if either is zero.
	KVTokenBytes, KVLinkMbps float64
	// EventTokens is the number of tokens per stream event; zero means one.
	EventTokens int
	// CostPerKiloToken is the price of 1,000 generated tokens by model.
	CostPerKiloToken map[string]float64
}

// Workspace is the owner of API keys.
type Workspace struct {
	Name string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits are the limits on requests from callers.
type Limits struct {
	// HeaderBytes is the longest head of a request in bytes; zero is the default of httplimit.
	HeaderBytes int
	// BodyBytes is the longest body of a request in bytes; zero is no limit.
	BodyBytes int64
	// HeaderTimeout is how long a head may take, and IdleTimeout the time for which a connection without a
	// request stays open; zero is the default of httplimit.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is an immutable routing table built from one version of the configuration.
type Table struct {
	Version     int64
	Limits      Limits
	Services    map[string]Service
	byHost      map[string][]Route
	byKey       map[string]Workspace
	keyRequired bool
	ranks       urgency.Ranks
}

// Document is a decoded configuration that has not been validated.
type Document struct {
	Version  int64
	Limits   Limits
	Routes   []Route
	Services []Service
	// Keys maps API keys to workspaces. KeyRequired is set if the document lists
	// workspaces; otherwise no API key is required.
	Keys        map[string]Workspace
	KeyRequired bool
}

// NewTable validates a document and builds its table. The error names the invalid part.
func NewTable(d Document) (*Table, error) {
	t := &Table{
		Version: d.Version, Limits: d.Limits, byKey: d.Keys, keyRequired: d.KeyRequired,
		Services: make(map[string]Service, len(d.Services)),
		byHost:   make(map[string][]Route),
	}
	for _, s := range d.Services {
		if s.Name == "" {
			return nil, fmt.Errorf("configuration %d: a service has no name", d.Version)
		}
		t.Services[s.Name] = s
	}
	for _, r := range d.Routes {
		if err := t.checkRoute(&r); err != nil {
			return nil, fmt.Errorf("configuration %d: route %q: %w", d.Version, r.Name, err)
		}
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	t.ranks = urgency.NewRanks(append(t.engineRoutePriorities(d.Routes), ownPriorities(d.Keys)...))
	return t, nil
}

// engineRoutePriorities returns the priorities of the routes to services with engines.
func (t *Table) engineRoutePriorities(routes []Route) []int {
	var out []int
	for _, r := range routes {
		if slices.ContainsFunc(r.Backends, func(b Backend) bool { return t.Services[b.Service].Engine != nil }) {
			out = append(out, max(r.Priority, 0))
		}
	}
	return out
}

// ownPriorities returns the priorities of the workspaces that have one.
func ownPriorities(keys map[string]Workspace) []int {
	var out []int
	for _, w := range keys {
		if w.HasPriority {
			out = append(out, max(w.Priority, 0))
		}
	}
	return out
}

func (t *Table) checkRoute(r *Route) error {
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return fmt.Errorf("prefix %q does not begin and end with a slash", r.PathPrefix)
	}
	if len(r.Backends) == 0 {
		return fmt.Errorf("no service")
	}
	for _, b := range r.Backends {
		if _, ok := t.Services[b.Service]; !ok {
			return fmt.Errorf("unknown service %q", b.Service)
		}
		if b.Weight < 0 {
			return fmt.Errorf("service %q has the negative weight %d", b.Service, b.Weight)
		}
	}
	return nil
}

// Match returns the route of a host with the longest matching path prefix, or nil. A
// port in host is ignored.
func (t *Table) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i > 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	routes := t.byHost[strings.ToLower(host)]
	for i := range routes {
		if strings.HasPrefix(path, routes[i].PathPrefix) {
			return &routes[i]
		}
	}
	return nil
}

// Ranks returns the ranks of the requests to engines.
func (t *Table) Ranks() urgency.Ranks { return t.ranks }

// Rank returns the rank of a workspace's requests on a route, 0 the highest. The workspace's own
// priority precedes that of the route.
func (r *Route) Rank(w Workspace) int {
	if w.HasPriority {
		return max(w.Priority, 0)
	}
	return max(r.Priority, 0)
}

// KeyRequired reports whether requests must have an API key.
func (t *Table) KeyRequired() bool { return t.keyRequired }

// EachWorkspace calls f for the owner of every API key.
func (t *Table) EachWorkspace(f func(w Workspace)) {
	for _, w := range t.byKey {
		f(w)
	}
}

// WorkspaceByKey returns the owner of an API key, and whether the key is known.
func (t *Table) WorkspaceByKey(key string) (Workspace, bool) {
	w, ok := t.byKey[key]
	return w, ok
}
