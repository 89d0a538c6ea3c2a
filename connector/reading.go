package connector

import (
	"bufio"
	"io"
	"net/http"

	"github.com/figseam/figseam/limiter"
)

// responseReader reads the responses on one connection.
type responseReader struct {
	reader *bufio.Reader
	// head bounds the heads that reader reads.
	head *limiter.HeadReader
}

func newResponseReader(source io.Reader) *responseReader {
	head := limiter.NewHeadReader(source)
	return &responseReader{reader: bufio.NewReaderSize(head, readBufferBytes), head: head}
}

// readResponse reads the head of the next response and skips interim responses. It returns
// [limiter.ErrHeadTooLarge] if they are too long together. observe, if set, is called with
// each head.
func (r *responseReader) readResponse(request *http.Request, observe func(status int, header http.Header)) (*http.Response, error) {
	r.head.Begin()
	defer r.head.End()
	for {
		response, err := http.ReadResponse(r.reader, request)
		if err != nil {
			return nil, r.head.CheckedError(err)
		}
		if observe != nil {
			observe(response.StatusCode, response.Header)
		}
		if response.StatusCode >= http.StatusOK || isUpgrade(response.StatusCode, request) {
			return response, nil
		}
	}
}

// isUpgrade reports whether a status ends the use of HTTP on the connection, as the request asked.
func isUpgrade(status int, request *http.Request) bool {
	return status == http.StatusSwitchingProtocols && request.Header.Get("Upgrade") != ""
}

// ReadResponse reads the response to a request from a connection that carries no other
// request. It skips interim responses, and returns [limiter.ErrHeadTooLarge] if the head is
// too long.
func ReadResponse(source io.Reader, request *http.Request) (*http.Response, error) {
	return newResponseReader(source).readResponse(request, nil)
}
