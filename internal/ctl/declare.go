package ctl

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/damaskrudder/damaskrudder/internal/fleet"
)

// loadDeclarations merges the .json and .jsonc files of a directory into the desired
// configuration and validates it.
func loadDeclarations(dir string) (*fleet.Config, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.json*"))
	if err != nil {
		return nil, err
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("%s holds no .json or .jsonc file", dir)
	}
	slices.Sort(files)
	desired := fleet.NewConfig()
	for _, f := range files {
		if err := mergeFile(desired, f); err != nil {
			return nil, fmt.Errorf("%s: %w", f, err)
		}
	}
	return desired, desired.Validate()
}

func mergeFile(desired *fleet.Config, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	standard, err := hujson.Standardize(data)
	if err != nil {
		return err
	}
	var part fleet.Config
	if err := fleet.DecodeStrict(standard, &part); err != nil {
		return err
	}
	if part.Number != 0 {
		return fmt.Errorf("number: is the system's to set")
	}
	return desired.Merge(&part)
}

// printChanges prints each changed entity and the workspaces that the change affects.
func printChanges(out io.Writer, cfg *fleet.Config, changes []fleet.Change) {
	for _, change := range changes {
		mark := "~"
		switch {
		case change.Old == nil:
			mark = "+"
		case change.New == nil:
			mark = "-"
		}
		fmt.Fprintf(out, "%s %s %s\n", mark, change.Path, change.Patch)
		if workspaces := affectedWorkspaces(cfg, change.Path); len(workspaces) > 0 {
			fmt.Fprintf(out, "    touches workspaces: %s\n", strings.Join(workspaces, " "))
		}
	}
}

// affectedWorkspaces returns the sorted names of the workspaces that use an entity.
func affectedWorkspaces(cfg *fleet.Config, path string) []string {
	section, name, _ := strings.Cut(path, "/")
	var out []string
	for ws, w := range cfg.Workspaces {
		uses := false
		switch section {
		case "workspaces":
			uses = ws == name
		case "cascades":
			uses = slices.Contains(w.Cascades, name)
		case "services":
			uses = slices.Contains(w.Services, name)
		case "models", "rollouts":
			uses = slices.ContainsFunc(w.Models, func(e string) bool { return e == name || strings.HasPrefix(e, name+"@") })
		case "pools":
			uses = usesPool(cfg, w, name)
		}
		if uses {
			out = append(out, ws)
		}
	}
	slices.Sort(out)
	return out
}

func usesPool(cfg *fleet.Config, w fleet.Workspace, pool string) bool {
	for _, s := range w.Services {
		if cfg.Services[s].Pool == pool {
			return true
		}
	}
	for model, m := range cfg.Models {
		for version, v := range m.Versions {
			if v.Pool == pool && w.Allows(model, version) {
				return true
			}
		}
	}
	return false
}
