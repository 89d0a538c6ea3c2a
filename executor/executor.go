package executor

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/explainer"
	"github.com/figseam/figseam/quarantiner"
)

// Canceller releases the memory that an engine holds for an attempt.
type Canceller interface {
	// Cancel repeats the cancel request to the endpoint until the endpoint confirms it,
	// then calls confirmed, which may be nil.
	Cancel(endpoint figseam.Endpoint, attempt figseam.AttemptID, confirmed func())
}

// Observer receives the executor's metrics. Package meter implements it.
type Observer interface {
	CountPlacement(code figseam.Code)
	CountPrefillTokens(tokens int)
	CountWastedPrefillTokens(tokens int)
	ObserveFirstTokenLatency(latency time.Duration)
	ObserveInterTokenLatency(latency time.Duration)
}

// Executor runs tasks. It is safe for concurrent use.
type Executor struct {
	placer    figseam.Placer
	dialer    figseam.Dialer
	canceller Canceller
	config    func() *figseam.Config
	budget    *RetryBudget
	observer  Observer
	// quarantine decides which prompts are refused because engines crash on them.
	quarantine *quarantiner.Quarantine
	log        zerolog.Logger
}

// New returns an executor. config returns nil before the first configuration.
func New(placer figseam.Placer, dialer figseam.Dialer, canceller Canceller, config func() *figseam.Config, budget *RetryBudget, observer Observer, quarantine *quarantiner.Quarantine, log zerolog.Logger) *Executor {
	return &Executor{
		placer: placer, dialer: dialer, canceller: canceller, config: config,
		budget: budget, observer: observer, quarantine: quarantine, log: log,
	}
}

// Run runs a task and writes its answer to sink. The error is a [figseam.Refusal],
// [ErrCallerDisconnected] or the context's error.
func (x *Executor) Run(ctx context.Context, task Task, sink Sink) (Result, error) {
	x.budget.Deposit()
	r := &run{executor: x, task: task, sink: sink, prompt: promptOf(task), startedAt: time.Now()}
	for {
		err := r.runAttempt(ctx)
		if err == nil {
			return r.result, nil
		}
		if retry := r.prepareRetry(ctx, err); !retry {
			return r.result, r.callerError(ctx, err)
		}
	}
}

// run is the state of one task. Only one goroutine uses it.
type run struct {
	executor  *Executor
	task      Task
	sink      Sink
	prompt    figseam.Prompt
	startedAt time.Time
	result    Result
	// delivered is the text that was written to the sink.
	delivered       []byte
	engineContacted bool // a prefill was sent, or a running stream resumed
	lastTokenAt     time.Time
	answer          quarantiner.AnswerProgress
	// crashes is the number of engines that ended under the task.
	crashes int
}

// prepareRetry reports whether another attempt may follow one that failed with err. If so,
// it withdraws a retry from the budget and prepares the job for that attempt.
func (r *run) prepareRetry(ctx context.Context, err error) bool {
	attemptErr, ok := errors.AsType[*attemptError](err)
	if !ok || ctx.Err() != nil {
		return false
	}
	if r.crashes >= maxCrashesPerTask || r.result.Attempts > r.task.MaxRetries || !r.executor.budget.TryWithdraw() {
		return false
	}
	r.executor.log.Warn().Str("request", string(r.task.Job.Request)).Str("endpoint", string(attemptErr.failedEndpoint)).
		Err(attemptErr.cause).Int("attempt", r.result.Attempts).Msg("attempt failed; starting another attempt")
	r.task.Job = r.task.Job.WithAttempt(figseam.NewAttemptID(), attemptErr.failedEndpoint)
	return true
}

// callerError returns the error of Run for the last attempt's error. Once an engine was
// contacted, the outcome of a refusal is unknown.
func (r *run) callerError(ctx context.Context, err error) error {
	if errors.Is(err, ErrCallerDisconnected) || ctx.Err() != nil {
		return err
	}
	refusal := figseam.AsRefusal(err)
	if refusal == nil {
		refusal = figseam.NewRefusal(explainer.RetriesExhausted, "%v", err)
	}
	if r.engineContacted {
		return refusal.WithOutcome(figseam.OutcomeUnknown)
	}
	return refusal
}

// runAttempt runs one attempt, from its placement to the release of its grant.
func (r *run) runAttempt(ctx context.Context) error {
	if err := r.checkAllowed(); err != nil {
		return err
	}
	r.result.Attempts++
	placement, err := r.executor.placer.Place(ctx, r.task.Job)
	if err != nil {
		return err
	}
	r.logPlacement(placement)
	a := &attempt{run: r, placement: placement, id: r.task.Job.Attempt}
	if placement.ResumeAttempt != "" {
		a.id = placement.ResumeAttempt
	}
	err = a.execute(ctx)
	a.release(err)
	return err
}

func (r *run) logPlacement(p figseam.Placement) {
	r.executor.observer.CountPlacement(p.Code)
	j := r.task.Job
	r.executor.log.Info().Str("event", "placement").Str("request", string(j.Request)).Str("account", string(j.Account)).
		Str("route", r.task.Route).Str("prefill", string(p.Prefill)).Str("decode", string(p.Decode)).
		Str("data_centre", string(p.Cell.DataCentre)).Str("code", string(p.Code)).
		Int("prompt_tokens", j.PromptTokens).Int("attempt", r.result.Attempts).Interface("scores", p.Scores).Send()
}

// deliver writes a chunk to the sink and records the token latencies.
func (r *run) deliver(c figseam.Chunk) error {
	now := time.Now()
	if c.Tokens > 0 {
		if r.lastTokenAt.IsZero() {
			r.executor.observer.ObserveFirstTokenLatency(now.Sub(r.startedAt))
		} else {
			r.executor.observer.ObserveInterTokenLatency(now.Sub(r.lastTokenAt) / time.Duration(c.Tokens))
		}
		r.lastTokenAt = now
		r.recordToken(c.FinishReason != "")
	}
	if err := r.sink.WriteChunk(c); err != nil {
		return errors.Join(ErrCallerDisconnected, err)
	}
	r.delivered = append(r.delivered, c.Text...)
	r.result.OutputTokens = c.Offset + c.Tokens
	r.result.FinishReason = c.FinishReason
	return nil
}
