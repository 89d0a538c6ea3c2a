package executor

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/figseam/figseam"
)

const (
	// prefillSlack is how many times its predicted length a prefill may take.
	prefillSlack = 5
	// shortestPrefillMillis is the least time that a prefill is given.
	shortestPrefillMillis = 2000
	// firstChunkMillis is how long the first chunk may take beyond the predicted
	// transfer before the transfer counts as stalled, if the result is not held
	// for longer.
	firstChunkMillis = 250
	// stallMillis is how long a running stream may be silent.
	stallMillis = 2000
	// resumesPerStream bounds the reconnections of one attempt.
	resumesPerStream = 3
	// progressTokens is how often the owner hears of the answer's length.
	progressTokens = 64
)

// attempt is one try on a pair of engines.
type attempt struct {
	*run
	id        figseam.AttemptID
	placement figseam.Placement
	computed  int
	heldUntil figseam.Deadline
	// decoding lists the decode engines that were told to run the attempt.
	decoding []figseam.EndpointID
	finished bool
}

func (a *attempt) endpoint(id figseam.EndpointID) figseam.Endpoint {
	if config := a.x.config(); config != nil {
		return config.Endpoints[id]
	}
	return figseam.Endpoint{Name: id}
}

func (a *attempt) engine(id figseam.EndpointID) figseam.Engine {
	return a.x.dialer.Engine(a.endpoint(id))
}

func (a *attempt) report(stage figseam.JobStage, suspect figseam.EndpointID) {
	a.x.placer.ReportProgress(context.Background(), a.progress(stage, suspect))
}

func (a *attempt) progress(stage figseam.JobStage, suspect figseam.EndpointID) figseam.Progress {
	return figseam.Progress{
		Grant: a.placement.Grant, Cell: a.placement.Cell, Stage: stage,
		OutputTokens: a.result.AnswerTokens, FailedEndpoint: suspect,
	}
}

func (a *attempt) carryOut(ctx context.Context) error {
	if a.placement.ResumeAttempt != "" {
		a.started = true
		a.decoding = append(a.decoding, a.placement.Decode)
		return a.read(ctx, nil)
	}
	if err := a.prefill(ctx); err != nil {
		return err
	}
	return a.decode(ctx)
}

func (a *attempt) prefill(ctx context.Context) error {
	a.started = true
	pool := a.x.config().Pools[a.task.Job.Pool]
	expected := float64(a.task.Job.PromptTokens) / max(1, pool.PrefillTokensPerSecond)
	limit := shortestPrefillMillis*time.Millisecond + time.Duration(prefillSlack*expected*float64(time.Second))
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	result, err := a.engine(a.placement.Prefill).Prefill(limited, figseam.PrefillParams{
		Request: a.task.Job.Request, Attempt: a.id, Model: a.task.Model,
		Prompt: a.task.Prompt, GeneratedText: string(a.answer), Priority: a.task.Job.Priority,
	})
	if err != nil {
		return a.failed(ctx, a.placement.Prefill, err)
	}
	a.computed = result.PromptTokens - result.CachedTokens
	a.heldUntil = result.ExpiresAt
	a.result.PromptTokens = result.PromptTokens
	a.x.observer.CountPrefillTokens(a.computed)
	a.report(figseam.JobStagePrefilled, "")
	return nil
}

// failed wraps an engine's error, unless the caller ended the request.
func (a *attempt) failed(ctx context.Context, suspect figseam.EndpointID, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return &errAttempt{suspect: suspect, cause: err}
}

// movesPerAttempt is how many decode engines are tried with one prefill result.
// When the second fails as well, the prefill engine or its link is at fault.
const movesPerAttempt = 2

// decode starts the answer, moving to another decode engine while the prefill
// result is held and no chunk has come.
func (a *attempt) decode(ctx context.Context) error {
	seated := a.placement
	var err error
	if seated.Decode == "" {
		seated, err = a.x.placer.AssignDecode(ctx, seated, a.heldUntil)
	}
	for moves := 1; ; moves++ {
		if err != nil {
			return a.failed(ctx, "", err)
		}
		a.placement = seated
		a.decoding = append(a.decoding, seated.Decode)
		stream, first, startErr := a.start(ctx, seated.Decode)
		if startErr == nil {
			a.blameFormer(moves)
			return a.readFrom(ctx, stream, first)
		}
		if moves == movesPerAttempt {
			return a.failed(ctx, a.placement.Prefill, startErr)
		}
		if ctx.Err() != nil || a.heldUntil.Passed() {
			return a.failed(ctx, "", startErr)
		}
		a.x.log.Warn().Str("event", "transfer_moved").Str("request", string(a.task.Job.Request)).
			Str("endpoint", string(seated.Decode)).Err(startErr).Send()
		a.x.canceller.Cancel(a.endpoint(seated.Decode), a.id, nil)
		seated, err = a.x.placer.AssignDecode(ctx, seated, a.heldUntil)
	}
}

// blameFormer reports the decode engine that an attempt was moved away from, now
// that another one took the same result.
func (a *attempt) blameFormer(moves int) {
	if moves > 1 {
		a.report(figseam.JobStageDecoding, a.decoding[len(a.decoding)-2])
	}
}

// firstChunkLimit is how long to wait for the first chunk. While the result is
// held there is time for another engine, so the first one gets half of it; a
// transfer that is only slow is not given up for nothing.
func (a *attempt) firstChunkLimit() time.Duration {
	pool := a.x.config().Pools[a.task.Job.Pool]
	transfer := float64(a.task.Job.PromptTokens) / max(1, pool.TransferTokensPerSecond)
	limit := firstChunkMillis*time.Millisecond + time.Duration(3*transfer*float64(time.Second))
	held := time.Duration(a.heldUntil.RemainingMillis()) * time.Millisecond
	if len(a.decoding) < movesPerAttempt {
		return max(limit, held/2)
	}
	return limit + held
}

// start sends the decode order and waits for the first chunk for as long as the
// transfer should take.
func (a *attempt) start(ctx context.Context, decode figseam.EndpointID) (*watched, figseam.Chunk, error) {
	limit := a.firstChunkLimit()
	w := watch(ctx)
	w.expect(limit)
	stream, err := a.engine(decode).Decode(w.ctx, figseam.DecodeParams{
		Request: a.task.Job.Request, Attempt: a.id, Model: a.task.Model,
		PrefillAddress: a.endpoint(a.placement.Prefill).Address,
		Offset:         a.result.AnswerTokens, MaxTokens: a.task.MaxTokens, Priority: a.task.Job.Priority,
	})
	if err != nil {
		w.close()
		return nil, figseam.Chunk{}, err
	}
	w.stream = stream
	first, err := w.next(limit)
	if err != nil {
		w.close()
		return nil, figseam.Chunk{}, err
	}
	a.report(figseam.JobStageDecoding, "")
	return w, first, nil
}

func (a *attempt) readFrom(ctx context.Context, w *watched, first figseam.Chunk) error {
	if err := a.take(first); err != nil {
		w.close()
		return err
	}
	return a.read(ctx, w)
}

// read passes chunks on until the end, resuming a broken stream from the next
// offset. A nil stream is opened first.
func (a *attempt) read(ctx context.Context, w *watched) error {
	for resumes := 0; ; resumes++ {
		if w == nil {
			var err error
			if w, err = a.resume(ctx); err != nil {
				return a.failed(ctx, a.placement.Decode, err)
			}
		}
		err := a.drain(w)
		w.close()
		w = nil
		if err == nil || errors.Is(err, ErrCallerDisconnected) {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if resumes >= resumesPerStream || errors.Is(err, figseam.ErrEvicted) {
			return a.failed(ctx, a.placement.Decode, err)
		}
		a.x.log.Warn().Str("event", "stream_resumed").Str("request", string(a.task.Job.Request)).
			Str("endpoint", string(a.placement.Decode)).Int("offset", a.result.AnswerTokens).Err(err).Send()
	}
}

func (a *attempt) resume(ctx context.Context) (*watched, error) {
	w := watch(ctx)
	w.expect(stallMillis * time.Millisecond)
	stream, err := a.engine(a.placement.Decode).Resume(w.ctx, a.id, a.result.AnswerTokens)
	if err != nil {
		w.close()
		return nil, err
	}
	w.stream = stream
	return w, nil
}

// drain passes chunks on until the end of the answer or of the stream.
func (a *attempt) drain(w *watched) error {
	for !a.finished {
		c, err := w.next(stallMillis * time.Millisecond)
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if err := a.take(c); err != nil {
			return err
		}
	}
	return nil
}

// errGap means that a stream left tokens out; the answer is read again from
// where the caller is.
var errGap = errors.New("stream skipped tokens")

// take passes on a chunk that continues the answer and refuses one that leaves a
// gap. One that begins before the caller's place is a double, whole or in part; it
// is discarded, and what it had beyond comes again or is asked for again.
func (a *attempt) take(c figseam.Chunk) error {
	want := a.result.AnswerTokens
	if c.Offset < want && c.FinishReason == "" {
		return nil
	}
	if c.Offset != want {
		return errGap
	}
	if err := a.accept(c); err != nil {
		return err
	}
	a.finished = c.FinishReason != ""
	if a.result.AnswerTokens/progressTokens != want/progressTokens {
		a.report(figseam.JobStageDecoding, "")
	}
	return nil
}

// cleanUp frees what the engines hold for an attempt that did not finish, and
// gives the grant back when they have confirmed.
func (a *attempt) cleanUp(err error) {
	if a.finished {
		a.report(figseam.JobStageEnded, "")
		return
	}
	a.result.WastedTokens += a.computed
	a.x.observer.CountWastedPrefillTokens(a.computed)
	var suspect figseam.EndpointID
	if failed, ok := errors.AsType[*errAttempt](err); ok {
		suspect = failed.suspect
	}
	a.report(figseam.JobStagePrefilling, suspect)
	end, placer := a.progress(figseam.JobStageEnded, ""), a.x.placer
	ended := func() { placer.ReportProgress(context.Background(), end) }
	if a.started && a.placement.Prefill != "" {
		a.x.canceller.Cancel(a.endpoint(a.placement.Prefill), a.id, nil)
	}
	if len(a.decoding) == 0 {
		ended()
		return
	}
	for i, id := range a.decoding {
		confirmed := ended
		if i < len(a.decoding)-1 {
			confirmed = nil
		}
		a.x.canceller.Cancel(a.endpoint(id), a.id, confirmed)
	}
}

// watched is a stream whose connection is cut when a chunk does not come in time.
type watched struct {
	ctx    context.Context
	cancel context.CancelFunc
	timer  *time.Timer
	stream figseam.ChunkStream
}

func watch(ctx context.Context) *watched {
	w := &watched{}
	w.ctx, w.cancel = context.WithCancel(ctx)
	w.timer = time.AfterFunc(time.Hour, w.cancel)
	return w
}

// expect cuts the connection unless the next chunk comes within limit.
func (w *watched) expect(limit time.Duration) { w.timer.Reset(limit) }

// next returns the next chunk if it comes within limit.
func (w *watched) next(limit time.Duration) (figseam.Chunk, error) {
	w.expect(limit)
	c, err := w.stream.Next()
	w.timer.Stop()
	return c, err
}

func (w *watched) close() {
	w.timer.Stop()
	w.cancel()
	if w.stream != nil {
		_ = w.stream.Close()
	}
}
