package launcher_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/cmd/figload/launcher"
	"github.com/figseam/figseam/cmd/figload/planner"
	"github.com/figseam/figseam/emulator"
	"github.com/figseam/figseam/gateway"
	"github.com/figseam/figseam/runner"
)

// startInProcess starts a deployment in the test's process.
func startInProcess(t *testing.T) (*launcher.Deployment, planner.User) {
	user, _ := planner.FindUser("kantamanto")
	user.FirstTokenTargetMillis = conditionTimeout.Milliseconds()
	d, err := launcher.Start([]planner.User{user}, runner.Options{})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, d.Close()) })
	return d, user
}

func requireMemoryReleased(t *testing.T, d *launcher.Deployment) {
	t.Helper()
	require.Eventually(t, func() bool { return d.Fleet.UsedPieces() == 0 }, conditionTimeout, pollInterval, "engine memory was not released")
}

// TestUnmodifiedOpenAIClientIsServed uses the published OpenAI client for a request that is
// not streamed, a streamed one, a cancelled one, one for an unknown model and the list of
// models.
func TestUnmodifiedOpenAIClientIsServed(t *testing.T) {
	d, user := startInProcess(t)
	client := openai.NewClient(
		option.WithBaseURL("http://"+d.CallerAddresses()[0]+"/v1"), option.WithAPIKey("decorator"), option.WithMaxRetries(0))
	prompt := emulator.WithAnswerTokens(12, "which lamp is loose?")
	params := openai.ChatCompletionNewParams{
		Model: user.InteractiveRoute, Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	}
	expected := emulator.ExpectedAnswer(gateway.RenderChatPrompt([]string{"user"}, []string{prompt}), 12)

	t.Run("whole", func(t *testing.T) {
		response, err := client.Chat.Completions.New(t.Context(), params)
		require.NoError(t, err)
		require.Equal(t, expected, response.Choices[0].Message.Content)
		require.Equal(t, int64(12), response.Usage.CompletionTokens)
		require.Equal(t, "stop", response.Choices[0].FinishReason)
	})
	t.Run("streamed", func(t *testing.T) {
		stream := client.Chat.Completions.NewStreaming(t.Context(), params)
		var text strings.Builder
		for stream.Next() {
			for _, c := range stream.Current().Choices {
				text.WriteString(c.Delta.Content)
			}
		}
		require.NoError(t, stream.Err())
		require.Equal(t, expected, text.String())
	})
	t.Run("cancelled", func(t *testing.T) {
		long := params
		long.Messages = []openai.ChatCompletionMessageParamUnion{openai.UserMessage(emulator.WithAnswerTokens(3000, "all lamps"))}
		ctx, cancel := context.WithCancel(t.Context())
		stream := client.Chat.Completions.NewStreaming(ctx, long)
		require.True(t, stream.Next())
		cancel()
		for stream.Next() {
			continue
		}
		require.ErrorIs(t, stream.Err(), context.Canceled)
		requireMemoryReleased(t, d)
	})
	t.Run("unknown model", func(t *testing.T) {
		wrong := params
		wrong.Model = "oracle"
		_, err := client.Chat.Completions.New(t.Context(), wrong)
		var apiError *openai.Error
		require.ErrorAs(t, err, &apiError)
		require.Equal(t, http.StatusNotFound, apiError.StatusCode)
		require.Equal(t, "unknown_model", apiError.Code)
		require.Equal(t, string(figseam.OutcomeNotRun), apiError.Response.Header.Get(gateway.HeaderOutcome))
	})
	t.Run("models", func(t *testing.T) {
		page, err := client.Models.List(t.Context())
		require.NoError(t, err)
		require.Len(t, page.Data, 2)
	})
}

// invalidRequests must be refused with the outcome not_run.
var invalidRequests = []struct {
	name   string
	method string
	path   string
	body   string
	status int
	code   string
}{
	{"not JSON", http.MethodPost, "/v1/completions", "{model", 400, "bad_request"},
	{"wrong type", http.MethodPost, "/v1/completions", `{"model":7}`, 400, "bad_request"},
	{"no prompt", http.MethodPost, "/v1/completions", `{"model":"knots"}`, 400, "bad_request"},
	{"no messages", http.MethodPost, "/v1/chat/completions", `{"model":"knots"}`, 400, "bad_request"},
	{"two completions", http.MethodPost, "/v1/completions", `{"model":"knots","prompt":"x","n":2}`, 400, "bad_request"},
	{"unknown model", http.MethodPost, "/v1/completions", `{"model":"x","prompt":"x"}`, 404, "unknown_model"},
	{"too large", http.MethodPost, "/v1/completions", `{"model":"knots","prompt":"` + strings.Repeat("x", 5<<20) + `"}`, 413, "body_too_large"},
	{"unknown service", http.MethodPost, "/nobody/here", "", 404, "unknown_route"},
}

func TestInvalidRequestsAreRefusedAsNotRun(t *testing.T) {
	d, _ := startInProcess(t)
	for _, c := range invalidRequests {
		t.Run(c.name, func(t *testing.T) {
			request, err := http.NewRequest(c.method, "http://"+d.CallerAddresses()[1]+c.path, strings.NewReader(c.body))
			require.NoError(t, err)
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			require.Equal(t, c.status, response.StatusCode)
			require.Equal(t, "not_run", response.Header.Get(gateway.HeaderOutcome))
			require.Equal(t, c.code, response.Header.Get(gateway.HeaderReason))
		})
	}
}

// TestTruncatedBodyIsRefused sends less of the body than Content-Length announces and
// closes the sending side of the connection.
func TestTruncatedBodyIsRefused(t *testing.T) {
	d, _ := startInProcess(t)
	conn, err := net.Dial("tcp", d.CallerAddresses()[0])
	require.NoError(t, err)
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\n{\"model\":")
	require.NoError(t, err)
	require.NoError(t, conn.(*net.TCPConn).CloseWrite())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadRequest, response.StatusCode)
	_ = conn.Close()
}

// TestStalledReaderDoesNotKeepMemoryReserved opens a long stream, reads nothing of it and
// closes the connection later. The engine memory of the request must be released.
func TestStalledReaderDoesNotKeepMemoryReserved(t *testing.T) {
	d, user := startInProcess(t)
	conn, err := net.Dial("tcp", d.CallerAddresses()[0])
	require.NoError(t, err)
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(1024))
	body, err := json.Marshal(map[string]any{"model": user.InteractiveRoute, "prompt": emulator.WithAnswerTokens(4000, "all"), "stream": true})
	require.NoError(t, err)
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return d.Fleet.UsedPieces() > 0 }, conditionTimeout, pollInterval)
	time.AfterFunc(conditionTimeout/4, func() { _ = conn.Close() })
	requireMemoryReleased(t, d)
}

// TestMalformedPrefillResponsesAreRetriedElsewhere lets the first prefill engine of each
// data centre send malformed responses. Every request must still be answered in full.
func TestMalformedPrefillResponsesAreRetriedElsewhere(t *testing.T) {
	d, user := startInProcess(t)
	for id, e := range d.Fleet.Engines() {
		if strings.HasSuffix(string(id), "prefill-1") {
			e.SetFaults(emulator.Faults{MalformedResponses: true})
		}
	}
	for i := range 12 {
		prompt := emulator.WithAnswerTokens(5, fmt.Sprint("lamp ", i))
		body, err := json.Marshal(map[string]any{"model": user.InteractiveRoute, "prompt": prompt})
		require.NoError(t, err)
		response, err := http.Post("http://"+d.CallerAddresses()[i%6]+"/v1/completions", "application/json", bytes.NewReader(body))
		require.NoError(t, err)
		text, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Contains(t, string(text), emulator.ExpectedAnswer(prompt, 5))
	}
	requireMemoryReleased(t, d)
}

// TestRequestResentAfterCrashIsAnsweredInFull kills an instance while it streams a
// response, and resends the request through another instance of the data centre.
func TestRequestResentAfterCrashIsAnsweredInFull(t *testing.T) {
	d, user := startInProcess(t)
	prompt := emulator.WithAnswerTokens(200, "the whole strand")
	send := func(instance int) (*http.Response, error) {
		body, err := json.Marshal(map[string]any{"model": user.InteractiveRoute, "prompt": prompt, "stream": true})
		require.NoError(t, err)
		request, err := http.NewRequest(http.MethodPost, "http://"+d.InstanceSettings[instance].CallerAddress+"/v1/completions", bytes.NewReader(body))
		require.NoError(t, err)
		request.Header.Set("Idempotency-Key", "strand-1")
		return http.DefaultClient.Do(request)
	}
	first, err := send(0)
	require.NoError(t, err)
	_, err = first.Body.Read(make([]byte, 64))
	require.NoError(t, err)
	d.KillInstance(d.InstanceSettings[0].Instance)
	_, _ = io.Copy(io.Discard, first.Body)
	_ = first.Body.Close()
	second, err := send(1)
	require.NoError(t, err)
	text, err := io.ReadAll(second.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, second.StatusCode)
	var answer strings.Builder
	for line := range strings.Lines(string(text)) {
		var chunk struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if data, ok := strings.CutPrefix(line, "data: "); ok && json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			answer.WriteString(chunk.Choices[0].Text)
		}
	}
	require.Equal(t, emulator.ExpectedAnswer(prompt, 200), answer.String())
	requireMemoryReleased(t, d)
}
