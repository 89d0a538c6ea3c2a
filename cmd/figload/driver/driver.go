package driver

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/emulator"
	"github.com/figseam/figseam/gateway"
)

// Targets of an interactive answer.
const (
	FirstTokenTargetMillis = 1300
	InterTokenTargetMillis = 25
)

// Result is what became of a request.
type Result struct {
	Request Request
	ID      figseam.RequestID
	// Complete is set when the answer came in full and right, Wrong when any of it
	// was not right.
	Complete  bool
	Incorrect bool
	// Abandoned is set when the caller left early, as it was to.
	Abandoned bool
	// Outcome and Reason are of a refusal; Failed is any other end.
	Outcome figseam.Outcome
	Reason  string
	Failed  bool
	// FirstTokenMillis is the time to the first token, GapsMillis the times between
	// tokens.
	FirstTokenMillis float64
	InterTokenMillis []float64
	// EndOffset is when it ended, from the start of the load.
	EndOffset time.Duration
}

// MeetsTargets reports whether the answer came in full and within both targets. A
// patient request has no targets.
func (r Result) MeetsTargets() bool {
	if !r.Complete {
		return false
	}
	if r.Request.Class.Patient {
		return true
	}
	return r.FirstTokenMillis <= FirstTokenTargetMillis && r.meanGap() <= InterTokenTargetMillis
}

func (r Result) meanGap() float64 {
	if len(r.InterTokenMillis) == 0 {
		return 0
	}
	sum := 0.0
	for _, g := range r.InterTokenMillis {
		sum += g
	}
	return sum / float64(len(r.InterTokenMillis))
}

// Driver sends requests to instances.
type Driver struct {
	client  *http.Client
	callers func() []string
	service string
	// patience bounds one request.
	patience time.Duration
}

// New returns a driver. callers returns the instances that the platform's
// balancer would use now; service is the name of the plain service.
func New(callers func() []string, service string, patience time.Duration) *Driver {
	return &Driver{
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}},
		callers: callers, service: service, patience: patience,
	}
}

// Run sends every request at its time and waits for all results.
func (d *Driver) Run(ctx context.Context, requests []Request) []Result {
	results := make([]Result, len(requests))
	var tasks sync.WaitGroup
	began := time.Now()
	for i, q := range requests {
		time.Sleep(time.Until(began.Add(q.ArrivalOffset)))
		tasks.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, d.patience)
			defer cancel()
			results[i] = d.send(ctx, q)
			results[i].EndOffset = time.Since(began)
		})
	}
	tasks.Wait()
	d.client.CloseIdleConnections()
	return results
}

func (d *Driver) address(q Request) string {
	callers := d.callers()
	return "http://" + callers[q.InstanceIndex%len(callers)]
}

// resends is how often a caller whose connection broke comes back, with the same
// key, through whichever instance the balancer gives it.
const resends = 2

func (d *Driver) send(ctx context.Context, q Request) Result {
	began := time.Now()
	for i := 0; ; i++ {
		q.InstanceIndex += i
		r := d.sendOnce(ctx, q, began)
		if !r.Failed || i == resends || ctx.Err() != nil {
			return r
		}
	}
}

func (d *Driver) sendOnce(ctx context.Context, q Request, began time.Time) Result {
	if q.Class.ModelRoute == "" {
		return d.call(ctx, q)
	}
	body, err := json.Marshal(map[string]any{"model": q.Class.ModelRoute, "prompt": q.Prompt, "stream": true})
	if err != nil {
		return Result{Request: q, Failed: true}
	}
	ctx, leave := context.WithCancel(ctx)
	defer leave()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, d.address(q)+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return Result{Request: q, Failed: true}
	}
	request.Header.Set("Idempotency-Key", q.IdempotencyKey)
	answer, err := d.client.Do(request)
	if err != nil {
		return Result{Request: q, Failed: true}
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return refused(q, answer)
	}
	return read(q, answer, began)
}

func refused(q Request, answer *http.Response) Result {
	return Result{
		Request: q, ID: figseam.RequestID(answer.Header.Get(gateway.HeaderRequestID)),
		Outcome: figseam.Outcome(answer.Header.Get(gateway.HeaderOutcome)),
		Reason:  answer.Header.Get(gateway.HeaderReason),
	}
}

// event is what is read of a streamed chunk.
type event struct {
	Choices []struct {
		Text   string  `json:"text"`
		Finish *string `json:"finish_reason"`
	} `json:"choices"`
	Error *struct {
		Code string `json:"code"`
	} `json:"error"`
}

// read takes a streamed answer and compares it with the right one.
func read(q Request, answer *http.Response, began time.Time) Result {
	r := Result{Request: q, ID: figseam.RequestID(answer.Header.Get(gateway.HeaderRequestID))}
	right := emulator.ExpectedAnswer(q.Prompt, q.AnswerTokens)
	tokens, last := 0, time.Time{}
	done := false
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			break
		}
		var e event
		if json.Unmarshal([]byte(data), &e) != nil || e.Error != nil || len(e.Choices) == 0 {
			break
		}
		now := time.Now()
		got := e.Choices[0].Text
		n := len(got) / figseam.BytesPerToken
		if !strings.HasPrefix(right[min(len(right), tokens*figseam.BytesPerToken):], got) {
			r.Incorrect = true
		}
		r.note(n, now, last, began)
		if n > 0 {
			last = now
		}
		tokens += n
		if q.AbandonAfterTokens > 0 && tokens >= q.AbandonAfterTokens {
			r.Abandoned = true
			return r
		}
	}
	r.Complete = done && tokens == q.AnswerTokens && !r.Incorrect
	r.Incorrect = r.Incorrect || (done && tokens != q.AnswerTokens)
	r.Failed = !r.Complete && !r.Incorrect
	return r
}

func (r *Result) note(tokens int, now, last, began time.Time) {
	if tokens == 0 {
		return
	}
	if last.IsZero() {
		r.FirstTokenMillis = float64(now.Sub(began).Microseconds()) / 1000
		return
	}
	gap := float64(now.Sub(last).Microseconds()) / 1000 / float64(tokens)
	for range tokens {
		r.InterTokenMillis = append(r.InterTokenMillis, gap)
	}
}

// call makes a service call.
func (d *Driver) call(ctx context.Context, q Request) Result {
	method := http.MethodGet
	if q.Class.NonIdempotent {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, method, d.address(q)+"/"+d.service+q.Class.ServicePath, strings.NewReader(q.IdempotencyKey))
	if err != nil {
		return Result{Request: q, Failed: true}
	}
	if q.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", q.IdempotencyKey)
	}
	answer, err := d.client.Do(request)
	if err != nil {
		return Result{Request: q, Failed: true}
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return refused(q, answer)
	}
	text, err := io.ReadAll(answer.Body)
	whole := err == nil && strings.Contains(string(text), q.Class.ServicePath)
	return Result{Request: q, Complete: whole, Failed: !whole}
}
