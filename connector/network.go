package connector

import (
	"context"
	"net"
	"syscall"
)

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, which bounds the time that sent
// bytes may stay unacknowledged. Its value is in milliseconds.
const tcpUserTimeout = 0x12

var tcpDialer = net.Dialer{
	KeepAlive: -1,
	Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// Without the option the kernel detects a dead peer later, so an error is
			// ignored.
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, unackedTimeoutMillis)
		})
	},
}

func dialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	return tcpDialer.DialContext(ctx, network, address)
}

// socketState is the state of the socket of an idle connection.
type socketState int

// States of a socket. A connection without a file descriptor counts as quiet.
const (
	socketQuiet socketState = iota
	// socketReadable means that bytes have arrived that were not read.
	socketReadable
	socketEnded
)

// stateOf returns the state of the socket of a connection.
func stateOf(c net.Conn) socketState {
	if placed, ok := c.(*placedConn); ok {
		c = placed.Conn
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return socketQuiet
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return socketEnded
	}
	state := socketEnded
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN || err == syscall.EWOULDBLOCK:
			state = socketQuiet
		case err == nil && n > 0:
			state = socketReadable
		}
		return true
	})
	if err != nil {
		return socketEnded
	}
	return state
}
