package fleet

import "github.com/cespare/xxhash/v2"

// maxSuccessorHops limits the length of a successor chain, which may contain a cycle.
const maxSuccessorHops = 16

// bucketCount sets the resolution of rollout percentages to 0.01%.
const bucketCount = 10000

// Bucket maps a session of a model to a percentage in [0, 100). A session is part of a
// rollout if the value is below the rollout's percentage. Every daemon computes the same
// value, and raising the percentage only adds sessions.
func Bucket(model, session string) float64 {
	h := xxhash.Sum64String(model + "\x00" + session)
	return float64(h%bucketCount) * 100 / bucketCount
}

// SelectVersion returns the version of a model for a session without a pinned version.
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

// ResolveSuccessor follows successors from a version to the first one that is serving
// and allowed for the workspace. The result is the same on all daemons with the same
// configuration number.
func (c *Config) ResolveSuccessor(w Workspace, model, version string) (string, bool) {
	for range maxSuccessorHops {
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
	return c.firstUsable(w, model)
}

// firstUsable returns the alphabetically first version that a workspace may use, for
// workspaces that are entitled only to versions outside the successor chain.
func (c *Config) firstUsable(w Workspace, model string) (string, bool) {
	first := ""
	for name := range c.Models[model].Versions {
		if c.usable(w, model, name) && (first == "" || name < first) {
			first = name
		}
	}
	return first, first != ""
}

func (c *Config) usable(w Workspace, model, version string) bool {
	v, ok := c.Version(model, version)
	return ok && v.State != Withdrawn && w.Allows(model, version)
}
