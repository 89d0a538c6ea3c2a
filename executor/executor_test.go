package executor_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/executor"
)

// Fixes the seed of the random tests, so that every run gives the same verdict.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// bubble hides the deadline of a test, which must not be read in virtual time.
type bubble struct{ rapid.TB }

// token returns the i-th token of the right answer.
func token(i int) string { return fmt.Sprintf("<%d>", i) }

func answer(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(token(i))
	}
	return b.String()
}

// plant is a prefill and some decode engines in one, which break at random.
type plant struct {
	random *rand.Rand
	faults float64
	length int

	mu       sync.Mutex
	held     map[figseam.AttemptID]bool // prefill results
	running  map[figseam.AttemptID]int  // next token to produce, by attempt
	prefills int
}

func (p *plant) breaks() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.Float64() < p.faults
}

// Engine implements figseam.Dialer.
func (p *plant) Engine(figseam.Endpoint) figseam.Engine { return p }

func (p *plant) Prefill(_ context.Context, o figseam.PrefillParams) (figseam.PrefillResult, error) {
	time.Sleep(50 * time.Millisecond)
	if p.breaks() {
		return figseam.PrefillResult{}, errors.New("connection broke")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prefills++
	p.held[o.Attempt] = true
	return figseam.PrefillResult{Attempt: o.Attempt, PromptTokens: 100, ExpiresAt: figseam.DeadlineAfterMillis(800)}, nil
}

func (p *plant) Decode(ctx context.Context, o figseam.DecodeParams) (figseam.ChunkStream, error) {
	if p.breaks() {
		return nil, figseam.ErrEngineFull
	}
	if p.breaks() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.held[o.Attempt] {
		return nil, figseam.ErrAttemptNotFound
	}
	p.running[o.Attempt] = o.Offset
	return &chunks{p: p, ctx: ctx, attempt: o.Attempt, at: o.Offset}, nil
}

func (p *plant) Resume(ctx context.Context, attempt figseam.AttemptID, offset int) (figseam.ChunkStream, error) {
	if p.breaks() {
		return nil, errors.New("connection broke")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.running[attempt]; !ok {
		return nil, figseam.ErrAttemptNotFound
	}
	return &chunks{p: p, ctx: ctx, attempt: attempt, at: offset}, nil
}

func (p *plant) Cancel(_ context.Context, attempt figseam.AttemptID) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running, attempt)
	delete(p.held, attempt)
	return nil
}

func (p *plant) Load(context.Context, bool) (figseam.LoadReport, error) {
	return figseam.LoadReport{}, nil
}

func (p *plant) CacheEvents(context.Context, uint64) (figseam.CachePage, error) {
	return figseam.CachePage{}, nil
}

func (p *plant) Reconfigure(context.Context, figseam.EngineReconfig) error { return nil }

// chunks yields chunks that may be late, doubled, gapped, or break off.
type chunks struct {
	p       *plant
	ctx     context.Context
	attempt figseam.AttemptID
	at      int
}

func (c *chunks) Close() error { return nil }

func (c *chunks) Next() (figseam.Chunk, error) {
	select {
	case <-c.ctx.Done():
		return figseam.Chunk{}, c.ctx.Err()
	case <-time.After(20 * time.Millisecond):
	}
	if c.p.breaks() {
		return c.bad()
	}
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	to := min(c.at+1+c.p.random.IntN(3), c.p.length)
	chunk := figseam.Chunk{Attempt: c.attempt, Offset: c.at, Tokens: to - c.at, Text: answer(c.at, to)}
	if to == c.p.length {
		chunk.FinishReason = "stop"
		delete(c.p.running, c.attempt)
	}
	c.at = to
	return chunk, nil
}

// bad returns something that an engine should not send.
func (c *chunks) bad() (figseam.Chunk, error) {
	c.p.mu.Lock()
	kind := c.p.random.IntN(6)
	c.p.mu.Unlock()
	from := max(0, c.at-2)
	switch kind {
	case 0:
		return figseam.Chunk{}, io.ErrUnexpectedEOF
	case 1:
		return figseam.Chunk{}, figseam.ErrEvicted
	case 2:
		return figseam.Chunk{}, figseam.ErrProtocol
	case 3: // a double that overlaps in part
		return figseam.Chunk{Attempt: c.attempt, Offset: from, Tokens: c.at + 1 - from, Text: answer(from, c.at+1)}, nil
	case 4: // a gap
		if c.at+1 >= c.p.length {
			return figseam.Chunk{}, figseam.ErrProtocol
		}
		return figseam.Chunk{Attempt: c.attempt, Offset: c.at + 1, Tokens: 1, Text: token(c.at + 1)}, nil
	default:
		<-c.ctx.Done()
		return figseam.Chunk{}, c.ctx.Err()
	}
}

// placer places everything on the plant and notes which grants are live.
type placer struct {
	mu   sync.Mutex
	next int
	live map[figseam.GrantID]bool
}

func (p *placer) Place(context.Context, figseam.Job) (figseam.Placement, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next++
	id := figseam.GrantID(fmt.Sprint(p.next))
	p.live[id] = true
	return figseam.Placement{Grant: id, Prefill: "p", Decode: "d1"}, nil
}

func (p *placer) AssignDecode(_ context.Context, placement figseam.Placement, _ figseam.Deadline) (figseam.Placement, error) {
	return placement.WithDecode(placement.Decode + "x"), nil
}

func (p *placer) ReportProgress(_ context.Context, r figseam.Progress) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Stage == figseam.JobStageEnded {
		delete(p.live, r.Grant)
	}
}

// immediate cancels at once.
type immediate struct{ p *plant }

func (c immediate) Cancel(_ figseam.Endpoint, attempt figseam.AttemptID, confirmed func()) {
	_ = c.p.Cancel(context.Background(), attempt)
	if confirmed != nil {
		confirmed()
	}
}

// page is a caller that may leave.
type page struct {
	text  strings.Builder
	leave int
}

var errLeft = errors.New("left")

func (p *page) WriteChunk(c figseam.Chunk) error {
	if p.leave--; p.leave == 0 {
		return errLeft
	}
	p.text.WriteString(c.Text)
	return nil
}

type silent struct{}

func (silent) CountPlacement(figseam.Code)            {}
func (silent) CountPrefillTokens(int)                 {}
func (silent) CountWastedPrefillTokens(int)           {}
func (silent) ObserveFirstToken(time.Duration)        {}
func (silent) ObserveInterTokenLatency(time.Duration) {}

// TestAnswersAreWhole carries requests over engines that break, double, skip,
// evict and stall. What a caller got is always the beginning of the right answer,
// the whole of it when the request succeeded, and nothing stays behind.
func TestAnswersAreWhole(t *testing.T) {
	whole, broken, left := 0, 0, 0
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{t}, func(t *rapid.T) {
			p := &plant{
				random:  rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 5)),
				faults:  rapid.SampledFrom([]float64{0, 0.05, 0.2, 0.5}).Draw(t, "faults"),
				length:  rapid.IntRange(1, 60).Draw(t, "length"),
				running: map[figseam.AttemptID]int{}, held: map[figseam.AttemptID]bool{},
			}
			pl := &placer{live: map[figseam.GrantID]bool{}}
			config := &figseam.Config{Pools: map[string]figseam.Pool{"lm": {PrefillTokensPerSecond: 9000, TransferTokensPerSecond: 60_000}}}
			x := executor.New(pl, p, immediate{p}, func() *figseam.Config { return config },
				executor.NewRetryBudget(1), silent{}, zerolog.Nop())
			sink := &page{leave: rapid.SampledFrom([]int{0, 0, 0, 3}).Draw(t, "leave")}
			task := executor.Task{
				Job:        figseam.Job{Request: "r", Attempt: figseam.NewAttemptID(), Pool: "lm", PromptTokens: 100},
				MaxRetries: rapid.IntRange(0, 8).Draw(t, "retries"), MaxTokens: 1000,
			}
			result, err := x.Run(context.Background(), task, sink)
			right := answer(0, p.length)
			require.True(t, strings.HasPrefix(right, sink.text.String()), "the caller got %q", sink.text.String())
			switch {
			case err == nil:
				require.Equal(t, right, sink.text.String())
				require.Equal(t, p.length, result.AnswerTokens)
				whole++
			case errors.Is(err, executor.ErrCallerDisconnected):
				left++
			default:
				refusal := figseam.AsRefusal(err)
				require.NotNil(t, refusal, "%v", err)
				require.Equal(t, figseam.OutcomeUnknown, refusal.Outcome, "a request that was started is not refused as not run")
				broken++
			}
			require.Empty(t, p.running, "attempts stay on the engine")
			require.Empty(t, pl.live, "grants stay in the ledger")
		})
	})
	t.Logf("answered whole: %d, given up: %d, callers left: %d", whole, broken, left)
}

// TestRetryBudgetKeepsRetriesToAShare spends the reserve and then the share.
func TestRetryBudgetKeepsRetriesToAShare(t *testing.T) {
	b := executor.NewRetryBudget(executor.RetryRatio)
	for b.TryWithdraw() {
		continue
	}
	retries := 0
	for range 1000 {
		b.Deposit()
		if b.TryWithdraw() {
			retries++
		}
	}
	require.InDelta(t, 100, retries, 2)
}
