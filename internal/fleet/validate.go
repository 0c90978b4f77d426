package fleet

import (
	"encoding/json"
	"net/netip"
	"regexp"
	"slices"
	"strings"

	"github.com/damaskrudder/damaskrudder/internal/fault"
)

// namePattern keeps names safe in URLs, headers, metrics and session tokens.
var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$`)

const (
	hashHexLength = 64
	maxPriority   = 9
	// maxMicros caps prices so that a bill of 2^31 tokens still fits an int64.
	maxMicros = int64(1) << 31
)

// Validate checks the whole configuration. The error names the first bad
// entity in a fixed order, so that all daemons report the same one.
func (c *Config) Validate() error {
	all := func(names []string, check func(string) error) error {
		slices.Sort(names)
		for _, n := range names {
			if err := check(n); err != nil {
				return err
			}
		}
		return nil
	}
	if err := all(keys(c.Pools), c.checkPool); err != nil {
		return err
	}
	if err := all(keys(c.Models), c.checkModel); err != nil {
		return err
	}
	if err := all(keys(c.Cascades), c.checkCascade); err != nil {
		return err
	}
	if err := all(keys(c.Services), c.checkService); err != nil {
		return err
	}
	if err := all(keys(c.Rollouts), c.checkRollout); err != nil {
		return err
	}
	if err := all(keys(c.Evacuations), c.checkEvacuation); err != nil {
		return err
	}
	return all(keys(c.Workspaces), c.checkWorkspace)
}

// validatePatch checks only what a patch can have broken, so that folding a
// patch costs the size of the patch and not of the configuration. Removing an
// entity, or a version of one, can break entities the patch does not name;
// then everything is checked.
func (c *Config) validatePatch(old *Config, p *Patch) error {
	if c.removesSomething(old, p) {
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
		names := keys(part.names)
		slices.Sort(names)
		for _, n := range names {
			if err := part.check(n); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Config) removesSomething(old *Config, p *Patch) bool {
	if len(c.Pools) < len(old.Pools)+added(old.Pools, p.Pools) {
		return true
	}
	if len(c.Cascades) < len(old.Cascades)+added(old.Cascades, p.Cascades) {
		return true
	}
	if len(c.Services) < len(old.Services)+added(old.Services, p.Services) {
		return true
	}
	for name := range p.Models {
		if len(c.Models[name].Versions) < len(old.Models[name].Versions) || c.Models[name].Stable != old.Models[name].Stable {
			return true
		}
	}
	return false
}

func added[T any](old map[string]T, patch map[string]json.RawMessage) int {
	n := 0
	for name := range patch {
		if _, ok := old[name]; !ok {
			n++
		}
	}
	return n
}

func keys[T any](m map[string]T) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	return out
}

func invalid(field, format string, args ...any) error {
	return fault.NewField(fault.InvalidPatch, field, format, args...)
}

func checkName(path, name string) error {
	if !namePattern.MatchString(name) {
		return invalid(path, "name %q must match %s", name, namePattern)
	}
	return nil
}

// longestSlowStart bounds a slow start in seconds.
const longestSlowStart = 600

func checkSlowStart(path string, s *SlowStart) error {
	switch {
	case s == nil:
		return nil
	case !(s.Seconds > 0 && s.Seconds <= longestSlowStart):
		return invalid(path+"/seconds", "%g is not over 0 and up to %d", s.Seconds, longestSlowStart)
	case !(s.PerSecond > 0):
		return invalid(path+"/per_second", "%g is not over 0", s.PerSecond)
	case !(s.Burst >= 0):
		return invalid(path+"/burst", "%g is negative", s.Burst)
	}
	return nil
}

// checkEvacuation accepts domains that no server stands in now: one may come.
func (c *Config) checkEvacuation(name string) error {
	if _, ok := c.Evacuations[name]; !ok {
		return nil
	}
	return checkName("evacuations/"+name, name)
}

func (c *Config) checkPool(name string) error {
	p, ok := c.Pools[name]
	if !ok {
		return nil
	}
	path := "pools/" + name
	if err := checkName(path, name); err != nil {
		return err
	}
	if err := checkSlowStart(path+"/slow_start", p.SlowStart); err != nil {
		return err
	}
	seen := map[string]bool{}
	for _, s := range p.Servers {
		at := path + "/servers/" + s.ID
		if err := checkName(at, s.ID); err != nil {
			return err
		}
		if seen[s.ID] {
			return invalid(at, "server id is listed twice")
		}
		seen[s.ID] = true
		if _, err := netip.ParseAddrPort(s.Address); err != nil {
			return invalid(at+"/address", "%q is not ip:port", s.Address)
		}
		if s.FailureDomain == "" {
			return invalid(at+"/failure_domain", "must not be empty")
		}
		if s.Slots < 0 {
			return invalid(at+"/slots", "%d is negative", s.Slots)
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
	if err := checkName(path, name); err != nil {
		return err
	}
	if _, ok := m.Versions[m.Stable]; !ok {
		return invalid(path+"/stable", "version %q does not exist", m.Stable)
	}
	for vn, v := range m.Versions {
		at := path + "/versions/" + vn
		if err := checkName(at, vn); err != nil {
			return err
		}
		if err := c.checkVersion(at, m, vn, v); err != nil {
			return err
		}
	}
	return nil
}

func (c *Config) checkVersion(at string, m Model, name string, v Version) error {
	if _, ok := c.Pools[v.Pool]; !ok {
		return invalid(at+"/pool", "pool %q does not exist", v.Pool)
	}
	if v.State != "" && v.State != Serving && v.State != Withdrawn {
		return invalid(at+"/state", "%q is neither serving nor withdrawn", v.State)
	}
	if v.MicrosPerKiloToken < 0 || v.MicrosPerKiloToken > maxMicros {
		return invalid(at+"/micros_per_1k_tokens", "%d is out of 0..%d", v.MicrosPerKiloToken, maxMicros)
	}
	if v.Successor == name {
		return invalid(at+"/successor", "a version cannot succeed itself")
	}
	if _, ok := m.Versions[v.Successor]; v.Successor != "" && !ok {
		return invalid(at+"/successor", "version %q does not exist", v.Successor)
	}
	return nil
}

func (c *Config) checkCascade(name string) error {
	k, ok := c.Cascades[name]
	if !ok {
		return nil
	}
	path := "cascades/" + name
	if err := checkName(path, name); err != nil {
		return err
	}
	if _, clash := c.Models[name]; clash {
		return invalid(path, "a model has the same name")
	}
	if len(k.Steps) < 2 {
		return invalid(path+"/steps", "a cascade needs at least two models")
	}
	for _, s := range k.Steps {
		if _, ok := c.Models[s]; !ok {
			return invalid(path+"/steps", "model %q does not exist", s)
		}
	}
	if k.QualityTarget <= 0 || k.QualityTarget >= 1 {
		return invalid(path+"/quality_target", "%v is not between 0 and 1", k.QualityTarget)
	}
	return nil
}

func (c *Config) checkService(name string) error {
	s, ok := c.Services[name]
	if !ok {
		return nil
	}
	path := "services/" + name
	if err := checkName(path, name); err != nil {
		return err
	}
	if _, ok := c.Pools[s.Pool]; !ok {
		return invalid(path+"/pool", "pool %q does not exist", s.Pool)
	}
	if s.Micros < 0 || s.Micros > maxMicros {
		return invalid(path+"/micros", "%d is out of 0..%d", s.Micros, maxMicros)
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
		return invalid(path+"/model", "%q must equal the roll-out's name: a model has one roll-out at a time", r.Model)
	}
	if _, ok := c.Version(r.Model, r.TargetVersion); !ok {
		return invalid(path+"/to", "version %q of model %q does not exist", r.TargetVersion, r.Model)
	}
	if len(r.Stages) == 0 || r.Stages[len(r.Stages)-1] != 100 {
		return invalid(path+"/stages", "must end at 100")
	}
	if !slices.IsSorted(r.Stages) || r.Stages[0] <= 0 {
		return invalid(path+"/stages", "must rise from above 0")
	}
	if r.Stage < 0 || r.Stage >= len(r.Stages) {
		return invalid(path+"/stage", "%d is out of 0..%d", r.Stage, len(r.Stages)-1)
	}
	if !slices.Contains([]RolloutState{RolloutRunning, RolloutHeld, RolloutDone, RolloutRolledBack}, r.State) {
		return invalid(path+"/state", "%q is not running, held, done or rolled_back", r.State)
	}
	if r.MinRequests < 0 {
		return invalid(path+"/min_requests", "%d is negative", r.MinRequests)
	}
	return nil
}

func (c *Config) checkWorkspace(name string) error {
	w, ok := c.Workspaces[name]
	if !ok {
		return nil
	}
	path := "workspaces/" + name
	if err := checkName(path, name); err != nil {
		return err
	}
	for _, h := range w.KeyHashes {
		if len(h) != hashHexLength || strings.Trim(h, "0123456789abcdef") != "" {
			return invalid(path+"/key_hashes", "a key hash is 64 lower-case hex digits")
		}
	}
	if err := c.checkEntitlements(path, w); err != nil {
		return err
	}
	if w.RequestsPerMinute < 0 || w.TokensPerMinute < 0 || w.DeadlineMillis < 0 {
		return invalid(path, "limits and deadline must not be negative")
	}
	if w.Priority < 0 || w.Priority > maxPriority {
		return invalid(path+"/priority", "%d is out of 0..%d", w.Priority, maxPriority)
	}
	o := w.Objectives
	if o.Availability < 0 || o.Availability >= 1 || o.FirstTokenFraction < 0 || o.FirstTokenFraction >= 1 || o.FirstTokenMillis < 0 {
		return invalid(path+"/objectives", "fractions lie in [0,1), times are not negative")
	}
	return nil
}

func (c *Config) checkEntitlements(path string, w Workspace) error {
	for _, e := range w.Models {
		model, version, pinned := strings.Cut(e, "@")
		m, ok := c.Models[model]
		if !ok {
			return invalid(path+"/models", "model %q does not exist", model)
		}
		if _, ok := m.Versions[version]; pinned && !ok {
			return invalid(path+"/models", "version %q of model %q does not exist", version, model)
		}
	}
	for _, k := range w.Cascades {
		if _, ok := c.Cascades[k]; !ok {
			return invalid(path+"/cascades", "cascade %q does not exist", k)
		}
	}
	for _, s := range w.Services {
		if _, ok := c.Services[s]; !ok {
			return invalid(path+"/services", "service %q does not exist", s)
		}
	}
	return nil
}
