package connection

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// Witnesses are connections to one endpoint beside that of an exchange. When the process at the endpoint ends, all of them end with it; when
// an endpoint ends one connection in order, the others stay.
type Witnesses []*pooledConn

// Witnesses returns the other connections to the exchange's endpoint, in use and idle.
func (x *Exchange) Witnesses() Witnesses {
	p := x.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	var others Witnesses
	for c := range p.inUse[x.conn.address] {
		if c != x.conn {
			others = append(others, c)
		}
	}
	return append(others, p.idle[x.conn.address]...)
}

// Connect opens a connection to the exchange's endpoint, as a witness that Release must be called for. The error is ErrNotSent.
func (x *Exchange) Connect(ctx context.Context) (Witnesses, error) {
	c, err := x.pool.dial(ctx, x.conn.address)
	if err != nil {
		return nil, err
	}
	return Witnesses{c}, nil
}

// Release makes the witnesses of Connect available to requests, but for those that the endpoint has ended.
func (w Witnesses) Release() {
	for _, c := range w {
		if c.peerState() == peerEnded {
			_ = c.Conn.Close()
			continue
		}
		c.pool.putIdle(c, 0)
	}
}

// Count returns how many of the witnesses are open, and how many the endpoint has ended. Those that this host has closed, or whose state can't
// be read, count as neither.
func (w Witnesses) Count() (open, ended int) {
	for _, c := range w {
		switch c.peerState() {
		case peerOpen:
			open++
		case peerEnded:
			ended++
		case peerUnknown:
		}
	}
	return open, ended
}

// peerState is the state of the endpoint's side of a connection.
type peerState int

const (
	peerUnknown peerState = iota
	peerOpen
	peerEnded
)

// peerState returns the state of the endpoint's side, also while bytes that were sent before its end have not been read.
func (c *pooledConn) peerState() peerState {
	if c.peerEnded.Load() {
		return peerEnded
	}
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return peerUnknown
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return peerUnknown
	}
	state := peerUnknown
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		switch {
		case err != nil:
		case n == 0:
			state = peerOpen
		default:
			state = peerEnded
		}
	})
	if err != nil {
		return peerUnknown
	}
	return state
}

// endedByPeer reports whether an error of a read means that the other side ended the connection.
func endedByPeer(err error) bool {
	return err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, io.ErrNoProgress)
}
