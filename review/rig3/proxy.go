package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// behindProxyPort is the port on which an instance behind a proxy listens for its peers.
const behindProxyPort = 17381

// links carries the channels between voters through proxies, one before each voter. It can cut a
// voter off from all others: then no byte passes in either direction, and nothing is reset.
type links struct {
	// mu guards the fields below.
	mu        sync.Mutex
	isolated  string
	changed   chan struct{}
	listeners []net.Listener
	conns     map[net.Conn]struct{}
}

func newLinks() *links { return &links{changed: make(chan struct{}), conns: map[net.Conn]struct{}{}} }

// serve accepts the channels to the voter with an address.
func (l *links) serve(ip string) error {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, peerPort))
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.listeners = append(l.listeners, listener)
	l.mu.Unlock()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(c, ip)
		}
	}()
	return nil
}

// isolate cuts the voter with an address off from the others; an empty one ends the cut.
func (l *links) isolate(ip string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isolated = ip
	close(l.changed)
	l.changed = make(chan struct{})
}

// await returns once bytes may pass between two addresses.
func (l *links) await(from, to string) {
	for {
		l.mu.Lock()
		cut, changed := l.isolated != "" && from != to && (from == l.isolated || to == l.isolated), l.changed
		l.mu.Unlock()
		if !cut {
			return
		}
		<-changed
	}
}

// carry passes the bytes of a channel on. The head of its first request names the instance that
// opened it.
func (l *links) carry(c net.Conn, to string) {
	defer l.drop(c)
	l.keep(c)
	var head bytes.Buffer
	reader := bufio.NewReader(c)
	from := ""
	for {
		line, err := reader.ReadString('\n')
		head.WriteString(line)
		if err != nil {
			return
		}
		name, value, _ := strings.Cut(strings.TrimSpace(line), ":")
		if strings.EqualFold(name, "Figseam-Instance") {
			from, _, _ = strings.Cut(strings.TrimSpace(value), ":")
		}
		if strings.TrimSpace(line) == "" {
			break
		}
	}
	l.await(from, to)
	target, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", to, behindProxyPort), time.Second)
	if err != nil {
		return
	}
	defer l.drop(target)
	l.keep(target)
	if _, err := target.Write(head.Bytes()); err != nil {
		return
	}
	done := make(chan struct{}, 2)
	pass := func(w io.Writer, r io.Reader) {
		defer func() { done <- struct{}{} }()
		buffer := make([]byte, 32<<10)
		for {
			n, err := r.Read(buffer)
			l.await(from, to)
			if n > 0 {
				if _, err := w.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go pass(target, reader)
	go pass(c, target)
	<-done
}

func (l *links) keep(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
}

func (l *links) drop(c net.Conn) {
	_ = c.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// end closes all listeners and channels.
func (l *links) end() {
	l.isolate("")
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, listener := range l.listeners {
		_ = listener.Close()
	}
	for c := range l.conns {
		_ = c.Close()
	}
}
