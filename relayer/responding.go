package relayer

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/explainer"
	"github.com/figseam/figseam/limiter"
)

const (
	// unconfiguredRetryMillis is the least Retry-After delay of an instance that has no
	// table yet.
	unconfiguredRetryMillis = 500
	// busyRetryMillis is the least Retry-After delay of any other 503 refusal: memory
	// may be free again by then.
	busyRetryMillis = 60
)

// refuse writes a refusal. If a response header has already been written, it aborts the
// connection instead.
func (t *task) refuse(status int, code figseam.Code) {
	if t.wroteHeader {
		t.abort(code)
		return
	}
	h := t.writer.Header()
	if status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		millis := busyRetryMillis
		if code == explainer.NoConfig {
			millis = unconfiguredRetryMillis
		}
		millis = max(millis, int(t.retryAfterMillis))
		h.Set("Retry-After", strconv.FormatFloat(float64(millis)/1000, 'f', 3, 64))
	}
	if t.request.ID != "" {
		h.Set(t.Codec.RequestIDHeader(), string(t.request.ID))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	t.closeAfterResponse(h)
	body := string(code) + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	t.writer.WriteHeader(status)
	_, _ = t.writer.Write([]byte(body))
	t.logRequest(zerolog.WarnLevel, code, status)
}

// refuseFailed refuses a request without a complete response: with status 503 if it
// certainly did not run, with 502 otherwise.
func (t *task) refuseFailed(code figseam.Code) {
	if t.mayHaveRun {
		t.refuse(http.StatusBadGateway, code)
		return
	}
	t.refuse(http.StatusServiceUnavailable, code)
}

// finishFailed ends a request without a complete response. It refuses the request, or
// closes the connection if the caller has disconnected.
func (t *task) finishFailed(code figseam.Code) {
	switch code {
	case explainer.CallerDisconnected:
		t.abortDisconnected()
	case explainer.DeadlineExceeded:
		t.refuseExpired()
	case explainer.KeyRejected:
		t.refuse(http.StatusUnauthorized, code)
	default:
		t.refuseFailed(code)
	}
}

// refuseExpired refuses a request whose deadline has passed: with status 503 if it
// certainly did not run, with 504 otherwise.
func (t *task) refuseExpired() {
	if t.mayHaveRun {
		t.refuse(http.StatusGatewayTimeout, explainer.DeadlineExceeded)
		return
	}
	t.refuse(http.StatusServiceUnavailable, explainer.DeadlineExceeded)
}

// abort closes the caller's connection, so that a partial response cannot be taken for
// a complete one.
func (t *task) abort(code figseam.Code) {
	t.logRequest(zerolog.WarnLevel, code, 0)
	panic(http.ErrAbortHandler)
}

// abortDisconnected ends a request whose caller disconnected. It closes the connection: a caller
// that has only closed its sending side would otherwise read the end that net/http writes, an
// empty response with status 200 or the last chunk of a stream.
func (t *task) abortDisconnected() {
	t.logRequest(zerolog.InfoLevel, explainer.CallerDisconnected, 0)
	panic(http.ErrAbortHandler)
}

// bufferedResponse is a response that was read completely.
type bufferedResponse struct {
	status int
	header http.Header
	// body is nil if the response was not read completely.
	body *limiter.Body
}

// release frees the memory of the body.
func (r bufferedResponse) release() {
	if r.body != nil {
		r.body.Release()
	}
}

// writeResponse relays an endpoint's response to the caller and logs the request with
// the code.
func (t *task) writeResponse(r bufferedResponse, code figseam.Code) {
	t.copyHeader(r.header)
	t.writer.Header().Set("Content-Length", strconv.Itoa(r.body.Len()))
	t.wroteHeader = true
	t.writer.WriteHeader(r.status)
	if _, err := r.body.WriteTo(t.writer); err != nil {
		t.abortDisconnected()
	}
	level := zerolog.InfoLevel
	if r.status >= http.StatusInternalServerError {
		level = zerolog.WarnLevel
	}
	t.logRequest(level, code, r.status)
}

// copyHeader copies the header fields of an endpoint's response to the caller's.
func (t *task) copyHeader(from http.Header) {
	copyEndToEndHeader(t.writer.Header(), from)
	t.closeAfterResponse(t.writer.Header())
}

// copyEndToEndHeader copies the header fields of a response except those that apply to
// a single connection.
func copyEndToEndHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	for _, name := range figseam.HopByHopHeaders {
		to.Del(name)
	}
	if _, ok := from["Date"]; !ok {
		// A nil value prevents net/http from adding the field itself.
		to["Date"] = nil
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil
	}
}

// logRequest records the metrics of an ended request and writes its log line.
func (t *task) logRequest(level zerolog.Level, code figseam.Code, status int) {
	var semantics figseam.Semantics
	name := ""
	if t.route != nil {
		semantics, name = t.route.Semantics, t.route.Name
	}
	took := time.Since(t.began)
	t.Meter.ObserveRequest(semantics, code, status, took)
	t.Log.WithLevel(level).Str("request", string(t.request.ID)).Str("route", name).Str("service", t.service).Str("account", string(t.accountName())).
		Str("semantics", semantics.String()).Str("code", string(code)).Int("status", status).Int64("ms", took.Milliseconds()).Int64("waited_ms", t.waitedMillis).Int("refusals", t.reservationRefusals).Int64("first_event_ms", t.firstEventMillis).
		Uint64("version", t.version).Int64("list_age_ms", t.EndpointList.Age().Milliseconds()).Str("cached_at", t.cacheEngineID()).Int64("last_event", t.request.LastEventID).
		Int("input_tokens", t.request.Prompt.InputTokens).Int("output_tokens", t.request.Prompt.MaxOutputTokens).
		Strs("prompt_parts", t.request.Prompt.PartIDs()).
		RawJSON("steps", encodeSteps(t.steps)).Msg("request ended")
}

// encodeSteps encodes the steps as JSON. It avoids the cost of encoding/json, since every
// request's log line contains them.
func encodeSteps(steps []step) []byte {
	var b bytes.Buffer
	b.WriteByte('[')
	for i, s := range steps {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(`{"endpoint":` + strconv.Quote(s.Endpoint) + `,"stage":"` + s.Stage + `","reason":"` + s.Reason +
			`","charge_ms":` + strconv.FormatFloat(s.CostMillis, 'f', 1, 64) + `,"result":"` + s.Result +
			`","ms":` + strconv.FormatInt(s.Millis, 10) + `}`)
	}
	b.WriteByte(']')
	return b.Bytes()
}
