package recorder_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam/recorder"
)

// blockedWriter is an output whose Write blocks until unblock is closed. blocked is closed when the
// first write has begun.
type blockedWriter struct {
	unblock chan struct{}
	blocked chan struct{}
	once    sync.Once
	mu      sync.Mutex
	text    bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	w.once.Do(func() { close(w.blocked) })
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// TestBlockedOutputDropsLinesWithoutBlockingWrite guards against a stalled reader of the
// log that blocks the process: the output blocks while more lines are written than the
// queue holds. The lines in excess must be dropped and their count logged afterwards.
func TestBlockedOutputDropsLinesWithoutBlockingWrite(t *testing.T) {
	const lines, queued = 5000, 1024
	out := &blockedWriter{unblock: make(chan struct{}), blocked: make(chan struct{})}
	r := recorder.New(out)
	ctx, cancel := context.WithCancel(t.Context())
	done := r.Run(ctx)
	_, err := r.Write([]byte("first\n"))
	require.NoError(t, err)
	<-out.blocked
	for range lines {
		n, err := r.Write([]byte("{}\n"))
		require.NoError(t, err)
		require.Equal(t, 3, n)
	}
	require.EqualValues(t, lines-queued, r.DroppedLines())
	close(out.unblock)
	cancel()
	<-done
	require.Contains(t, out.text.String(), "log lines dropped")
	require.Equal(t, queued, strings.Count(out.text.String(), "{}"))
}

func BenchmarkWrite(b *testing.B) {
	r := recorder.New(&bytes.Buffer{})
	line := bytes.Repeat([]byte("x"), 400)
	for b.Loop() {
		_, _ = r.Write(line)
	}
}
