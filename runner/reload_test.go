package runner_test

import (
	"bytes"
	"context"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam/loader"
	"github.com/figseam/figseam/runner"
)

// logText collects log lines and lets a test wait for one.
type logText struct {
	mu    sync.Mutex
	text  bytes.Buffer
	grown chan struct{}
}

func (l *logText) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case l.grown <- struct{}{}:
	default:
	}
	return l.text.Write(p)
}

// await waits until the log contains a text some number of times.
func (l *logText) await(t *testing.T, text string, times int) {
	for {
		l.mu.Lock()
		n := strings.Count(l.text.String(), text)
		l.mu.Unlock()
		if n >= times {
			return
		}
		select {
		case <-l.grown:
		case <-t.Context().Done():
			require.FailNow(t, "the log lacks "+text)
		}
	}
}

// TestChangedSettingsReachVoterThatWasOpenedAnew guards against changed settings that go to a
// voter that has failed, in place of the one that was opened after it.
func TestChangedSettingsReachVoterThatWasOpenedAnew(t *testing.T) {
	var listeners []net.Listener
	var addresses []string
	for range 4 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners, addresses = append(listeners, l), append(addresses, l.Addr().String())
	}
	settings := loader.RelaySettings{
		Instance: "v", DataCentre: "dc", OperatorAddress: addresses[0], PeerAddress: addresses[1], MetricsAddress: addresses[2], ListAddress: addresses[3],
		Seeds: addresses[:1], DataDir: t.TempDir(), LogLevel: "info", MemoryLimitMegabytes: 256, GracePeriodSeconds: 1, EndpointDrainMillis: 3000, Bootstrap: true,
	}
	ctx, stop := context.WithCancel(context.Background())
	out, reloads, done := &logText{grown: make(chan struct{}, 1)}, make(chan loader.RelaySettings), make(chan struct{})
	go func() {
		defer close(done)
		_ = runner.RunVoterWithRestarts(ctx, settings, reloads, out)
	}()
	// The voter fails as long as its addresses are in use.
	out.await(t, "voter starts again", 3)
	for _, l := range listeners {
		require.NoError(t, l.Close())
	}
	out.await(t, `"started"`, 1)
	changed := settings
	changed.Seeds = []string{"127.0.0.9:1"}
	reloads <- changed
	out.await(t, "127.0.0.9:1", 1)
	stop()
	<-done
}
