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

// Latency targets of an interactive answer. The target for the time between tokens
// applies to the mean.
const (
	FirstTokenTargetMillis = 1300
	InterTokenTargetMillis = 25
)

// Result is the result of a request.
type Result struct {
	Request Request
	ID      figseam.RequestID
	// Complete reports that the whole answer was received and is correct, Incorrect that
	// any part of it differs from the expected answer.
	Complete  bool
	Incorrect bool
	// Abandoned reports that the caller disconnected early, as the request specified.
	Abandoned bool
	// Outcome and Reason are those of a refusal. Failed reports that the request ended in
	// none of the ways above, for example by a broken connection.
	Outcome figseam.Outcome
	Reason  string
	Failed  bool
	// FirstTokenMillis is the time to the first token, from the first send of the request.
	// InterTokenMillis holds the times between tokens; a chunk with several tokens counts
	// as equally spaced tokens.
	FirstTokenMillis float64
	InterTokenMillis []float64
	// EndOffset is the time from the start of the load to the end of the request.
	EndOffset time.Duration
}

// MeetsTargets reports whether the answer is complete and met both latency targets. A
// request without a deadline has no targets.
func (r Result) MeetsTargets() bool {
	if !r.Complete {
		return false
	}
	if r.Request.Class.NoDeadline {
		return true
	}
	return r.FirstTokenMillis <= FirstTokenTargetMillis && r.meanInterTokenMillis() <= InterTokenTargetMillis
}

func (r Result) meanInterTokenMillis() float64 {
	if len(r.InterTokenMillis) == 0 {
		return 0
	}
	sum := 0.0
	for _, millis := range r.InterTokenMillis {
		sum += millis
	}
	return sum / float64(len(r.InterTokenMillis))
}

// Driver sends requests to instances.
type Driver struct {
	client          *http.Client
	callerAddresses func() []string
	serviceName     string
	// requestTimeout bounds one request, its resends included.
	requestTimeout time.Duration
}

// New returns a driver. callerAddresses returns the caller addresses of the instances
// to which the platform's load balancer currently sends requests; it must return at
// least one. All service calls go to the service serviceName.
func New(callerAddresses func() []string, serviceName string, requestTimeout time.Duration) *Driver {
	return &Driver{
		client:          &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}},
		callerAddresses: callerAddresses, serviceName: serviceName, requestTimeout: requestTimeout,
	}
}

// Run sends every request at its arrival offset, without waiting for earlier ones, and
// returns the results in the order of the requests.
func (d *Driver) Run(ctx context.Context, requests []Request) []Result {
	results := make([]Result, len(requests))
	var pending sync.WaitGroup
	start := time.Now()
	for i, q := range requests {
		time.Sleep(time.Until(start.Add(q.ArrivalOffset)))
		pending.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, d.requestTimeout)
			defer cancel()
			results[i] = d.sendWithResends(ctx, q)
			results[i].EndOffset = time.Since(start)
		})
	}
	pending.Wait()
	d.client.CloseIdleConnections()
	return results
}

// instanceURL returns the base URL of the instance that receives q.
func (d *Driver) instanceURL(q Request) string {
	addresses := d.callerAddresses()
	return "http://" + addresses[q.InstanceIndex%len(addresses)]
}

// maxResends is the maximum number of resends of a failed request. A resend keeps the
// idempotency key and changes the instance index, as a load balancer may select any
// instance.
const maxResends = 2

// sendWithResends sends a request and resends it up to maxResends times while it fails.
func (d *Driver) sendWithResends(ctx context.Context, q Request) Result {
	start := time.Now()
	for i := 0; ; i++ {
		q.InstanceIndex += i
		r := d.sendOnce(ctx, q, start)
		if !r.Failed || i == maxResends || ctx.Err() != nil {
			return r
		}
	}
}

// sendOnce sends a request. start is the time of the first send.
func (d *Driver) sendOnce(ctx context.Context, q Request, start time.Time) Result {
	if q.Class.ModelRoute == "" {
		return d.callService(ctx, q)
	}
	body, err := json.Marshal(map[string]any{"model": q.Class.ModelRoute, "prompt": q.Prompt, "stream": true})
	if err != nil {
		return Result{Request: q, Failed: true}
	}
	ctx, disconnect := context.WithCancel(ctx)
	defer disconnect()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, d.instanceURL(q)+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return Result{Request: q, Failed: true}
	}
	request.Header.Set("Idempotency-Key", q.IdempotencyKey)
	response, err := d.client.Do(request)
	if err != nil {
		return Result{Request: q, Failed: true}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return refusedResult(q, response)
	}
	return readStream(q, response, start)
}

// refusedResult returns the result for a response other than 200 OK.
func refusedResult(q Request, response *http.Response) Result {
	return Result{
		Request: q, ID: figseam.RequestID(response.Header.Get(gateway.HeaderRequestID)),
		Outcome: figseam.Outcome(response.Header.Get(gateway.HeaderOutcome)),
		Reason:  response.Header.Get(gateway.HeaderReason),
	}
}

// streamChunk holds the decoded fields of one chunk of a streamed answer.
type streamChunk struct {
	Choices []struct {
		Text   string  `json:"text"`
		Finish *string `json:"finish_reason"`
	} `json:"choices"`
	Error *struct {
		Code string `json:"code"`
	} `json:"error"`
}

// readStream reads a streamed answer and compares it with the expected one. start is the
// time of the first send.
func readStream(q Request, response *http.Response, start time.Time) Result {
	r := Result{Request: q, ID: figseam.RequestID(response.Header.Get(gateway.HeaderRequestID))}
	expected := emulator.ExpectedAnswer(q.Prompt, q.AnswerTokens)
	tokens, last := 0, time.Time{}
	done := false
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			break
		}
		var chunk streamChunk
		if json.Unmarshal([]byte(data), &chunk) != nil || chunk.Error != nil || len(chunk.Choices) == 0 {
			break
		}
		now := time.Now()
		text := chunk.Choices[0].Text
		n := len(text) / figseam.BytesPerToken
		if !strings.HasPrefix(expected[min(len(expected), tokens*figseam.BytesPerToken):], text) {
			r.Incorrect = true
		}
		r.recordTokens(n, now, last, start)
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

// recordTokens records the latencies of tokens that arrived at now in one chunk. last is
// the arrival of the previous chunk with tokens, or zero.
func (r *Result) recordTokens(tokens int, now, last, start time.Time) {
	if tokens == 0 {
		return
	}
	if last.IsZero() {
		r.FirstTokenMillis = float64(now.Sub(start).Microseconds()) / 1000
		return
	}
	interTokenMillis := float64(now.Sub(last).Microseconds()) / 1000 / float64(tokens)
	for range tokens {
		r.InterTokenMillis = append(r.InterTokenMillis, interTokenMillis)
	}
}

// callService sends a service call. The result is complete if the response body contains
// the path of the call, as the emulated service returns the path.
func (d *Driver) callService(ctx context.Context, q Request) Result {
	method := http.MethodGet
	if q.Class.NonIdempotent {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, method, d.instanceURL(q)+"/"+d.serviceName+q.Class.ServicePath, strings.NewReader(q.IdempotencyKey))
	if err != nil {
		return Result{Request: q, Failed: true}
	}
	if q.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", q.IdempotencyKey)
	}
	response, err := d.client.Do(request)
	if err != nil {
		return Result{Request: q, Failed: true}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return refusedResult(q, response)
	}
	data, err := io.ReadAll(response.Body)
	complete := err == nil && strings.Contains(string(data), q.Class.ServicePath)
	return Result{Request: q, Complete: complete, Failed: !complete}
}
