package node

import (
	"context"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/loop"
	"github.com/damaskrudder/damaskrudder/internal/rollout"
)

// decideEvery is how often roll-outs are judged.
const decideEvery = 250 * time.Millisecond

// judges is how many daemons judge roll-outs by the evidence of all: the first by rank, of
// which the first writes. Evidence is 2 KB of each daemon with 126 servers: told by each to
// each of 195, it was most of what daemons told each other. Up to eight daemons all judge;
// of more, eight that stand anywhere are hardly ever lost together.
const judges = 8

// judges reports whether this daemon judges roll-outs by the evidence of all.
func (n *Node) judges() bool { return n.rank() < judges }

// decides reports whether this daemon writes the decisions of those that judge. A
// conditional append keeps two that both think so from undoing each other.
func (n *Node) decides() bool { return n.Ready() && n.rank() == 0 }

// decide moves roll-outs on. Every daemon judges by what it knows, since any may stop a
// bad version for itself; the first of the judges writes.
func (n *Node) decide(ctx context.Context) {
	loop.Every(ctx, decideEvery, func(ctx context.Context, _ time.Time) { n.judge(ctx) })
}

func (n *Node) judge(ctx context.Context) {
	for _, step := range n.Relay.Rollouts.Due(n.members.Lives) {
		if step.Phase == rollout.RolledBack {
			n.Relay.Rollouts.Brake(step.Order.Service, step.Order.Offset, step.Why)
		}
		if n.decides() {
			err := n.writeStatus(ctx, step.Order, step.Phase, step.Since)
			n.log.Info("roll-out status", "service", step.Order.Service, "phase", step.Phase, "why", step.Why, "err", err)
		}
	}
}
