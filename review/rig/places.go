package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["places"] = placesCase }

const (
	// entryDescriptors is max_descriptors of the entry. Callers may have a quarter of them as
	// connections.
	entryDescriptors = 4100
	// neededDescriptors is the number of descriptors that the stand-ins need.
	neededDescriptors = 3000
	// calmCallers is the number of clients on a calm day, burstCallers that in a burst.
	calmCallers  = 566
	burstCallers = 1300
	burstTime    = 10 * time.Second
	// reconnectPause is the time after which a client opens another channel.
	reconnectPause = 100 * time.Millisecond
	// allowedLosses is how often the rule allows a channel to be closed without an answer.
	allowedLosses = 3
)

// placesCase has more clients than an entry has places send orders on channels that they keep.
func placesCase(r *caseRun) (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < neededDescriptors {
		return 0, fmt.Errorf("%d descriptors are needed: %d, %v", neededDescriptors, limit.Cur, err)
	}
	s, err := r.startPlainServer(serverHost, "i-0", "desk", "za", 200*time.Millisecond)
	if err != nil {
		return 0, err
	}
	config := configuration(1, []map[string]any{route("r-1", "shop.example", "/lohu/", "non_idempotent", "desk", nil)}, "desk")
	if _, err := r.startDeployment(1, config); err != nil {
		return 0, err
	}
	time.Sleep(contactWindow + time.Second)
	clients := calmCallers
	if r.trouble {
		clients = burstCallers
	}
	r.note("%d clients send orders to an entry with %d places", clients, entryDescriptors/4)
	l := &losses{counts: map[string]int{}}
	var wg sync.WaitGroup
	end := time.Now().Add(burstTime)
	for i := range clients {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); {
				n = r.keepChannel(s, l, i, n, end)
				time.Sleep(reconnectPause)
			}
		})
	}
	wg.Wait()
	for outcome, n := range l.counts {
		r.note("%d orders: %s", n, outcome)
	}
	r.note("%d orders on kept channels were passed on to the sound server, which ran them, and their channel was closed without an answer", l.lost)
	if l.lost > allowedLosses {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// losses counts the outcomes of orders.
type losses struct {
	mu     sync.Mutex
	counts map[string]int
	// lost is the number of orders on kept channels that ran and got no answer.
	lost int
}

// keepChannel sends one order after the other on a channel until it is closed. n is the number of
// orders that the client has sent before; it returns that with these.
func (r *caseRun) keepChannel(s *plainServer, l *losses, client, n int, end time.Time) int {
	c, err := net.DialTimeout("tcp", r.address(entryHosts, callerPort), time.Second)
	if err != nil {
		return n
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for kept := false; time.Now().Before(end); kept = true {
		id := fmt.Sprintf("q-%d-%d", client, n)
		n++
		_ = c.SetDeadline(time.Now().Add(2 * time.Second))
		_, _ = fmt.Fprintf(c, "POST /lohu/2f HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 0\r\nX-Figseam-Request-Id: %s\r\nX-Figseam-Request-Timeout-Ms: 1000\r\n\r\n", id)
		response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
		outcome, pause := "", time.Duration(0)
		closed := err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
			pause = time.Duration(seconds * float64(time.Second))
		}
		switch {
		case closed:
			time.Sleep(200 * time.Millisecond)
			outcome = fmt.Sprintf("channel closed without an answer, kept channel: %v, run %d times", kept, s.ran(id))
		case err != nil:
			outcome = fmt.Sprintf("no complete answer in time, run %d times", s.ran(id))
		default:
			outcome = fmt.Sprintf("answer %d", response.StatusCode)
		}
		r.note("client sent %s: %s", id, outcome)
		l.mu.Lock()
		l.counts[outcome]++
		if closed && kept && s.ran(id) > 0 {
			l.lost++
		}
		l.mu.Unlock()
		if err != nil || response.Close {
			return n
		}
		time.Sleep(pause)
	}
	return n
}
