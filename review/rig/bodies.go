package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { cases["bodies"] = bodiesCase }

const (
	// crowdUploads is the number of clients that send bodies at the same time, calmUploads that
	// on a calm day.
	crowdUploads = 300
	calmUploads  = 131
	// bodyBytes is the length of a body, the largest of the site's requests; max_body_bytes is
	// 4,194,304. It comes in pieces of pieceBytes, pieceGap apart.
	bodyBytes  = 100_000
	pieceBytes = 16 << 10
	pieceGap   = 10 * time.Millisecond
	// uploadTime is the time for which the clients go on sending one request after the other.
	uploadTime = 10 * time.Second
	// uploadDeadline is the time for which a client waits.
	uploadDeadline = 5 * time.Second
)

// bodiesCase has many clients send bodies of legal size at the same time.
func bodiesCase(r *caseRun) (int, error) {
	s, err := r.startPlainServer(serverHost, "i-0", "desk", "za", 30*time.Millisecond)
	if err != nil {
		return 0, err
	}
	config := configuration(1, []map[string]any{
		route("r-1", "shop.example", "/lohu/", "non_idempotent", "desk", map[string]any{"timeout_ms": uploadDeadline.Milliseconds()}),
	}, "desk")
	if _, err := r.startDeployment(1, config); err != nil {
		return 0, err
	}
	time.Sleep(contactWindow + time.Second)
	clients := calmUploads
	if r.trouble {
		clients = crowdUploads
	}
	r.note("%d clients send bodies of %d bytes", clients, bodyBytes)
	var (
		mu     sync.Mutex
		counts = map[string]int{}
		wg     sync.WaitGroup
	)
	end := time.Now().Add(uploadTime)
	for i := range clients {
		wg.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				id := fmt.Sprintf("q-%d-%d", i, k)
				got := r.upload(0, id)
				outcome := fmt.Sprintf("answer %d", got.status)
				switch {
				case got.err != nil:
					outcome = "no complete answer"
				case got.status == http.StatusOK && !got.signed:
					outcome = fmt.Sprintf("200 without a signature, with a body of %d bytes", len(got.body))
				}
				outcome += fmt.Sprintf("; run %d times", s.ran(id))
				r.note("client sent %s: %s", id, outcome)
				mu.Lock()
				counts[outcome]++
				mu.Unlock()
				time.Sleep(got.retryAfter)
			}
		})
	}
	wg.Wait()
	unsigned := 0
	for outcome, n := range counts {
		r.note("%d requests: %s", n, outcome)
		if len(outcome) > 3 && outcome[:3] == "200" {
			unsigned += n
		}
	}
	r.note("%d requests were answered with a success that no server gave", unsigned)
	if unsigned > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// upload sends an order with a body in pieces on a new channel and reads the answer.
func (r *caseRun) upload(entry int, id string) answer {
	c, err := net.DialTimeout("tcp", r.address(entryHosts+entry, callerPort), time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(uploadDeadline + time.Second))
	body := bytes.Repeat([]byte("x"), bodyBytes)
	go func() {
		_, _ = fmt.Fprintf(c, "POST /lohu/2f HTTP/1.1\r\nHost: shop.example\r\nContent-Length: %d\r\nX-Figseam-Request-Id: %s\r\nX-Figseam-Request-Timeout-Ms: %d\r\n\r\n",
			len(body), id, uploadDeadline.Milliseconds())
		for rest := body; len(rest) > 0; rest = rest[min(len(rest), pieceBytes):] {
			if _, err := c.Write(rest[:min(len(rest), pieceBytes)]); err != nil {
				return
			}
			time.Sleep(pieceGap)
		}
	}()
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return answer{
		status: response.StatusCode, signed: response.Header.Get("X-Figseam-Response-Signature") != "", body: string(text), err: err,
		retryAfter: time.Duration(seconds * float64(time.Second)),
	}
}
