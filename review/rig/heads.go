package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["heads"] = headsCase }

const (
	// entryMemoryMB is memory_mb of an entry.
	entryMemoryMB = 134
	// callerRate is the number of requests a second at each entry.
	callerRate = 20
	// troubleTime and calmTime are the lengths of a trouble of the servers and of the pause
	// after it.
	troubleTime = 7 * time.Second
	calmTime    = 4 * time.Second
	troubles    = 3
	// burstHeadBytes is the part of an endless head that comes at once; the rest comes line by
	// line.
	burstHeadBytes = 60 << 10
	// restartDelay is the time until the platform starts a process that was killed.
	restartDelay = 300 * time.Millisecond
)

// supervised is an entry that is killed when it uses more than its memory, and started again.
type supervised struct {
	run   *caseRun
	index int

	mu    sync.Mutex
	cmd   *exec.Cmd
	kills int
	peak  int
}

// watch kills the entry whenever it uses more than its memory, until stop is closed.
func (s *supervised) watch(stop <-chan struct{}) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		used := residentKilobytes(s.cmd)
		s.mu.Lock()
		s.peak = max(s.peak, used)
		s.mu.Unlock()
		if used <= entryMemoryMB<<10 {
			continue
		}
		s.run.note("front-%d uses %d KB of %d KB: the platform kills it", s.index, used, entryMemoryMB<<10)
		_ = s.cmd.Process.Kill()
		_ = s.cmd.Wait()
		time.Sleep(restartDelay)
		cmd, err := s.run.startProcess("entry", s.run.settings("entry", entryHosts+s.index, fmt.Sprintf("front-%d", s.index), "za", nil))
		if err != nil {
			s.run.note("front-%d did not start: %v", s.index, err)
			return
		}
		s.mu.Lock()
		s.cmd = cmd
		s.kills++
		s.mu.Unlock()
	}
}

// headsCase has the servers of one service send heads that do not end.
func headsCase(r *caseRun) (int, error) {
	var inTrouble atomic.Bool
	var endless atomic.Int64
	for i := range 2 {
		if err := r.startEngine(serverHost+i, fmt.Sprintf("e-%d", i), &inTrouble, &endless); err != nil {
			return 0, err
		}
	}
	if _, err := r.startPlainServer(serverHost+5, "i-0", "desk", "za", 100*time.Millisecond); err != nil {
		return 0, err
	}
	config := configuration(1, []map[string]any{
		route("r-1", "shop.example", "/lohu/", "non_idempotent", "desk", nil),
		route("r-2", "shop.example", "/pufi/", "stream", "pool", map[string]any{"timeout_ms": 14000, "target_latency_ms": 900, "gap_aim_ms": 300}),
	}, "desk", "pool")
	entries, err := r.startDeployment(2, config)
	if err != nil {
		return 0, err
	}
	time.Sleep(contactWindow + time.Second)
	stop := make(chan struct{})
	var all []*supervised
	for i, cmd := range entries {
		s := &supervised{run: r, index: i, cmd: cmd}
		all = append(all, s)
		go s.watch(stop)
	}
	orders := r.sendOrders(stop)
	for i := range entries {
		go r.sendStreams(i, stop)
	}
	for range troubles {
		time.Sleep(calmTime)
		if r.trouble {
			inTrouble.Store(true)
			r.note("the servers of pool send heads without end")
		}
		time.Sleep(troubleTime)
		inTrouble.Store(false)
		r.note("the servers of pool answer again; heads without end so far: %d", endless.Load())
	}
	time.Sleep(calmTime)
	close(stop)
	r.noteOrders(<-orders)
	return r.judgeKills(all, troubles), nil
}

// endlessHead returns the first part of a head of short fields.
func endlessHead() string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"
	n := len(letters)
	var b strings.Builder
	for i := 0; b.Len() < burstHeadBytes; i++ {
		b.Write([]byte{letters[i%n], letters[i/n%n], letters[i/n/n%n], ':', '\n'})
	}
	return b.String()
}

// startEngine starts a server of streams and lists it. While it is in trouble, it answers with
// a head without end until the caller closes the channel.
func (r *caseRun) startEngine(host int, id string, inTrouble *atomic.Bool, endless *atomic.Int64) error {
	l, err := net.Listen("tcp", r.address(host, serverPort))
	if err != nil {
		return err
	}
	noise := endlessHead()
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		reader := bufio.NewReader(c)
		for {
			q, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, q.Body)
			head := "HTTP/1.1 200 OK\r\nX-Figseam-Request-Id: " + q.Header.Get("X-Figseam-Request-Id") +
				"\r\nX-Figseam-Response-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
			if inTrouble.Load() {
				endless.Add(1)
				_, err := io.WriteString(c, head+noise)
				for i := 0; err == nil; i++ {
					time.Sleep(250 * time.Millisecond)
					_, err = fmt.Fprintf(c, "y%d:\n", i)
				}
				return
			}
			_, _ = io.WriteString(c, head+"\r\n")
			for n := range 35 {
				event := fmt.Sprintf("id: %d\ndata: %s\n\n", n+1, strings.Repeat("x", 40))
				if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
			_, _ = io.WriteString(c, "0\r\n\r\n")
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	r.list(id, "pool", r.address(host, serverPort), "za", "", 64)
	return nil
}

// sendStreams sends callerRate requests for streams a second to an entry until stop is closed.
func (r *caseRun) sendStreams(entry int, stop <-chan struct{}) {
	ticker := time.NewTicker(time.Second / callerRate)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		go func() {
			got := r.send(entry, http.MethodGet, "shop.example", "/pufi/2f", fmt.Sprintf("s-%d-%d", entry, i), 14*time.Second)
			if i%20 == 0 {
				r.note("client's stream s-%d-%d ended: %d, %d bytes, %v", entry, i, got.status, len(got.body), got.err)
			}
		}()
	}
}
