package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// Change is one entity that differs between two configurations.
type Change struct {
	// Path is "section/name".
	Path string `json:"path"`
	// Patch is the merge patch from the old to the new entity; null removes it.
	Patch json.RawMessage `json:"patch"`
	// Old and New are the old and the new entity, nil if it does not exist.
	Old json.RawMessage `json:"old,omitempty"`
	New json.RawMessage `json:"new,omitempty"`
}

// Diff returns the patch from the current to the desired configuration, and its changes
// by entity. A rollout to the same version keeps its current stage and state, because
// the daemons advance them.
func Diff(current, desired *Config) (Patch, []Change, error) {
	target := *desired
	// Current evacuations are kept, because only an operator may end them.
	target.Evacuations = map[string]Evacuation{}
	maps.Copy(target.Evacuations, current.Evacuations)
	maps.Copy(target.Evacuations, desired.Evacuations)
	target.Rollouts = map[string]Rollout{}
	for name, r := range desired.Rollouts {
		if old, ok := current.Rollouts[name]; ok && old.TargetVersion == r.TargetVersion {
			r.Stage, r.State = old.Stage, old.State
		}
		target.Rollouts[name] = r
	}
	var p Patch
	var changes []Change
	for _, err := range []error{
		diffSection("pools", current.Pools, target.Pools, &p.Pools, &changes),
		diffSection("models", current.Models, target.Models, &p.Models, &changes),
		diffSection("cascades", current.Cascades, target.Cascades, &p.Cascades, &changes),
		diffSection("services", current.Services, target.Services, &p.Services, &changes),
		diffSection("rollouts", current.Rollouts, target.Rollouts, &p.Rollouts, &changes),
		diffSection("workspaces", current.Workspaces, target.Workspaces, &p.Workspaces, &changes),
		diffSection("evacuations", current.Evacuations, target.Evacuations, &p.Evacuations, &changes),
	} {
		if err != nil {
			return p, nil, err
		}
	}
	return p, changes, nil
}

func diffSection[T any](section string, current, desired map[string]T, patch *map[string]json.RawMessage, changes *[]Change) error {
	names := append(sortedKeys(current), sortedKeys(desired)...)
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		c, err := diffEntity(section+"/"+name, current, desired, name)
		if err != nil {
			return err
		}
		if c == nil {
			continue
		}
		*changes = append(*changes, *c)
		if *patch == nil {
			*patch = map[string]json.RawMessage{}
		}
		(*patch)[name] = c.Patch
	}
	return nil
}

func diffEntity[T any](path string, current, desired map[string]T, name string) (*Change, error) {
	oldEntity, hasOld := current[name]
	newEntity, hasNew := desired[name]
	c := Change{Path: path}
	var err error
	if hasOld {
		if c.Old, err = json.Marshal(oldEntity); err != nil {
			return nil, err
		}
	}
	if !hasNew {
		c.Patch = json.RawMessage("null")
		return &c, nil
	}
	if c.New, err = json.Marshal(newEntity); err != nil {
		return nil, err
	}
	from := c.Old
	if !hasOld {
		from = json.RawMessage("{}")
	}
	if c.Patch, err = jsonpatch.CreateMergePatch(from, c.New); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if hasOld && bytes.Equal(c.Patch, []byte("{}")) {
		return nil, nil
	}
	return &c, nil
}

// ReinstatedVersions returns the "model@version" names that are withdrawn in the current
// and serving in the desired configuration, sorted.
func ReinstatedVersions(current, desired *Config) []string {
	var out []string
	for model, m := range current.Models {
		for version, v := range m.Versions {
			next, ok := desired.Version(model, version)
			if v.State == Withdrawn && ok && next.State != Withdrawn {
				out = append(out, model+"@"+version)
			}
		}
	}
	slices.Sort(out)
	return out
}

// Merge adds the entities of d to c. It returns an error if an entity exists in both.
func (c *Config) Merge(d *Config) error {
	for _, err := range []error{
		mergeSection("pools", c.Pools, d.Pools), mergeSection("models", c.Models, d.Models),
		mergeSection("cascades", c.Cascades, d.Cascades), mergeSection("services", c.Services, d.Services),
		mergeSection("rollouts", c.Rollouts, d.Rollouts), mergeSection("workspaces", c.Workspaces, d.Workspaces),
		mergeSection("evacuations", c.Evacuations, d.Evacuations),
	} {
		if err != nil {
			return err
		}
	}
	return nil
}

func mergeSection[T any](section string, into, from map[string]T) error {
	for name, v := range from {
		if _, exists := into[name]; exists {
			return fmt.Errorf("%s/%s is declared twice", section, name)
		}
		into[name] = v
	}
	return nil
}
