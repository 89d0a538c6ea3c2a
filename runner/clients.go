package runner

import (
	"net"
	"net/http"
	"time"

	"github.com/figseam/figseam/limiter"
)

// listDialTimeoutMillis limits the time to open a connection to the platform.
const listDialTimeoutMillis = 500

// newEngineClient returns a client for orders to engines and queries of their state.
func newEngineClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: limiter.MaxHeadBytes}}
}

// newListClient returns a client for the platform's list of endpoints.
func newListClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:            (&net.Dialer{Timeout: listDialTimeoutMillis * time.Millisecond}).DialContext,
		MaxIdleConnsPerHost:    1,
		DisableCompression:     true,
		MaxResponseHeaderBytes: limiter.MaxHeadBytes,
	}}
}
