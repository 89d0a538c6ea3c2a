package relayer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/connector"
	"github.com/figseam/figseam/explainer"
	"github.com/figseam/figseam/quarantiner"
	"github.com/figseam/figseam/selector"
)

// stream is one attempt whose response is a stream of server-sent events.
type stream struct {
	*task
	endpoint figseam.ListedEndpoint
	inFlight *selector.InFlightRequest
	// inFlightPrefill is the prefill that the decode engine does itself; nil if there is
	// none or once it is over.
	inFlightPrefill *selector.InFlightRequest
	// firstEventTimeoutMillis is the timeout for the first event if the request may be
	// retried at another endpoint.
	firstEventTimeoutMillis int64
	answer                  quarantiner.AnswerProgress
	// status and logCode are logged for a request that ended with this attempt.
	status  int
	logCode figseam.Code
}

// run sends the request and relays events until the stream is complete. The code is
// empty if the whole response was relayed; otherwise it is the reason why not.
func (s *stream) run(ctx context.Context, call figseam.EndpointCall) (code figseam.Code) {
	endpointResult := selector.ResultFailure
	defer func() { s.inFlight.Finish(endpointResult) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := s.watchEvents(cancel)
	defer watch.stop()
	response, head, code := s.send(ctx, call)
	s.mayHaveRun = s.mayHaveRun || (!unsent(code) && code != explainer.EndpointRejected)
	s.recordLoad(head)
	if response != nil {
		defer response.Close()
		s.inFlight.RecordResponse()
	}
	if code != "" {
		endpointResult = resultOf(code)
		s.recordLoss(ctx, call.Endpoint, code)
		return code
	}
	if response.Status >= http.StatusMultipleChoices {
		return s.relayFailure(ctx, response)
	}
	if !head.Signed || !s.continues(response) {
		return explainer.InvalidResponse
	}
	code = s.relayEvents(ctx, response, watch)
	endpointResult = resultOf(code)
	s.recordAnswerEnd(ctx, code)
	s.status, s.logCode = response.Status, explainer.ResponseRelayed
	return code
}

// continues reports whether a success can go on with what the caller already has of the stream: an
// answer of another status or media type is no part of it. It is true if the caller has nothing.
func (s *stream) continues(r *connector.Response) bool {
	if !s.wroteHeader {
		return true
	}
	return r.Status == s.relayedStatus && mediaType(r.Header) == mediaType(s.writer.Header())
}

// mediaType returns the media type of a response without its parameters.
func mediaType(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// relayFailure relays an endpoint's error response. It returns EndpointFailed instead if
// the request may be retried, or if the response header has already been written.
func (s *stream) relayFailure(ctx context.Context, r *connector.Response) figseam.Code {
	if s.route.Semantics.Retryable() && r.Status >= http.StatusInternalServerError &&
		s.attempts+1 < s.route.MaxAttempts && s.Budget.Remaining(s.service) >= 1 {
		return explainer.EndpointFailed
	}
	body, code := s.readWhole(ctx, r)
	if code != "" {
		return code
	}
	defer body.Release()
	if s.wroteHeader {
		return explainer.EndpointFailed
	}
	s.status, s.logCode = r.Status, explainer.FailureResponseRelayed
	s.copyHeader(r.Header)
	s.writer.Header().Set("Content-Length", strconv.Itoa(body.Len()))
	s.wroteHeader = true
	s.writer.WriteHeader(r.Status)
	_, _ = body.WriteTo(s.writer)
	return ""
}

// relayEvents relays each event once it is complete. If the caller has the beginning of the stream, it
// relays nothing but events.
func (s *stream) relayEvents(ctx context.Context, r *connector.Response, watch *eventWatch) figseam.Code {
	reader := newEventReader(r, s.responseMemory)
	defer reader.release()
	continued := s.wroteHeader
	for {
		event, err := reader.next()
		if errors.Is(err, io.EOF) {
			return s.finishResponse(r, event)
		}
		if err != nil {
			return errorCode(ctx, err)
		}
		if continued && !isEvent(event) {
			return explainer.InvalidResponse
		}
		if hasData(event) {
			watch.reset(s.eventTimeoutMillis())
			s.inFlight.RecordResponse()
			s.recordEvent()
			s.finishPrefill()
		}
		if !s.relayEvent(r, event) {
			return explainer.CallerDisconnected
		}
		if reader.buffered() == 0 && s.control.Flush() != nil {
			return explainer.CallerDisconnected
		}
	}
}

// finishPrefill records the end of the decode engine's own prefill.
func (s *stream) finishPrefill() {
	if s.inFlightPrefill != nil {
		s.inFlightPrefill.Finish(selector.ResultIgnored)
		s.inFlightPrefill = nil
	}
}

// relayEvent writes an event, unless the caller already has it. It reports false if the
// caller has disconnected.
func (s *stream) relayEvent(r *connector.Response, event []byte) bool {
	id, ok := eventID(event)
	if ok && id <= s.request.LastEventID {
		return true
	}
	s.writeHeader(r)
	if _, err := s.writer.Write(event); err != nil {
		return false
	}
	if ok {
		s.request = s.request.WithLastEventID(id)
	}
	return true
}

// writeHeader writes the response header before the first event and observes the time
// from the request's arrival until then.
func (s *stream) writeHeader(r *connector.Response) {
	if s.wroteHeader {
		return
	}
	s.wroteHeader, s.relayedStatus = true, r.Status
	s.copyHeader(r.Header)
	s.writer.WriteHeader(r.Status)
	took := time.Since(s.began)
	s.firstEventMillis = took.Milliseconds()
	s.Meter.ObserveFirstEventLatency(took)
}

// finishResponse ends a stream. The stream broke if there are bytes after the last complete
// event, or if only the end of the connection shows its end and no event came; the code is
// ConnectionLost in that case.
func (s *stream) finishResponse(r *connector.Response, remainder []byte) figseam.Code {
	empty := !s.answer.Started()
	if len(bytes.TrimSpace(remainder)) > 0 || (empty && !r.SelfDelimiting) {
		return explainer.ConnectionLost
	}
	s.writeHeader(r)
	if s.control.Flush() != nil {
		return explainer.CallerDisconnected
	}
	return ""
}

// logLevel returns the level at which a response with the status is logged.
func logLevel(status int) zerolog.Level {
	if status >= http.StatusInternalServerError {
		return zerolog.WarnLevel
	}
	return zerolog.InfoLevel
}
