// Package network simulates network failures between two processes on one machine. A Link proxies TCP connections and a
// Relay forwards UDP datagrams. Both can be cut, delayed or blocked in one direction; a Link can also silence its open
// connections, so that they carry nothing while new ones work, as a middlebox does that has lost its connection table.
package network

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Link is a TCP proxy to one target address, with faults that can be switched on and off. It is safe for concurrent use.
type Link struct {
	listener net.Listener
	faults   faultSet

	mu     sync.Mutex
	target string
	conns  map[*proxiedConn]struct{}
	cut    bool
}

// proxiedConn is one connection through a Link: client is the accepted connection, server the one dialled to the target.
type proxiedConn struct {
	link           *Link
	client, server net.Conn
	mu             sync.Mutex
	silent         bool
}

// bufferBytes is the largest amount that one read forwards, and blockedPollInterval the interval at which a blocked
// direction checks whether the fault has ended.
const (
	bufferBytes         = 32 << 10
	blockedPollInterval = 5 * time.Millisecond
)

// NewLink listens on a free port of 127.0.0.1 and forwards connections to target, a host:port address. It returns an error
// if it can't listen; target is dialled only when a connection comes in.
func NewLink(target string) (*Link, error) { return NewLinkAt("127.0.0.1:0", target) }

// NewLinkAt is NewLink with a listen address, host:port.
func NewLinkAt(address, target string) (*Link, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	l := &Link{target: target, listener: listener, conns: make(map[*proxiedConn]struct{})}
	go l.accept(listener)
	return l, nil
}

// Address returns the host:port address on which the link listens.
func (l *Link) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listener.Addr().String()
}

// SetTarget changes the address to which new connections are forwarded. Open connections are not affected.
func (l *Link) SetTarget(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}

// Impair adds a fault to those that are active; remove ends it. A cut resets the open connections at once.
func (l *Link) Impair(f Fault) (remove func()) {
	remove = l.faults.add(f)
	if f.Cut {
		l.Break()
	}
	return remove
}

// Silence discards everything that the open connections carry from now on, without closing them. New
// connections are not affected.
func (l *Link) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silenceAll()
}

// silenceAll silences every open connection. mu must be held.
func (l *Link) silenceAll() {
	for p := range l.conns {
		p.mu.Lock()
		p.silent = true
		p.mu.Unlock()
	}
}

// Cut resets every open connection, and each new one until Restore is called.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = true
	l.resetAll()
}

// Break resets every open connection. New connections are not affected.
func (l *Link) Break() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resetAll()
}

// Refuse closes the listener and resets every open connection, as the end of the target's process does. Listen ends it.
func (l *Link) Refuse() {
	l.mu.Lock()
	listener := l.listener
	l.mu.Unlock()
	_ = listener.Close()
	l.Break()
}

// End closes the listener and ends every open connection in order, as the kernel does for a process that is killed after all that it sent was
// read. Listen ends it.
func (l *Link) End() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.listener.Close()
	l.endAll()
}

// EndConnections is End without closing the listener, as where another process has inherited it or listens at the address at once.
func (l *Link) EndConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endAll()
}

// endAll ends every open connection in order. Nothing comes from the target over one of them once another has ended, as a process that was killed sends
// nothing more. mu must be held.
func (l *Link) endAll() {
	l.silenceAll()
	for p := range l.conns {
		if tcp, ok := p.client.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
	}
}

// Listen listens again at the same address after Refuse. It does nothing if the address is in use.
func (l *Link) Listen() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", l.listener.Addr().String())
	if err != nil {
		return err
	}
	l.listener = listener
	go l.accept(listener)
	return nil
}

// Restore ends the effect of Cut. Faults added by Impair and silenced connections stay as they are.
func (l *Link) Restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = false
}

// Close stops listening and resets every open connection.
func (l *Link) Close() { l.Refuse() }

func (l *Link) resetAll() {
	for p := range l.conns {
		p.reset()
		delete(l.conns, p)
	}
}

func (l *Link) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go l.proxy(client)
	}
}

// proxy dials the target and forwards in both directions until the connection has ended. During a cut it resets the client.
func (l *Link) proxy(client net.Conn) {
	l.mu.Lock()
	cut, target := l.cut || l.faults.combined().Cut, l.target
	l.mu.Unlock()
	if cut {
		Reset(client)
		return
	}
	server, err := new(net.Dialer).DialContext(context.Background(), "tcp", target)
	if err != nil {
		_ = client.Close()
		return
	}
	p := &proxiedConn{link: l, client: client, server: server}
	l.mu.Lock()
	l.conns[p] = struct{}{}
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(server, client, ToTarget) })
	wg.Go(func() { p.copy(client, server, FromTarget) })
	wg.Wait()
	_ = client.Close()
	_ = server.Close()
	l.mu.Lock()
	delete(l.conns, p)
	l.mu.Unlock()
}

// Reset closes a connection with a TCP reset (RST) instead of an orderly shutdown (FIN).
func Reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// copy forwards bytes in one direction until a read or write fails or from is closed. A silent connection discards what it
// reads and stays open. A blocked direction keeps what it has read until the fault ends: TCP retransmits lost packets, so a
// temporary blockage delays bytes and loses none.
func (p *proxiedConn) copy(to, from net.Conn, direction Direction) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if delay := p.link.faults.combined().Delay; n > 0 && delay > 0 {
			time.Sleep(delay)
		}
		for n > 0 && p.link.faults.combined().blocks(direction) && p.link.tracks(p) {
			time.Sleep(blockedPollInterval)
		}
		p.mu.Lock()
		silent := p.silent
		p.mu.Unlock()
		if !silent && n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err == nil {
			continue
		}
		p.propagateClose(to, err, silent)
		return
	}
}

// propagateClose passes the end of one direction on to the receiving side: after io.EOF it closes only this direction, or
// nothing if the connection is silent; any other error resets the whole connection.
func (p *proxiedConn) propagateClose(to net.Conn, err error, silent bool) {
	tcp, ok := to.(*net.TCPConn)
	switch {
	case !ok || !errors.Is(err, io.EOF):
		p.reset()
	case !silent:
		_ = tcp.CloseWrite()
	}
}

// tracks reports whether a connection is still open, so that a blocked direction stops waiting once it has been reset.
func (l *Link) tracks(p *proxiedConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, tracked := l.conns[p]
	return tracked
}

// reset resets the connections to the client and to the server.
func (p *proxiedConn) reset() {
	Reset(p.client)
	Reset(p.server)
}
