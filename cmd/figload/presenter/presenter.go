// Package presenter shows a person what figseam does: it sends a few requests to
// a deployment and tells what became of them.
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

// RunDemo starts a deployment, shows requests, and waits for an interrupt. With
// leave set it ends after the requests.
func RunDemo(out io.Writer, leave bool) (err error) {
	defer func() { err = eris.Wrap(err, "demo") }()
	users := planner.Users()
	users[1] = users[1].WithDataCentres(users[0].DataCentres)
	logPath := filepath.Join(os.TempDir(), fmt.Sprintf("figseam-demo-%d.log", os.Getpid()))
	log, err := os.Create(logPath)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	s := &show{out: out}
	s.say("figseam demo: three data centres, two instances in each, both users' fleets as stand-ins")
	began := time.Now()
	d, err := launcher.Start(users, runner.Options{LogOutput: log})
	if err != nil {
		return err
	}
	s.say("  up and published in %d ms: %d instances, %d engines, %d service endpoints",
		time.Since(began).Milliseconds(), len(d.InstanceSettings), len(d.Fleet.Engines()), len(d.EndpointAddresses)-len(d.Fleet.Engines()))
	s.tour(d)
	s.say("\nThe decisions are in %s, one JSON line each. Try:\n", logPath)
	s.say("  curl -N http://%s/v1/chat/completions -d '{\"model\":\"assistant\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"How long does a chime cell last? [out=40]\"}]}'", d.InstanceSettings[1].CallerAddress)
	s.say("  go run ./cmd/figctl -operators %s instances", d.InstanceSettings[0].OperatorAddress)
	if !leave {
		s.say("\nCtrl-C drains and ends.")
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		<-ctx.Done()
		stop()
	}
	s.say("\ndraining…")
	if err := d.Drain(); err != nil {
		return err
	}
	s.say("every instance has left; %d pieces of engine memory held", d.Fleet.UsedPieces())
	return nil
}

type show struct {
	out io.Writer
}

func (s *show) say(format string, args ...any) {
	_, _ = fmt.Fprintf(s.out, format+"\n", args...)
}

func (s *show) tour(d *launcher.Deployment) {
	s.say("\nAn installer in Braga asks for a battery report (norte-a, streamed):")
	s.stream(d.InstanceSettings[0].CallerAddress, "assistant", emulator.WithAnswerTokens(36, "battery life of a doorbell "+strings.Repeat("reading ", 300)))
	s.say("\nA decorator sends a photo description (norte-b, streamed):")
	s.stream(d.InstanceSettings[2].CallerAddress, "knots", emulator.WithAnswerTokens(24, "warm white strand, knot at lamp 40 "+strings.Repeat("lamp ", 600)))
	s.say("\nA shop in Faro taps reorder, and its phone sends it twice, through two instances:")
	s.order(d.InstanceSettings[0].CallerAddress, "tap-1")
	s.order(d.InstanceSettings[3].CallerAddress, "tap-1")
	ran := 0
	for _, dc := range d.Users[0].DataCentres {
		ran += d.Fleet.Service(d.Users[0].ServiceEndpointID(dc)).TotalExecutions()
	}
	s.say("  the shop's service carried out %d order", ran)
	s.say("\nA model that nobody published:")
	s.stream(d.InstanceSettings[5].CallerAddress, "oracle", "hello")
}

// stream sends a streamed completion and prints it as it comes.
func (s *show) stream(address, model, prompt string) {
	body, _ := json.Marshal(map[string]any{"model": model, "prompt": prompt, "stream": true})
	began := time.Now()
	answer, err := http.Post("http://"+address+"/v1/completions", "application/json", bytes.NewReader(body))
	if err != nil {
		s.say("  failed: %v", err)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		s.refused(answer)
		return
	}
	var text strings.Builder
	var first time.Duration
	lines := bufio.NewScanner(answer.Body)
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
		if first == 0 {
			first = time.Since(began)
		}
		text.WriteString(chunk.Choices[0].Text)
	}
	tokens := text.Len() / 4
	between := float64(time.Since(began)-first) / float64(time.Millisecond) / float64(max(1, tokens-1))
	s.say("  %s", strings.TrimSpace(text.String()))
	s.say("  first token after %d ms, %d tokens, %.1f ms between tokens, whole answer right: %v",
		first.Milliseconds(), tokens, between, text.String() == emulator.ExpectedAnswer(prompt, tokens))
}

func (s *show) refused(answer *http.Response) {
	reason, _ := io.ReadAll(answer.Body)
	s.say("  refused with %d, outcome %s: %s", answer.StatusCode, answer.Header.Get("Figseam-Outcome"), bytes.TrimSpace(reason))
}

func (s *show) order(address, key string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/shop-api/orders", strings.NewReader("1 crate of chime cells"))
	if err != nil {
		return
	}
	request.Header.Set("Idempotency-Key", key)
	request.Header.Set("Authorization", "Bearer faro")
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		s.say("  failed: %v", err)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	text, _ := io.ReadAll(answer.Body)
	s.say("  %s through %s: %d %s (replayed: %t)", key, address, answer.StatusCode,
		bytes.TrimSpace(text), answer.Header.Get("Figseam-Replayed") == "true")
}
