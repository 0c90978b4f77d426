package daemon

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/damaskrudder/damaskrudder/internal/fleet"
	"github.com/damaskrudder/damaskrudder/internal/lease"
)

const (
	// leaseStream is the log stream of leases.
	leaseStream = "leases"
	// reconcileInterval is the period of reconciling the versions that servers hold.
	reconcileInterval = 2 * time.Second
)

// orderController loads and unloads versions on the servers of the pools whose lease
// this daemon holds. Only the owner of a pool claims its lease, so the rate of lease
// records does not depend on the number of daemons.
type orderController struct {
	d         *Daemon
	leases    *lease.State
	claimedAt map[string]time.Time
}

func newOrderController(d *Daemon) *orderController {
	return &orderController{d: d, leases: lease.NewState(), claimedAt: map[string]time.Time{}}
}

func (o *orderController) run(ctx context.Context) {
	runPeriodically(ctx, reconcileInterval, o.reconcile)
}

func (o *orderController) reconcile(ctx context.Context) {
	cfg := o.d.config.current()
	if o.d.Leaving() || !o.d.Ready() {
		return
	}
	for name, p := range cfg.Pools {
		wanted := wantedVersions(cfg, name)
		if len(wanted) == 0 || !o.d.members.isOwner("pool/"+name) || !o.acquireLease(ctx, "pool/"+name) {
			continue
		}
		for _, s := range p.Servers {
			o.reconcileServer(ctx, "pool/"+name, s, wanted)
		}
	}
}

// wantedVersions returns the versions that the servers of a pool should hold, as
// sorted "model@version" strings.
func wantedVersions(cfg *fleet.Config, pool string) []string {
	var wanted []string
	for model, m := range cfg.Models {
		for version, v := range m.Versions {
			if v.Pool == pool && v.State != fleet.Withdrawn {
				wanted = append(wanted, model+"@"+version)
			}
		}
	}
	slices.Sort(wanted)
	return wanted
}

// acquireLease claims or renews a lease if due, and reports whether this daemon holds
// it.
func (o *orderController) acquireLease(ctx context.Context, name string) bool {
	if o.readLeases(ctx) != nil {
		return false
	}
	now := time.Now()
	if rec, due := o.leases.Claim(name, o.d.ownerID(), now); due {
		data, err := cbor.Marshal(rec)
		if err != nil {
			return false
		}
		o.d.metrics.logAppends.Inc(1)
		if _, err := o.d.deps.Log.Append(ctx, leaseStream, [][]byte{data}); err != nil {
			o.d.metrics.logErrors.Inc(1)
			return false
		}
		if o.readLeases(ctx) != nil {
			return false
		}
		if o.leases.Current(name).Owner == o.d.ownerID() {
			o.claimedAt[name] = now
		}
	}
	_, ok := o.leases.MayAct(name, o.d.ownerID(), o.claimedAt[name], time.Now())
	return ok
}

func (o *orderController) readLeases(ctx context.Context) error {
	for {
		batch, err := o.d.deps.Log.Read(ctx, leaseStream, o.leases.NextOffset(), readLimit, 0)
		if err != nil {
			return err
		}
		for _, r := range batch.Records {
			var rec lease.Record
			_ = cbor.Unmarshal(r.Data, &rec)
			o.leases.Apply(r.Offset, rec, time.Now())
		}
		if len(batch.Records) < readLimit {
			return nil
		}
	}
}

// reconcileServer compares the versions that a server holds with the wanted ones and
// sends orders for the difference. The lease is checked before each order.
func (o *orderController) reconcileServer(ctx context.Context, name string, s fleet.Server, wanted []string) {
	load, err := o.d.engine.Load(ctx, s.Address)
	if err != nil || load.Versions == nil {
		return
	}
	for _, order := range lease.Reconcile(wanted, load.Versions) {
		if order.Action == "load" && !o.reserveWeights(ctx, order.Version) {
			continue
		}
		fence, ok := o.leases.MayAct(name, o.d.ownerID(), o.claimedAt[name], time.Now())
		if !ok {
			return
		}
		if o.d.engine.SendOrder(ctx, s.Address, fence, order) == nil {
			o.d.metrics.ordersSent.Inc(1)
			o.d.log.Info("ordered", "server", s.ID, "action", order.Action, "version", order.Version, "fence", fence)
		}
	}
}

func (o *orderController) reserveWeights(ctx context.Context, modelVersion string) bool {
	if o.d.deps.Weights == nil {
		return true
	}
	model, version, _ := strings.Cut(modelVersion, "@")
	ok, err := o.d.deps.Weights.Reserve(ctx, model, version)
	return err == nil && ok
}
