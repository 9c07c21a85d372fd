package connection

import (
	"math"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"balsamknot.org/fleet/timer"
)

// Delivery is what is known of how a connection delivers, below what its endpoint sends. A process that is busy or paused does not change it: its
// kernel acknowledges.
type Delivery struct {
	// Unacknowledged is true if data was sent that the other side has not acknowledged.
	Unacknowledged bool
	// Blocked is true if more is to be sent than the other side accepts, since its process does not read. The system then probes ever less often.
	Blocked bool
	// HeardAgo is the time since the other side last acknowledged something, data or a keep-alive probe.
	HeardAgo time.Duration
}

// DeliveryReporter is implemented by connections that know their Delivery without asking the kernel.
type DeliveryReporter interface{ Delivery() (Delivery, error) }

// deliveryOf returns the Delivery of a connection.
func deliveryOf(conn net.Conn) (Delivery, error) {
	if reporter, ok := conn.(DeliveryReporter); ok {
		return reporter.Delivery()
	}
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return Delivery{}, eris.Errorf("read the TCP state: connection to %s is not a socket", conn.RemoteAddr())
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return Delivery{}, eris.Wrapf(err, "read the TCP state: connection to %s", conn.RemoteAddr())
	}
	return readTCPInfo(raw)
}

// readTCPInfo returns the Delivery of a TCP socket.
func readTCPInfo(raw syscall.RawConn) (Delivery, error) {
	var info *unix.TCPInfo
	var optErr error
	err := raw.Control(func(fd uintptr) {
		info, optErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil {
		return Delivery{}, eris.Wrap(err, "read the TCP state")
	}
	if optErr != nil {
		return Delivery{}, eris.Wrap(optErr, "read the TCP state")
	}
	return Delivery{
		Unacknowledged: info.Unacked > 0, Blocked: info.Unacked == 0 && info.Notsent_bytes > 0,
		HeardAgo: time.Duration(info.Last_ack_recv) * time.Millisecond,
	}, nil
}

// SilenceLimits says after how long without anything from the other side a direct connection in use is unheard. A limit of 0 does not apply.
type SilenceLimits struct {
	// Sent applies while data that was sent is unacknowledged.
	Sent time.Duration
	// KeepAlive applies otherwise. It must exceed the interval of keep-alive probes.
	KeepAlive time.Duration
	// Unknown applies to connections whose Delivery can't be read.
	Unknown time.Duration
}

// unheard reports whether a connection is unheard that has received nothing for quiet in its exchange. err is that of reading d.
func (l SilenceLimits) unheard(quiet time.Duration, d Delivery, err error) bool {
	limit, silent := l.KeepAlive, min(quiet, d.HeardAgo)
	switch {
	case err != nil:
		limit, silent = l.Unknown, quiet
	case d.Blocked:
		return false
	case d.Unacknowledged:
		limit = l.Sent
	}
	return limit > 0 && silent >= limit
}

// shortest returns the shortest limit that applies.
func (l SilenceLimits) shortest() time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for _, limit := range []time.Duration{l.Sent, l.KeepAlive, l.Unknown} {
		if limit > 0 {
			shortest = min(shortest, limit)
		}
	}
	return shortest
}

// Unheard returns the addresses to which a connection is unheard. failure is an error of reading a Delivery, if there was one.
func (p *Pool) Unheard(limits SilenceLimits) (addresses []string, failure error) {
	conns, failure := p.unheardConns(limits)
	for _, c := range conns {
		if !slices.Contains(addresses, c.address) {
			addresses = append(addresses, c.address)
		}
	}
	return addresses, failure
}

// CloseUnheard closes the connections that are unheard to the given addresses, or to any if there are none, so that their exchanges fail with
// ErrIncomplete.
func (p *Pool) CloseUnheard(limits SilenceLimits, addresses ...string) {
	conns, _ := p.unheardConns(limits)
	for _, c := range conns {
		if len(addresses) == 0 || slices.Contains(addresses, c.address) {
			_ = c.Close()
		}
	}
}

// unheardConns returns the connections that are unheard, and an error of reading a Delivery, if there was one.
func (p *Pool) unheardConns(limits SilenceLimits) (unheard []*pooledConn, failure error) {
	now := timer.BootClock().UnixNano()
	for _, c := range p.quietConns(now, limits.shortest()) {
		delivery, err := deliveryOf(c.Conn)
		if err != nil {
			failure = err
		}
		if limits.unheard(time.Duration(now-c.heardAt.Load()), delivery, err) {
			unheard = append(unheard, c)
		}
	}
	return unheard, failure
}

// quietConns returns the direct connections in use that have received nothing for d.
func (p *Pool) quietConns(now int64, d time.Duration) []*pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var quiet []*pooledConn
	for _, conns := range p.inUse {
		for c := range conns {
			if c.relay == "" && now-c.heardAt.Load() >= int64(d) {
				quiet = append(quiet, c)
			}
		}
	}
	return quiet
}
