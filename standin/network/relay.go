package network

import (
	"net"
	"net/netip"
	"time"
)

// Relay forwards UDP datagrams to one target address, with faults that can be switched on and off. It forwards in one
// direction only: replies don't pass through it. It is safe for concurrent use.
type Relay struct {
	in, out *net.UDPConn
	target  netip.AddrPort
	faults  faultSet
}

// NewRelay listens on address and forwards to target, both ip:port. It sends from another port of the same IP address.
// It returns an error if an address is malformed or can't be bound.
func NewRelay(address, target string) (*Relay, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	to, err := netip.ParseAddrPort(target)
	if err != nil {
		return nil, err
	}
	in, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	out, err := net.ListenUDP("udp", &net.UDPAddr{IP: at.Addr().AsSlice()})
	if err != nil {
		_ = in.Close()
		return nil, err
	}
	r := &Relay{in: in, out: out, target: to}
	go r.forward()
	return r, nil
}

// Impair adds a fault to those that are active; remove takes it away again.
func (r *Relay) Impair(f Fault) (remove func()) { return r.faults.add(f) }

// Close stops forwarding. Delayed datagrams that have not been sent are lost.
func (r *Relay) Close() {
	_ = r.in.Close()
	_ = r.out.Close()
}

// forward sends each datagram on to the target until the relay is closed. Datagrams are dropped during a cut and while
// ToTarget is blocked; a delayed one does not hold up those after it.
func (r *Relay) forward() {
	buffer := make([]byte, bufferBytes*2)
	for {
		n, from, err := r.in.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		f := r.faults.combinedFor(from.Addr().Unmap().String())
		switch {
		case f.Cut || f.blocks(ToTarget):
		case f.Delay > 0:
			delayed := append([]byte(nil), buffer[:n]...)
			time.AfterFunc(f.Delay, func() { _, _ = r.out.WriteToUDPAddrPort(delayed, r.target) })
		default:
			_, _ = r.out.WriteToUDPAddrPort(buffer[:n], r.target)
		}
	}
}
