// Package recorder writes log lines without blocking the goroutines that log.
//
// Lines pass through a bounded queue to one goroutine. If the output is too slow and
// the queue is full, lines are dropped and counted, and the count is logged with the
// next batch.
package recorder

import (
	"context"
	"io"
	"strconv"
	"sync/atomic"
)

const (
	// queueCapacityLines is the maximum number of queued lines.
	queueCapacityLines = 1024
	// batchLimitBytes is the size from which no further lines are added to a batch. The
	// last line and the count of dropped lines may exceed it.
	batchLimitBytes = 32 << 10
)

// Recorder is a non-blocking io.Writer of log lines. It is safe for concurrent use.
type Recorder struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
}

// New returns a recorder that writes to out while [Recorder.Run] runs.
func New(out io.Writer) *Recorder {
	return &Recorder{out: out, lines: make(chan []byte, queueCapacityLines)}
}

// Write queues a copy of a line, or drops the line if the queue is full. It never blocks
// and returns no error.
func (r *Recorder) Write(line []byte) (int, error) {
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// DroppedLines returns the number of dropped lines that have not been logged yet.
func (r *Recorder) DroppedLines() uint64 { return r.dropped.Load() }

// Run writes queued lines in the background until ctx ends, then writes the rest of the
// queue. It returns a channel that is closed when the background goroutine has ended. Errors of
// the output are ignored.
func (r *Recorder) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case line := <-r.lines:
				r.writeBatch(line)
			case <-ctx.Done():
				select {
				case line := <-r.lines:
					r.writeBatch(line)
					continue
				default:
				}
				return
			}
		}
	}()
	return done
}

// writeBatch appends the queued lines to batch up to its limit, and the count of dropped
// lines if there are any, and writes the batch with one call.
func (r *Recorder) writeBatch(batch []byte) {
	for len(batch) < batchLimitBytes {
		select {
		case line := <-r.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	if n := r.dropped.Swap(0); n > 0 {
		batch = append(batch, `{"level":"warn","lines":`+strconv.FormatUint(n, 10)+`,"message":"log lines dropped"}`+"\n"...)
	}
	_, _ = r.out.Write(batch)
}
