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
	// orderEvery is the period of comparing what servers hold with what they should.
	orderEvery = 2 * time.Second
)

// orders loads and unloads versions on the servers of the pools whose lease this
// daemon holds. Only the home of a pool asks for its lease, so a fleet of any
// size appends one renewal a pool every lease.RenewAfter.
type orders struct {
	d       *Daemon
	fold    *lease.State
	askedAt map[string]time.Time
}

func newOrders(d *Daemon) *orders {
	return &orders{d: d, fold: lease.NewState(), askedAt: map[string]time.Time{}}
}

func (o *orders) loop(ctx context.Context) { every(ctx, orderEvery, o.round) }

func (o *orders) round(ctx context.Context) {
	c := o.d.config.current()
	if o.d.Leaving() || !o.d.Ready() {
		return
	}
	for name, p := range c.Pools {
		wanted := wantedVersions(c, name)
		if len(wanted) == 0 || !o.d.members.isHome("pool/"+name) || !o.hold(ctx, "pool/"+name) {
			continue
		}
		for _, s := range p.Servers {
			o.correct(ctx, "pool/"+name, s, wanted)
		}
	}
}

// wantedVersions lists what a pool's servers should hold.
func wantedVersions(c *fleet.Config, pool string) []string {
	var out []string
	for mn, m := range c.Models {
		for vn, v := range m.Versions {
			if v.Pool == pool && v.State != fleet.Withdrawn {
				out = append(out, mn+"@"+vn)
			}
		}
	}
	slices.Sort(out)
	return out
}

// hold claims or renews a lease and reports whether this daemon may act on it.
func (o *orders) hold(ctx context.Context, name string) bool {
	if o.catchUp(ctx) != nil {
		return false
	}
	now := time.Now()
	if rec, due := o.fold.Claim(name, o.d.owner(), now); due {
		data, err := cbor.Marshal(rec)
		if err != nil {
			return false
		}
		o.d.metrics.logAppends.Inc(1)
		if _, err := o.d.ports.Log.Append(ctx, leaseStream, [][]byte{data}); err != nil {
			o.d.metrics.logErrors.Inc(1)
			return false
		}
		if o.catchUp(ctx) != nil {
			return false
		}
		if o.fold.Current(name).Owner == o.d.owner() {
			o.askedAt[name] = now
		}
	}
	_, ok := o.fold.MayAct(name, o.d.owner(), o.askedAt[name], time.Now())
	return ok
}

func (o *orders) catchUp(ctx context.Context) error {
	for {
		b, err := o.d.ports.Log.Read(ctx, leaseStream, o.fold.NextOffset(), readLimit, 0)
		if err != nil {
			return err
		}
		for _, r := range b.Records {
			var rec lease.Record
			_ = cbor.Unmarshal(r.Data, &rec)
			o.fold.Apply(r.Offset, rec, time.Now())
		}
		if len(b.Records) < readLimit {
			return nil
		}
	}
}

// correct reads back what a server holds and orders the difference. The check of
// the lease stands right before each order.
func (o *orders) correct(ctx context.Context, name string, s fleet.Server, wanted []string) {
	l, err := o.d.engine.Load(ctx, s.Address)
	if err != nil || l.Versions == nil {
		return
	}
	for _, ord := range lease.Reconcile(wanted, l.Versions) {
		if ord.Action == "load" && !o.mayLoad(ctx, ord.Version) {
			continue
		}
		fence, ok := o.fold.MayAct(name, o.d.owner(), o.askedAt[name], time.Now())
		if !ok {
			return
		}
		if o.d.engine.SendOrder(ctx, s.Address, fence, ord) == nil {
			o.d.metrics.ordersSent.Inc(1)
			o.d.log.Info("ordered", "server", s.ID, "action", ord.Action, "version", ord.Version, "fence", fence)
		}
	}
}

func (o *orders) mayLoad(ctx context.Context, modelVersion string) bool {
	if o.d.ports.Weights == nil {
		return true
	}
	model, version, _ := strings.Cut(modelVersion, "@")
	ok, err := o.d.ports.Weights.Reserve(ctx, model, version)
	return err == nil && ok
}
