package relayer

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/explainer"
)

const (
	// unconfiguredRetryMillis is when a caller may come back to an instance that
	// knows no table yet.
	unconfiguredRetryMillis = 500
	// busyRetryMillis is when a place may be free again.
	busyRetryMillis = 60
)

// refuse answers a request that no endpoint answered.
func (t *task) refuse(status int, code figseam.Code) {
	if t.wroteHead {
		t.abort(code)
		return
	}
	h := t.writer.Header()
	if status == http.StatusServiceUnavailable {
		millis := busyRetryMillis
		if code == explainer.NoConfig {
			millis = unconfiguredRetryMillis
		}
		millis = max(millis, int(t.retryMillis))
		h.Set("Retry-After", strconv.FormatFloat(float64(millis)/1000, 'f', 3, 64))
	}
	if t.request.ID != "" {
		h.Set(t.Codec.RequestIDHeader(), string(t.request.ID))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	body := string(code) + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	t.writer.WriteHeader(status)
	_, _ = t.writer.Write([]byte(body))
	t.logEnd(zerolog.WarnLevel, code, status)
}

// fail ends a request that no endpoint will answer: as not run if that is
// certain.
func (t *task) fail(code figseam.Code) {
	if t.mayHaveRun {
		t.refuse(http.StatusBadGateway, code)
		return
	}
	t.refuse(http.StatusServiceUnavailable, code)
}

// conclude ends a request that got no answer.
func (t *task) conclude(code figseam.Code) {
	switch code {
	case explainer.CallerDisconnected:
		t.gone()
	case explainer.DeadlineExceeded:
		t.expire()
	default:
		t.fail(code)
	}
}

// expire ends a request at its deadline.
func (t *task) expire() {
	if t.mayHaveRun {
		t.refuse(http.StatusGatewayTimeout, explainer.DeadlineExceeded)
		return
	}
	t.refuse(http.StatusServiceUnavailable, explainer.DeadlineExceeded)
}

// abort ends the caller's connection, so that what it got cannot be taken for
// the whole answer.
func (t *task) abort(code figseam.Code) {
	t.logEnd(zerolog.WarnLevel, code, 0)
	panic(http.ErrAbortHandler)
}

// gone notes that the caller left.
func (t *task) gone() { t.logEnd(zerolog.InfoLevel, explainer.CallerDisconnected, 0) }

// answer is an endpoint's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// write passes an endpoint's answer on.
func (t *task) write(a answer, code figseam.Code) {
	copyHeader(t.writer.Header(), a.header)
	t.writer.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	t.wroteHead = true
	t.writer.WriteHeader(a.status)
	if _, err := t.writer.Write(a.body); err != nil {
		t.gone()
		return
	}
	level := zerolog.InfoLevel
	if a.status >= http.StatusInternalServerError {
		level = zerolog.WarnLevel
	}
	t.logEnd(level, code, a.status)
}

// copyHeader copies what of an answer concerns more than one connection.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	for _, name := range figseam.HopByHopHeaders {
		to.Del(name)
	}
	if _, ok := from["Date"]; !ok {
		// Without this the server would add one.
		to["Date"] = nil
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil
	}
}

// logEnd writes the line of an ended request.
func (t *task) logEnd(level zerolog.Level, code figseam.Code, status int) {
	var semantics figseam.Semantics
	name := ""
	if t.route != nil {
		semantics, name = t.route.Semantics, t.route.Name
	}
	took := time.Since(t.began)
	t.Meter.ObserveRequest(semantics, code, status, took)
	t.Log.WithLevel(level).Str("request", string(t.request.ID)).Str("route", name).Str("service", t.service).
		Str("semantics", semantics.String()).Str("code", string(code)).Int("status", status).Int64("ms", took.Milliseconds()).Int64("waited_ms", t.waitedMillis).Int("refusals", t.refusals).Int64("first_event_ms", t.firstEventMillis).
		Uint64("version", t.version).Int64("list_age_ms", t.EndpointList.Age().Milliseconds()).Str("cached_at", t.cachedAtID()).Int64("last_event", t.request.LastEventID).
		Int("input_tokens", t.request.Prompt.InputTokens).Int("output_tokens", t.request.Prompt.MaxOutputTokens).
		RawJSON("steps", encodeSteps(t.steps)).Msg("request ended")
}

// encodeSteps writes the steps by hand: the line of each request carries them.
func encodeSteps(steps []step) []byte {
	var b bytes.Buffer
	b.WriteByte('[')
	for i, s := range steps {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(`{"endpoint":` + strconv.Quote(s.Endpoint) + `,"stage":"` + s.Stage + `","reason":"` + s.Reason +
			`","charge_ms":` + strconv.FormatFloat(s.Charge, 'f', 1, 64) + `,"result":"` + s.Result +
			`","ms":` + strconv.FormatInt(s.Millis, 10) + `}`)
	}
	b.WriteByte(']')
	return b.Bytes()
}
