// Package network stands in for what lies between two processes: links that can be cut, or that lose track of the
// connections that are open while new ones work.
package network

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
)

// Link forwards TCP connections to one address.
type Link struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	pairs map[*pair]struct{}
	cut   bool
}

type pair struct {
	near, far net.Conn
	mu        sync.Mutex
	silent    bool
}

// NewLink listens on a free port of loopback and forwards to target.
func NewLink(target string) (*Link, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{target: target, listener: listener, pairs: make(map[*pair]struct{})}
	go l.accept()
	return l, nil
}

// Address returns where the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

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
	cut := l.cut
	l.mu.Unlock()
	if cut {
		_ = near.Close()
		return
	}
	far, err := new(net.Dialer).DialContext(context.Background(), "tcp", l.target)
	if err != nil {
		_ = near.Close()
		return
	}
	p := &pair{near: near, far: far}
	l.mu.Lock()
	l.pairs[p] = struct{}{}
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(far, near) })
	wg.Go(func() { p.copy(near, far) })
	wg.Wait()
	l.mu.Lock()
	delete(l.pairs, p)
	l.mu.Unlock()
}

// copy carries bytes until either side ends. A silent pair swallows what it reads and keeps both sides open.
func (p *pair) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
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
		if !silent || !errors.Is(err, io.EOF) {
			p.close()
		}
		return
	}
}

func (p *pair) close() {
	_ = p.near.Close()
	_ = p.far.Close()
}
