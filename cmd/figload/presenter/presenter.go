// Package presenter runs a demonstration of figseam: it sends a few requests to a
// deployment and prints their results.
package presenter

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/figseam/figseam/cmd/figload/launcher"
	"github.com/figseam/figseam/cmd/figload/planner"
	"github.com/figseam/figseam/emulator"
	"github.com/figseam/figseam/runner"
)

// RunDemo starts a deployment, sends the requests of the demonstration, waits for an
// interrupt or SIGTERM, and drains the deployment. If exitAfterRequests is set, it does
// not wait. It prints to out and writes the log of the instances to a temporary file.
func RunDemo(out io.Writer, exitAfterRequests bool) (err error) {
	defer func() { err = eris.Wrap(err, "demo") }()
	users := planner.Users()
	users[1] = users[1].WithDataCentres(users[0].DataCentres)
	logPath := filepath.Join(os.TempDir(), fmt.Sprintf("figseam-demo-%d.log", os.Getpid()))
	logFile, err := os.Create(logPath)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }()
	r := &demoRunner{out: out}
	r.printLine("figseam demo: three data centres, two instances in each, both users' fleets as stand-ins")
	start := time.Now()
	d, err := launcher.Start(users, runner.Options{LogOutput: logFile})
	if err != nil {
		return err
	}
	r.printLine("  up and published in %d ms: %d instances, %d engines, %d service endpoints",
		time.Since(start).Milliseconds(), len(d.InstanceSettings), len(d.Fleet.Engines()), len(d.EndpointURLs)-len(d.Fleet.Engines()))
	r.sendRequests(d)
	r.printLine("\nThe decisions are in %s, one JSON line each. Try:\n", logPath)
	r.printLine("  curl -N http://%s/v1/chat/completions -d '{\"model\":\"assistant\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"How long does a chime cell last? [out=40]\"}]}'", d.InstanceSettings[1].CallerAddress)
	r.printLine("  go run ./cmd/figctl -operators %s instances", d.InstanceSettings[0].OperatorAddress)
	if !exitAfterRequests {
		r.printLine("\nCtrl-C drains and ends.")
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		<-ctx.Done()
		stop()
	}
	r.printLine("\ndraining…")
	if err := d.Drain(); err != nil {
		return err
	}
	r.printLine("every instance has left; %d pieces of engine memory held", d.Fleet.UsedPieces())
	return nil
}

// demoRunner sends the requests of the demonstration and prints their results to out.
type demoRunner struct {
	out io.Writer
}

func (r *demoRunner) printLine(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, format+"\n", args...)
}

func (r *demoRunner) sendRequests(d *launcher.Deployment) {
	r.printLine("\nAn installer in Braga asks for a battery report (norte-a, streamed):")
	r.streamCompletion(d.InstanceSettings[0].CallerAddress, "assistant", emulator.WithAnswerTokens(36, "battery life of a doorbell "+strings.Repeat("reading ", 300)))
	r.printLine("\nA decorator sends a photo description (norte-b, streamed):")
	r.streamCompletion(d.InstanceSettings[2].CallerAddress, "knots", emulator.WithAnswerTokens(24, "warm white strand, knot at lamp 40 "+strings.Repeat("lamp ", 600)))
	r.printLine("\nA shop in Faro taps reorder, and its phone sends it twice, through two instances:")
	r.placeOrder(d.InstanceSettings[0].CallerAddress, "tap-1")
	r.placeOrder(d.InstanceSettings[3].CallerAddress, "tap-1")
	executions := 0
	for _, dc := range d.Users[0].DataCentres {
		executions += d.Fleet.Service(d.Users[0].ServiceEndpointID(dc)).TotalExecutions()
	}
	r.printLine("  the shop's service carried out %d order", executions)
	r.printLine("\nA model that nobody published:")
	r.streamCompletion(d.InstanceSettings[5].CallerAddress, "oracle", "hello")
}

// streamCompletion sends a streaming completion request. At the end of the stream it prints
// the answer, its latencies, and whether the answer is correct.
func (r *demoRunner) streamCompletion(address, model, prompt string) {
	body, _ := json.Marshal(map[string]any{"model": model, "prompt": prompt, "stream": true})
	start := time.Now()
	response, err := http.Post("http://"+address+"/v1/completions", "application/json", bytes.NewReader(body))
	if err != nil {
		r.printLine("  failed: %v", err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		r.printRefusal(response)
		return
	}
	var text strings.Builder
	var timeToFirstToken time.Duration
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		var chunk struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok || json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
			continue
		}
		if timeToFirstToken == 0 {
			timeToFirstToken = time.Since(start)
		}
		text.WriteString(chunk.Choices[0].Text)
	}
	tokens := text.Len() / 4
	interTokenMillis := float64(time.Since(start)-timeToFirstToken) / float64(time.Millisecond) / float64(max(1, tokens-1))
	r.printLine("  %s", strings.TrimSpace(text.String()))
	r.printLine("  first token after %d ms, %d tokens, %.1f ms between tokens, whole answer right: %v",
		timeToFirstToken.Milliseconds(), tokens, interTokenMillis, text.String() == emulator.ExpectedAnswer(prompt, tokens))
}

func (r *demoRunner) printRefusal(response *http.Response) {
	reason, _ := io.ReadAll(response.Body)
	r.printLine("  refused with %d, outcome %s: %s", response.StatusCode, response.Header.Get("Figseam-Outcome"), bytes.TrimSpace(reason))
}

// placeOrder sends an order with an idempotency key and prints the response.
func (r *demoRunner) placeOrder(address, key string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/shop-api/orders", strings.NewReader("1 crate of chime cells"))
	if err != nil {
		return
	}
	request.Header.Set("Idempotency-Key", key)
	request.Header.Set("Authorization", "Bearer faro")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		r.printLine("  failed: %v", err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	r.printLine("  %s through %s: %d %s (replayed: %t)", key, address, response.StatusCode,
		bytes.TrimSpace(body), response.Header.Get("Figseam-Replayed") == "true")
}
