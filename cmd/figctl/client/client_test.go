package client_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam/cmd/figctl/client"
	"github.com/figseam/figseam/emulator"
	"github.com/figseam/figseam/gateway"
)

// TestMalformedAnswersLeaveOutcomeUnknown guards against an answer that is no HTTP, or incomplete,
// and that an operator takes for the acknowledgement or the rejection of a change.
func TestMalformedAnswersLeaveOutcomeUnknown(t *testing.T) {
	const body = `{"version":1}`
	for _, sample := range append(emulator.MalformedAnswers("", body), emulator.CutBodyAnswers("200 OK", "", body)...) {
		server := &emulator.ScriptedServer{Answer: func(int, *http.Request) emulator.ScriptedAnswer { return sample.ScriptedAnswer }}
		address, stop, err := server.Start()
		require.NoError(t, err)
		c := client.New(address)
		_, err = c.Publish(t.Context(), gateway.ChangeBody{})
		require.ErrorIs(t, err, client.ErrUnknownOutcome, sample.Name)
		_, err = c.Config(t.Context())
		require.ErrorIs(t, err, client.ErrUnknownOutcome, sample.Name)
		stop()
	}
}
