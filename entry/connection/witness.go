package connection

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"balsamknot.org/fleet/timer"
)

// Witness is a connection to an endpoint, beside that of an exchange, that shows whether the endpoint goes on. When the process at the endpoint
// ends, all its connections end; when it ends one in order, the others stay.
type Witness struct {
	conn *pooledConn
	// wasThere is true if the connection was established before the exchange began. A later one may lead to the process after the one that writes
	// the answer, since the end of an answer that comes through another host arrives late.
	wasThere bool
	// idledOut is true if the connection has been idle for as long as the endpoint keeps idle connections, so that its end says nothing.
	idledOut bool
}

// Witnesses returns the other connections to the exchange's endpoint.
func (x *Exchange) Witnesses() []Witness {
	p := x.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	var others []Witness
	for c := range p.inUse[x.conn.address] {
		if c != x.conn {
			others = append(others, x.witness(c))
		}
	}
	limit, now := p.idleLimit(x.conn.address), timer.BootClock()
	for _, c := range p.idle[x.conn.address] {
		w := x.witness(c)
		w.idledOut = limit > 0 && now.Sub(c.idleSince) >= limit
		others = append(others, w)
	}
	return others
}

func (x *Exchange) witness(c *pooledConn) Witness {
	return Witness{conn: c, wasThere: !c.connectedAt.After(x.beganAt)}
}

// Connect opens a connection to the exchange's endpoint; Release must be called for it. The error is ErrNotSent.
func (x *Exchange) Connect(ctx context.Context) (Witness, error) {
	c, err := x.pool.dialForUse(ctx, x.conn.address)
	return Witness{conn: c}, err
}

// Listener asks the process that a connection of Connect leads to whether it is the one that is registered as the exchange's endpoint. known is false if it
// does not say so in time.
func (x *Exchange) Listener(ctx context.Context, w Witness) (registered, known bool) {
	ctx, cancel := context.WithTimeout(ctx, listenerTimeout)
	defer cancel()
	if !x.pool.askForReport(ctx, w.conn, x.instance) {
		w.conn.single.Store(true)
	}
	return w.conn.startedAt == x.instance.StartedAt, w.conn.startedAt != 0 || w.conn.misdirected
}

// listenerTimeout limits the time for the answer to Listener.
const listenerTimeout = 100 * time.Millisecond

// Release makes a connection of Connect available to requests, unless the endpoint has ended it.
func (w Witness) Release() {
	if w.conn.peerState() == peerEnded {
		_ = w.conn.Close()
		return
	}
	w.conn.pool.putIdle(w.conn, 0)
}

// Open reports whether the connection is open and leads to the process that writes the answer. That of one through another host is not known: its
// end arrives only with that host's help.
func (w Witness) Open() bool {
	return w.wasThere && w.conn.relay == "" && w.conn.peerState() == peerOpen
}

// Ended reports whether the endpoint has ended the connection, and not because it was idle. One that this host closed is neither open nor ended.
func (w Witness) Ended() bool { return !w.idledOut && w.conn.peerState() == peerEnded }

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
	state := peerUnknown
	c.control(func(fd int) {
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
	return state
}

// goesOn reports whether the connection is open and nothing of it is unread. While bytes are unread, the end may wait behind them at the endpoint. That
// of a connection through another host is not known, see Witness.Open.
func (c *pooledConn) goesOn() bool {
	var buf [1]byte
	read := false
	c.control(func(fd int) {
		_, _, err := unix.Recvfrom(fd, buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		read = errors.Is(err, unix.EAGAIN)
	})
	return read && c.relay == "" && c.peerState() == peerOpen
}

// control calls f with the connection's file descriptor, unless it is closed or has none.
func (c *pooledConn) control(f func(fd int)) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := conn.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { f(int(fd)) })
	}
}

// endedByPeer reports whether an error of a read means that the other side ended the connection.
func endedByPeer(err error) bool {
	return err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, io.ErrNoProgress)
}
