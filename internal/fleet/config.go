// Package fleet holds the versioned configuration of the system: workspaces,
// pools, models with their versions, cascades, rollouts and plain services.
//
// The configuration is a replicated state machine over the append-only log. Every
// daemon applies the same records in the same order and therefore accepts and rejects
// the same patches. The package does no I/O.
package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
)

// Config is the configuration at one number. It is immutable once published: patches
// replace maps instead of changing them.
type Config struct {
	// Number is the number of accepted patches; the empty configuration has number 0.
	Number     uint64               `json:"number"`
	Workspaces map[string]Workspace `json:"workspaces"`
	Pools      map[string]Pool      `json:"pools"`
	Models     map[string]Model     `json:"models"`
	Cascades   map[string]Cascade   `json:"cascades"`
	Rollouts   map[string]Rollout   `json:"rollouts"`
	Services   map[string]Service   `json:"services"`
	// Evacuations are the failure domains whose servers get no new requests.
	Evacuations map[string]Evacuation `json:"evacuations,omitempty"`
}

// Workspace is a tenant with its API keys, entitlements and limits.
type Workspace struct {
	// KeyHashes are hex SHA-256 digests of the API keys. The keys themselves are
	// not stored.
	KeyHashes []string `json:"key_hashes"`
	// Models lists entitlements: "model" allows every version, "model@version" a single one.
	Models []string `json:"models,omitempty"`
	// Cascades lists the cascades that the workspace may use as a model name.
	Cascades []string `json:"cascades,omitempty"`
	// Services lists the plain services that the workspace may call.
	Services []string `json:"services,omitempty"`
	// RequestsPerMinute limits requests in any sliding minute; 0 means unlimited.
	RequestsPerMinute int64 `json:"requests_per_minute,omitempty"`
	// TokensPerMinute limits prompt plus completion tokens in any sliding minute;
	// 0 means unlimited.
	TokensPerMinute int64 `json:"tokens_per_minute,omitempty"`
	// Priority is the scheduling priority under overload, from 0 (highest) to 9.
	Priority int `json:"priority,omitempty"`
	// DeadlineMillis is the maximum time to the first token in ms; 0 means 10,000.
	DeadlineMillis int64 `json:"deadline_ms,omitempty"`
	// Objectives are the service-level objectives in the burn rate report.
	Objectives Objectives `json:"objectives,omitzero"`
}

// Objectives are service-level objectives. Zero fields are not reported.
type Objectives struct {
	// Availability is the target fraction of requests with a complete response, in [0,1).
	Availability float64 `json:"availability,omitempty"`
	// FirstTokenMillis is the target time to the first token in ms.
	FirstTokenMillis int64 `json:"first_token_ms,omitempty"`
	// FirstTokenFraction is the fraction of requests that must meet FirstTokenMillis,
	// in [0,1).
	FirstTokenFraction float64 `json:"first_token_fraction,omitempty"`
}

// Pool is a set of interchangeable backend servers.
type Pool struct {
	Servers []Server `json:"servers"`
	// SlowStart limits the request rate of a server after its start; nil means no limit.
	SlowStart *SlowStart `json:"slow_start,omitempty"`
}

// SlowStart is the request rate limit of a server after its start, over all daemons.
type SlowStart struct {
	// Seconds is how long the limit applies.
	Seconds float64 `json:"seconds"`
	// PerSecond is the rate of requests; Burst is the number of additional requests
	// allowed in any second.
	PerSecond float64 `json:"per_second"`
	Burst     float64 `json:"burst,omitempty"`
}

// Evacuation stops new requests to the servers of a failure domain.
type Evacuation struct {
	// Reason is shown to operators.
	Reason string `json:"reason,omitempty"`
}

// Server is one backend server of a pool.
type Server struct {
	ID string `json:"id"`
	// Address is ip:port.
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// Slots is the maximum number of concurrent requests; default 8.
	Slots int `json:"slots,omitempty"`
	// ChecksFencing states that the server rejects orders with an outdated fencing token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// VersionState is the state of a model version.
type VersionState string

const (
	// Serving versions accept new requests.
	Serving VersionState = "serving"
	// Withdrawn versions accept no new requests, not even from pinned sessions.
	Withdrawn VersionState = "withdrawn"
)

// Model is a named set of versions.
type Model struct {
	// Stable is the version of sessions that are not part of a rollout.
	Stable   string             `json:"stable"`
	Versions map[string]Version `json:"versions"`
}

// Version is one version of a model.
type Version struct {
	// State defaults to serving.
	State VersionState `json:"state,omitempty"`
	// Pool is the pool whose servers have the version loaded.
	Pool string `json:"pool"`
	// Successor is the version that replaces this one when it is withdrawn; empty
	// means the stable version.
	Successor string `json:"successor,omitempty"`
	// MicrosPerKiloToken is the price in millionths of the billing currency
	// per 1,000 prompt or completion tokens.
	MicrosPerKiloToken int64 `json:"micros_per_1k_tokens"`
}

// Cascade is an ordered list of models, cheapest first.
type Cascade struct {
	Steps []string `json:"steps"`
	// QualityTarget is the target fraction of responses rated good, in (0,1).
	QualityTarget float64 `json:"quality_target"`
}

// RolloutState is the state of a rollout.
type RolloutState string

const (
	// RolloutRunning assigns Percent of the sessions to the new version.
	RolloutRunning RolloutState = "running"
	// RolloutHeld stays at its current stage.
	RolloutHeld RolloutState = "held"
	// RolloutDone assigns all sessions to the new version.
	RolloutDone RolloutState = "done"
	// RolloutRolledBack assigns no sessions to the new version.
	RolloutRolledBack RolloutState = "rolled_back"
)

// Rollout moves the sessions of a model from its stable version to another version.
type Rollout struct {
	Model         string `json:"model"`
	TargetVersion string `json:"to"`
	// Stages are the percentages of sessions per stage, in ascending order up to 100.
	Stages []float64 `json:"stages"`
	// Stage is the index of the current stage in Stages.
	Stage int          `json:"stage"`
	State RolloutState `json:"state"`
	// MinRequests is the minimum number of requests observed in a stage before the
	// next one starts; default 30.
	MinRequests int64 `json:"min_requests,omitempty"`
}

// Percent returns the percentage of sessions assigned to the new version, 0 to 100.
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

// Service is a plain service, that is, one that does not serve a model.
type Service struct {
	Pool string `json:"pool"`
	// NonRepeatable calls run at most once and require an Idempotency-Key.
	NonRepeatable bool `json:"non_repeatable,omitempty"`
	// Micros is the price of one call in millionths of the billing currency.
	Micros int64 `json:"micros,omitempty"`
}

// NewConfig returns the empty configuration, number 0.
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

// HashAPIKey returns the digest of an API key as stored in Workspace.KeyHashes.
func HashAPIKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// WorkspaceByKey returns the name and configuration of the workspace that owns an API
// key.
func (c *Config) WorkspaceByKey(key string) (string, Workspace, bool) {
	hash := HashAPIKey(key)
	for name, w := range c.Workspaces {
		if slices.Contains(w.KeyHashes, hash) {
			return name, w, true
		}
	}
	return "", Workspace{}, false
}

// Version returns a version of a model, and whether it exists.
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
	for _, entitlement := range w.Models {
		name, single, hasVersion := strings.Cut(entitlement, "@")
		if name == model && (!hasVersion || single == version) {
			return true
		}
	}
	return false
}

// MayDispatch reports whether a request of a workspace may be sent to servers of a
// version: the workspace exists and is entitled to the version, and the version is
// serving.
func (c *Config) MayDispatch(workspace, model, version string) bool {
	w, ok := c.Workspaces[workspace]
	if !ok || !w.Allows(model, version) {
		return false
	}
	v, ok := c.Version(model, version)
	return ok && v.State != Withdrawn
}

// RolloutFor returns the rollout of a model, and whether there is one.
func (c *Config) RolloutFor(model string) (Rollout, bool) {
	r, ok := c.Rollouts[model]
	return r, ok
}

// UsableNames returns the model, "model@version" and cascade names that a workspace may
// use in a request, sorted.
func (c *Config) UsableNames(workspace string) []string {
	w := c.Workspaces[workspace]
	var out []string
	for _, entitlement := range w.Models {
		model, version, hasVersion := strings.Cut(entitlement, "@")
		if !hasVersion {
			out = append(out, model)
		} else if c.MayDispatch(workspace, model, version) {
			out = append(out, entitlement)
		}
	}
	out = append(out, w.Cascades...)
	slices.Sort(out)
	return slices.Compact(out)
}
