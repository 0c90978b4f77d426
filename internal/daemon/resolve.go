package daemon

import (
	"slices"
	"strings"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/fleet"
	"github.com/damaskrudder/damaskrudder/internal/session"
)

// resolveModels resolves the name of a model, version or cascade to the models to
// run, and checks that the workspace may use it.
func resolveModels(cfg *fleet.Config, w fleet.Workspace, name string) ([]string, error) {
	if cascade, ok := cfg.Cascades[name]; ok {
		if !slices.Contains(w.Cascades, name) {
			return nil, fault.NewField(fault.NotEntitled, "model", "the workspace may not use cascade %q", name)
		}
		return cascade.Steps, nil
	}
	model, version, pinned := strings.Cut(name, "@")
	if _, ok := cfg.Models[model]; !ok {
		return nil, fault.NewField(fault.UnknownModel, "model", "%q is neither a model nor a cascade", name)
	}
	if pinned {
		v, ok := cfg.Version(model, version)
		switch {
		case !ok:
			return nil, fault.NewField(fault.UnknownModel, "model", "model %q has no version %q", model, version)
		case !w.Allows(model, version):
			return nil, fault.NewField(fault.NotEntitled, "model", "the workspace may not use %q", name)
		case v.State == fleet.Withdrawn:
			return nil, fault.NewField(fault.VersionWithdrawn, "model", "%q is withdrawn", name)
		}
		return []string{name}, nil
	}
	if !slices.ContainsFunc(w.Models, func(e string) bool { return e == model || strings.HasPrefix(e, model+"@") }) {
		return nil, fault.NewField(fault.NotEntitled, "model", "the workspace may not use model %q", model)
	}
	return []string{model}, nil
}

func (d *Daemon) resolvePin(workspace, header string) (session.Pin, error) {
	if session.IsToken(header) {
		return session.ParseToken(d.keyring.Load(), workspace, header)
	}
	if header == "" {
		return session.Pin{Workspace: workspace, Name: newID("")}, nil
	}
	if err := session.ValidateName(header); err != nil {
		return session.Pin{}, err
	}
	return session.Pin{Workspace: workspace, Name: header}, nil
}

// chooseVersion returns the model and the version that serve a session.
func (d *Daemon) chooseVersion(cfg *fleet.Config, w fleet.Workspace, name string, pin session.Pin) (model, version string, err error) {
	model, version, explicit := strings.Cut(name, "@")
	if explicit {
		return model, version, nil
	}
	if pin.VersionOf(model) == "" {
		if ro, ok := cfg.RolloutFor(model); ok && d.rollouts.isSuspended(model, ro.TargetVersion) {
			version, ok := cfg.ResolveSuccessor(w, model, cfg.Models[model].Stable)
			if ok {
				return model, version, nil
			}
		}
	}
	version, err = session.ResolveVersion(cfg, w, model, pin)
	if old := pin.VersionOf(model); err == nil && old != "" && version != old {
		d.metrics.sessionPinsMoved.Inc(1)
	}
	return model, version, err
}
