package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["prefix"] = prefixCase }

const (
	// crowdSize is the number of clients of a crowd at each entry.
	crowdSize = 600
	// crowdHold is the time for which a client of a crowd keeps its channel open.
	crowdHold = 6 * time.Second
	// prefixBytes is the length of the header that lists the parts of a prompt. With it, the
	// head stays under max_header_bytes, which is 16,384.
	prefixBytes = 15_800
	crowds      = 3
)

// prefixCase has crowds of clients send heads of legal size that list very many parts of a
// prompt, and bodies that stop short of their end.
func prefixCase(r *caseRun) (int, error) {
	if _, err := r.startPlainServer(serverHost, "i-0", "desk", "za", 100*time.Millisecond); err != nil {
		return 0, err
	}
	config := configuration(1, []map[string]any{route("r-1", "shop.example", "/lohu/", "non_idempotent", "desk", nil)}, "desk")
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
	for n := range crowds {
		time.Sleep(calmTime)
		r.sendCrowd(n, len(entries))
	}
	time.Sleep(calmTime)
	close(stop)
	r.noteOrders(<-orders)
	return r.judgeKills(all, crowds), nil
}

// sendCrowd sends the requests of a crowd to each entry. Their bodies lack the last byte. Without
// the disruption, the heads are as long but list a single part.
func (r *caseRun) sendCrowd(number, entries int) {
	prefix := strings.Repeat(":,", prefixBytes/2)
	if !r.trouble {
		prefix = strings.Repeat("x", prefixBytes-2) + ":1"
	}
	head := "POST /lohu/2f HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 10\r\nX-Figseam-Request-Timeout-Ms: 14000\r\n" +
		"X-Figseam-Prompt-Prefix: " + prefix + "\r\n"
	r.note("a crowd of %d clients at each entry sends heads of %d bytes", crowdSize, len(head)+len("X-Figseam-Request-Id: c-0-0-000\r\n\r\n"))
	var wg sync.WaitGroup
	for entry := range entries {
		for i := range crowdSize {
			wg.Go(func() {
				c, err := net.DialTimeout("tcp", r.address(entryHosts+entry, callerPort), time.Second)
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				_, _ = io.WriteString(c, head+fmt.Sprintf("X-Figseam-Request-Id: c-%d-%d-%d\r\n\r\n123456789", number, entry, i))
				time.Sleep(crowdHold)
			})
		}
	}
	wg.Wait()
}

// noteOrders records the orders that got no success.
func (r *caseRun) noteOrders(orders []order) {
	failed := 0
	for _, o := range orders {
		if o.got.status != http.StatusOK {
			failed++
			r.note("client sent order %s at %.3f s: answer %d %v", o.id, o.sentAt.Sub(r.began).Seconds(), o.got.status, o.got.err)
		}
	}
	r.note("orders: %d answered with 200, %d not", len(orders)-failed, failed)
}

// judgeKills reports the rule as broken if two entries were killed often enough.
func (r *caseRun) judgeKills(all []*supervised, often int) int {
	machines := 0
	for _, s := range all {
		s.mu.Lock()
		r.note("front-%d was killed %d times for using more than %d MB; the most it used was %d KB", s.index, s.kills, entryMemoryMB, s.peak)
		if s.kills >= often {
			machines++
		}
		s.mu.Unlock()
	}
	if machines >= 2 {
		return exitBroken
	}
	return exitHeld
}
