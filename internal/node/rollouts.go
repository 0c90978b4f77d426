package node

import (
	"context"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/loop"
	"github.com/damaskrudder/damaskrudder/internal/rollout"
)

// decideEvery is how often roll-outs are judged.
const decideEvery = 250 * time.Millisecond

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
