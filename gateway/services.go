package gateway

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/go-chi/chi/v5"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/dialer"
	"github.com/figseam/figseam/explainer"
	"github.com/figseam/figseam/forwarder"
)

// hopHeaders are the headers that concern one connection only, and those that
// this instance sets itself.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

func (c *CallerServer) serveService(w http.ResponseWriter, r *http.Request) {
	id := requestID(r)
	w.Header().Set(HeaderRequestID, string(id))
	request, refusal := c.readCall(w, r, id)
	if refusal == nil {
		if err := c.admitter.Admit(r.Context(), request.Account); err != nil {
			refusal = asRefusal(err)
		}
	}
	if refusal != nil {
		c.refuseCall(w, r, id, refusal)
		return
	}
	answer, err := c.forwarder.Forward(r.Context(), request)
	if err != nil {
		c.refuseCall(w, r, id, asRefusal(err))
		return
	}
	for _, h := range hopHeaders {
		answer.Header.Del(h)
	}
	for k, v := range answer.Header {
		w.Header()[k] = v
	}
	if answer.Replayed {
		w.Header().Set(HeaderReplayed, "true")
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
	c.observer.CountResponse()
}

func (c *CallerServer) refuseCall(w http.ResponseWriter, r *http.Request, id figseam.RequestID, refusal *figseam.Refusal) {
	c.noteRefusal(r, id, refusal)
	writeProblem(w, refusal)
}

func (c *CallerServer) readCall(w http.ResponseWriter, r *http.Request, id figseam.RequestID) (forwarder.Request, *figseam.Refusal) {
	config := c.config()
	if config == nil {
		return forwarder.Request{}, figseam.NewRefusal(explainer.NoConfig, "instance has no configuration yet")
	}
	service := chi.URLParam(r, "service")
	path := "/" + strings.TrimPrefix(strings.TrimPrefix(r.URL.EscapedPath(), "/"+url.PathEscape(service)), "/")
	route, ok := config.ServiceRoute(service, r.Method, path)
	if !ok {
		return forwarder.Request{}, figseam.NewRefusal(explainer.UnknownRoute, "no route leads to %s %s of service %q", r.Method, path, service)
	}
	key := r.Header.Get(keyHeader)
	if len(key) > maxKeyBytes {
		return forwarder.Request{}, figseam.NewRefusal(explainer.BadRequest, "header %s is over %d bytes", keyHeader, maxKeyBytes)
	}
	body, refusal := c.readBody(w, r)
	if refusal != nil {
		return forwarder.Request{}, refusal
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	header := r.Header.Clone()
	for _, h := range hopHeaders {
		header.Del(h)
	}
	return forwarder.Request{
		ID: id, Account: account(r), Service: config.Services[service], Route: route, IdempotencyKey: key,
		Call: dialer.ServiceCall{Method: r.Method, Path: path, Header: header, Body: body},
	}, nil
}
