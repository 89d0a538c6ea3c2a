package runner

import (
	"net/http"

	"github.com/figseam/figseam/connector"
)

// listDialTimeoutMillis limits the time to open a connection to the platform.
const listDialTimeoutMillis = 500

// newModelEngineClient returns a client for the engines of named objects and for their list.
func newModelEngineClient() *http.Client {
	return &http.Client{Transport: connector.NewTransport(connector.TransportSettings{
		DialTimeoutMillis: engineDialTimeoutMillis, MaxIdlePerAddress: maxIdleConnsPerEngine,
	})}
}

// newEngineClient returns a client for orders to engines and queries of their state. Each
// request has a connection of its own.
func newEngineClient() *http.Client {
	return &http.Client{Transport: connector.NewTransport(connector.TransportSettings{})}
}

// newListClient returns a client for the platform's list of endpoints.
func newListClient() *http.Client {
	return &http.Client{Transport: connector.NewTransport(connector.TransportSettings{
		DialTimeoutMillis: listDialTimeoutMillis, MaxIdlePerAddress: 1,
	})}
}
