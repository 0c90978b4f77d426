package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/billing"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/slo"
)

// execution records what a request ran on, for billing and the SLO counters.
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

func (e *execution) tokens() int64 {
	var n int64
	for _, s := range e.steps {
		n += s.promptTokens + s.completionTokens
	}
	return n
}

// capacityKinds are the refusals caused by missing capacity. Unlike other
// refusals, they count against service-level objectives.
var capacityKinds = []fault.Kind{fault.Overloaded, fault.NoServer, fault.Warming, fault.ServerLimited, fault.Evacuated}

// recordOutcome counts a finished request against the objectives of its workspace. Requests
// that were refused before they ran count only if capacity was missing.
func (d *Daemon) recordOutcome(workspace string, exec *execution, start time.Time, err error) {
	if err == nil {
		d.metrics.answered.Inc(1)
	}
	if exec == nil || err != nil && fault.FromError(err).ExecutionState() == fault.NotRun && !slices.Contains(capacityKinds, fault.FromError(err).Kind) {
		return
	}
	counts := slo.Counts{Requests: 1}
	if err != nil && !fault.Is(err, fault.CallerLeft) {
		counts.Failed = 1
	}
	limit := time.Duration(d.config.current().Workspaces[workspace].Objectives.FirstTokenMillis) * time.Millisecond
	if limit > 0 && (exec.firstToken > limit || exec.firstToken == 0 && time.Since(start) > limit) {
		counts.Late = 1
	}
	d.slo.observe(slo.Key{Workspace: workspace, Model: exec.model, Version: exec.version, FailureDomain: exec.failureDomain}, counts)
}

// billRequest writes one usage record that covers all steps of a request. It
// reports whether the record is stored durably. A request without a billable
// step is not billed.
func (d *Daemon) billRequest(ctx context.Context, id, workspace string, exec *execution) bool {
	if len(exec.steps) == 0 {
		d.usage.cancel()
		return true
	}
	rec := billing.UsageRecord{
		RequestID: id, Workspace: workspace, Outcome: billing.Truncated, UnixMillis: time.Now().UnixMilli(),
		Daemon: d.settings.ID, FirstTokenMillis: exec.firstToken.Milliseconds(), FailureDomain: exec.failureDomain,
	}
	if exec.complete {
		rec.Outcome = billing.Complete
	}
	for _, s := range exec.steps {
		rec.Model, rec.Version = s.model, s.version
		rec.PromptTokens += s.promptTokens
		rec.CompletionTokens += s.completionTokens
		rec.Micros += billing.Price(s.promptTokens+s.completionTokens, s.microsPerKiloToken)
	}
	return d.usage.add(ctx, rec)
}

// unprotectedError is returned instead of the response when its usage record
// would be lost with this VM.
func unprotectedError() error {
	return fault.New(fault.UsageUnprotected, "the usage record could not be stored safely").WithExecution(fault.Ran)
}

func estimateTokens(req *ChatRequest) int64 {
	completion := req.MaxTokens
	if completion == 0 {
		completion = defaultCompletionTokens
	}
	return int64(len(req.Prompt)/bytesPerToken) + completion
}
