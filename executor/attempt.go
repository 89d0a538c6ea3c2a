package executor

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/figseam/figseam"
)

const (
	// basePrefillTimeoutMillis is the fixed part of the prefill timeout.
	basePrefillTimeoutMillis = 2000
	// prefillTimeoutFactor is the variable part of the prefill timeout, as a multiple of
	// the predicted duration.
	prefillTimeoutFactor = 5
	// firstChunkSlackMillis is the fixed part of the first-chunk timeout. The
	// variable part follows from the predicted transfer and the remaining time of the
	// prefill result; see [attempt.firstChunkTimeout].
	firstChunkSlackMillis = 250
	// chunkTimeoutMillis bounds the time between two chunks of a running stream.
	chunkTimeoutMillis = 2000
	// maxResumesPerAttempt bounds the reconnections to the stream of one attempt.
	maxResumesPerAttempt = 3
	// progressIntervalTokens is the number of answer tokens between two progress reports
	// to the cell's owner.
	progressIntervalTokens = 64
)

// attempt is one execution of a task, from its placement to the end of its stream. It
// uses one prefill engine and up to maxDecodeTries decode engines.
type attempt struct {
	*run
	id             figseam.AttemptID
	placement      figseam.Placement
	computedTokens int // prompt tokens that the prefill computed
	// heldUntil is the time at which the prefill engine drops its result.
	heldUntil figseam.Deadline
	// decodeTried lists the decode engines to which the attempt was sent, in order.
	decodeTried []figseam.EndpointID
	finished    bool // the last chunk was delivered
}

// endpoint returns the configured endpoint, or only its name without a configuration.
func (a *attempt) endpoint(id figseam.EndpointID) figseam.Endpoint {
	if config := a.executor.config(); config != nil {
		return config.Endpoints[id]
	}
	return figseam.Endpoint{Name: id}
}

func (a *attempt) engine(id figseam.EndpointID) figseam.Engine {
	return a.executor.dialer.Engine(a.endpoint(id))
}

// report sends the attempt's progress to the placer. failed is an endpoint to record as
// failed, or empty.
func (a *attempt) report(stage figseam.JobStage, failed figseam.EndpointID) {
	a.executor.placer.ReportProgress(context.Background(), a.progress(stage, failed))
}

func (a *attempt) progress(stage figseam.JobStage, failed figseam.EndpointID) figseam.Progress {
	return figseam.Progress{
		Grant: a.placement.Grant, Cell: a.placement.Cell, Stage: stage,
		OutputTokens: a.result.OutputTokens, FailedEndpoint: failed,
	}
}

// execute runs prefill and decode, or resumes the running stream that the placement
// names.
func (a *attempt) execute(ctx context.Context) error {
	if a.placement.ResumeAttempt != "" {
		a.engineContacted = true
		a.decodeTried = append(a.decodeTried, a.placement.Decode)
		return a.readAnswer(ctx, nil)
	}
	if err := a.prefill(ctx); err != nil {
		return err
	}
	return a.decode(ctx)
}

// prefill computes the prompt together with the text that earlier attempts delivered.
func (a *attempt) prefill(ctx context.Context) error {
	a.engineContacted = true
	pool := a.executor.config().Pools[a.task.Job.Pool]
	expectedSeconds := float64(a.task.Job.PromptTokens) / max(1, pool.PrefillTokensPerSecond)
	timeout := basePrefillTimeoutMillis*time.Millisecond + time.Duration(prefillTimeoutFactor*expectedSeconds*float64(time.Second))
	prefillCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result, err := a.engine(a.placement.Prefill).Prefill(prefillCtx, figseam.PrefillParams{
		Request: a.task.Job.Request, Attempt: a.id, Model: a.task.Model,
		Prompt: a.task.Prompt, GeneratedText: string(a.delivered), Priority: a.task.Job.Priority,
	})
	if err != nil {
		a.recordLoss(ctx, a.placement.Prefill, err)
		return a.wrapError(ctx, a.placement.Prefill, err)
	}
	a.computedTokens = result.PromptTokens - result.CachedTokens
	a.heldUntil = result.ExpiresAt
	a.result.PromptTokens = result.PromptTokens
	a.executor.observer.CountPrefillTokens(a.computedTokens)
	a.report(figseam.JobStagePrefilled, "")
	return nil
}

// wrapError returns err as an attemptError with the failed endpoint, or the context's
// error if ctx has ended.
func (a *attempt) wrapError(ctx context.Context, failed figseam.EndpointID, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return &attemptError{failedEndpoint: failed, cause: err}
}

// maxDecodeTries bounds the decode engines that are tried with one prefill result. If the
// second fails as well, the prefill engine or its link is assumed to be at fault.
const maxDecodeTries = 2

// decode starts a stream on the assigned decode engine and reads the answer. If no first
// chunk arrives, it fails over to another decode engine while the prefill result is held.
func (a *attempt) decode(ctx context.Context) error {
	assigned := a.placement
	var err error
	if assigned.Decode == "" {
		assigned, err = a.executor.placer.AssignDecode(ctx, assigned, a.heldUntil)
	}
	for tries := 1; ; tries++ {
		if err != nil {
			return a.wrapError(ctx, "", err)
		}
		a.placement = assigned
		a.decodeTried = append(a.decodeTried, assigned.Decode)
		if err := a.checkAllowed(); err != nil {
			return err
		}
		stream, first, startErr := a.start(ctx, assigned.Decode)
		if startErr == nil {
			a.reportFailedDecode(tries)
			return a.readAfterFirst(ctx, stream, first)
		}
		a.recordLoss(ctx, assigned.Decode, startErr)
		if tries == maxDecodeTries || a.crashes >= maxCrashesPerTask {
			return a.wrapError(ctx, a.placement.Prefill, startErr)
		}
		if ctx.Err() != nil || a.heldUntil.Passed() {
			return a.wrapError(ctx, "", startErr)
		}
		a.executor.log.Warn().Str("event", "transfer_moved").Str("request", string(a.task.Job.Request)).
			Str("endpoint", string(assigned.Decode)).Err(startErr).Send()
		a.executor.canceller.Cancel(a.endpoint(assigned.Decode), a.id, nil)
		assigned, err = a.executor.placer.AssignDecode(ctx, assigned, a.heldUntil)
	}
}

// reportFailedDecode reports the previous decode engine as failed after a failover, since
// another one accepted the same prefill result.
func (a *attempt) reportFailedDecode(tries int) {
	if tries > 1 {
		a.report(figseam.JobStageDecoding, a.decodeTried[len(a.decodeTried)-2])
	}
}

// firstChunkTimeout returns the timeout for the first chunk: firstChunkSlackMillis plus
// three times the predicted transfer time. The first decode engine has at least half of the
// time for which the prefill result is still held, so that a transfer that is only slow is
// not abandoned while enough time remains for another engine. The last decode engine has
// all of that time in addition.
func (a *attempt) firstChunkTimeout() time.Duration {
	pool := a.executor.config().Pools[a.task.Job.Pool]
	transferSeconds := float64(a.task.Job.PromptTokens) / max(1, pool.TransferTokensPerSecond)
	timeout := firstChunkSlackMillis*time.Millisecond + time.Duration(3*transferSeconds*float64(time.Second))
	held := time.Duration(a.heldUntil.RemainingMillis()) * time.Millisecond
	if len(a.decodeTried) < maxDecodeTries {
		return max(timeout, held/2)
	}
	return timeout + held
}

// start sends the decode request to the engine and waits up to firstChunkTimeout for the
// first chunk.
func (a *attempt) start(ctx context.Context, decode figseam.EndpointID) (*timedStream, figseam.Chunk, error) {
	timeout := a.firstChunkTimeout()
	s := newTimedStream(ctx)
	s.setTimeout(timeout)
	stream, err := a.engine(decode).Decode(s.ctx, figseam.DecodeParams{
		Request: a.task.Job.Request, Attempt: a.id, Model: a.task.Model,
		PrefillAddress: a.endpoint(a.placement.Prefill).Address,
		Offset:         a.result.OutputTokens, MaxTokens: a.task.MaxTokens, Priority: a.task.Job.Priority,
	})
	if err != nil {
		s.close()
		return nil, figseam.Chunk{}, err
	}
	s.stream = stream
	first, err := s.next(timeout)
	if err != nil {
		s.close()
		return nil, figseam.Chunk{}, err
	}
	a.report(figseam.JobStageDecoding, "")
	return s, first, nil
}

// readAfterFirst delivers the first chunk and then reads the rest of the answer.
func (a *attempt) readAfterFirst(ctx context.Context, s *timedStream, first figseam.Chunk) error {
	if err := a.handleChunk(first); err != nil {
		s.close()
		return err
	}
	return a.readAnswer(ctx, s)
}

// readAnswer delivers chunks until the end of the answer. It resumes a broken stream at
// the next offset, up to maxResumesPerAttempt times. If s is nil, it first resumes the
// stream that is already running.
func (a *attempt) readAnswer(ctx context.Context, s *timedStream) error {
	for resumes := 0; ; resumes++ {
		if s == nil {
			var err error
			if s, err = a.resume(ctx); err != nil {
				return a.wrapError(ctx, a.placement.Decode, err)
			}
		}
		err := a.readStream(s)
		s.close()
		s = nil
		if err == nil || errors.Is(err, ErrCallerDisconnected) {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		a.recordLoss(ctx, a.placement.Decode, err)
		if resumes >= maxResumesPerAttempt || errors.Is(err, figseam.ErrEvicted) {
			return a.wrapError(ctx, a.placement.Decode, err)
		}
		a.executor.log.Warn().Str("event", "stream_resumed").Str("request", string(a.task.Job.Request)).
			Str("endpoint", string(a.placement.Decode)).Int("offset", a.result.OutputTokens).Err(err).Send()
	}
}

// resume reopens the stream at the end of the delivered answer.
func (a *attempt) resume(ctx context.Context) (*timedStream, error) {
	s := newTimedStream(ctx)
	s.setTimeout(chunkTimeoutMillis * time.Millisecond)
	stream, err := a.engine(a.placement.Decode).Resume(s.ctx, a.id, a.result.OutputTokens)
	if err != nil {
		s.close()
		return nil, err
	}
	s.stream = stream
	return s, nil
}

// readStream delivers chunks until the end of the answer. It returns io.ErrUnexpectedEOF
// if the stream ends earlier.
func (a *attempt) readStream(s *timedStream) error {
	for !a.finished {
		c, err := s.next(chunkTimeoutMillis * time.Millisecond)
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if err := a.handleChunk(c); err != nil {
			return err
		}
	}
	return nil
}

// errGap reports that a chunk does not continue the answer. The stream is resumed after
// the last delivered token.
var errGap = errors.New("stream skipped tokens")

// handleChunk delivers a chunk that continues the answer and returns errGap for one that
// leaves a gap. A chunk that starts before the end of the delivered answer is a full or
// partial duplicate and is discarded; its new tokens are sent again, or requested by a
// resume. If such a chunk is the last one of the answer, handleChunk also returns errGap,
// because no chunk follows.
func (a *attempt) handleChunk(c figseam.Chunk) error {
	expectedOffset := a.result.OutputTokens
	if c.Offset < expectedOffset && c.FinishReason == "" {
		return nil
	}
	if c.Offset != expectedOffset {
		return errGap
	}
	if err := a.deliver(c); err != nil {
		return err
	}
	a.finished = c.FinishReason != ""
	if a.result.OutputTokens/progressIntervalTokens != expectedOffset/progressIntervalTokens {
		a.report(figseam.JobStageDecoding, "")
	}
	return nil
}

// release ends the attempt's grant. After an unfinished attempt it first cancels the
// attempt on its engines, and ends the grant when the last decode engine has confirmed.
func (a *attempt) release(err error) {
	if a.finished {
		a.report(figseam.JobStageEnded, "")
		return
	}
	a.result.WastedTokens += a.computedTokens
	a.executor.observer.CountWastedPrefillTokens(a.computedTokens)
	var failed figseam.EndpointID
	if attemptErr, ok := errors.AsType[*attemptError](err); ok {
		failed = attemptErr.failedEndpoint
	}
	a.report(figseam.JobStagePrefilling, failed)
	end, placer := a.progress(figseam.JobStageEnded, ""), a.executor.placer
	reportEnd := func() { placer.ReportProgress(context.Background(), end) }
	if a.engineContacted && a.placement.Prefill != "" {
		a.executor.canceller.Cancel(a.endpoint(a.placement.Prefill), a.id, nil)
	}
	if len(a.decodeTried) == 0 {
		reportEnd()
		return
	}
	for i, id := range a.decodeTried {
		confirmed := reportEnd
		if i < len(a.decodeTried)-1 {
			confirmed = nil
		}
		a.executor.canceller.Cancel(a.endpoint(id), a.id, confirmed)
	}
}

// timedStream is a chunk stream whose context is cancelled when a chunk does not arrive
// in time.
type timedStream struct {
	ctx    context.Context
	cancel context.CancelFunc
	timer  *time.Timer
	stream figseam.ChunkStream
}

// newTimedStream returns a timedStream without a stream. The caller sets a timeout before
// it opens the stream with the context.
func newTimedStream(ctx context.Context) *timedStream {
	s := &timedStream{}
	s.ctx, s.cancel = context.WithCancel(ctx)
	s.timer = time.AfterFunc(time.Hour, s.cancel)
	return s
}

// setTimeout cancels the context unless the next chunk arrives within timeout.
func (s *timedStream) setTimeout(timeout time.Duration) { s.timer.Reset(timeout) }

// next returns the next chunk, or the stream's error if none arrives within timeout.
func (s *timedStream) next(timeout time.Duration) (figseam.Chunk, error) {
	s.setTimeout(timeout)
	c, err := s.stream.Next()
	s.timer.Stop()
	return c, err
}

func (s *timedStream) close() {
	s.timer.Stop()
	s.cancel()
	if s.stream != nil {
		_ = s.stream.Close()
	}
}
