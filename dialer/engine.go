package dialer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/figseam/figseam"
)

// maxAnswerBytes bounds every engine answer but streams.
const maxAnswerBytes = 1 << 20

// Dialer makes engines that share one HTTP client. It implements
// [figseam.Dialer].
type Dialer struct {
	client *http.Client
}

// New returns a Dialer that uses client for every call. The client must have
// no timeout of its own, since streams last as long as the answers do.
func New(client *http.Client) *Dialer {
	return &Dialer{client: client}
}

// Engine returns the engine at the endpoint's address.
func (d *Dialer) Engine(endpoint figseam.Endpoint) figseam.Engine {
	return &engine{client: d.client, address: endpoint.Address}
}

type engine struct {
	client  *http.Client
	address string
}

func (e *engine) Prefill(ctx context.Context, order figseam.PrefillParams) (result figseam.PrefillResult, err error) {
	defer func() { err = eris.Wrap(err, "prefill") }()
	var answer PrefillResponse
	body := PrefillRequest{
		Request: order.Request, Attempt: order.Attempt, Model: order.Model,
		Prompt: order.Prompt, Answer: order.GeneratedText, Priority: order.Priority,
	}
	if err := e.exchange(ctx, http.MethodPost, PathPrefill, body, &answer); err != nil {
		return figseam.PrefillResult{}, err
	}
	if answer.Attempt != order.Attempt || answer.Tokens < 1 || answer.Cached < 0 || answer.Cached > answer.Tokens {
		return figseam.PrefillResult{}, figseam.ErrProtocol
	}
	return figseam.PrefillResult{
		Attempt: answer.Attempt, PromptTokens: answer.Tokens, CachedTokens: answer.Cached,
		ExpiresAt: figseam.DeadlineAfterMillis(answer.HoldMillis),
	}, nil
}

func (e *engine) Decode(ctx context.Context, order figseam.DecodeParams) (s figseam.ChunkStream, err error) {
	defer func() { err = eris.Wrap(err, "decode") }()
	body := DecodeRequest{
		Request: order.Request, Attempt: order.Attempt, Model: order.Model, Source: order.PrefillAddress,
		Offset: order.Offset, MaxTokens: order.MaxTokens, Priority: order.Priority,
	}
	answer, err := e.send(ctx, http.MethodPost, PathDecode, body)
	if err != nil {
		return nil, err
	}
	return newStream(answer.Body, order.Attempt), nil
}

func (e *engine) Resume(ctx context.Context, attempt figseam.AttemptID, offset int) (s figseam.ChunkStream, err error) {
	defer func() { err = eris.Wrap(err, "resume") }()
	path := PathAttempts + url.PathEscape(string(attempt)) + PathStream + "?offset=" + strconv.Itoa(offset)
	answer, err := e.send(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	return newStream(answer.Body, attempt), nil
}

func (e *engine) Cancel(ctx context.Context, attempt figseam.AttemptID) (err error) {
	defer func() { err = eris.Wrap(err, "cancel") }()
	err = e.exchange(ctx, http.MethodDelete, PathAttempts+url.PathEscape(string(attempt)), nil, nil)
	if errors.Is(err, figseam.ErrAttemptNotFound) {
		return nil
	}
	return err
}

func (e *engine) Load(ctx context.Context, attempts bool) (report figseam.LoadReport, err error) {
	defer func() { err = eris.Wrap(err, "load report") }()
	path := PathLoad
	if attempts {
		path += "?attempts=1"
	}
	var body LoadResponse
	if err := e.exchange(ctx, http.MethodGet, path, nil, &body); err != nil {
		return figseam.LoadReport{}, err
	}
	if attempts && body.Attempts == nil {
		body.Attempts = []figseam.AttemptID{}
	}
	return figseam.LoadReport(body), nil
}

func (e *engine) CacheEvents(ctx context.Context, after uint64) (page figseam.CachePage, err error) {
	defer func() { err = eris.Wrap(err, "cache events") }()
	var body CacheEventsResponse
	path := PathCache + "?after=" + strconv.FormatUint(after, 10)
	if err := e.exchange(ctx, http.MethodGet, path, nil, &body); err != nil {
		return figseam.CachePage{}, err
	}
	page = figseam.CachePage{NextSequence: body.Next, Gap: body.Gap}
	for _, l := range body.Events {
		page.Events = append(page.Events, figseam.CacheEvent(l))
	}
	return page, nil
}

func (e *engine) Reconfigure(ctx context.Context, order figseam.EngineReconfig) (err error) {
	defer func() { err = eris.Wrap(err, "engine order") }()
	return e.exchange(ctx, http.MethodPost, PathOrders, OrderRequest(order), nil)
}

// exchange sends a body and decodes a bounded answer into target.
func (e *engine) exchange(ctx context.Context, method, path string, body, target any) error {
	answer, err := e.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes+1))
	if err != nil {
		return err
	}
	if target == nil {
		return nil
	}
	if len(text) > maxAnswerBytes || json.Unmarshal(text, target) != nil {
		return figseam.ErrProtocol
	}
	return nil
}

// send returns an answer with a good status; its body is to be closed.
func (e *engine) send(ctx context.Context, method, path string, body any) (*http.Response, error) {
	var text []byte
	if body != nil {
		var err error
		if text, err = json.Marshal(body); err != nil {
			return nil, err
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, e.address+path, bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := e.client.Do(request)
	if err != nil {
		return nil, err
	}
	if answer.StatusCode/100 == 2 {
		return answer, nil
	}
	defer func() { _ = answer.Body.Close() }()
	return nil, refusal(answer)
}

func refusal(answer *http.Response) error {
	var body ErrorResponse
	_ = json.NewDecoder(io.LimitReader(answer.Body, maxAnswerBytes)).Decode(&body)
	switch body.Error {
	case ErrorFull:
		return figseam.ErrEngineFull
	case ErrorNotHeld:
		return figseam.ErrAttemptNotFound
	case ErrorLeaving:
		return figseam.ErrEngineDraining
	case ErrorStaleFence:
		return figseam.ErrStaleFence
	default:
		return fmt.Errorf("%w: status %d", figseam.ErrProtocol, answer.StatusCode)
	}
}
