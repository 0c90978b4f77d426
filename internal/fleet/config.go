// Package fleet is the numbered configuration of the system: workspaces,
// pools, models with their versions, cascades, roll-outs and plain services.
//
// The configuration is a fold over records of the append-only log. Every daemon
// folds the same records in the same order, so all accept and reject alike
// without talking to each other. The package does no I/O.
package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
)

// Config is the configuration in force at one number. A published Config is
// immutable: Fold replaces maps instead of changing them.
type Config struct {
	// Number counts accepted patches; the empty configuration has number 0.
	Number     uint64               `json:"number"`
	Workspaces map[string]Workspace `json:"workspaces"`
	Pools      map[string]Pool      `json:"pools"`
	Models     map[string]Model     `json:"models"`
	Cascades   map[string]Cascade   `json:"cascades"`
	Rollouts   map[string]Rollout   `json:"rollouts"`
	Services   map[string]Service   `json:"services"`
	// Evacuations are the failure domains whose servers get nothing new.
	Evacuations map[string]Evacuation `json:"evacuations,omitempty"`
}

// Workspace is a customer's account: its keys and what it may use.
type Workspace struct {
	// KeyHashes are hex SHA-256 digests of the API keys. Keys themselves never
	// enter the configuration.
	KeyHashes []string `json:"key_hashes"`
	// Models lists entitlements: "model" allows every version, "model@version" one.
	Models []string `json:"models,omitempty"`
	// Cascades lists the cascades the workspace may name as a model.
	Cascades []string `json:"cascades,omitempty"`
	// Services lists the plain services the workspace may call.
	Services []string `json:"services,omitempty"`
	// RequestsPerMinute limits requests in any sliding minute; 0 is unlimited.
	RequestsPerMinute int64 `json:"requests_per_minute,omitempty"`
	// TokensPerMinute limits prompt plus answer tokens in any sliding minute; 0 is unlimited.
	TokensPerMinute int64 `json:"tokens_per_minute,omitempty"`
	// Priority orders work in overload: 0 (first) to 9. Default 0.
	Priority int `json:"priority,omitempty"`
	// DeadlineMillis bounds the wait for the first token in ms; 0 means 10,000.
	DeadlineMillis int64 `json:"deadline_ms,omitempty"`
	// Objectives are the service levels reported by the burn report.
	Objectives Objectives `json:"objectives,omitzero"`
}

// Objectives are service-level objectives. A zero target is not reported.
type Objectives struct {
	// Availability is the wanted fraction of requests answered in full, in [0,1).
	Availability float64 `json:"availability,omitempty"`
	// FirstTokenMillis is the wanted first-token latency in ms...
	FirstTokenMillis int64 `json:"first_token_ms,omitempty"`
	// FirstTokenFraction ...for this fraction of requests, in [0,1).
	FirstTokenFraction float64 `json:"first_token_fraction,omitempty"`
}

// Pool is a set of backend servers that are interchangeable for the versions they hold.
type Pool struct {
	Servers []Server `json:"servers"`
	// SlowStart limits what a server gets after its start; nil has no limit.
	SlowStart *SlowStart `json:"slow_start,omitempty"`
}

// SlowStart is what a server of a pool bears after its start, from all daemons together.
type SlowStart struct {
	// Seconds is how long the limit holds.
	Seconds float64 `json:"seconds"`
	// PerSecond is the rate of requests, and Burst how many more any second may bring.
	PerSecond float64 `json:"per_second"`
	Burst     float64 `json:"burst,omitempty"`
}

// Evacuation is an order that the servers of a failure domain get nothing new.
type Evacuation struct {
	// Reason is shown to operators.
	Reason string `json:"reason,omitempty"`
}

// Server is one backend server.
type Server struct {
	ID string `json:"id"`
	// Address is ip:port.
	Address string `json:"address"`
	// FailureDomain is where the server runs.
	FailureDomain string `json:"failure_domain"`
	// Slots is how many requests run at once; default 8.
	Slots int `json:"slots,omitempty"`
	// ChecksFencing says that the server refuses an order with an old fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// VersionState says whether a version may get new work.
type VersionState string

const (
	// Serving versions may get new work.
	Serving VersionState = "serving"
	// Withdrawn versions get no new work, not even for pinned sessions.
	Withdrawn VersionState = "withdrawn"
)

// Model is a family of versions behind one name.
type Model struct {
	// Stable is the version for sessions that no roll-out moves.
	Stable   string             `json:"stable"`
	Versions map[string]Version `json:"versions"`
}

// Version is one deployable build of a model.
type Version struct {
	// State defaults to serving.
	State VersionState `json:"state,omitempty"`
	// Pool holds the servers that have the version loaded.
	Pool string `json:"pool"`
	// Successor takes the sessions of a withdrawn version; empty means the stable one.
	Successor string `json:"successor,omitempty"`
	// MicrosPerKiloToken is the cost in millionths of the billing currency
	// per 1,000 tokens, prompt and answer alike.
	MicrosPerKiloToken int64 `json:"micros_per_1k_tokens"`
}

// Cascade is an ordered list of models, cheapest first.
type Cascade struct {
	Steps []string `json:"steps"`
	// QualityTarget is the wanted fraction of answers rated good, in (0,1).
	QualityTarget float64 `json:"quality_target"`
}

// RolloutState says what a roll-out is doing.
type RolloutState string

const (
	// RolloutRunning sends Percent of sessions to the new version.
	RolloutRunning RolloutState = "running"
	// RolloutHeld keeps its stage and starts no further one.
	RolloutHeld RolloutState = "held"
	// RolloutDone has reached every session.
	RolloutDone RolloutState = "done"
	// RolloutRolledBack sends nobody to the new version.
	RolloutRolledBack RolloutState = "rolled_back"
)

// Rollout moves a model's sessions from its stable version to another.
type Rollout struct {
	Model         string `json:"model"`
	TargetVersion string `json:"to"`
	// Stages are shares in percent, rising to 100.
	Stages []float64 `json:"stages"`
	// Stage indexes Stages.
	Stage int          `json:"stage"`
	State RolloutState `json:"state"`
	// MinRequests is the evidence a stage needs before the next; default 30.
	MinRequests int64 `json:"min_requests,omitempty"`
}

// Percent returns the share of sessions on the new version, 0 to 100.
func (r Rollout) Percent() float64 {
	switch r.State {
	case RolloutDone:
		return 100
	case RolloutRolledBack:
		return 0
	}
	if r.Stage < 0 || r.Stage >= len(r.Stages) {
		return 0
	}
	return r.Stages[r.Stage]
}

// Service is a plain (non-model) service the system routes to.
type Service struct {
	Pool string `json:"pool"`
	// NonRepeatable calls run at most once and need an Idempotency-Key.
	NonRepeatable bool `json:"non_repeatable,omitempty"`
	// Micros is the price of one call in millionths of the billing currency.
	Micros int64 `json:"micros,omitempty"`
}

// NewConfig returns configuration 0.
func NewConfig() *Config {
	return &Config{
		Workspaces: map[string]Workspace{},
		Pools:      map[string]Pool{},
		Models:     map[string]Model{},
		Cascades:   map[string]Cascade{},
		Rollouts:   map[string]Rollout{},
		Services:   map[string]Service{},

		Evacuations: map[string]Evacuation{},
	}
}

// HashAPIKey returns the digest under which an API key stands in a Workspace.
func HashAPIKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// WorkspaceByKey finds the workspace that owns an API key.
func (c *Config) WorkspaceByKey(key string) (string, Workspace, bool) {
	h := HashAPIKey(key)
	for name, w := range c.Workspaces {
		if slices.Contains(w.KeyHashes, h) {
			return name, w, true
		}
	}
	return "", Workspace{}, false
}

// Version looks up a version of a model.
func (c *Config) Version(model, version string) (Version, bool) {
	m, ok := c.Models[model]
	if !ok {
		return Version{}, false
	}
	v, ok := m.Versions[version]
	return v, ok
}

// Allows reports whether workspace w may use a version of a model.
func (w Workspace) Allows(model, version string) bool {
	for _, e := range w.Models {
		name, only, pinned := strings.Cut(e, "@")
		if name == model && (!pinned || only == version) {
			return true
		}
	}
	return false
}

// MayDispatch is the last check before work is sent to a backend server: the
// workspace exists, may use the version, and the version is serving.
func (c *Config) MayDispatch(workspace, model, version string) bool {
	w, ok := c.Workspaces[workspace]
	if !ok || !w.Allows(model, version) {
		return false
	}
	v, ok := c.Version(model, version)
	return ok && v.State != Withdrawn
}

// RolloutFor returns the active roll-out of a model.
func (c *Config) RolloutFor(model string) (Rollout, bool) {
	r, ok := c.Rollouts[model]
	return r, ok
}

// UsableNames lists the models, single versions and cascades that a workspace
// may name in a request, sorted.
func (c *Config) UsableNames(workspace string) []string {
	w := c.Workspaces[workspace]
	var out []string
	for _, e := range w.Models {
		model, version, pinned := strings.Cut(e, "@")
		if !pinned {
			out = append(out, model)
		} else if c.MayDispatch(workspace, model, version) {
			out = append(out, e)
		}
	}
	out = append(out, w.Cascades...)
	slices.Sort(out)
	return slices.Compact(out)
}
