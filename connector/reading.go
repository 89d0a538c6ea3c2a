package connector

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/figseam/figseam/limiter"
)

// minStatus and maxStatus bound the status codes of HTTP (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// ErrMalformed reports bytes that are no well-formed response. What the endpoint did with the
// request is not known.
var ErrMalformed = errors.New("response is malformed")

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
// [limiter.ErrHeadTooLarge] if they are too long together, and [ErrMalformed] if one is not
// well-formed. observe, if set, is called with each head.
func (r *responseReader) readResponse(request *http.Request, observe func(status int, header http.Header)) (*http.Response, error) {
	r.head.Begin()
	defer r.head.End()
	for {
		response, err := http.ReadResponse(r.reader, request)
		if err != nil {
			return nil, r.head.CheckedError(err)
		}
		if err := checkStatus(response.StatusCode, request); err != nil {
			return nil, err
		}
		if observe != nil {
			observe(response.StatusCode, response.Header)
		}
		if response.StatusCode >= http.StatusOK || isUpgrade(response.StatusCode, request) {
			return response, nil
		}
	}
}

// checkStatus returns [ErrMalformed] for a status that is none of HTTP, and for a switch of
// protocols that the request did not ask for: the bytes after it are no response.
func checkStatus(status int, request *http.Request) error {
	if status < minStatus || status > maxStatus {
		return fmt.Errorf("%w: status %03d", ErrMalformed, status)
	}
	if status == http.StatusSwitchingProtocols && !isUpgrade(status, request) {
		return fmt.Errorf("%w: status %d without a request to switch protocols", ErrMalformed, status)
	}
	return nil
}

// isUpgrade reports whether a status ends the use of HTTP on the connection, as the request asked.
func isUpgrade(status int, request *http.Request) bool {
	return status == http.StatusSwitchingProtocols && request.Header.Get("Upgrade") != ""
}

// ReadResponse reads the response to a request from a connection that carries no other
// request. It skips interim responses, and returns [limiter.ErrHeadTooLarge] if the head is
// too long and [ErrMalformed] if it is not well-formed.
func ReadResponse(source io.Reader, request *http.Request) (*http.Response, error) {
	return newResponseReader(source).readResponse(request, nil)
}
