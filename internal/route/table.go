// Package route holds a whole-document configuration: which host and path leads
// to which service, what may be repeated, and which API key belongs to which
// workspace. A Table is immutable; a newer document makes a new Table.
package route

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated.
type Kind uint8

const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run again after any failure.
	Idempotent
	// Stream requests are answered by a series of numbered events. They count
	// as non-idempotent unless the route is resumable.
	Stream
)

// Route is one rule of the table.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Backends are the services that share the route's requests by weight.
	Backends []Backend
	// Timeout is the longest time a caller is kept waiting; zero is unbounded.
	Timeout time.Duration
	// LatencyTarget is the time to a first event or an answer of full value.
	LatencyTarget time.Duration
	// GapTarget is the longest pause between events of full value.
	GapTarget time.Duration
	// Priority ranks the route, 0 first.
	Priority int
	// MaxAttempts is the most servers that may run one request.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Resumable streams may continue on another server after the last event.
	Resumable bool
	// Models are the models that may answer, smallest first; empty means that
	// the caller names the model.
	Models []string
}

// Backend is one service of a route and its share.
type Backend struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request may run again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// SelectService chooses a service by weight; draw is uniform over all uint64 and the
// same for every attempt of a request, so that a repeat goes to the same service.
func (r *Route) SelectService(draw uint64) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	if total <= 0 {
		return r.Backends[0].Service
	}
	at := int(draw % uint64(total))
	for _, b := range r.Backends {
		if at -= b.Weight; at < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}

// Service is a group of like backend servers.
type Service struct {
	Name string
	// HealthPath answers 200 while a server thinks itself healthy.
	HealthPath string
	// MaxConns is how many connections one server takes from all daemons.
	MaxConns int
	// Engine describes model engines; nil for plain services.
	Engine *Engine
	// WarmUp is how long a server is warming up after its start, and WarmUpRate the
	// requests a second that it serves until then; zero is unlimited.
	WarmUp     time.Duration
	WarmUpRate float64
}

// Engine is what the configuration tells of a service's model engines.
type Engine struct {
	// Slots is the number of requests in one batch.
	Slots int
	// KVCacheTokens is the memory for prompts, in tokens.
	KVCacheTokens int
	// EventTokens is the number of tokens in one event of a stream; zero is one.
	EventTokens int
	// CostPer1kTokens is the price of 1,000 generated tokens by model.
	CostPer1kTokens map[string]float64
}

// Workspace owns API keys.
type Workspace struct {
	Name string
	// Priority goes before the route's when Ranked.
	Priority    int
	HasPriority bool
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration.
type Table struct {
	Version    int64
	Limits     Limits
	Services   map[string]Service
	byHost     map[string][]Route
	keys       map[string]Workspace
	workspaces bool
}

// Document is a decoded configuration, not yet checked.
type Document struct {
	Version  int64
	Limits   Limits
	Routes   []Route
	Services []Service
	// Keys maps API keys to workspaces. Keyed says that the document lists
	// workspaces at all; without them no key is asked for.
	Keys        map[string]Workspace
	KeyRequired bool
}

// NewTable checks a document and indexes it. An error names the offending part.
func NewTable(d Document) (*Table, error) {
	t := &Table{
		Version: d.Version, Limits: d.Limits, keys: d.Keys, workspaces: d.KeyRequired,
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
		if err := t.check(&r); err != nil {
			return nil, fmt.Errorf("configuration %d: route %q: %w", d.Version, r.Name, err)
		}
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	return t, nil
}

func (t *Table) check(r *Route) error {
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

// Match returns the route of a host and path with the longest prefix, or nil.
// A port in the host is ignored.
func (t *Table) Match(host, path string) *Route {
	if at := strings.LastIndexByte(host, ':'); at > 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	routes := t.byHost[strings.ToLower(host)]
	for i := range routes {
		if strings.HasPrefix(path, routes[i].PathPrefix) {
			return &routes[i]
		}
	}
	return nil
}

// KeyRequired reports whether requests must carry an API key.
func (t *Table) KeyRequired() bool { return t.workspaces }

// WorkspaceByKey returns the owner of an API key.
func (t *Table) WorkspaceByKey(key string) (Workspace, bool) {
	w, ok := t.keys[key]
	return w, ok
}
