package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/billing"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/slo"
)

// execution says what a request ran on, for its bill and the burn report.
type execution struct {
	model, version, failureDomain string
	firstToken                    time.Duration
	steps                         []billedStep
	complete                      bool
}

type billedStep struct {
	model, version                 string
	promptTokens, completionTokens int64
	microsPerKiloToken             int64
}

func (st *execution) tokens() int64 {
	var n int64
	for _, s := range st.steps {
		n += s.promptTokens + s.completionTokens
	}
	return n
}

// capacityKinds are refusals for want of a server: they count against objectives.
var capacityKinds = []fault.Kind{fault.Overloaded, fault.NoServer, fault.Warming, fault.Evacuated}

func (d *Daemon) recordOutcome(workspace string, st *execution, began time.Time, err error) {
	if err == nil {
		d.metrics.answered.Inc(1)
	}
	if st == nil || err != nil && fault.FromError(err).ExecutionState() == fault.NotRun && !slices.Contains(capacityKinds, fault.FromError(err).Kind) {
		return
	}
	n := slo.Counts{Requests: 1}
	if err != nil && !fault.Is(err, fault.CallerLeft) {
		n.Failed = 1
	}
	limit := time.Duration(d.config.current().Workspaces[workspace].Objectives.FirstTokenMillis) * time.Millisecond
	if limit > 0 && (st.firstToken > limit || st.firstToken == 0 && time.Since(began) > limit) {
		n.Late = 1
	}
	d.slo.observe(slo.Key{Workspace: workspace, Model: st.model, Version: st.version, FailureDomain: st.failureDomain}, n)
}

// billRequest writes the one usage record of a request, over all its steps, and reports
// whether it is safe. A request that delivered nothing and finished no step
// costs nothing.
func (d *Daemon) billRequest(ctx context.Context, id, workspace string, st *execution) bool {
	if len(st.steps) == 0 {
		d.usage.cancel()
		return true
	}
	u := billing.UsageRecord{
		RequestID: id, Workspace: workspace, Outcome: billing.Truncated, UnixMillis: time.Now().UnixMilli(),
		Daemon: d.settings.ID, FirstTokenMillis: st.firstToken.Milliseconds(), FailureDomain: st.failureDomain,
	}
	if st.complete {
		u.Outcome = billing.Complete
	}
	for _, s := range st.steps {
		u.Model, u.Version = s.model, s.version
		u.PromptTokens += s.promptTokens
		u.CompletionTokens += s.completionTokens
		u.Micros += billing.Price(s.promptTokens+s.completionTokens, s.microsPerKiloToken)
	}
	return d.usage.add(ctx, u)
}

// unprotectedError withholds the end of an answer whose usage record would be lost
// with this VM.
func unprotectedError() error {
	return fault.New(fault.UsageUnprotected, "the usage record could not be stored safely").WithExecution(fault.Ran)
}

func estimateTokens(q *ChatRequest) int64 {
	answer := q.MaxTokens
	if answer == 0 {
		answer = defaultAnswerTokens
	}
	return int64(len(q.Prompt)/bytesPerToken) + answer
}
