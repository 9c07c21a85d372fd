package network

import (
	"net"
	"net/netip"
	"time"
)

// Relay forwards datagrams to one address.
type Relay struct {
	in, out *net.UDPConn
	target  netip.AddrPort
	faults  faults
}

// NewRelay listens on address, ip:port, and forwards to target.
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
	go r.carry()
	return r, nil
}

// Impair begins a fault, beside those that hold already; the function that it returns ends it.
func (r *Relay) Impair(f Fault) (mend func()) { return r.faults.begin(f) }

// Close ends the relay.
func (r *Relay) Close() {
	_ = r.in.Close()
	_ = r.out.Close()
}

// carry forwards datagrams one by one; a cut, and one that is blocked onward, loses them.
func (r *Relay) carry() {
	buffer := make([]byte, bufferBytes*2)
	for {
		n, from, err := r.in.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		f := r.faults.of(from.Addr().Unmap().String())
		switch {
		case f.Cut || f.blocks(Onward):
		case f.Delay > 0:
			late := append([]byte(nil), buffer[:n]...)
			time.AfterFunc(f.Delay, func() { _, _ = r.out.WriteToUDPAddrPort(late, r.target) })
		default:
			_, _ = r.out.WriteToUDPAddrPort(buffer[:n], r.target)
		}
	}
}
