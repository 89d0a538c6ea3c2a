package executor

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/explainer"
)

// Canceller frees what an engine holds for an attempt.
type Canceller interface {
	Cancel(endpoint figseam.Endpoint, attempt figseam.AttemptID, confirmed func())
}

// Observer counts what the executor does. Package meter implements it.
type Observer interface {
	CountPlacement(code figseam.Code)
	CountPrefillTokens(tokens int)
	CountWastedPrefillTokens(tokens int)
	ObserveFirstToken(after time.Duration)
	ObserveInterTokenLatency(after time.Duration)
}

// Executor carries out tasks. It is safe for concurrent use.
type Executor struct {
	placer    figseam.Placer
	dialer    figseam.Dialer
	canceller Canceller
	config    func() *figseam.Config
	budget    *RetryBudget
	observer  Observer
	log       zerolog.Logger
}

// New returns an executor.
func New(placer figseam.Placer, dialer figseam.Dialer, canceller Canceller, config func() *figseam.Config, budget *RetryBudget, observer Observer, log zerolog.Logger) *Executor {
	return &Executor{
		placer: placer, dialer: dialer, canceller: canceller, config: config,
		budget: budget, observer: observer, log: log,
	}
}

// Run carries out a task and gives its answer to sink. The error is a *Refusal,
// [ErrCallerGone] or the context's error.
func (x *Executor) Run(ctx context.Context, task Task, sink Sink) (Result, error) {
	x.budget.Deposit()
	r := &run{x: x, task: task, sink: sink, began: time.Now()}
	for {
		err := r.attempt(ctx)
		if err == nil {
			return r.result, nil
		}
		if again := r.retry(ctx, err); !again {
			return r.result, r.final(ctx, err)
		}
	}
}

// run is the state of one task. One goroutine works on it.
type run struct {
	x      *Executor
	task   Task
	sink   Sink
	began  time.Time
	result Result
	// answer is the text that the caller has.
	answer  []byte
	started bool // a prefill was sent
	lastAt  time.Time
}

// retry reports whether another attempt is to be made, and prepares it.
func (r *run) retry(ctx context.Context, err error) bool {
	failed, ok := errors.AsType[*errAttempt](err)
	if !ok || ctx.Err() != nil {
		return false
	}
	if r.result.Attempts > r.task.MaxRetries || !r.x.budget.TryWithdraw() {
		return false
	}
	r.x.log.Warn().Str("request", string(r.task.Job.Request)).Str("endpoint", string(failed.suspect)).
		Err(failed.cause).Int("attempt", r.result.Attempts).Msg("attempt failed, trying again")
	r.task.Job = r.task.Job.WithAttempt(figseam.NewAttemptID(), failed.suspect)
	return true
}

// final turns the last error into what the caller is told.
func (r *run) final(ctx context.Context, err error) error {
	if errors.Is(err, ErrCallerDisconnected) || ctx.Err() != nil {
		return err
	}
	refusal := figseam.AsRefusal(err)
	if refusal == nil {
		refusal = figseam.NewRefusal(explainer.RetriesExhausted, "%v", err)
	}
	if r.started {
		return refusal.WithOutcome(figseam.OutcomeUnknown)
	}
	return refusal
}

// attempt makes one try from placement to the end of the answer.
func (r *run) attempt(ctx context.Context) error {
	r.result.Attempts++
	placement, err := r.x.placer.Place(ctx, r.task.Job)
	if err != nil {
		return err
	}
	r.logPlacement(placement)
	a := &attempt{run: r, placement: placement, id: r.task.Job.Attempt}
	if placement.ResumeAttempt != "" {
		a.id = placement.ResumeAttempt
	}
	err = a.carryOut(ctx)
	a.cleanUp(err)
	return err
}

func (r *run) logPlacement(p figseam.Placement) {
	r.x.observer.CountPlacement(p.Code)
	j := r.task.Job
	r.x.log.Info().Str("event", "placement").Str("request", string(j.Request)).Str("account", string(j.Account)).
		Str("route", r.task.Route).Str("prefill", string(p.Prefill)).Str("decode", string(p.Decode)).
		Str("data_centre", string(p.Cell.DataCentre)).Str("code", string(p.Code)).
		Int("prompt_tokens", j.PromptTokens).Int("attempt", r.result.Attempts).Interface("scores", p.Scores).Send()
}

// accept passes a chunk to the caller and notes the latencies.
func (r *run) accept(c figseam.Chunk) error {
	now := time.Now()
	if c.Tokens > 0 {
		if r.lastAt.IsZero() {
			r.x.observer.ObserveFirstToken(now.Sub(r.began))
		} else {
			r.x.observer.ObserveInterTokenLatency(now.Sub(r.lastAt) / time.Duration(c.Tokens))
		}
		r.lastAt = now
	}
	if err := r.sink.WriteChunk(c); err != nil {
		return errors.Join(ErrCallerDisconnected, err)
	}
	r.answer = append(r.answer, c.Text...)
	r.result.AnswerTokens = c.Offset + c.Tokens
	r.result.FinishReason = c.FinishReason
	return nil
}
