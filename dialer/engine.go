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

// maxEngineResponseBytes bounds an engine response that is not a stream.
const maxEngineResponseBytes = 1 << 20

// Dialer returns engines that share one HTTP client. It implements [figseam.Dialer].
type Dialer struct {
	client *http.Client
}

// New returns a Dialer that uses client for every call. The client must have no timeout,
// since a stream lasts as long as the generation.
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

func (e *engine) Prefill(ctx context.Context, params figseam.PrefillParams) (result figseam.PrefillResult, err error) {
	defer func() { err = eris.Wrap(err, "prefill") }()
	var response PrefillResponse
	body := PrefillRequest{
		Request: params.Request, Attempt: params.Attempt, Model: params.Model,
		Prompt: params.Prompt, GeneratedText: params.GeneratedText, Priority: params.Priority,
	}
	if err := e.roundTrip(ctx, http.MethodPost, PathPrefill, body, &response); err != nil {
		return figseam.PrefillResult{}, err
	}
	if response.Attempt != params.Attempt || response.Tokens < 1 || response.Cached < 0 || response.Cached > response.Tokens {
		return figseam.PrefillResult{}, figseam.ErrProtocol
	}
	return figseam.PrefillResult{
		Attempt: response.Attempt, PromptTokens: response.Tokens, CachedTokens: response.Cached,
		ExpiresAt: figseam.DeadlineAfterMillis(response.HoldMillis),
	}, nil
}

func (e *engine) Decode(ctx context.Context, params figseam.DecodeParams) (s figseam.ChunkStream, err error) {
	defer func() { err = eris.Wrap(err, "decode") }()
	body := DecodeRequest{
		Request: params.Request, Attempt: params.Attempt, Model: params.Model, PrefillAddress: params.PrefillAddress,
		Offset: params.Offset, MaxTokens: params.MaxTokens, Priority: params.Priority,
	}
	response, err := e.send(ctx, http.MethodPost, PathDecode, body)
	if err != nil {
		return nil, err
	}
	return newStream(response.Body, params.Attempt), nil
}

func (e *engine) Resume(ctx context.Context, attempt figseam.AttemptID, offset int) (s figseam.ChunkStream, err error) {
	defer func() { err = eris.Wrap(err, "resume") }()
	path := PathAttempts + url.PathEscape(string(attempt)) + PathStream + "?offset=" + strconv.Itoa(offset)
	response, err := e.send(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	return newStream(response.Body, attempt), nil
}

func (e *engine) Cancel(ctx context.Context, attempt figseam.AttemptID) (err error) {
	defer func() { err = eris.Wrap(err, "cancel") }()
	err = e.confirm(ctx, http.MethodDelete, PathAttempts+url.PathEscape(string(attempt)), nil)
	if errors.Is(err, figseam.ErrAttemptNotFound) {
		return nil
	}
	return err
}

func (e *engine) Load(ctx context.Context, withAttempts bool) (report figseam.LoadReport, err error) {
	defer func() { err = eris.Wrap(err, "load report") }()
	path := PathLoad
	if withAttempts {
		path += "?attempts=1"
	}
	var body LoadResponse
	if err := e.roundTrip(ctx, http.MethodGet, path, nil, &body); err != nil {
		return figseam.LoadReport{}, err
	}
	if withAttempts && body.Attempts == nil {
		body.Attempts = []figseam.AttemptID{}
	}
	return figseam.LoadReport(body), nil
}

func (e *engine) CacheEvents(ctx context.Context, after uint64) (page figseam.CachePage, err error) {
	defer func() { err = eris.Wrap(err, "cache events") }()
	var body CacheEventsResponse
	path := PathCache + "?after=" + strconv.FormatUint(after, 10)
	if err := e.roundTrip(ctx, http.MethodGet, path, nil, &body); err != nil {
		return figseam.CachePage{}, err
	}
	page = figseam.CachePage{NextSequence: body.Next, Gap: body.Gap}
	for _, event := range body.Events {
		page.Events = append(page.Events, figseam.CacheEvent(event))
	}
	return page, nil
}

func (e *engine) Reconfigure(ctx context.Context, params figseam.EngineReconfig) (err error) {
	defer func() { err = eris.Wrap(err, "reconfigure engine") }()
	return e.confirm(ctx, http.MethodPost, PathReconfigure, ReconfigRequest(params))
}

// roundTrip sends a request and decodes the response into target. A response of more
// than maxEngineResponseBytes is an error.
func (e *engine) roundTrip(ctx context.Context, method, path string, body, target any) error {
	response, err := e.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	text, err := readWhole(response)
	if err != nil {
		return err
	}
	if json.Unmarshal(text, target) != nil {
		return figseam.ErrProtocol
	}
	return nil
}

// confirm sends a request whose response only says that it was carried out. It uses a new
// connection: on a kept one the confirmation of an earlier request, sent once more, could
// not be distinguished from its own.
func (e *engine) confirm(ctx context.Context, method, path string, body any) error {
	request, err := e.newRequest(ctx, method, path, body)
	if err != nil {
		return err
	}
	request.Close = true
	response, err := e.do(request)
	if err != nil {
		return err
	}
	_, err = readWhole(response)
	return err
}

// readWhole reads and closes the body of a response. A body of more than maxEngineResponseBytes
// is an error.
func readWhole(response *http.Response) (text []byte, err error) {
	defer func() { _ = response.Body.Close() }()
	text, err = io.ReadAll(io.LimitReader(response.Body, maxEngineResponseBytes+1))
	if err == nil && len(text) > maxEngineResponseBytes {
		err = figseam.ErrProtocol
	}
	return text, err
}

// send sends a request and returns a response with a 2xx status, whose body the caller
// must close.
func (e *engine) send(ctx context.Context, method, path string, body any) (*http.Response, error) {
	request, err := e.newRequest(ctx, method, path, body)
	if err != nil {
		return nil, err
	}
	return e.do(request)
}

// newRequest returns a request with a JSON body; without a body if it is nil.
func (e *engine) newRequest(ctx context.Context, method, path string, body any) (*http.Request, error) {
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
	return request, nil
}

// do is like send for a request that has been created.
func (e *engine) do(request *http.Request) (*http.Response, error) {
	response, err := e.client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode/100 == 2 {
		return response, nil
	}
	return nil, responseError(response)
}

// responseError maps an engine's error response to an error. A response that is not complete
// says nothing about what the engine did.
func responseError(response *http.Response) error {
	text, err := readWhole(response)
	if err != nil {
		return err
	}
	var body ErrorResponse
	_ = json.Unmarshal(text, &body)
	switch body.Error {
	case ErrorFull:
		return figseam.ErrEngineFull
	case ErrorAttemptNotFound:
		return figseam.ErrAttemptNotFound
	case ErrorDraining:
		return figseam.ErrEngineDraining
	case ErrorStaleFence:
		return figseam.ErrStaleFence
	default:
		return fmt.Errorf("%w: status %d", figseam.ErrProtocol, response.StatusCode)
	}
}
