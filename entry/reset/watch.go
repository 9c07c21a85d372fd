// Package reset tells an orderly end of a TCP connection from a reset where one goroutine reads and another one writes.
//
// The kernel reports a reset once, to whoever asks first. If that is the writer, the reader sees the connection end as if in order.
package reset

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Watch remembers whether a write to one connection was told of a reset. The zero value is ready. It is safe for concurrent use.
type Watch struct {
	mu    sync.Mutex
	reset bool
}

// Write writes to the connection.
func (w *Watch) Write(conn net.Conn, p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, err := conn.Write(p)
	w.reset = w.reset || errors.Is(err, syscall.ECONNRESET)
	return n, err
}

// States of a socket, as TCP_INFO gives them.
const (
	// tcpClose means that the connection was reset, also after an orderly end.
	tcpClose = 7
	// tcpCloseWait means that the other side ended the connection in order and has not reset it since.
	tcpCloseWait = 8
)

const (
	// writeWait is how long a write in progress is awaited where the kernel does not tell the state of the connection.
	writeWait = 50 * time.Millisecond
	// writePollInterval is the time between two looks at that write.
	writePollInterval = time.Millisecond
)

// EndedInOrder reports whether the other side ended the connection in order. It is called after a read returned io.EOF. A write that is in progress ends soon if
// the connection was reset, and may go on for long if it was not.
func (w *Watch) EndedInOrder(conn net.Conn) bool {
	switch stateOf(conn) {
	case tcpCloseWait:
		return true
	case tcpClose:
		w.mu.Lock()
	default:
		if !w.lockWithin(writeWait) {
			return true
		}
	}
	defer w.mu.Unlock()
	return !w.reset
}

// lockWithin waits for mu, for at most limit, and reports whether it has it.
func (w *Watch) lockWithin(limit time.Duration) bool {
	for end := time.Now().Add(limit); !w.mu.TryLock(); time.Sleep(writePollInterval) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// stateOf returns the state of a TCP socket; 0 if it is not known.
func stateOf(conn net.Conn) (state uint8) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	return state
}
