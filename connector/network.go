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

// isReusable reports whether an idle connection is open and has no unread bytes,
// which would belong to no request. It assumes so for a connection without a file
// descriptor.
func isReusable(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && reusable
}
