package emulator

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
)

// hostileWriteBytes is the least number of bytes per write of a [HostileServer].
const hostileWriteBytes = 4 << 10

// HostileServer answers requests with bytes that never end. It emulates an endpoint whose
// fault would use up the memory of an instance that reads the whole response.
type HostileServer struct {
	// Prefix is sent once after each request, Repeated again and again until the client
	// closes the connection.
	Prefix, Repeated string
}

// Serve handles a connection until the client closes it.
func (s HostileServer) Serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.WriteEndlessly(c)
}

// WriteEndlessly writes the response until a write fails.
func (s HostileServer) WriteEndlessly(w io.Writer) {
	text := strings.Repeat(s.Repeated, 1+hostileWriteBytes/len(s.Repeated))
	_, err := io.WriteString(w, s.Prefix)
	for err == nil {
		_, err = io.WriteString(w, text)
	}
}

// ServeNext accepts one connection and handles it. The returned channel is closed when the
// client has closed the connection.
func (s HostileServer) ServeNext(l net.Listener) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if c, err := l.Accept(); err == nil {
			s.Serve(c)
		}
	}()
	return ended
}

// HostileHeads returns servers whose response heads never end, by a description.
func HostileHeads() map[string]HostileServer {
	return map[string]HostileServer{
		"status line":                  {Prefix: "HTTP/1.1 200 ", Repeated: "O"},
		"field line":                   {Prefix: "HTTP/1.1 200 OK\r\nName: ", Repeated: "1"},
		"fields":                       {Prefix: "HTTP/1.1 200 OK\r\n", Repeated: "Name: value\r\n"},
		"interim responses":            {Repeated: "HTTP/1.1 100 Continue\r\n\r\n"},
		"interim responses with field": {Repeated: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	}
}
