package deployment

import (
	"net"
	"sync"
	"sync/atomic"
)

// Proxy is a TCP proxy on loopback in front of a server.
type Proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	conns map[*proxied]bool
}

// proxied is one connection through a proxy.
type proxied struct {
	client, server net.Conn
	silent         atomic.Bool
}

// NewProxy returns a proxy in front of target, at a free port.
func NewProxy(target string) (*Proxy, error) { return NewProxyAt("127.0.0.1:0", target) }

// NewProxyAt returns a proxy at an address in front of target.
func NewProxyAt(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: listener, conns: make(map[*proxied]bool)}
	go p.serve()
	return p, nil
}

// Address returns the address at which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Silence drops all that comes over the connections that are open, their ends included, without closing them. New ones work.
func (p *Proxy) Silence() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.silent.Store(true)
	}
	return len(p.conns)
}

// CloseListener ends the proxy's listener, as the end of the server's process ends the server's.
func (p *Proxy) CloseListener() { _ = p.listener.Close() }

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.client.Close()
		_ = c.server.Close()
	}
}

func (p *Proxy) serve() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.(*net.TCPConn).SetLinger(0)
			_ = client.Close()
			continue
		}
		c := &proxied{client: client, server: server}
		p.mu.Lock()
		p.conns[c] = true
		p.mu.Unlock()
		go p.copy(c, client, server)
		go p.copy(c, server, client)
	}
}

// copy passes bytes on, and the end of the connection: in order if it ended in order, else by a reset.
func (p *Proxy) copy(c *proxied, from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if c.silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err.Error() != "EOF" {
				_ = to.(*net.TCPConn).SetLinger(0)
			}
			_ = to.Close()
			_ = from.Close()
			p.mu.Lock()
			delete(p.conns, c)
			p.mu.Unlock()
			return
		}
	}
}

// Forwarder passes datagrams on.
type Forwarder struct{ in, out *net.UDPConn }

// NewForwarder passes the datagrams that come to an address on to target.
func NewForwarder(address, target string) (*Forwarder, error) {
	to, err := net.ResolveUDPAddr("udp4", target)
	if err != nil {
		return nil, err
	}
	at, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	f := &Forwarder{}
	if f.in, err = net.ListenUDP("udp4", at); err != nil {
		return nil, err
	}
	if f.out, err = net.DialUDP("udp4", nil, to); err != nil {
		_ = f.in.Close()
		return nil, err
	}
	go func() {
		buf := make([]byte, 64<<10)
		for {
			n, _, err := f.in.ReadFromUDP(buf)
			if err != nil {
				return
			}
			_, _ = f.out.Write(buf[:n])
		}
	}()
	return f, nil
}

// Close ends the forwarder.
func (f *Forwarder) Close() {
	_ = f.in.Close()
	_ = f.out.Close()
}
