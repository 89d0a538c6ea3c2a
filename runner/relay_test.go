package runner_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam/loader"
	"github.com/figseam/figseam/runner"
)

// How long a condition may take to come true; it bounds a failure and no pass.
const (
	eventually = 30 * time.Second
	poll       = 10 * time.Millisecond
)

const configText = `{"version":%d,"routes":[{"name":"r","host":"a.example","path_prefix":"/r/","kind":"non_idempotent","timeout_ms":9000,"service":"s","max_attempts":1}],"services":[{"name":"s"}]}`

// system is a voter, an entry, the platform's list and one endpoint, on loopback
// addresses, in one process.
type system struct {
	t        *testing.T
	entry    loader.RelaySettings
	voter    loader.RelaySettings
	endpoint *httptest.Server
	list     *httptest.Server
	release  chan struct{}
	arrived  chan struct{}

	stopEntry  context.CancelFunc
	entryEnded chan error
	logs       logs
}

// logs is an output that many write to.
type logs struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logs) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logs) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// hosts returns two loopback addresses of this process: on addresses that others use,
// a port may be taken between its choice and its use.
func hosts() (voter, entry string) {
	network := fmt.Sprintf("127.%d.%d.", 1+(os.Getpid()>>8)%250, os.Getpid()%256)
	return network + "1", network + "2"
}

// freePort returns a port that is free on both hosts.
func freePort(t *testing.T) string {
	first, second := hosts()
	for range 100 {
		a, err := net.Listen("tcp", first+":0")
		require.NoError(t, err)
		_, port, err := net.SplitHostPort(a.Addr().String())
		require.NoError(t, err)
		b, err := net.Listen("tcp", second+":"+port)
		_ = a.Close()
		if err == nil {
			_ = b.Close()
			return port
		}
	}
	require.FailNow(t, "no port is free")
	return ""
}

func startSystem(t *testing.T) *system {
	s := &system{t: t, release: make(chan struct{}), arrived: make(chan struct{}, 8), entryEnded: make(chan error, 1)}
	s.endpoint = httptest.NewServer(http.HandlerFunc(s.serveEndpoint))
	s.list = httptest.NewServer(http.HandlerFunc(s.serveList))
	t.Cleanup(s.endpoint.Close)
	t.Cleanup(s.list.Close)
	voter, entry := hosts()
	peers := freePort(t)
	seed := voter + ":" + freePort(t)
	common := loader.RelaySettings{
		DataCentre: "here", Seeds: []string{seed}, ListAddress: s.list.Listener.Addr().String(), LogLevel: "info",
		MemoryLimitMegabytes: 256, GracePeriodSeconds: 8, EndpointDrainMillis: 1200, RetryAllowance: 10, RetryWindowSeconds: 10,
	}
	s.voter, s.entry = common, common
	s.voter.Instance, s.voter.OperatorAddress, s.voter.PeerAddress = "voter", seed, voter+":"+peers
	s.voter.MetricsAddress, s.voter.DataDir, s.voter.Bootstrap = voter+":"+freePort(t), t.TempDir(), true
	s.entry.Instance, s.entry.PeerAddress, s.entry.MetricsAddress = "entry", entry+":"+peers, entry+":"+freePort(t)
	s.entry.CallerAddress, s.entry.ReadinessAddress = entry+":"+freePort(t), entry+":"+freePort(t)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(s.logs.String())
		}
	})
	s.startVoter()
	s.startEntry()
	return s
}

func (s *system) startVoter() {
	v, err := runner.NewVoter(s.voter, &s.logs)
	require.NoError(s.t, err)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- v.Run(ctx) }()
	s.t.Cleanup(func() {
		stop()
		require.NoError(s.t, <-ended)
	})
}

func (s *system) startEntry() {
	ctx, stop := context.WithCancel(context.Background())
	s.stopEntry = stop
	e := runner.NewEntryInstance(s.entry, &s.logs)
	go func() {
		err := e.Run(ctx)
		if err != nil {
			_, _ = fmt.Fprintln(&s.logs, "the entry ended:", err)
		}
		s.entryEnded <- err
	}()
}

// serveEndpoint answers requests to /r/slow once they are released.
func (s *system) serveEndpoint(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/r/slow") {
		s.arrived <- struct{}{}
		<-s.release
	}
	w.Header().Set("X-Figseam-Request-Id", r.Header.Get("X-Figseam-Request-Id"))
	w.Header().Set("X-Figseam-Response-Signature", "signed")
	_, _ = io.WriteString(w, "answer")
}

func (s *system) serveList(w http.ResponseWriter, _ *http.Request) {
	_, _ = fmt.Fprintf(w, `{"instances":[{"id":"e","service":"s","address":%q,"zone":"here","state":"ready","slots":8}],"next_token":null}`,
		s.endpoint.Listener.Addr().String())
}

// put sends a configuration and returns the status, 0 for none.
func (s *system) put(text string) int {
	request, err := http.NewRequest(http.MethodPut, "http://"+s.voter.OperatorAddress+"/figseam/config", strings.NewReader(text))
	require.NoError(s.t, err)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

func (s *system) ready() bool {
	response, err := http.Get("http://" + s.entry.ReadinessAddress + "/figseam/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// caller is a caller's connection.
type caller struct {
	net.Conn
	reader *bufio.Reader
	sent   int
}

func (s *system) call() (*caller, error) {
	c, err := net.Dial("tcp", s.entry.CallerAddress)
	if err != nil {
		return nil, err
	}
	return &caller{Conn: c, reader: bufio.NewReader(c)}, nil
}

func (c *caller) send(path string) error {
	c.sent++
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a.example\r\nX-Figseam-Request-Id: %p-%d\r\nContent-Length: 0\r\n\r\n", path, c, c.sent)
	return err
}

func (c *caller) receive() (status int, body string, closes bool, err error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", false, err
	}
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), response.Close, err
}

// TestWholePathAndGracefulEnd starts a voter and an entry, publishes, has requests
// answered, and stops the entry while it has one under way.
func TestWholePathAndGracefulEnd(t *testing.T) {
	s := startSystem(t)
	require.Eventually(t, func() bool { return s.put(fmt.Sprintf(configText, 3)) == http.StatusOK }, eventually, poll)
	require.Equal(t, http.StatusBadRequest, s.put(`{"version":4`))
	require.Equal(t, http.StatusOK, s.put(fmt.Sprintf(configText, 2)), "an older version is confirmed and changes nothing")
	require.Eventually(t, s.ready, eventually, poll)
	response, err := http.Get("http://" + s.voter.OperatorAddress + "/figseam/config")
	require.NoError(t, err)
	text, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	require.NoError(t, err)
	require.Equal(t, fmt.Sprintf(configText, 3), string(text))

	kept, err := s.call()
	require.NoError(t, err)
	require.NoError(t, kept.send("/r/1"))
	status, body, closes, err := kept.receive()
	require.NoError(t, err)
	require.Equal(t, "200 answer false", strconv.Itoa(status)+" "+body+" "+strconv.FormatBool(closes))

	require.NoError(t, kept.send("/r/slow"))
	<-s.arrived
	s.stopEntry()
	require.Eventually(t, func() bool { return !s.ready() }, eventually, poll)
	late, err := s.call()
	require.NoError(t, err, "connections are taken until the platform has noticed")
	require.NoError(t, late.send("/r/2"))
	status, _, closes, err = late.receive()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.True(t, closes, "a leaving instance keeps no connection")
	require.Eventually(t, func() bool {
		c, err := s.call()
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	}, eventually, poll, "the door is closed while a request is still under way")
	close(s.release)
	status, body, _, err = kept.receive()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "answer", body)
	require.NoError(t, <-s.entryEnded)
	require.Contains(t, s.logs.String(), `"message":"ended"`)
}
