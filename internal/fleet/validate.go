package fleet

import (
	"encoding/json"
	"maps"
	"net/netip"
	"regexp"
	"slices"
	"strings"

	"github.com/damaskrudder/damaskrudder/internal/fault"
)

// namePattern allows names that are safe in URLs, headers, metrics and session tokens.
var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$`)

const (
	keyHashLength = 64
	maxPriority   = 9
	// maxPriceMicros keeps the price of 2^31 tokens within int64.
	maxPriceMicros = int64(1) << 31
)

// Validate checks the whole configuration. It checks entities in a fixed order, so that
// all daemons report the same error.
func (c *Config) Validate() error {
	checkAll := func(names []string, check func(string) error) error {
		for _, n := range names {
			if err := check(n); err != nil {
				return err
			}
		}
		return nil
	}
	if err := checkAll(sortedKeys(c.Pools), c.checkPool); err != nil {
		return err
	}
	if err := checkAll(sortedKeys(c.Models), c.checkModel); err != nil {
		return err
	}
	if err := checkAll(sortedKeys(c.Cascades), c.checkCascade); err != nil {
		return err
	}
	if err := checkAll(sortedKeys(c.Services), c.checkService); err != nil {
		return err
	}
	if err := checkAll(sortedKeys(c.Rollouts), c.checkRollout); err != nil {
		return err
	}
	if err := checkAll(sortedKeys(c.Evacuations), c.checkEvacuation); err != nil {
		return err
	}
	return checkAll(sortedKeys(c.Workspaces), c.checkWorkspace)
}

// validatePatch checks only the entities in the patch, so that its cost depends on the
// size of the patch and not of the configuration. If the patch removes an entity or a
// version, other entities may refer to it, and everything is checked.
func (c *Config) validatePatch(old *Config, p *Patch) error {
	if c.removesEntities(old, p) {
		return c.Validate()
	}
	parts := []struct {
		names map[string]json.RawMessage
		check func(string) error
	}{
		{p.Pools, c.checkPool}, {p.Models, c.checkModel}, {p.Cascades, c.checkCascade},
		{p.Services, c.checkService}, {p.Rollouts, c.checkRollout}, {p.Workspaces, c.checkWorkspace},
		{p.Evacuations, c.checkEvacuation},
	}
	for _, part := range parts {
		for _, n := range sortedKeys(part.names) {
			if err := part.check(n); err != nil {
				return err
			}
		}
	}
	return nil
}

// removesEntities reports whether other entities may refer to something that the patch removes, or
// to a stable version that it changes.
func (c *Config) removesEntities(old *Config, p *Patch) bool {
	if removesAny(old.Pools, c.Pools, p.Pools) || removesAny(old.Cascades, c.Cascades, p.Cascades) || removesAny(old.Services, c.Services, p.Services) {
		return true
	}
	for name := range p.Models {
		before, after := old.Models[name].Versions, c.Models[name].Versions
		if removesAny(before, after, before) || c.Models[name].Stable != old.Models[name].Stable {
			return true
		}
	}
	return false
}

// removesAny reports whether one of some names is in old and not in next.
func removesAny[T, U any](old, next map[string]T, names map[string]U) bool {
	for name := range names {
		_, existed := old[name]
		if _, kept := next[name]; existed && !kept {
			return true
		}
	}
	return false
}

// sortedKeys returns the keys in an order that is the same on all daemons.
func sortedKeys[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }

func invalidField(field, format string, args ...any) error {
	return fault.NewField(fault.InvalidPatch, field, format, args...)
}

func checkEntityName(path, name string) error {
	if !namePattern.MatchString(name) {
		return invalidField(path, "name %q must match %s", name, namePattern)
	}
	return nil
}

// maxSlowStartSeconds is the maximum duration of a slow start.
const maxSlowStartSeconds = 600

func checkSlowStart(path string, s *SlowStart) error {
	switch {
	case s == nil:
		return nil
	case !(s.Seconds > 0 && s.Seconds <= maxSlowStartSeconds):
		return invalidField(path+"/seconds", "%g is not over 0 and up to %d", s.Seconds, maxSlowStartSeconds)
	case !(s.PerSecond > 0):
		return invalidField(path+"/per_second", "%g is not over 0", s.PerSecond)
	case !(s.Burst >= 0):
		return invalidField(path+"/burst", "%g is negative", s.Burst)
	}
	return nil
}

// checkEvacuation accepts failure domains without servers, because servers may be added
// later.
func (c *Config) checkEvacuation(name string) error {
	if _, ok := c.Evacuations[name]; !ok {
		return nil
	}
	return checkEntityName("evacuations/"+name, name)
}

func (c *Config) checkPool(name string) error {
	p, ok := c.Pools[name]
	if !ok {
		return nil
	}
	path := "pools/" + name
	if err := checkEntityName(path, name); err != nil {
		return err
	}
	if err := checkSlowStart(path+"/slow_start", p.SlowStart); err != nil {
		return err
	}
	seen := map[string]bool{}
	for _, s := range p.Servers {
		serverPath := path + "/servers/" + s.ID
		if err := checkEntityName(serverPath, s.ID); err != nil {
			return err
		}
		if seen[s.ID] {
			return invalidField(serverPath, "server id is listed twice")
		}
		seen[s.ID] = true
		if _, err := netip.ParseAddrPort(s.Address); err != nil {
			return invalidField(serverPath+"/address", "%q is not ip:port", s.Address)
		}
		if s.FailureDomain == "" {
			return invalidField(serverPath+"/failure_domain", "must not be empty")
		}
		if s.Slots < 0 {
			return invalidField(serverPath+"/slots", "%d is negative", s.Slots)
		}
	}
	return nil
}

func (c *Config) checkModel(name string) error {
	m, ok := c.Models[name]
	if !ok {
		return nil
	}
	path := "models/" + name
	if err := checkEntityName(path, name); err != nil {
		return err
	}
	if _, ok := m.Versions[m.Stable]; !ok {
		return invalidField(path+"/stable", "version %q does not exist", m.Stable)
	}
	for _, version := range sortedKeys(m.Versions) {
		v := m.Versions[version]
		versionPath := path + "/versions/" + version
		if err := checkEntityName(versionPath, version); err != nil {
			return err
		}
		if err := c.checkVersion(versionPath, m, version, v); err != nil {
			return err
		}
	}
	return nil
}

func (c *Config) checkVersion(path string, m Model, name string, v Version) error {
	if _, ok := c.Pools[v.Pool]; !ok {
		return invalidField(path+"/pool", "pool %q does not exist", v.Pool)
	}
	if v.State != "" && v.State != Serving && v.State != Withdrawn {
		return invalidField(path+"/state", "%q is neither serving nor withdrawn", v.State)
	}
	if v.MicrosPerKiloToken < 0 || v.MicrosPerKiloToken > maxPriceMicros {
		return invalidField(path+"/micros_per_1k_tokens", "%d is out of 0..%d", v.MicrosPerKiloToken, maxPriceMicros)
	}
	if v.Successor == name {
		return invalidField(path+"/successor", "a version cannot succeed itself")
	}
	if _, ok := m.Versions[v.Successor]; v.Successor != "" && !ok {
		return invalidField(path+"/successor", "version %q does not exist", v.Successor)
	}
	return nil
}

func (c *Config) checkCascade(name string) error {
	cascade, ok := c.Cascades[name]
	if !ok {
		return nil
	}
	path := "cascades/" + name
	if err := checkEntityName(path, name); err != nil {
		return err
	}
	if _, exists := c.Models[name]; exists {
		return invalidField(path, "a model has the same name")
	}
	if len(cascade.Steps) < 2 {
		return invalidField(path+"/steps", "a cascade needs at least two models")
	}
	for _, s := range cascade.Steps {
		if _, ok := c.Models[s]; !ok {
			return invalidField(path+"/steps", "model %q does not exist", s)
		}
	}
	if cascade.QualityTarget <= 0 || cascade.QualityTarget >= 1 {
		return invalidField(path+"/quality_target", "%v is not between 0 and 1", cascade.QualityTarget)
	}
	return nil
}

func (c *Config) checkService(name string) error {
	s, ok := c.Services[name]
	if !ok {
		return nil
	}
	path := "services/" + name
	if err := checkEntityName(path, name); err != nil {
		return err
	}
	if _, ok := c.Pools[s.Pool]; !ok {
		return invalidField(path+"/pool", "pool %q does not exist", s.Pool)
	}
	if s.Micros < 0 || s.Micros > maxPriceMicros {
		return invalidField(path+"/micros", "%d is out of 0..%d", s.Micros, maxPriceMicros)
	}
	return nil
}

func (c *Config) checkRollout(name string) error {
	r, ok := c.Rollouts[name]
	if !ok {
		return nil
	}
	path := "rollouts/" + name
	if r.Model != name {
		return invalidField(path+"/model", "%q must equal the roll-out's name: a model has one roll-out at a time", r.Model)
	}
	if _, ok := c.Version(r.Model, r.TargetVersion); !ok {
		return invalidField(path+"/to", "version %q of model %q does not exist", r.TargetVersion, r.Model)
	}
	if len(r.Stages) == 0 || r.Stages[len(r.Stages)-1] != 100 {
		return invalidField(path+"/stages", "must end at 100")
	}
	if !slices.IsSorted(r.Stages) || r.Stages[0] <= 0 {
		return invalidField(path+"/stages", "must rise from above 0")
	}
	if r.Stage < 0 || r.Stage >= len(r.Stages) {
		return invalidField(path+"/stage", "%d is out of 0..%d", r.Stage, len(r.Stages)-1)
	}
	if !slices.Contains([]RolloutState{RolloutRunning, RolloutHeld, RolloutDone, RolloutRolledBack}, r.State) {
		return invalidField(path+"/state", "%q is not running, held, done or rolled_back", r.State)
	}
	if r.MinRequests < 0 {
		return invalidField(path+"/min_requests", "%d is negative", r.MinRequests)
	}
	return nil
}

func (c *Config) checkWorkspace(name string) error {
	w, ok := c.Workspaces[name]
	if !ok {
		return nil
	}
	path := "workspaces/" + name
	if err := checkEntityName(path, name); err != nil {
		return err
	}
	for _, h := range w.KeyHashes {
		if len(h) != keyHashLength || strings.Trim(h, "0123456789abcdef") != "" {
			return invalidField(path+"/key_hashes", "a key hash is 64 lower-case hex digits")
		}
	}
	if err := c.checkEntitlements(path, w); err != nil {
		return err
	}
	if w.RequestsPerMinute < 0 || w.TokensPerMinute < 0 || w.DeadlineMillis < 0 {
		return invalidField(path, "limits and deadline must not be negative")
	}
	if w.Priority < 0 || w.Priority > maxPriority {
		return invalidField(path+"/priority", "%d is out of 0..%d", w.Priority, maxPriority)
	}
	o := w.Objectives
	if o.Availability < 0 || o.Availability >= 1 || o.FirstTokenFraction < 0 || o.FirstTokenFraction >= 1 || o.FirstTokenMillis < 0 {
		return invalidField(path+"/objectives", "fractions lie in [0,1), times are not negative")
	}
	return nil
}

func (c *Config) checkEntitlements(path string, w Workspace) error {
	for _, entitlement := range w.Models {
		model, version, hasVersion := strings.Cut(entitlement, "@")
		m, ok := c.Models[model]
		if !ok {
			return invalidField(path+"/models", "model %q does not exist", model)
		}
		if _, ok := m.Versions[version]; hasVersion && !ok {
			return invalidField(path+"/models", "version %q of model %q does not exist", version, model)
		}
	}
	for _, cascade := range w.Cascades {
		if _, ok := c.Cascades[cascade]; !ok {
			return invalidField(path+"/cascades", "cascade %q does not exist", cascade)
		}
	}
	for _, s := range w.Services {
		if _, ok := c.Services[s]; !ok {
			return invalidField(path+"/services", "service %q does not exist", s)
		}
	}
	return nil
}
