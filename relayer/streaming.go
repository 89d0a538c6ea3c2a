package relayer

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/connector"
	"github.com/figseam/figseam/explainer"
	"github.com/figseam/figseam/selector"
)

// eventBytes bounds one event.
const eventBytes = 1 << 20

// stream is one sending whose answer is a series of events.
type stream struct {
	*task
	endpoint figseam.ListedEndpoint
	work     *selector.InFlightRequest
	// reading is the prefill that the engine makes itself, nil when it is over.
	reading *selector.InFlightRequest
	// patienceMillis is how long the first event may take if the request may be sent
	// elsewhere.
	patienceMillis int64
	status         int
	code           figseam.Code
}

// run sends the request and passes events on until the stream is complete. The
// code is empty if the caller has its whole answer; otherwise it says why not.
func (s *stream) run(ctx context.Context, call figseam.EndpointCall) (code figseam.Code) {
	verdict := selector.ResultFailure
	defer func() { s.work.Finish(verdict) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	again, stop := s.watch(cancel)
	defer stop()
	response, head, code := s.send(ctx, call)
	s.mayHaveRun = s.mayHaveRun || (code != explainer.ConnectFailed && code != explainer.EndpointRejected)
	s.noteLoad(head)
	if response != nil {
		defer response.Close()
		s.work.RecordResponse()
	}
	if code != "" {
		verdict = verdictOf(code)
		return code
	}
	if response.Status >= http.StatusMultipleChoices {
		return s.passFailure(ctx, response)
	}
	if !head.Signed {
		return explainer.InvalidResponse
	}
	code = s.passEvents(ctx, response, again)
	verdict = verdictOf(code)
	s.status, s.code = response.Status, explainer.ResponseRelayed
	return code
}

// passFailure passes an engine's failure on, unless the request may run again.
func (s *stream) passFailure(ctx context.Context, r *connector.Response) figseam.Code {
	if s.route.Semantics.Retryable() && r.Status >= http.StatusInternalServerError &&
		s.sends+1 < s.route.MaxAttempts && s.Budget.Remaining(s.service) >= 1 {
		return explainer.EndpointFailed
	}
	body, code := readWhole(ctx, r)
	if code != "" {
		return code
	}
	if s.wroteHead {
		return explainer.EndpointFailed
	}
	s.status, s.code = r.Status, explainer.FailureResponseRelayed
	copyHeader(s.writer.Header(), r.Header)
	s.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	s.wroteHead = true
	s.writer.WriteHeader(r.Status)
	_, _ = s.writer.Write(body)
	return ""
}

// passEvents passes whole events on as they come.
func (s *stream) passEvents(ctx context.Context, r *connector.Response, again func()) figseam.Code {
	reader := bufio.NewReader(r)
	for {
		event, err := readEvent(reader)
		if errors.Is(err, io.EOF) {
			return s.finish(r, event)
		}
		if err != nil {
			return codeOf(ctx, err)
		}
		again()
		s.work.RecordResponse()
		s.hasRead()
		if !s.pass(r, event) {
			return explainer.CallerDisconnected
		}
		if reader.Buffered() == 0 && s.control.Flush() != nil {
			return explainer.CallerDisconnected
		}
	}
}

// hasRead notes that the engine has read the prompt.
func (s *stream) hasRead() {
	if s.reading != nil {
		s.reading.Finish(selector.ResultIgnored)
		s.reading = nil
	}
}

// pass writes one event unless the caller has it. It reports false when the
// caller is gone.
func (s *stream) pass(r *connector.Response, event []byte) bool {
	id, ok := eventID(event)
	if ok && id <= s.request.LastEventID {
		return true
	}
	s.writeHead(r)
	if _, err := s.writer.Write(event); err != nil {
		return false
	}
	if ok {
		s.request = s.request.WithLastEventID(id)
	}
	return true
}

func (s *stream) writeHead(r *connector.Response) {
	if s.wroteHead {
		return
	}
	s.wroteHead = true
	copyHeader(s.writer.Header(), r.Header)
	s.writer.WriteHeader(r.Status)
	took := time.Since(s.began)
	s.firstEventMillis = took.Milliseconds()
	s.Meter.ObserveFirstEvent(took)
}

// finish ends the answer. Bytes behind the last whole event are a stream that
// broke.
func (s *stream) finish(r *connector.Response, rest []byte) figseam.Code {
	if len(bytes.TrimSpace(rest)) > 0 {
		return explainer.ConnectionLost
	}
	s.writeHead(r)
	if s.control.Flush() != nil {
		return explainer.CallerDisconnected
	}
	return ""
}

// readEvent reads up to the blank line that ends an event. With io.EOF it
// returns what was left.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(event) > eventBytes {
				return nil, err
			}
			continue
		case err != nil:
			return event, err
		case len(bytes.TrimRight(line, "\r\n")) == 0 && len(event) > len(line):
			return event, nil
		}
	}
}

var idField = []byte("id:")

// eventID returns the id of an event.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			return id, err == nil
		}
	}
	return 0, false
}

func levelOf(status int) zerolog.Level {
	if status >= http.StatusInternalServerError {
		return zerolog.WarnLevel
	}
	return zerolog.InfoLevel
}
