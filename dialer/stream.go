package dialer

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"

	"github.com/rotisserie/eris"

	"github.com/figseam/figseam"
)

const maxLineBytes = 64 << 10

// stream reads the chunk lines of one attempt. A line of another attempt is a fault of
// the engine and is discarded.
type stream struct {
	body     io.ReadCloser
	scanner  *bufio.Scanner
	attempt  figseam.AttemptID
	finished bool
}

func newStream(body io.ReadCloser, attempt figseam.AttemptID) *stream {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 1024), maxLineBytes)
	return &stream{body: body, scanner: scanner, attempt: attempt}
}

func (s *stream) Next() (c figseam.Chunk, err error) {
	if s.finished {
		return figseam.Chunk{}, io.EOF
	}
	defer func() {
		if err != nil && !errors.Is(err, io.EOF) {
			err = eris.Wrap(err, "read stream")
		}
	}()
	for s.scanner.Scan() {
		var line ChunkLine
		if json.Unmarshal(s.scanner.Bytes(), &line) != nil || line.Tokens < 0 || line.Offset < 0 {
			return figseam.Chunk{}, figseam.ErrProtocol
		}
		if line.Attempt != s.attempt {
			continue
		}
		if line.FinishReason == FinishEvicted {
			return figseam.Chunk{}, figseam.ErrEvicted
		}
		s.finished = line.FinishReason != ""
		return figseam.Chunk(line), nil
	}
	if err := s.scanner.Err(); err != nil {
		return figseam.Chunk{}, err
	}
	return figseam.Chunk{}, io.ErrUnexpectedEOF
}

func (s *stream) Close() error { return s.body.Close() }
