package watcher_test

import (
	"net/http"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam/connector"
	"github.com/figseam/figseam/emulator"
	"github.com/figseam/figseam/watcher"
)

const listBody = `{"instances":[{"name":"i","address":"10.0.0.1:1","state":"ready"}],"endpoints":[]}`

// fetch reads the list from a server that sends an answer.
func fetch(t *testing.T, answer emulator.ScriptedAnswer) (watcher.PlatformList, error) {
	server := &emulator.ScriptedServer{Answer: func(int, *http.Request) emulator.ScriptedAnswer { return answer }}
	address, stop, err := server.Start()
	require.NoError(t, err)
	defer stop()
	client := &http.Client{Transport: connector.NewTransport(connector.TransportSettings{MaxIdlePerAddress: 1})}
	defer client.CloseIdleConnections()
	return watcher.New(client, "http://"+address, nil, nil, nil, nil, zerolog.Nop()).FetchList(t.Context())
}

// TestMalformedListIsNotUsed guards against a list in an answer that is no HTTP or incomplete.
func TestMalformedListIsNotUsed(t *testing.T) {
	list, err := fetch(t, emulator.ScriptedAnswer{Text: "HTTP/1.1 200 OK\r\n\r\n" + listBody, End: emulator.CloseOrderly})
	require.NoError(t, err)
	require.Len(t, list.Instances, 1)
	for _, sample := range append(emulator.MalformedAnswers("", listBody), emulator.CutBodyAnswers("200 OK", "", listBody)...) {
		_, err := fetch(t, sample.ScriptedAnswer)
		require.Error(t, err, sample.Name)
	}
}
