package gateway

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/executor"
)

// answerSink writes an answer in one of the API's forms.
type answerSink interface {
	executor.Sink
	// started reports whether the caller has seen any of the answer.
	started() bool
	finish(result executor.Result)
	// fail ends an answer that was begun.
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

type answerBody struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func usageOf(r executor.Result) *usage {
	return &usage{PromptTokens: r.PromptTokens, CompletionTokens: r.AnswerTokens, TotalTokens: r.PromptTokens + r.AnswerTokens}
}

func finishOf(reason string) *string {
	if reason == "" {
		return nil
	}
	return &reason
}

// streamSink writes server-sent events.
type streamSink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	form    api
	body    answerBody
	usage   bool
	begun   bool
	buffer  []byte
}

func newStreamSink(w http.ResponseWriter, form api, id figseam.RequestID, r modelRequest) *streamSink {
	object := "chat.completion.chunk"
	if form == completion {
		object = "text_completion"
	}
	return &streamSink{
		w: w, control: http.NewResponseController(w), form: form,
		usage: r.StreamOptions != nil && r.StreamOptions.IncludeUsage,
		body:  answerBody{ID: string(id), Object: object, Created: time.Now().Unix(), Model: r.Model},
	}
}

// WriteChunk writes a chunk and waits until the caller's connection took it.
func (s *streamSink) WriteChunk(c figseam.Chunk) error {
	ch := choice{FinishReason: finishOf(c.FinishReason)}
	if s.form == completion {
		ch.Text = &c.Text
	} else {
		ch.Delta = &choiceMessage{Content: c.Text}
		if !s.begun {
			ch.Delta.Role = "assistant"
		}
	}
	body := s.body
	body.Choices = []choice{ch}
	return s.event(body)
}

func (s *streamSink) event(body any) error {
	if !s.begun {
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-cache")
		s.w.WriteHeader(http.StatusOK)
		s.begun = true
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
	_ = s.control.SetWriteDeadline(time.Now().Add(writeMillis * time.Millisecond))
	if _, err := s.w.Write(data); err != nil {
		return err
	}
	return s.control.Flush()
}

func (s *streamSink) started() bool { return s.begun }

func (s *streamSink) finish(result executor.Result) {
	if s.usage {
		body := s.body
		body.Choices, body.Usage = []choice{}, usageOf(result)
		_ = s.event(body)
	}
	_ = s.write([]byte("data: [DONE]\n\n"))
}

func (s *streamSink) fail(refusal *figseam.Refusal) { _ = s.event(envelope(refusal)) }

// wholeSink gathers an answer and writes it at the end.
type wholeSink struct {
	w      http.ResponseWriter
	form   api
	body   answerBody
	text   strings.Builder
	reason string
}

func newWholeSink(w http.ResponseWriter, form api, id figseam.RequestID, r modelRequest) *wholeSink {
	object := "chat.completion"
	if form == completion {
		object = "text_completion"
	}
	return &wholeSink{w: w, form: form, body: answerBody{
		ID: string(id), Object: object, Created: time.Now().Unix(), Model: r.Model,
	}}
}

// WriteChunk gathers a chunk. The route's limit of output tokens bounds the memory.
func (s *wholeSink) WriteChunk(c figseam.Chunk) error {
	s.text.WriteString(c.Text)
	s.reason = c.FinishReason
	return nil
}

func (s *wholeSink) started() bool { return false }

func (s *wholeSink) finish(result executor.Result) {
	ch := choice{FinishReason: finishOf(s.reason)}
	answer := s.text.String()
	if s.form == completion {
		ch.Text = &answer
	} else {
		ch.Message = &choiceMessage{Role: "assistant", Content: answer}
	}
	s.body.Choices, s.body.Usage = []choice{ch}, usageOf(result)
	writeJSON(s.w, http.StatusOK, "application/json", s.body)
}

func (s *wholeSink) fail(*figseam.Refusal) {}
