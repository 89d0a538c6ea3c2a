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

// apiKind is the OpenAI API that a model request uses.
type apiKind uint8

const (
	chatAPI apiKind = iota
	completionAPI
)

// modelRequest holds the fields of an OpenAI API request that the gateway uses. The type
// names modelRequest and message appear in JSON decoding errors that callers receive.
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

// contentText returns the text of a message's content, which is a string or a list of
// parts. It returns false if the content is neither or has a part that is not text.
func contentText(content json.RawMessage) (string, bool) {
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

// RenderChatPrompt returns the prompt that is sent to engines for the messages of a
// chat. Message i has the role roles[i] and the text contents[i].
func RenderChatPrompt(roles, contents []string) string {
	var b strings.Builder
	for i := range roles {
		b.WriteString("<|" + roles[i] + "|>\n" + contents[i] + "\n")
	}
	b.WriteString("<|assistant|>\n")
	return b.String()
}

// prompt returns the prompt of the request, or a refusal if the prompt or the messages
// are malformed.
func (r modelRequest) prompt(kind apiKind) (string, *figseam.Refusal) {
	if kind == completionAPI {
		p, ok := contentText(r.Prompt)
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
		t, ok := contentText(m.Content)
		if !ok || m.Role == "" {
			return "", figseam.NewRefusal(explainer.BadRequest, "field messages[%d]: expected a role and a text", i)
		}
		roles, contents = append(roles, m.Role), append(contents, t)
	}
	return RenderChatPrompt(roles, contents), nil
}

func (c *CallerServer) listModels(w http.ResponseWriter, _ *http.Request) {
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

func (c *CallerServer) serveModelRequest(w http.ResponseWriter, r *http.Request, kind apiKind) {
	id := requestID(r)
	w.Header().Set(HeaderRequestID, string(id))
	task, request, refusal := c.readModelRequest(w, r, kind, id)
	if refusal != nil {
		c.refuseModelRequest(w, r, id, refusal)
		return
	}
	if err := c.admitter.Admit(r.Context(), task.Job.Account); err != nil {
		c.refuseModelRequest(w, r, id, asRefusal(err))
		return
	}
	var sink responseSink
	if request.Stream {
		sink = newStreamSink(w, kind, id, request)
	} else {
		sink = newBufferedSink(w, kind, id, request)
	}
	result, err := c.executor.Run(r.Context(), task, sink)
	if err != nil {
		c.failModelRequest(w, r, id, sink, err)
		return
	}
	c.lengths.Observe(task.Route, result.OutputTokens)
	sink.finish(result)
	c.observer.CountResponse()
	c.log.Info().Str("event", "answered").Str("request", string(id)).Str("route", task.Route).
		Int("prompt_tokens", result.PromptTokens).Int("answer_tokens", result.OutputTokens).
		Int("attempts", result.Attempts).Send()
}

// readModelRequest reads and validates a model request and returns the task to run on
// the model's route.
func (c *CallerServer) readModelRequest(w http.ResponseWriter, r *http.Request, kind apiKind, id figseam.RequestID) (executor.Task, modelRequest, *figseam.Refusal) {
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
	prompt, refusal := request.prompt(kind)
	if refusal != nil {
		return executor.Task{}, request, refusal
	}
	return c.newTask(config, route, request, prompt, id, accountOf(r), arrived), request, nil
}

// newTask returns the task of a request; arrived is its time of arrival. The memory
// reservation uses the estimated length of the answer; the engine's limit is the maximum
// length.
func (c *CallerServer) newTask(config *figseam.Config, route figseam.Route, request modelRequest, prompt string, id figseam.RequestID, account figseam.Account, arrived time.Time) executor.Task {
	model := config.Models[route.Model]
	maxTokens := model.MaxOutputTokens
	if requested := max(request.MaxTokens, request.MaxCompletionTokens); requested > 0 {
		maxTokens = min(maxTokens, requested)
	}
	job := figseam.Job{
		Request: id, Attempt: figseam.NewAttemptID(), Account: account, Pool: model.Pool,
		PromptTokens: figseam.EstimateTokens(prompt), PrefixHashes: figseam.PrefixBlocks(prompt),
		OutputTokens: min(maxTokens, c.lengths.Estimate(route.Name, model.ExpectedOutputTokens)),
		Priority:     route.Priority,
	}
	if !route.NoDeadline {
		job.FirstTokenDeadline = figseam.DeadlineAt(arrived.Add(time.Duration(route.FirstTokenMillis) * time.Millisecond))
	}
	return executor.Task{
		Job: job, Model: model.Name, Prompt: prompt, MaxTokens: maxTokens, MaxRetries: route.Retries, Route: route.Name,
	}
}

// refuseModelRequest records a refusal and sends it in the error envelope of the OpenAI
// API.
func (c *CallerServer) refuseModelRequest(w http.ResponseWriter, r *http.Request, id figseam.RequestID, refusal *figseam.Refusal) {
	c.recordRefusal(r, id, refusal)
	setRefusalHeaders(w, refusal)
	writeJSON(w, httpStatus(refusal), "application/json", newAPIError(refusal))
}

// recordRefusal counts and logs a refusal.
func (c *CallerServer) recordRefusal(r *http.Request, id figseam.RequestID, refusal *figseam.Refusal) {
	c.observer.CountRefusal(refusal)
	c.log.Info().Str("event", "refusal").Str("request", string(id)).Str("account", string(accountOf(r))).
		Str("path", r.URL.Path).Str("code", string(refusal.Code)).Str("outcome", string(refusal.Outcome)).
		Str("detail", refusal.Detail).Send()
}

// failModelRequest ends a model request whose execution failed. It sends the refusal, as the
// last event if the response has started, unless the caller has disconnected. A response that has
// started is then aborted, so that the part of the answer in it cannot be taken for the whole.
func (c *CallerServer) failModelRequest(w http.ResponseWriter, r *http.Request, id figseam.RequestID, sink responseSink, err error) {
	refusal := asRefusal(err)
	if errors.Is(err, executor.ErrCallerDisconnected) || r.Context().Err() != nil {
		refusal = figseam.NewRefusal(explainer.CallerDisconnected, "%v", err).WithOutcome(figseam.OutcomeUnknown)
		c.recordRefusal(r, id, refusal)
		panic(http.ErrAbortHandler)
	}
	if sink.started() {
		c.recordRefusal(r, id, refusal)
		sink.fail(refusal)
		panic(http.ErrAbortHandler)
	}
	c.refuseModelRequest(w, r, id, refusal)
}

// asRefusal returns the refusal in err. For other errors it returns an EngineFailed
// refusal with an unknown outcome.
func asRefusal(err error) *figseam.Refusal {
	if r := figseam.AsRefusal(err); r != nil {
		return r
	}
	return figseam.NewRefusal(explainer.EngineFailed, "%v", err).WithOutcome(figseam.OutcomeUnknown)
}
