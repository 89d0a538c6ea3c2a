package connector

import (
	"context"
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is the socket option that bounds how long sent bytes may stay
// unconfirmed. Its value is in milliseconds.
const tcpUserTimeout = 0x12

var networkDialer = net.Dialer{
	Timeout:   dialMillis * time.Millisecond,
	KeepAlive: -1,
	Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// A kernel without the option only notices a dead peer later.
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, silenceMillis)
		})
	},
}

func dialNetwork(ctx context.Context, network, address string) (net.Conn, error) {
	return networkDialer.DialContext(ctx, network, address)
}

// isQuiet reports whether an idle connection is open and carries no bytes, which
// would belong to no request.
func isQuiet(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}
