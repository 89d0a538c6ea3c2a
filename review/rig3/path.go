package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

func init() { cases["14"] = heldPath }

const (
	heldStreams  = 40
	heldTime     = 2600 * time.Millisecond
	heldWaves    = 3
	waveTime     = 12 * time.Second
	mostClosed   = 3
	streamTokens = 350
	streamPrompt = 400
)

// heldPath holds back the bytes between one decode engine and the entries for a time that is
// shorter than the callers' patience, while one entry relays many streams from it.
func heldPath(r *recorder, trouble bool) (bool, error) {
	const kvTokens = 57979
	d, err := newDeployment(shape{voters: 3, entries: 3, entryMemory: 284, voterMemory: 280, prefillers: 4, decoders: 8, serviceEndpoints: 3, kvTokens: kvTokens}, r)
	if err != nil {
		return false, err
	}
	defer d.end()
	if err := d.start(configuration(1, kvTokens)); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	closed, complete, other := 0, 0, 0
	for wave := range heldWaves {
		var (
			mu    sync.Mutex
			tasks sync.WaitGroup
		)
		p := d.entries[wave%len(d.entries)]
		for range number(os.Getenv("STREAMS"), heldStreams) {
			tasks.Go(func() {
				o := d.keptStream(p)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case o.complete && o.status == http.StatusOK:
					complete++
				case o.began:
					closed++
				default:
					other++
				}
			})
		}
		time.Sleep(1500 * time.Millisecond)
		if s, running := d.fleet.busiest(); trouble {
			r.say("wave %d: the path to %s, which runs %d streams, holds back all bytes for %v", wave+1, s.id, running, heldTime)
			s.hold(heldTime)
		}
		tasks.Wait()
		r.say("wave %d: %d streams complete, %d broken off by the entry, %d others so far", wave+1, complete, closed, other)
		time.Sleep(waveTime - 10*time.Second)
	}
	r.say("LOST: %d kept channels closed in the middle of a stream of a sound engine (at most %d)", closed, mostClosed)
	return closed > mostClosed, nil
}

// busiest returns the decode engine with the most runs.
func (f *fleet) busiest() (found *server, running int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		if s.stage == "decode" && (found == nil || s.running > found.running) {
			found = s
		}
	}
	return found, found.running
}

// keptStream sends a call and then a generation on one channel, as a client that keeps its
// channels does, and reads the answer of the generation. The client gives up after the time that
// the pages name: here 3.6 s without an event.
func (d *deployment) keptStream(p *process) (o outcome) {
	const patience = 3600 * time.Millisecond
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", p.ip, callerPort), time.Second)
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	first := newID("40")
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = fmt.Fprintf(c, "GET /status/x HTTP/1.1\r\nHost: %s\r\nX-Figseam-Request-Id: %s\r\nX-Figseam-Request-Timeout-Ms: 1500\r\n\r\n", host, first)
	r, err := http.ReadResponse(reader, nil)
	if err != nil {
		return outcome{err: err}
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := newID("50")
	body := "prompt of " + id
	_, _ = fmt.Fprintf(c, "POST /scan/x HTTP/1.1\r\nHost: %s\r\nX-Figseam-Request-Id: %s\r\nX-Figseam-Model: m\r\nX-Figseam-Token-Usage: %d,%d\r\nX-Figseam-Prompt-Prefix: %s:100,%s:%d\r\nX-Figseam-Request-Timeout-Ms: 14000\r\nContent-Length: %d\r\n\r\n%s",
		host, id, streamPrompt, streamTokens, sharedPart, id, streamPrompt-100, len(body), body)
	_ = c.SetDeadline(time.Now().Add(patience))
	r, err = http.ReadResponse(reader, nil)
	if err != nil {
		return outcome{err: err}
	}
	o.status = r.StatusCode
	buffer := make([]byte, 4096)
	for {
		n, err := r.Body.Read(buffer)
		if n > 0 {
			o.began = o.began || o.status == http.StatusOK
			o.body += string(buffer[:n])
			_ = c.SetDeadline(time.Now().Add(patience))
		}
		if err == nil {
			continue
		}
		o.complete, o.err = err == io.EOF, err
		d.record.add("client", "%s to %s: status %d, %d bytes, complete %t, %v", id, p.name, o.status, len(o.body), o.complete, err)
		return o
	}
}
