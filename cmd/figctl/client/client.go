// Package client is an HTTP client for the operator address of an instance.
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
	"github.com/figseam/figseam/connector"
	"github.com/figseam/figseam/gateway"
	"github.com/figseam/figseam/publisher"
)

// requestTimeoutMillis bounds one request, including its response body.
const requestTimeoutMillis = 10_000

// Client sends requests to one instance.
type Client struct {
	address string
	http    http.Client
}

// New returns a client for an instance's operator address, which is HOST:PORT.
func New(address string) *Client {
	transport := connector.NewTransport(connector.TransportSettings{DialTimeoutMillis: requestTimeoutMillis})
	return &Client{address: "http://" + address, http: http.Client{Timeout: requestTimeoutMillis * time.Millisecond, Transport: transport}}
}

// RefusedError is a response with a status other than 200.
type RefusedError struct {
	Status  int
	Outcome figseam.Outcome `json:"outcome"`
	Code    figseam.Code    `json:"code"`
	Detail  string          `json:"detail"`
	gateway.FaultsResponse
}

// Error returns the status, the detail and the reason code in one line.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused with status %d: %s [%s]", e.Status, e.Detail, e.Code)
}

// ErrUnknownOutcome reports that no complete response arrived, so that the request may or
// may not have been executed.
var ErrUnknownOutcome = errors.New("no answer came, so the outcome is not known")

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (gateway.ConfigResponse, error) {
	return getJSON[gateway.ConfigResponse](ctx, c, "/v1/config")
}

// History returns the latest changes.
func (c *Client) History(ctx context.Context) ([]publisher.Delta, error) {
	return getJSON[[]publisher.Delta](ctx, c, "/v1/history")
}

// Instances returns the instance's view of the membership.
func (c *Client) Instances(ctx context.Context) ([]figseam.Member, error) {
	return getJSON[[]figseam.Member](ctx, c, "/v1/instances")
}

// Endpoints returns the endpoints and their states.
func (c *Client) Endpoints(ctx context.Context) ([]gateway.EndpointStatus, error) {
	return getJSON[[]gateway.EndpointStatus](ctx, c, "/v1/endpoints")
}

// Status returns the status of the instance.
func (c *Client) Status(ctx context.Context) (gateway.InstanceStatus, error) {
	return getJSON[gateway.InstanceStatus](ctx, c, "/v1/status")
}

// RolloutStatus returns the configuration versions in force on the instances and the
// instances that did not respond.
func (c *Client) RolloutStatus(ctx context.Context) (gateway.RolloutStatus, error) {
	return getJSON[gateway.RolloutStatus](ctx, c, "/v1/spread")
}

// Drain starts the graceful shutdown of the instance and returns its status.
func (c *Client) Drain(ctx context.Context) (gateway.InstanceStatus, error) {
	return roundTrip[gateway.InstanceStatus](ctx, c, http.MethodPost, "/v1/drain", nil)
}

// Publish sends a change and returns the version that it created.
func (c *Client) Publish(ctx context.Context, body gateway.ChangeBody) (gateway.ChangeResponse, error) {
	return roundTrip[gateway.ChangeResponse](ctx, c, http.MethodPost, "/v1/changes", body)
}

func getJSON[T any](ctx context.Context, c *Client, path string) (T, error) {
	return roundTrip[T](ctx, c, http.MethodGet, path, nil)
}

// roundTrip sends a request with a JSON body and decodes the response. The error is a
// *RefusedError for a status other than 200, and wraps ErrUnknownOutcome if no complete
// response arrived.
func roundTrip[T any](ctx context.Context, c *Client, method, path string, body any) (result T, err error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return result, err
	}
	request, err := http.NewRequestWithContext(ctx, method, c.address+path, bytes.NewReader(encoded))
	if err != nil {
		return result, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return result, eris.Wrap(errors.Join(ErrUnknownOutcome, err), path)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return result, eris.Wrap(errors.Join(ErrUnknownOutcome, err), path)
	}
	if response.StatusCode != http.StatusOK {
		refused := &RefusedError{}
		_ = json.Unmarshal(data, refused)
		_ = json.Unmarshal(data, &refused.FaultsResponse)
		refused.Status = response.StatusCode
		if refused.Code == "" {
			refused.Code = refused.FaultsResponse.Code
		}
		return result, refused
	}
	return result, json.Unmarshal(data, &result)
}
