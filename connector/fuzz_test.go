package connector_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam/connector"
	"github.com/figseam/figseam/limiter"
)

// countingReader counts the bytes that are read.
type countingReader struct {
	io.Reader
	read int
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.read += n
	return n, err
}

// FuzzReadResponse checks that a head is bounded, and that no interim response and no status that
// is none of HTTP is returned.
func FuzzReadResponse(f *testing.F) {
	f.Add("HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 1)
	f.Add("HTTP/1.1 103 E\r\nLink: x\r\n\r\n", "", 5000)
	f.Add("Name: value\r\n", "", 9000)
	f.Add("HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok", "", 1)
	f.Fuzz(func(t *testing.T, repeated, rest string, times int) {
		if times < 0 || times*len(repeated) > 1<<20 {
			return
		}
		source := &countingReader{Reader: strings.NewReader(strings.Repeat(repeated, times) + rest)}
		r, err := connector.ReadResponse(source, &http.Request{Method: http.MethodGet})
		require.LessOrEqual(t, source.read, limiter.MaxHeadBytes)
		if err == nil {
			require.GreaterOrEqual(t, r.StatusCode, http.StatusOK)
			require.Less(t, r.StatusCode, 600)
		}
	})
}
