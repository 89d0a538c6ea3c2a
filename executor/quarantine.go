package executor

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/explainer"
)

const (
	// crashCheckMillis is the timeout of the call that shows whether an engine has ended.
	crashCheckMillis = 250
	// maxCrashesPerTask is the number of engines that may end under a task. It is not tried
	// on further ones.
	maxCrashesPerTask = 2
)

// promptOf returns the prompt of a task as parts: its beginnings of one, two, four and so on
// blocks, and the whole prompt. Prompts with the same beginning have the same parts for it.
func promptOf(t Task) figseam.Prompt {
	p := figseam.Prompt{Model: t.Model}
	for blocks := 1; blocks <= len(t.Job.PrefixHashes); blocks *= 2 {
		p.Parts = append(p.Parts, figseam.PromptPart{ID: strconv.FormatUint(t.Job.PrefixHashes[blocks-1], 16), Tokens: blocks * figseam.PrefixBlockTokens})
	}
	whole := strconv.FormatUint(xxhash.Sum64String(t.Prompt), 16)
	p.Parts = append(p.Parts, figseam.PromptPart{ID: "whole-" + whole, Tokens: t.Job.PromptTokens})
	return p
}

// checkAllowed returns the refusal of a task whose prompt is quarantined, or nil.
func (r *run) checkAllowed() error {
	verdict, ok := r.executor.quarantine.Find(r.prompt)
	if !ok {
		return nil
	}
	return figseam.NewRefusal(explainer.PromptQuarantined, "%d engines crashed under prompts that begin like this one", verdict.Engines).WithRetryAt(verdict.Until)
}

// recordLoss records an engine that failed with err before the answer began, if the engine
// itself ended.
func (a *attempt) recordLoss(ctx context.Context, id figseam.EndpointID, err error) {
	if ctx.Err() != nil || a.answer.Begun() || isEngineResponse(err) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, crashCheckMillis*time.Millisecond)
	defer cancel()
	_, loadErr := a.engine(id).Load(ctx, false)
	if loadErr == nil || ctx.Err() != nil || isEngineResponse(loadErr) {
		return
	}
	a.crashes++
	a.executor.log.Warn().Str("request", string(a.task.Job.Request)).Str("endpoint", string(id)).Strs("prompt_parts", a.prompt.PartIDs()).
		Err(err).Msg("engine ended before the answer began")
	a.executor.quarantine.RecordCrash(figseam.ListedEndpoint{ID: string(id)}, a.prompt)
}

// isEngineResponse reports whether an error is a response of an engine, which shows that the
// engine has not ended, or a timeout, which shows nothing.
func isEngineResponse(err error) bool {
	for _, response := range []error{
		figseam.ErrEngineFull, figseam.ErrAttemptNotFound, figseam.ErrEngineDraining, figseam.ErrStaleFence,
		figseam.ErrEvicted, figseam.ErrProtocol, context.DeadlineExceeded, context.Canceled,
	} {
		if errors.Is(err, response) {
			return true
		}
	}
	return false
}

// recordToken records a token of the answer that was delivered.
func (r *run) recordToken(finished bool) {
	begins := r.answer.RecordPiece()
	if finished {
		begins = r.answer.RecordEnd() || begins
	}
	if begins {
		r.executor.quarantine.RecordAnswer(r.prompt)
	}
}
