package lab

import (
	"io"
	"net"
	"net/netip"
	"strconv"
	"sync"
)

// peerNetwork carries the messages between hosts: datagrams on the first port and connections on the second. It can drop those of a host.
type peerNetwork struct {
	mu       sync.Mutex
	isolated map[string]bool
	conns    map[net.Conn]string
	closers  []io.Closer
}

func newPeerNetwork() *peerNetwork {
	return &peerNetwork{isolated: make(map[string]bool), conns: make(map[net.Conn]string)}
}

// add forwards what arrives at the published address of a host to the address at which it listens.
func (p *peerNetwork) add(ip, published string, firstPort int) error {
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(net.JoinHostPort(published, strconv.Itoa(firstPort)))))
	if err != nil {
		return err
	}
	tcp, err := net.Listen("tcp", net.JoinHostPort(published, strconv.Itoa(firstPort+1)))
	if err != nil {
		return err
	}
	p.closers = append(p.closers, udp, tcp)
	go p.forwardDatagrams(udp, ip, netip.MustParseAddrPort(net.JoinHostPort(ip, strconv.Itoa(firstPort))))
	go p.forwardConns(tcp, ip, net.JoinHostPort(ip, strconv.Itoa(firstPort+1)))
	return nil
}

func (p *peerNetwork) cut(a, b string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isolated[a] || p.isolated[b]
}

func (p *peerNetwork) forwardDatagrams(in *net.UDPConn, ip string, target netip.AddrPort) {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := in.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if p.cut(from.Addr().Unmap().String(), ip) {
			continue
		}
		_, _ = in.WriteToUDPAddrPort(buffer[:n], target)
	}
}

// forwardConns forwards connections to a host. Their senders have no address of their own, so that only the host that they lead to counts, and hosts
// that are cut off can't be reached.
func (p *peerNetwork) forwardConns(in net.Listener, ip, target string) {
	for {
		client, err := in.Accept()
		if err != nil {
			return
		}
		go p.forwardConn(client, ip, target)
	}
}

func (p *peerNetwork) forwardConn(client net.Conn, ip, target string) {
	defer client.Close()
	from, _, _ := net.SplitHostPort(client.RemoteAddr().String())
	if p.cut(from, ip) {
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer server.Close()
	p.mu.Lock()
	p.conns[client] = ip
	p.mu.Unlock()
	go func() {
		_, _ = io.Copy(server, client)
		_ = server.Close()
	}()
	_, _ = io.Copy(client, server)
	p.mu.Lock()
	delete(p.conns, client)
	p.mu.Unlock()
}

// Isolate cuts a host off from all other hosts, or ends that.
func (h *Host) Isolate(isolated bool) {
	p := h.site.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isolated[h.ip] = isolated
	for conn, ip := range p.conns {
		if isolated && ip == h.ip {
			_ = conn.Close()
		}
	}
}

func (p *peerNetwork) close() {
	for _, c := range p.closers {
		_ = c.Close()
	}
}
