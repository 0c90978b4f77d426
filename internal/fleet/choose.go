package fleet

import "github.com/cespare/xxhash/v2"

// maxSuccession bounds the walk along successors; a longer chain is a cycle.
const maxSuccession = 16

// bucketCount is the resolution of roll-out shares: 0.01 percent.
const bucketCount = 10000

// Bucket places a session for one model in [0, 100) percent. It depends on
// nothing but the names, so every daemon agrees and a rising share only ever
// adds sessions to the new version.
func Bucket(model, session string) float64 {
	h := xxhash.Sum64String(model + "\x00" + session)
	return float64(h%bucketCount) * 100 / bucketCount
}

// SelectVersion chooses the version of a model for a session that has no pin.
func (c *Config) SelectVersion(w Workspace, model, session string) (string, bool) {
	m, ok := c.Models[model]
	if !ok {
		return "", false
	}
	if r, ok := c.Rollouts[model]; ok && Bucket(model, session) < r.Percent() && c.usable(w, model, r.TargetVersion) {
		return r.TargetVersion, true
	}
	return c.ResolveSuccessor(w, model, m.Stable)
}

// ResolveSuccessor follows successors from a version to one that is serving and
// allowed. All daemons at one configuration number reach the same version.
func (c *Config) ResolveSuccessor(w Workspace, model, version string) (string, bool) {
	for range maxSuccession {
		if c.usable(w, model, version) {
			return version, true
		}
		v, ok := c.Version(model, version)
		if !ok {
			return "", false
		}
		next := v.Successor
		if next == "" {
			next = c.Models[model].Stable
		}
		if next == version {
			break
		}
		version = next
	}
	return c.onlyAllowed(w, model)
}

// onlyAllowed serves a workspace entitled to single versions none of which
// lies on the successor chain: the first allowed one by name.
func (c *Config) onlyAllowed(w Workspace, model string) (string, bool) {
	best := ""
	for name := range c.Models[model].Versions {
		if c.usable(w, model, name) && (best == "" || name < best) {
			best = name
		}
	}
	return best, best != ""
}

func (c *Config) usable(w Workspace, model, version string) bool {
	v, ok := c.Version(model, version)
	return ok && v.State != Withdrawn && w.Allows(model, version)
}
