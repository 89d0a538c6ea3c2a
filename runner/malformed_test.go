package runner

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/dialer"
	"github.com/figseam/figseam/emulator"
	"github.com/figseam/figseam/messenger"
	"github.com/figseam/figseam/platform"
)

// callKind is a kind of call to an engine, a service, a list or a peer outside the relayer.
type callKind struct {
	name string
	// body is the body of a sound answer; calls to peers have none, since their handshake differs
	// from call to call.
	body string
	call func(ctx context.Context, address string) error
}

// callKinds returns all kinds of calls, first the seven to model engines, which share a client whose
// connections are kept.
func callKinds() []callKind {
	models := dialer.New(newModelEngineClient())
	const chunk = `{"request":"r","attempt":"a","offset":0,"tokens":1,"text":"x","finish":"stop"}` + "\n"
	engine := func(address string) figseam.Engine {
		return models.Engine(figseam.Endpoint{Name: "e", Address: "http://" + address})
	}
	first := func(s figseam.ChunkStream, err error) error {
		if err != nil {
			return err
		}
		defer func() { _ = s.Close() }()
		_, err = s.Next()
		return err
	}
	listed := func(address string) figseam.ListedEndpoint { return figseam.ListedEndpoint{ID: "e", Address: address} }
	voter := platform.NewStageController(newEngineClient(), func(figseam.ListedEndpoint, figseam.EndpointNotice) {})
	return []callKind{
		{"prefill", `{"attempt":"a","tokens":1,"cached":0,"hold_ms":1}`, func(ctx context.Context, address string) error {
			_, err := engine(address).Prefill(ctx, figseam.PrefillParams{Attempt: "a"})
			return err
		}},
		{"decode", chunk, func(ctx context.Context, address string) error {
			return first(engine(address).Decode(ctx, figseam.DecodeParams{Attempt: "a"}))
		}},
		{"resumed stream", chunk, func(ctx context.Context, address string) error {
			return first(engine(address).Resume(ctx, "a", 0))
		}},
		{"cancellation", `{}`, func(ctx context.Context, address string) error { return engine(address).Cancel(ctx, "a") }},
		{"load report", `{}`, func(ctx context.Context, address string) error {
			_, err := engine(address).Load(ctx, false)
			return err
		}},
		{"cache events", `{}`, func(ctx context.Context, address string) error {
			_, err := engine(address).CacheEvents(ctx, 0)
			return err
		}},
		{"order of named objects", `{}`, func(ctx context.Context, address string) error {
			return engine(address).Reconfigure(ctx, figseam.EngineReconfig{})
		}},
		{"service call", "answer", func(ctx context.Context, address string) error {
			c, err := dialer.Connect(ctx, figseam.Endpoint{Name: "s", Address: "http://" + address})
			if err != nil {
				return err
			}
			defer func() { _ = c.Close() }()
			_, err = c.Do(ctx, dialer.ServiceCall{Method: http.MethodPost, Path: "/x", Header: http.Header{}})
			return err
		}},
		{"report to a voter", `{"stage":"decode"}`, func(ctx context.Context, address string) error {
			_, err := voter.QueryState(ctx, listed(address))
			return err
		}},
		{"order of a voter", `{}`, func(ctx context.Context, address string) error {
			_, err := voter.ChangeStage(ctx, listed(address), figseam.StageChange{})
			return err
		}},
		{"list", `{"instances":[]}`, func(ctx context.Context, address string) error {
			_, err := platform.NewEndpointSource(newListClient(), address, zerolog.Nop()).Read(ctx)
			return err
		}},
		{"handshake with a peer", "", func(ctx context.Context, address string) error {
			m := messenger.New("self", nil, zerolog.Nop())
			defer m.Close()
			_, err := messenger.Call[int, int](ctx, m, address, "kind", 1)
			return err
		}},
	}
}

// TestMalformedAnswersAreErrors guards against answers that are no HTTP, or of which a part is
// missing, and that an instance takes for a report, a list or the confirmation of an order. Each
// is sent on a new connection and, where connections are kept, on one that carried a call before.
func TestMalformedAnswersAreErrors(t *testing.T) {
	for _, kind := range callKinds() {
		t.Run(kind.name, func(t *testing.T) { testSamples(t, kind, emulator.MalformedAnswers("", kind.body)) })
	}
}

// TestCutBodiesAreErrors is the same for answers whose body is cut after all that the instance needs of
// it. The lines of a decode show themselves where the answer ends.
func TestCutBodiesAreErrors(t *testing.T) {
	for _, kind := range callKinds() {
		if kind.name == "decode" || kind.name == "resumed stream" {
			continue
		}
		t.Run(kind.name, func(t *testing.T) { testSamples(t, kind, emulator.CutBodyAnswers("200 OK", "", kind.body)) })
	}
}

// TestCutRefusalsAreNoRefusals guards against a refusal that is not complete and that counts as the
// promise of an engine that it did nothing.
func TestCutRefusalsAreNoRefusals(t *testing.T) {
	for _, kind := range callKinds()[:7] {
		t.Run(kind.name, func(t *testing.T) {
			testSamples(t, kind, emulator.CutBodyAnswers("503 Service Unavailable", "", `{"error":"full"}`))
			testSamples(t, kind, emulator.CutBodyAnswers("404 Not Found", "", `{"error":"not_held"}`))
		})
	}
}

// testSamples checks that a call returns an error, and none that stands for a refusal, for each
// answer.
func testSamples(t *testing.T, kind callKind, samples []emulator.MalformedAnswer) {
	for _, sample := range samples {
		for _, before := range []int{0, 1} {
			calls := 0
			server := &emulator.ScriptedServer{Answer: func(int, *http.Request) emulator.ScriptedAnswer {
				if calls++; calls <= before {
					return emulator.ScriptedAnswer{Text: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(kind.body), kind.body)}
				}
				return sample.ScriptedAnswer
			}}
			address, stop, err := server.Start()
			require.NoError(t, err)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			for range before {
				require.Equal(t, kind.body != "", kind.call(ctx, address) == nil, "a sound answer")
			}
			err = kind.call(ctx, address)
			require.Error(t, err, "%s after %d calls", sample.Name, before)
			for _, refusal := range []error{figseam.ErrEngineFull, figseam.ErrAttemptNotFound, figseam.ErrEngineDraining, context.DeadlineExceeded} {
				require.NotErrorIs(t, err, refusal, sample.Name)
			}
			cancel()
			stop()
		}
	}
}
