package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// serverSlots is the number of requests that a server runs at once. No case sends it more.
const serverSlots = 1200

// plainServer is a stand-in of a plain service's server. It records the requests that it ran.
type plainServer struct {
	id, service string

	mu     sync.Mutex
	runs   map[string]int
	active int
	server *http.Server
}

// startPlainServer starts a server that answers each request after a time, and lists it.
func (r *caseRun) startPlainServer(host int, id, service, zone string, work time.Duration) (*plainServer, error) {
	s := &plainServer{id: id, service: service, runs: map[string]int{}}
	l, err := net.Listen("tcp", r.address(host, serverPort))
	if err != nil {
		return nil, err
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("X-Figseam-Instance-Id", id)
		w.Header().Set("X-Figseam-Server-Load", fmt.Sprintf("%d,0,%d", s.working(), serverSlots))
		request := q.Header.Get("X-Figseam-Request-Id")
		if q.URL.Path == "/healthz" {
			return
		}
		if request != "" {
			w.Header().Set("X-Figseam-Request-Id", request)
		}
		if expected := q.Header.Get("X-Figseam-Expect-Instance"); expected != "" && expected != id {
			w.Header().Set("X-Figseam-Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		s.mu.Lock()
		s.runs[request]++
		s.active++
		s.mu.Unlock()
		defer func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.active--
		}()
		r.note("server %s of %s runs %s for host %s, path %s", id, service, request, q.Host, q.URL.Path)
		time.Sleep(work)
		w.Header().Set("X-Figseam-Response-Signature", "sig-"+request)
		_, _ = io.WriteString(w, "done by "+service+"\n")
	})
	s.server = &http.Server{Handler: handler}
	go func() { _ = s.server.Serve(l) }()
	r.list(id, service, r.address(host, serverPort), zone, "", serverSlots)
	return s, nil
}

// stop ends the server with what it is running.
func (s *plainServer) stop() { _ = s.server.Close() }

// working returns the number of requests that the server is running.
func (s *plainServer) working() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// ran returns how often the server ran a request.
func (s *plainServer) ran(request string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[request]
}

// answer is what a client got.
type answer struct {
	status int
	signed bool
	body   string
	err    error
	// retryAfter is the time after which the client may come back; 0 if the answer names none.
	retryAfter time.Duration
}

// send sends a request on a new channel and reads the answer.
func (r *caseRun) send(entry int, method, host, path, id string, limit time.Duration) answer {
	c, err := net.DialTimeout("tcp", r.address(entryHosts+entry, callerPort), time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(limit))
	length := ""
	if method == http.MethodPost {
		length = "Content-Length: 0\r\n"
	}
	_, _ = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\n%sX-Figseam-Request-Id: %s\r\nX-Figseam-Request-Timeout-Ms: %d\r\n\r\n", method, path, host, length, id, limit.Milliseconds())
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, signed: response.Header.Get("X-Figseam-Response-Signature") != "", body: string(body), err: err}
}
