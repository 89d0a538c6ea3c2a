package gateway

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/executor"
)

// responseSink writes an answer as a response of the OpenAI API, streamed or whole.
type responseSink interface {
	executor.Sink
	// started reports whether any part of the response was sent.
	started() bool
	// finish completes the response.
	finish(result executor.Result)
	// fail ends a response that has started. It sends the error envelope of the refusal
	// as the last event.
	fail(refusal *figseam.Refusal)
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type choiceMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int            `json:"index"`
	Message      *choiceMessage `json:"message,omitempty"`
	Delta        *choiceMessage `json:"delta,omitempty"`
	Text         *string        `json:"text,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

type responseBody struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func newUsage(r executor.Result) *usage {
	return &usage{PromptTokens: r.PromptTokens, CompletionTokens: r.OutputTokens, TotalTokens: r.PromptTokens + r.OutputTokens}
}

// nullableFinishReason returns a pointer to a finish reason, or nil if the reason is
// empty, which the API represents as null.
func nullableFinishReason(reason string) *string {
	if reason == "" {
		return nil
	}
	return &reason
}

// streamSink sends each chunk of an answer as a server-sent event.
type streamSink struct {
	w            http.ResponseWriter
	controller   *http.ResponseController
	kind         apiKind
	body         responseBody
	includeUsage bool
	headersSent  bool
	buffer       []byte
}

func newStreamSink(w http.ResponseWriter, kind apiKind, id figseam.RequestID, r modelRequest) *streamSink {
	object := "chat.completion.chunk"
	if kind == completionAPI {
		object = "text_completion"
	}
	return &streamSink{
		w: w, controller: http.NewResponseController(w), kind: kind,
		includeUsage: r.StreamOptions != nil && r.StreamOptions.IncludeUsage,
		body:         responseBody{ID: string(id), Object: object, Created: time.Now().Unix(), Model: r.Model},
	}
}

// WriteChunk writes a chunk and flushes it to the caller's connection. It returns an
// error if the connection fails or the write takes longer than writeTimeoutMillis.
func (s *streamSink) WriteChunk(c figseam.Chunk) error {
	ch := choice{FinishReason: nullableFinishReason(c.FinishReason)}
	if s.kind == completionAPI {
		ch.Text = &c.Text
	} else {
		ch.Delta = &choiceMessage{Content: c.Text}
		if !s.headersSent {
			ch.Delta.Role = "assistant"
		}
	}
	body := s.body
	body.Choices = []choice{ch}
	return s.writeEvent(body)
}

func (s *streamSink) writeEvent(body any) error {
	if !s.headersSent {
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-cache")
		s.w.WriteHeader(http.StatusOK)
		s.headersSent = true
	}
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	s.buffer = append(s.buffer[:0], "data: "...)
	s.buffer = append(s.buffer, data...)
	s.buffer = append(s.buffer, "\n\n"...)
	return s.write(s.buffer)
}

func (s *streamSink) write(data []byte) error {
	_ = s.controller.SetWriteDeadline(time.Now().Add(writeTimeoutMillis * time.Millisecond))
	if _, err := s.w.Write(data); err != nil {
		return err
	}
	return s.controller.Flush()
}

func (s *streamSink) started() bool { return s.headersSent }

func (s *streamSink) finish(result executor.Result) {
	if s.includeUsage {
		body := s.body
		body.Choices, body.Usage = []choice{}, newUsage(result)
		_ = s.writeEvent(body)
	}
	_ = s.write([]byte("data: [DONE]\n\n"))
}

func (s *streamSink) fail(refusal *figseam.Refusal) { _ = s.writeEvent(newAPIError(refusal)) }

// bufferedSink collects an answer and writes it as one response at the end.
type bufferedSink struct {
	w            http.ResponseWriter
	kind         apiKind
	body         responseBody
	text         strings.Builder
	finishReason string
}

func newBufferedSink(w http.ResponseWriter, kind apiKind, id figseam.RequestID, r modelRequest) *bufferedSink {
	object := "chat.completion"
	if kind == completionAPI {
		object = "text_completion"
	}
	return &bufferedSink{w: w, kind: kind, body: responseBody{
		ID: string(id), Object: object, Created: time.Now().Unix(), Model: r.Model,
	}}
}

// WriteChunk appends a chunk to the answer. The output token limit of the request bounds
// the memory that the answer uses.
func (s *bufferedSink) WriteChunk(c figseam.Chunk) error {
	s.text.WriteString(c.Text)
	s.finishReason = c.FinishReason
	return nil
}

func (s *bufferedSink) started() bool { return false }

func (s *bufferedSink) finish(result executor.Result) {
	ch := choice{FinishReason: nullableFinishReason(s.finishReason)}
	answer := s.text.String()
	if s.kind == completionAPI {
		ch.Text = &answer
	} else {
		ch.Message = &choiceMessage{Role: "assistant", Content: answer}
	}
	s.body.Choices, s.body.Usage = []choice{ch}, newUsage(result)
	writeJSON(s.w, http.StatusOK, "application/json", s.body)
}

// fail does nothing: the response starts only in finish, so that a failure before it is
// sent as a refusal.
func (s *bufferedSink) fail(*figseam.Refusal) {}
