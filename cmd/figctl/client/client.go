// Package client talks to the operators' address of an instance.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/gateway"
	"github.com/figseam/figseam/publisher"
)

// requestMillis bounds one request.
const requestMillis = 10_000

// Client is a client of one instance.
type Client struct {
	address string
	http    http.Client
}

// New returns a client for an instance's operators' address.
func New(address string) *Client {
	return &Client{address: "http://" + address, http: http.Client{Timeout: requestMillis * time.Millisecond}}
}

// RefusedError is an instance's refusal.
type RefusedError struct {
	Status  int
	Outcome figseam.Outcome `json:"outcome"`
	Code    figseam.Code    `json:"code"`
	Detail  string          `json:"detail"`
	gateway.FaultsResponse
}

// Error tells the reason in one line.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused with status %d: %s [%s]", e.Status, e.Detail, e.Code)
}

// ErrUnknownOutcome means that the outcome of a request is not known.
var ErrUnknownOutcome = errors.New("no answer came, so the outcome is not known")

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (gateway.ConfigResponse, error) {
	return get[gateway.ConfigResponse](ctx, c, "/v1/config")
}

// History returns the latest changes.
func (c *Client) History(ctx context.Context) ([]publisher.Delta, error) {
	return get[[]publisher.Delta](ctx, c, "/v1/history")
}

// Instances returns the members that the instance knows.
func (c *Client) Instances(ctx context.Context) ([]figseam.Member, error) {
	return get[[]figseam.Member](ctx, c, "/v1/instances")
}

// Endpoints returns the endpoints and their states.
func (c *Client) Endpoints(ctx context.Context) ([]gateway.EndpointStatus, error) {
	return get[[]gateway.EndpointStatus](ctx, c, "/v1/endpoints")
}

// Status returns what the instance says of itself.
func (c *Client) Status(ctx context.Context) (gateway.InstanceStatus, error) {
	return get[gateway.InstanceStatus](ctx, c, "/v1/status")
}

// ConfigVersions returns the versions in force on all instances.
func (c *Client) ConfigVersions(ctx context.Context) (gateway.RolloutStatus, error) {
	return get[gateway.RolloutStatus](ctx, c, "/v1/spread")
}

// Drain makes the instance leave.
func (c *Client) Drain(ctx context.Context) (gateway.InstanceStatus, error) {
	return exchange[gateway.InstanceStatus](ctx, c, http.MethodPost, "/v1/drain", nil)
}

// Publish sends a change.
func (c *Client) Publish(ctx context.Context, body gateway.ChangeBody) (gateway.ChangeResponse, error) {
	return exchange[gateway.ChangeResponse](ctx, c, http.MethodPost, "/v1/changes", body)
}

func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	return exchange[T](ctx, c, http.MethodGet, path, nil)
}

func exchange[T any](ctx context.Context, c *Client, method, path string, body any) (result T, err error) {
	text, err := json.Marshal(body)
	if err != nil {
		return result, err
	}
	request, err := http.NewRequestWithContext(ctx, method, c.address+path, bytes.NewReader(text))
	if err != nil {
		return result, err
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := c.http.Do(request)
	if err != nil {
		return result, eris.Wrap(errors.Join(ErrUnknownOutcome, err), path)
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return result, eris.Wrap(errors.Join(ErrUnknownOutcome, err), path)
	}
	if answer.StatusCode != http.StatusOK {
		refused := &RefusedError{}
		_ = json.Unmarshal(data, refused)
		_ = json.Unmarshal(data, &refused.FaultsResponse)
		refused.Status = answer.StatusCode
		if refused.Code == "" {
			refused.Code = refused.FaultsResponse.Code
		}
		return result, refused
	}
	return result, json.Unmarshal(data, &result)
}
