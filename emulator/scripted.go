package emulator

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// ConnectionEnd is the way in which a [ScriptedServer] ends a connection after an answer.
type ConnectionEnd int

// Ends of a connection.
const (
	// KeepOpen waits for the next request.
	KeepOpen ConnectionEnd = iota
	// CloseOrderly closes the sending side and reads on until the client closes.
	CloseOrderly
	// Reset resets the connection.
	Reset
)

// ScriptedAnswer is the answer of a [ScriptedServer] to one request.
type ScriptedAnswer struct {
	// Text is sent as it is, and Later, if set, after a pause of LaterMillis.
	Text        string
	Later       string
	LaterMillis int
	// Sent, if set, is called once all of that has been sent.
	Sent func()
	End  ConnectionEnd
	// Early has the answer sent once the head of the request has been read. The body stays
	// unread unless the end is CloseOrderly.
	Early bool
}

// ScriptedServer answers requests with given bytes. It emulates endpoints whose answers are no
// HTTP, or incomplete. Its methods are safe for concurrent use.
type ScriptedServer struct {
	// Answer returns the answer to a request. conn is the number of the connection, from 0.
	Answer func(conn int, r *http.Request) ScriptedAnswer

	// mu guards the fields below.
	mu       sync.Mutex
	conns    []net.Conn
	requests []string
}

// Requests returns method and target of the requests so far.
func (s *ScriptedServer) Requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.requests...)
}

// Connections returns the number of connections so far.
func (s *ScriptedServer) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Start starts the server on a loopback address, which it returns. stop closes the listener and all
// connections and waits for their end.
func (s *ScriptedServer) Start() (address string, stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.serve(l)
	}()
	stop = func() {
		_ = l.Close()
		<-ended
	}
	return l.Addr().String(), stop, nil
}

// serve serves a listener until it is closed, and then closes the connections.
func (s *ScriptedServer) serve(l net.Listener) {
	var serving sync.WaitGroup
	defer serving.Wait()
	defer s.closeConns()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		index := len(s.conns)
		s.conns = append(s.conns, c)
		s.mu.Unlock()
		serving.Go(func() { s.serveConn(index, c) })
	}
}

func (s *ScriptedServer) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
}

// serveConn serves one connection until an answer or the client ends it.
func (s *ScriptedServer) serveConn(index int, c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.requests = append(s.requests, r.Method+" "+r.RequestURI)
		s.mu.Unlock()
		answer := s.Answer(index, r)
		if !answer.Early {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
		}
		if _, err := io.WriteString(c, answer.Text); err != nil {
			return
		}
		if answer.Later != "" {
			time.Sleep(time.Duration(answer.LaterMillis) * time.Millisecond)
			if _, err := io.WriteString(c, answer.Later); err != nil {
				return
			}
		}
		if answer.Sent != nil {
			answer.Sent()
		}
		switch answer.End {
		case CloseOrderly:
			closeSending(c)
			_, _ = io.Copy(io.Discard, reader)
			return
		case Reset:
			reset(c)
			return
		}
	}
}

// closeSending closes the sending side of a TCP connection, or the whole of any other.
func closeSending(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
		return
	}
	_ = c.Close()
}

// reset resets a TCP connection, or closes any other.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
