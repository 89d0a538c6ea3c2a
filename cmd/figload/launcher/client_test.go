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

// startInProcess starts a deployment within the test's process.
func startInProcess(t *testing.T) (*launcher.Deployment, planner.User) {
	user, _ := planner.FindUser("kantamanto")
	user.FirstTokenTargetMillis = eventually.Milliseconds()
	d, err := launcher.Start([]planner.User{user}, runner.Options{})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, d.Close()) })
	return d, user
}

func requireFree(t *testing.T, d *launcher.Deployment) {
	t.Helper()
	require.Eventually(t, func() bool { return d.Fleet.UsedPieces() == 0 }, eventually, poll, "engine memory stays held")
}

// TestPublishedClient uses the API's published client unmodified: whole,
// streamed, cancelled, and refused.
func TestPublishedClient(t *testing.T) {
	d, user := startInProcess(t)
	client := openai.NewClient(
		option.WithBaseURL("http://"+d.CallerAddresses()[0]+"/v1"), option.WithAPIKey("decorator"), option.WithMaxRetries(0))
	question := emulator.WithAnswerTokens(12, "which lamp is loose?")
	params := openai.ChatCompletionNewParams{
		Model: user.InteractiveRoute, Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(question)},
	}
	right := emulator.ExpectedAnswer(gateway.RenderChatPrompt([]string{"user"}, []string{question}), 12)

	t.Run("whole", func(t *testing.T) {
		answer, err := client.Chat.Completions.New(t.Context(), params)
		require.NoError(t, err)
		require.Equal(t, right, answer.Choices[0].Message.Content)
		require.Equal(t, int64(12), answer.Usage.CompletionTokens)
		require.Equal(t, "stop", answer.Choices[0].FinishReason)
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
		require.Equal(t, right, text.String())
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
		requireFree(t, d)
	})
	t.Run("unknown model", func(t *testing.T) {
		wrong := params
		wrong.Model = "oracle"
		_, err := client.Chat.Completions.New(t.Context(), wrong)
		var refused *openai.Error
		require.ErrorAs(t, err, &refused)
		require.Equal(t, http.StatusNotFound, refused.StatusCode)
		require.Equal(t, "unknown_model", refused.Code)
		require.Equal(t, string(figseam.OutcomeNotRun), refused.Response.Header.Get(gateway.HeaderOutcome))
	})
	t.Run("models", func(t *testing.T) {
		page, err := client.Models.List(t.Context())
		require.NoError(t, err)
		require.Len(t, page.Data, 2)
	})
}

// badRequests are requests that must be refused as not run.
var badRequests = []struct {
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
	{"two answers", http.MethodPost, "/v1/completions", `{"model":"knots","prompt":"x","n":2}`, 400, "bad_request"},
	{"unknown model", http.MethodPost, "/v1/completions", `{"model":"x","prompt":"x"}`, 404, "unknown_model"},
	{"too large", http.MethodPost, "/v1/completions", `{"model":"knots","prompt":"` + strings.Repeat("x", 5<<20) + `"}`, 413, "body_too_large"},
	{"unknown service", http.MethodPost, "/nobody/here", "", 404, "unknown_route"},
}

func TestBadRequestsAreRefused(t *testing.T) {
	d, _ := startInProcess(t)
	for _, c := range badRequests {
		t.Run(c.name, func(t *testing.T) {
			request, err := http.NewRequest(c.method, "http://"+d.CallerAddresses()[1]+c.path, strings.NewReader(c.body))
			require.NoError(t, err)
			answer, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			defer func() { _ = answer.Body.Close() }()
			require.Equal(t, c.status, answer.StatusCode)
			require.Equal(t, "not_run", answer.Header.Get(gateway.HeaderOutcome))
			require.Equal(t, c.code, answer.Header.Get(gateway.HeaderReason))
		})
	}
}

// TestHalfSentBodyIsRefused sends a part of a body and closes.
func TestHalfSentBodyIsRefused(t *testing.T) {
	d, _ := startInProcess(t)
	conn, err := net.Dial("tcp", d.CallerAddresses()[0])
	require.NoError(t, err)
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\n{\"model\":")
	require.NoError(t, err)
	require.NoError(t, conn.(*net.TCPConn).CloseWrite())
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadRequest, answer.StatusCode)
	_ = conn.Close()
}

// TestSlowReaderIsCut opens a long stream and reads nothing of it.
func TestSlowReaderIsCut(t *testing.T) {
	d, user := startInProcess(t)
	conn, err := net.Dial("tcp", d.CallerAddresses()[0])
	require.NoError(t, err)
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(1024))
	body, err := json.Marshal(map[string]any{"model": user.InteractiveRoute, "prompt": emulator.WithAnswerTokens(4000, "all"), "stream": true})
	require.NoError(t, err)
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return d.Fleet.UsedPieces() > 0 }, eventually, poll)
	time.AfterFunc(eventually/4, func() { _ = conn.Close() })
	requireFree(t, d)
}

// TestGarblingEngineIsPassedOver lets a prefill engine answer garbage.
func TestGarblingEngineIsPassedOver(t *testing.T) {
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
		answer, err := http.Post("http://"+d.CallerAddresses()[i%6]+"/v1/completions", "application/json", bytes.NewReader(body))
		require.NoError(t, err)
		text, err := io.ReadAll(answer.Body)
		require.NoError(t, err)
		require.NoError(t, answer.Body.Close())
		require.Contains(t, string(text), emulator.ExpectedAnswer(prompt, 5))
	}
	requireFree(t, d)
}

// TestResendFindsItsStream sends a request again through another instance of the
// data centre while its stream runs, after the first instance was killed.
func TestResendFindsItsStream(t *testing.T) {
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
	requireFree(t, d)
}
