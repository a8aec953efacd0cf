package dial

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// A peer that fell silent while a connection was idle was noticed only by the second keep-alive probe, after 18 s.
func TestSilentPeerOfIdleConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	c, err := New(Config{}).Connect(t.Context(), l.Addr().String(), time.Second)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	option := func(level, name int) int {
		raw, err := c.(*net.TCPConn).SyscallConn()
		assert.NilError(t, err)
		var value int
		var optErr error
		assert.NilError(t, raw.Control(func(fd uintptr) { value, optErr = unix.GetsockoptInt(int(fd), level, name) }))
		assert.NilError(t, optErr)
		return value
	}
	assert.Equal(t, option(unix.SOL_SOCKET, unix.SO_KEEPALIVE), 1)
	user := time.Duration(option(syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)) * time.Millisecond
	idle := time.Duration(option(syscall.IPPROTO_TCP, unix.TCP_KEEPIDLE)) * time.Second
	interval := time.Duration(option(syscall.IPPROTO_TCP, unix.TCP_KEEPINTVL)) * time.Second
	noticed := idle // the kernel gives up at the first probe timer after a probe at which the peer was silent for user
	for probes := 0; probes == 0 || noticed < user; probes++ {
		noticed += interval
	}
	assert.Assert(t, noticed <= DeadPeerTimeout, "noticed after %s", noticed)
	assert.Assert(t, noticed <= user+interval, "a silent peer is noticed after %s on an idle connection, %s on a busy one", noticed, user)
	assert.Assert(t, min(noticed, user) > 2*time.Second, "a peer that is silent for a moment is taken for dead after %s", noticed)
}
