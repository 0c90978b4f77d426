package daemon

import (
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/logs"
)

// withholdDenial returns the error of a request for its caller. Every denial by the configuration
// passes through it: callers never repeat a request after a final error, so one of a request that did
// not run is withheld unless this daemon could deny requests before it read its configuration.
func (d *Daemon) withholdDenial(couldDeny bool, err error) error {
	if err == nil || couldDeny {
		return err
	}
	e := fault.FromError(err)
	if !fault.Lookup(e.Kind).Final() || e.ExecutionState() != fault.NotRun {
		return err
	}
	d.log.Info("denial withheld", "withheld", e.Kind, "why", logs.Bounded(e.Detail), "config", d.config.current().Number)
	return fault.New(fault.ConfigurationStale, "the configuration that denies the request was not confirmed lately").WithCause(e)
}

// Authenticate returns the name of the workspace that owns an API key.
func (d *Daemon) Authenticate(key string) (workspace string, err error) {
	couldDeny := d.config.canDeny()
	if name, _, ok := d.config.current().WorkspaceByKey(key); ok {
		return name, nil
	}
	return "", d.withholdDenial(couldDeny, fault.New(fault.Unauthorized, "no workspace has this API key"))
}
