package peer

import (
	"context"
	"net"
	"net/netip"

	"github.com/rotisserie/eris"
)

// Socket is a UDP socket for datagrams between hosts. It is safe for concurrent use.
type Socket struct {
	conn *net.UDPConn
}

// maxDatagramSize is the size of the receive buffer, in bytes. Longer datagrams are truncated and fail to decode.
const maxDatagramSize = 32 << 10

// Listen opens a socket at the IPv4 address ip:port.
func Listen(ctx context.Context, address string) (*Socket, error) {
	conn, err := new(net.ListenConfig).ListenPacket(ctx, "udp4", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for datagrams on %s", address)
	}
	return &Socket{conn: conn.(*net.UDPConn)}, nil
}

// Send sends a datagram, as two if it has Extensions and other messages, to ip:port and returns the encoded size in bytes. A nil error does
// not mean that it arrived.
func (s *Socket) Send(to string, d Datagram) (int, error) {
	address, err := netip.ParseAddrPort(to)
	if err != nil {
		return 0, eris.Wrapf(err, "send datagram to %s", to)
	}
	datagrams, err := EncodeAll(d)
	if err != nil {
		return 0, err
	}
	size := 0
	for _, raw := range datagrams {
		n, err := s.conn.WriteToUDPAddrPort(raw, address)
		size += n
		if err != nil {
			return size, eris.Wrapf(err, "send datagram to %s", to)
		}
	}
	return size, nil
}

// Serve receives datagrams until the socket is closed or a read fails, and calls handle for each. For one that cannot be decoded
// it calls reject instead. Both are called in the goroutine of Serve.
func (s *Socket) Serve(handle func(from netip.AddrPort, d Datagram), reject func(from netip.AddrPort, err error)) {
	buf := make([]byte, maxDatagramSize)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		d, err := Decode(buf[:n])
		if err != nil {
			reject(from, err)
			continue
		}
		handle(from, d)
	}
}

// Close closes the socket, so that Serve returns.
func (s *Socket) Close() error { return s.conn.Close() }
