package daemon

import (
	"slices"
	"strings"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/fleet"
	"github.com/damaskrudder/damaskrudder/internal/session"
)

// entitled resolves the named model or cascade to the models to ask.
func entitled(c *fleet.Config, w fleet.Workspace, name string) ([]string, error) {
	if k, ok := c.Cascades[name]; ok {
		if !slices.Contains(w.Cascades, name) {
			return nil, fault.NewField(fault.NotEntitled, "model", "the workspace may not use cascade %q", name)
		}
		return k.Steps, nil
	}
	model, version, pinned := strings.Cut(name, "@")
	if _, ok := c.Models[model]; !ok {
		return nil, fault.NewField(fault.UnknownModel, "model", "%q is neither a model nor a cascade", name)
	}
	if pinned {
		v, ok := c.Version(model, version)
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

func (d *Daemon) pin(workspace, header string) (session.Pin, error) {
	if session.IsToken(header) {
		return session.ParseToken(d.ring.Load(), workspace, header)
	}
	if header == "" {
		return session.Pin{Workspace: workspace, Name: newID("")}, nil
	}
	if err := session.ValidateName(header); err != nil {
		return session.Pin{}, err
	}
	return session.Pin{Workspace: workspace, Name: header}, nil
}

// version chooses the version of a model for a session.
func (d *Daemon) version(c *fleet.Config, w fleet.Workspace, name string, pin session.Pin) (model, version string, err error) {
	model, version, explicit := strings.Cut(name, "@")
	if explicit {
		return model, version, nil
	}
	if pin.VersionOf(model) == "" {
		if ro, ok := c.RolloutFor(model); ok && d.rollouts.avoided(model, ro.TargetVersion) {
			version, ok := c.ResolveSuccessor(w, model, c.Models[model].Stable)
			if ok {
				return model, version, nil
			}
		}
	}
	version, err = session.ResolveVersion(c, w, model, pin)
	if old := pin.VersionOf(model); err == nil && old != "" && version != old {
		d.metrics.pinsMoved.Inc(1)
	}
	return model, version, err
}
