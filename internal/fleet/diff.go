package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// Change is one entity in which two configurations differ.
type Change struct {
	// Path is "section/name".
	Path string `json:"path"`
	// Patch is the merge patch from the old to the new entity; null removes it.
	Patch json.RawMessage `json:"patch"`
	// Old and New are the entities; nil where there is none.
	Old json.RawMessage `json:"old,omitempty"`
	New json.RawMessage `json:"new,omitempty"`
}

// Diff returns the patch that turns the configuration in force into the wanted
// one, and its parts. Of a roll-out that is under way to the same version, the
// stage and state in force are kept: they move on by themselves.
func Diff(inForce, wanted *Config) (Patch, []Change, error) {
	w := *wanted
	// An evacuation is taken back by hand, not by declarations that do not speak of it.
	w.Evacuations = map[string]Evacuation{}
	maps.Copy(w.Evacuations, inForce.Evacuations)
	maps.Copy(w.Evacuations, wanted.Evacuations)
	w.Rollouts = map[string]Rollout{}
	for name, r := range wanted.Rollouts {
		if old, ok := inForce.Rollouts[name]; ok && old.TargetVersion == r.TargetVersion {
			r.Stage, r.State = old.Stage, old.State
		}
		w.Rollouts[name] = r
	}
	var p Patch
	var changes []Change
	for _, err := range []error{
		diffSection("pools", inForce.Pools, w.Pools, &p.Pools, &changes),
		diffSection("models", inForce.Models, w.Models, &p.Models, &changes),
		diffSection("cascades", inForce.Cascades, w.Cascades, &p.Cascades, &changes),
		diffSection("services", inForce.Services, w.Services, &p.Services, &changes),
		diffSection("rollouts", inForce.Rollouts, w.Rollouts, &p.Rollouts, &changes),
		diffSection("workspaces", inForce.Workspaces, w.Workspaces, &p.Workspaces, &changes),
		diffSection("evacuations", inForce.Evacuations, w.Evacuations, &p.Evacuations, &changes),
	} {
		if err != nil {
			return p, nil, err
		}
	}
	return p, changes, nil
}

func diffSection[T any](section string, old, wanted map[string]T, into *map[string]json.RawMessage, changes *[]Change) error {
	names := append(keys(old), keys(wanted)...)
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		c, err := diffEntity(section+"/"+name, old, wanted, name)
		if err != nil {
			return err
		}
		if c == nil {
			continue
		}
		*changes = append(*changes, *c)
		if *into == nil {
			*into = map[string]json.RawMessage{}
		}
		(*into)[name] = c.Patch
	}
	return nil
}

func diffEntity[T any](path string, old, wanted map[string]T, name string) (*Change, error) {
	o, had := old[name]
	n, has := wanted[name]
	c := Change{Path: path}
	var err error
	if had {
		if c.Old, err = json.Marshal(o); err != nil {
			return nil, err
		}
	}
	if !has {
		c.Patch = json.RawMessage("null")
		return &c, nil
	}
	if c.New, err = json.Marshal(n); err != nil {
		return nil, err
	}
	from := c.Old
	if !had {
		from = json.RawMessage("{}")
	}
	if c.Patch, err = jsonpatch.CreateMergePatch(from, c.New); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if had && bytes.Equal(c.Patch, []byte("{}")) {
		return nil, nil
	}
	return &c, nil
}

// ReinstatedVersions lists the "model@version" names that are withdrawn in force and
// that the wanted configuration would serve again.
func ReinstatedVersions(inForce, wanted *Config) []string {
	var out []string
	for mn, m := range inForce.Models {
		for vn, v := range m.Versions {
			again, ok := wanted.Version(mn, vn)
			if v.State == Withdrawn && ok && again.State != Withdrawn {
				out = append(out, mn+"@"+vn)
			}
		}
	}
	slices.Sort(out)
	return out
}

// Merge adds a document of declarations; an entity may stand in one only.
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
		if _, twice := into[name]; twice {
			return fmt.Errorf("%s/%s is declared twice", section, name)
		}
		into[name] = v
	}
	return nil
}
