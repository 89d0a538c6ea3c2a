package gateway

import (
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/executor"
	"github.com/figseam/figseam/explainer"
)

// api is the form of a model request.
type api uint8

const (
	chat api = iota
	completion
)

// modelRequest is what is read of a request to the OpenAI API.
type modelRequest struct {
	Model         string          `json:"model"`
	Prompt        json.RawMessage `json:"prompt"`
	Messages      []message       `json:"messages"`
	Stream        bool            `json:"stream"`
	StreamOptions *struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	MaxTokens           int `json:"max_tokens"`
	MaxCompletionTokens int `json:"max_completion_tokens"`
	N                   int `json:"n"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// text returns the text of a content, which is a string or a list of parts.
func text(content json.RawMessage) (string, bool) {
	var s string
	if json.Unmarshal(content, &s) == nil {
		return s, true
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if json.Unmarshal(content, &parts) != nil {
		return "", false
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", false
		}
		b.WriteString(p.Text)
	}
	return b.String(), true
}

// RenderChatPrompt renders messages as the prompt that the engines get.
func RenderChatPrompt(roles, contents []string) string {
	var b strings.Builder
	for i := range roles {
		b.WriteString("<|" + roles[i] + "|>\n" + contents[i] + "\n")
	}
	b.WriteString("<|assistant|>\n")
	return b.String()
}

// prompt returns the request's prompt.
func (r modelRequest) prompt(form api) (string, *figseam.Refusal) {
	if form == completion {
		p, ok := text(r.Prompt)
		if !ok || p == "" {
			return "", figseam.NewRefusal(explainer.BadRequest, "field prompt: expected a non-empty string")
		}
		return p, nil
	}
	if len(r.Messages) == 0 {
		return "", figseam.NewRefusal(explainer.BadRequest, "field messages: expected at least one message")
	}
	var roles, contents []string
	for i, m := range r.Messages {
		t, ok := text(m.Content)
		if !ok || m.Role == "" {
			return "", figseam.NewRefusal(explainer.BadRequest, "field messages[%d]: expected a role and a text", i)
		}
		roles, contents = append(roles, m.Role), append(contents, t)
	}
	return RenderChatPrompt(roles, contents), nil
}

func (c *CallerServer) serveModels(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	if config := c.config(); config != nil {
		for _, name := range slices.Sorted(maps.Keys(config.Routes)) {
			if r := config.Routes[name]; r.Model != "" {
				list.Data = append(list.Data, model{ID: r.Name, Object: "model", OwnedBy: r.Model})
			}
		}
	}
	writeJSON(w, http.StatusOK, "application/json", list)
}

func (c *CallerServer) serveModel(w http.ResponseWriter, r *http.Request, form api) {
	id := requestID(r)
	w.Header().Set(HeaderRequestID, string(id))
	task, request, refusal := c.readTask(w, r, form, id)
	if refusal != nil {
		c.refuse(w, r, id, refusal)
		return
	}
	if err := c.admitter.Admit(r.Context(), task.Job.Account); err != nil {
		c.refuse(w, r, id, asRefusal(err))
		return
	}
	var sink answerSink
	if request.Stream {
		sink = newStreamSink(w, form, id, request)
	} else {
		sink = newWholeSink(w, form, id, request)
	}
	result, err := c.executor.Run(r.Context(), task, sink)
	if err != nil {
		c.failModel(w, r, id, sink, err)
		return
	}
	c.lengths.Observe(task.Route, result.AnswerTokens)
	sink.finish(result)
	c.observer.CountResponse()
	c.log.Info().Str("event", "answered").Str("request", string(id)).Str("route", task.Route).
		Int("prompt_tokens", result.PromptTokens).Int("answer_tokens", result.AnswerTokens).
		Int("attempts", result.Attempts).Send()
}

// readTask reads a request and finds its route.
func (c *CallerServer) readTask(w http.ResponseWriter, r *http.Request, form api, id figseam.RequestID) (executor.Task, modelRequest, *figseam.Refusal) {
	arrived := time.Now()
	var request modelRequest
	config := c.config()
	if config == nil {
		return executor.Task{}, request, figseam.NewRefusal(explainer.NoConfig, "instance has no configuration yet")
	}
	body, refusal := c.readBody(w, r)
	if refusal != nil {
		return executor.Task{}, request, refusal
	}
	if err := json.Unmarshal(body, &request); err != nil {
		return executor.Task{}, request, figseam.NewRefusal(explainer.BadRequest, "body: %v", err)
	}
	route, ok := config.Routes[request.Model]
	if !ok || route.Model == "" {
		return executor.Task{}, request, figseam.NewRefusal(explainer.UnknownModel, "there is no model %q", request.Model)
	}
	if request.N > 1 {
		return executor.Task{}, request, figseam.NewRefusal(explainer.BadRequest, "field n: only 1 is supported")
	}
	prompt, refusal := request.prompt(form)
	if refusal != nil {
		return executor.Task{}, request, refusal
	}
	return c.task(config, route, request, prompt, id, account(r), arrived), request, nil
}

func (c *CallerServer) task(config *figseam.Config, route figseam.Route, request modelRequest, prompt string, id figseam.RequestID, account figseam.Account, arrived time.Time) executor.Task {
	model := config.Models[route.Model]
	most := model.MaxOutputTokens
	if asked := max(request.MaxTokens, request.MaxCompletionTokens); asked > 0 {
		most = min(most, asked)
	}
	job := figseam.Job{
		Request: id, Attempt: figseam.NewAttemptID(), Account: account, Pool: model.Pool,
		PromptTokens: figseam.EstimateTokens(prompt), PrefixHashes: figseam.PrefixBlocks(prompt),
		OutputTokens: min(most, c.lengths.Estimate(route.Name, model.ExpectedOutputTokens)),
		Priority:     route.Priority,
	}
	if !route.NoDeadline {
		job.FirstTokenDeadline = figseam.DeadlineAt(arrived.Add(time.Duration(route.FirstTokenMillis) * time.Millisecond))
	}
	return executor.Task{
		Job: job, Model: model.Name, Prompt: prompt, MaxTokens: most, MaxRetries: route.Retries, Route: route.Name,
	}
}

// refuse answers a model request that gets no answer.
func (c *CallerServer) refuse(w http.ResponseWriter, r *http.Request, id figseam.RequestID, refusal *figseam.Refusal) {
	c.noteRefusal(r, id, refusal)
	setHeaders(w, refusal)
	writeJSON(w, status(refusal), "application/json", envelope(refusal))
}

func (c *CallerServer) noteRefusal(r *http.Request, id figseam.RequestID, refusal *figseam.Refusal) {
	c.observer.CountRefusal(refusal)
	c.log.Info().Str("event", "refusal").Str("request", string(id)).Str("account", string(account(r))).
		Str("path", r.URL.Path).Str("code", string(refusal.Code)).Str("outcome", string(refusal.Outcome)).
		Str("detail", refusal.Detail).Send()
}

func (c *CallerServer) failModel(w http.ResponseWriter, r *http.Request, id figseam.RequestID, sink answerSink, err error) {
	refusal := asRefusal(err)
	if errors.Is(err, executor.ErrCallerDisconnected) || r.Context().Err() != nil {
		refusal = figseam.NewRefusal(explainer.CallerDisconnected, "%v", err).WithOutcome(figseam.OutcomeUnknown)
		c.noteRefusal(r, id, refusal)
		panic(http.ErrAbortHandler)
	}
	if sink.started() {
		c.noteRefusal(r, id, refusal)
		sink.fail(refusal)
		return
	}
	c.refuse(w, r, id, refusal)
}

func asRefusal(err error) *figseam.Refusal {
	if r := figseam.AsRefusal(err); r != nil {
		return r
	}
	return figseam.NewRefusal(explainer.EngineFailed, "%v", err).WithOutcome(figseam.OutcomeUnknown)
}
