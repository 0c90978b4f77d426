package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/billing"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/slo"
)

// served says what a request ran on, for its bill and the burn report.
type served struct {
	model, version, domain string
	firstToken             time.Duration
	steps                  []billedStep
	complete               bool
}

type billedStep struct {
	model, version      string
	prompt, answer      int64
	microsPerKiloTokens int64
}

func (st *served) tokens() int64 {
	var n int64
	for _, s := range st.steps {
		n += s.prompt + s.answer
	}
	return n
}

// capacityKinds are refusals for want of a server: they count against objectives.
var capacityKinds = []fault.Kind{fault.Overloaded, fault.NoServer, fault.Warming, fault.Evacuated}

func (d *Daemon) account(workspace string, st *served, began time.Time, err error) {
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
	d.burn.observe(slo.Key{Workspace: workspace, Model: st.model, Version: st.version, FailureDomain: st.domain}, n)
}

// bill writes the one usage record of a request, over all its steps, and reports
// whether it is safe. A request that delivered nothing and finished no step
// costs nothing.
func (d *Daemon) bill(ctx context.Context, id, workspace string, st *served) bool {
	if len(st.steps) == 0 {
		d.usage.cancel()
		return true
	}
	u := billing.UsageRecord{
		RequestID: id, Workspace: workspace, Outcome: billing.Truncated, UnixMillis: time.Now().UnixMilli(),
		Daemon: d.settings.ID, FirstTokenMillis: st.firstToken.Milliseconds(), FailureDomain: st.domain,
	}
	if st.complete {
		u.Outcome = billing.Complete
	}
	for _, s := range st.steps {
		u.Model, u.Version = s.model, s.version
		u.PromptTokens += s.prompt
		u.CompletionTokens += s.answer
		u.Micros += billing.Price(s.prompt+s.answer, s.microsPerKiloTokens)
	}
	return d.usage.add(ctx, u)
}

// unprotected withholds the end of an answer whose usage record would be lost
// with this VM.
func unprotected() error {
	return fault.New(fault.UsageUnprotected, "the usage record could not be stored safely").WithExecution(fault.Ran)
}

func reserveTokens(q *ChatRequest) int64 {
	answer := q.MaxTokens
	if answer == 0 {
		answer = defaultAnswerTokens
	}
	return int64(len(q.Prompt)/bytesPerToken) + answer
}
