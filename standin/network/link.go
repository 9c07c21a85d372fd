// Package network stands in for what lies between two processes: links that are cut, slow or silent for a while, or that
// lose track of the connections that are open while new ones work.
package network

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Link forwards TCP connections to one address.
type Link struct {
	listener net.Listener
	faults   faults

	mu     sync.Mutex
	target string
	pairs  map[*pair]struct{}
	cut    bool
}

// pair is one connection through a link: near is the side that opened it.
type pair struct {
	link      *Link
	near, far net.Conn
	mu        sync.Mutex
	silent    bool
}

// bufferBytes is how much one read carries at most, and silencePoll how often a direction that carries nothing looks again.
const (
	bufferBytes = 32 << 10
	silencePoll = 5 * time.Millisecond
)

// NewLink listens on a free port of loopback and forwards to target.
func NewLink(target string) (*Link, error) { return NewLinkAt("127.0.0.1:0", target) }

// NewLinkAt listens on address and forwards to target.
func NewLinkAt(address, target string) (*Link, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	l := &Link{target: target, listener: listener, pairs: make(map[*pair]struct{})}
	go l.accept()
	return l, nil
}

// Address returns where the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// SetTarget forwards new connections to another address.
func (l *Link) SetTarget(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}

// Impair begins a fault, beside those that hold already; the function that it returns ends it.
func (l *Link) Impair(f Fault) (mend func()) {
	mend = l.faults.begin(f)
	if f.Cut {
		l.Break()
	}
	return mend
}

// Silence makes the open connections carry nothing more, without closing them.
func (l *Link) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.mu.Lock()
		p.silent = true
		p.mu.Unlock()
	}
}

// Cut closes every connection and takes no new ones until Mend.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = true
	l.breakAll()
}

// Break closes every connection; new ones work.
func (l *Link) Break() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breakAll()
}

// Mend ends a cut.
func (l *Link) Mend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = false
}

// Close ends the link.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.Break()
}

func (l *Link) breakAll() {
	for p := range l.pairs {
		p.close()
		delete(l.pairs, p)
	}
}

func (l *Link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.join(near)
	}
}

func (l *Link) join(near net.Conn) {
	l.mu.Lock()
	cut, target := l.cut || l.faults.now().Cut, l.target
	l.mu.Unlock()
	if cut {
		reset(near)
		return
	}
	far, err := new(net.Dialer).DialContext(context.Background(), "tcp", target)
	if err != nil {
		_ = near.Close()
		return
	}
	p := &pair{link: l, near: near, far: far}
	l.mu.Lock()
	l.pairs[p] = struct{}{}
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(far, near, Onward) })
	wg.Go(func() { p.copy(near, far, Back) })
	wg.Wait()
	_ = near.Close()
	_ = far.Close()
	l.mu.Lock()
	delete(l.pairs, p)
	l.mu.Unlock()
}

// reset closes a connection so that its other side sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// copy carries bytes until either side ends. A silent pair swallows what it reads and keeps both sides open; a direction
// that is blocked holds what it read until the fault ends, as packets that are sent again do.
func (p *pair) copy(to, from net.Conn, way Direction) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if wait := p.link.faults.now().Delay; n > 0 && wait > 0 {
			time.Sleep(wait)
		}
		for n > 0 && p.link.faults.now().blocks(way) && p.link.holds(p) {
			time.Sleep(silencePoll)
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
		p.end(to, err, silent)
		return
	}
}

// end passes on how a direction ended: an orderly end closes this direction only, anything else breaks the connection.
func (p *pair) end(to net.Conn, err error, silent bool) {
	tcp, ok := to.(*net.TCPConn)
	switch {
	case !ok || !errors.Is(err, io.EOF):
		p.close()
	case !silent:
		_ = tcp.CloseWrite()
	}
}

// holds reports whether a connection is still one of the link's.
func (l *Link) holds(p *pair) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, held := l.pairs[p]
	return held
}

// close breaks the connection.
func (p *pair) close() {
	reset(p.near)
	reset(p.far)
}
