package main

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// platformList is the platform's list of engines. Its entries are the bytes as sent.
type platformList struct {
	// mu guards the fields below.
	mu      sync.Mutex
	entries []string
	// changedAt is the time of the last change, readAt that of the first answer after it.
	changedAt time.Time
	readAt    time.Time
}

// startPlatform serves the list at the platform's address.
func (b *bed) startPlatform(entries ...string) (*platformList, error) {
	list := &platformList{entries: entries}
	l, err := net.Listen("tcp", b.address(platformHost, portPlatform))
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(list.text()))
	})
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(l) }()
	b.cleanUp(func() { _ = server.Close() })
	return list, nil
}

// text returns the page with all entries.
func (p *platformList) text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.readAt.Before(p.changedAt) {
		p.readAt = time.Now()
	}
	return `{"instances":[` + strings.Join(p.entries, ",") + `],"next_token":null}`
}

// set replaces the entries.
func (p *platformList) set(entries ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries, p.changedAt = entries, time.Now()
}
