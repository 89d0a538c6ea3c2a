package gateway

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/dialer"
	"github.com/figseam/figseam/explainer"
	"github.com/figseam/figseam/forwarder"
)

// strippedHeaders are the headers that are not forwarded in either direction: the
// hop-by-hop headers, and Content-Length and Expect, which the HTTP client and server
// handle separately for each connection.
var strippedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

func (c *CallerServer) serveServiceCall(w http.ResponseWriter, r *http.Request) {
	id := requestID(r)
	w.Header().Set(HeaderRequestID, string(id))
	request, refusal := c.readServiceCall(w, r, id)
	if refusal == nil {
		if err := c.admitter.Admit(r.Context(), request.Account); err != nil {
			refusal = asRefusal(err)
		}
	}
	if refusal != nil {
		c.refuseServiceCall(w, r, id, refusal)
		return
	}
	response, err := c.forwarder.Forward(r.Context(), request)
	if err != nil {
		c.refuseServiceCall(w, r, id, asRefusal(err))
		return
	}
	for _, h := range strippedHeaders {
		response.Header.Del(h)
	}
	for k, v := range response.Header {
		w.Header()[k] = v
	}
	if response.Replayed {
		w.Header().Set(HeaderReplayed, "true")
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
	c.observer.CountResponse()
}

// refuseServiceCall records a refusal and sends it as a problem detail.
func (c *CallerServer) refuseServiceCall(w http.ResponseWriter, r *http.Request, id figseam.RequestID, refusal *figseam.Refusal) {
	c.recordRefusal(r, id, refusal)
	writeProblem(w, refusal)
}

// splitServicePath splits the escaped path of a service call into the name of the service, not
// escaped, and the path at the service, which remains as the caller sent it.
func splitServicePath(escaped string) (service, path string) {
	first, rest, _ := strings.Cut(strings.TrimPrefix(escaped, "/"), "/")
	service, err := url.PathUnescape(first)
	if err != nil {
		service = first
	}
	return service, "/" + rest
}

// readServiceCall reads and validates a service call and finds its route.
func (c *CallerServer) readServiceCall(w http.ResponseWriter, r *http.Request, id figseam.RequestID) (forwarder.Request, *figseam.Refusal) {
	config := c.config()
	if config == nil {
		return forwarder.Request{}, figseam.NewRefusal(explainer.NoConfig, "instance has no configuration yet")
	}
	service, path := splitServicePath(r.URL.EscapedPath())
	route, ok := config.ServiceRoute(service, r.Method, path)
	if !ok {
		return forwarder.Request{}, figseam.NewRefusal(explainer.UnknownRoute, "no route leads to %s %s of service %q", r.Method, path, service)
	}
	key := r.Header.Get(idempotencyKeyHeader)
	if len(key) > maxKeyBytes {
		return forwarder.Request{}, figseam.NewRefusal(explainer.BadRequest, "header %s is over %d bytes", idempotencyKeyHeader, maxKeyBytes)
	}
	body, refusal := c.readBody(w, r)
	if refusal != nil {
		return forwarder.Request{}, refusal
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	header := r.Header.Clone()
	for _, h := range strippedHeaders {
		header.Del(h)
	}
	return forwarder.Request{
		ID: id, Account: accountOf(r), Service: config.Services[service], Route: route, IdempotencyKey: key,
		Call: dialer.ServiceCall{Method: r.Method, Path: path, Header: header, Body: body},
	}, nil
}
