package node

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"balsamknot.org/entry/connection"
)

// cutForm is what a host sees of its connections to endpoints after their path was cut.
type cutForm int

const (
	// uncut means that the path is there.
	uncut cutForm = iota
	// cutSilent loses all packets: new connections time out, and open ones carry nothing more.
	cutSilent
	// cutReset refuses new connections and resets open ones.
	cutReset
	// cutNew refuses new connections; open ones live on.
	cutNew
	// cutNewSilent loses the packets of new connections, as a full accept queue does; open ones live on.
	cutNewSilent
)

// endpointLinks is the Dialer of one host, whose path to the endpoints can be cut.
type endpointLinks struct {
	mu    sync.Mutex
	form  cutForm
	conns map[*linkConn]bool
	// cutAt is when form was set.
	cutAt time.Time
	// only limits a cut to these addresses, unless it is empty.
	only map[string]bool
	// dials counts the connections that were tried while the path was cut.
	dials int
}

func newEndpointLinks() *endpointLinks { return &endpointLinks{conns: make(map[*linkConn]bool)} }

// linkDialTimeout is the time after which a connection over a silent link is given up.
const linkDialTimeout = dialTimeout

// Dial implements connection.Dialer.
func (l *endpointLinks) Dial(ctx context.Context, address string) (net.Conn, error) {
	switch l.formOf(address, true) {
	case cutSilent, cutNewSilent:
		ctx, cancel := context.WithTimeout(ctx, linkDialTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	case cutReset, cutNew:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	case uncut:
	}
	conn, err := (&net.Dialer{Timeout: linkDialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &linkConn{Conn: conn, links: l, address: address, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return c, nil
}

func (l *endpointLinks) formOf(address string, dials bool) cutForm {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.only) > 0 && !l.only[address] {
		return uncut
	}
	if dials && l.form != uncut {
		l.dials++
	}
	return l.form
}

// cut cuts the path to the endpoints at the addresses given, or to all if there are none; uncut restores it.
func (l *endpointLinks) cut(form cutForm, addresses ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.form, l.only, l.cutAt = form, make(map[string]bool), time.Now()
	for _, address := range addresses {
		l.only[address] = true
	}
	if form != cutReset {
		return
	}
	for c := range l.conns {
		if len(l.only) == 0 || l.only[c.address] {
			_ = c.Conn.(*net.TCPConn).SetLinger(0)
			_ = c.Conn.Close()
		}
	}
}

// linkConn is a connection over a link.
type linkConn struct {
	net.Conn
	links     *endpointLinks
	address   string
	closeOnce sync.Once
	closed    chan struct{}

	mu sync.Mutex
	// lostAt is when data sent was first lost; zero if none was.
	lostAt time.Time
}

// SyscallConn implements syscall.Conn.
func (c *linkConn) SyscallConn() (syscall.RawConn, error) { return c.Conn.(*net.TCPConn).SyscallConn() }

// Read implements net.Conn. What arrives over a silent link is lost.
func (c *linkConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if c.links.formOf(c.address, false) != cutSilent || (err != nil && c.isClosed()) {
			return n, err
		}
		if err != nil {
			if isTimeout(err) {
				return n, err
			}
			<-c.closed
			return 0, net.ErrClosed
		}
	}
}

// Write implements net.Conn. What is sent over a silent link is lost.
func (c *linkConn) Write(p []byte) (int, error) {
	if c.links.formOf(c.address, false) == cutSilent {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.lostAt.IsZero() {
			c.lostAt = time.Now()
		}
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Delivery implements connection.DeliveryReporter. What was lost stays unacknowledged, as nothing is sent again.
func (c *linkConn) Delivery() (connection.Delivery, error) {
	form := c.links.formOf(c.address, false)
	c.links.mu.Lock()
	cutAt := c.links.cutAt
	c.links.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.lostAt.IsZero():
		return connection.Delivery{Unacknowledged: true, HeardAgo: time.Since(c.lostAt)}, nil
	case form == cutSilent:
		return connection.Delivery{HeardAgo: time.Since(cutAt)}, nil
	}
	return connection.Delivery{}, nil
}

func (c *linkConn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.links.mu.Lock()
		delete(c.links.conns, c)
		c.links.mu.Unlock()
	})
	return c.Conn.Close()
}
