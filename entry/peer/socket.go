package peer

import (
	"context"
	"net"
	"net/netip"

	"github.com/rotisserie/eris"
)

// Socket sends and receives datagrams. It is safe for concurrent use.
type Socket struct {
	conn *net.UDPConn
}

// datagramLimit is the largest datagram, in bytes.
const datagramLimit = 32 << 10

// Listen opens the socket at ip:port.
func Listen(ctx context.Context, address string) (*Socket, error) {
	conn, err := new(net.ListenConfig).ListenPacket(ctx, "udp4", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for datagrams: %s", address)
	}
	return &Socket{conn: conn.(*net.UDPConn)}, nil
}

// Send sends a datagram to ip:port and returns its size.
func (s *Socket) Send(to string, d Datagram) (int, error) {
	address, err := netip.ParseAddrPort(to)
	if err != nil {
		return 0, eris.Wrapf(err, "send a datagram to %s", to)
	}
	raw, err := Encode(d)
	if err != nil {
		return 0, err
	}
	n, err := s.conn.WriteToUDPAddrPort(raw, address)
	return n, eris.Wrapf(err, "send a datagram to %s", to)
}

// Serve gives each datagram that comes to handle until the socket is closed. Datagrams that can't be read go to refuse.
func (s *Socket) Serve(handle func(from netip.AddrPort, d Datagram), refuse func(from netip.AddrPort, err error)) {
	buf := make([]byte, datagramLimit)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		d, err := Decode(buf[:n])
		if err != nil {
			refuse(from, err)
			continue
		}
		handle(from, d)
	}
}

// Close ends Serve.
func (s *Socket) Close() error { return s.conn.Close() }
