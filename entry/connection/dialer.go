package connection

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dialer connects to an endpoint at an address (ip:port).
type Dialer interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// TCPConfig holds the time limits of a TCPDialer.
type TCPConfig struct {
	// DialTimeout limits the time to establish a connection.
	DialTimeout time.Duration
	// DeadPeerTimeout is how long sent data, and TCP keepalive probes, may stay unacknowledged before the connection fails. The probes are
	// sent at a third of it, but at least 1 s apart.
	DeadPeerTimeout time.Duration
}

// TCPDialer is the Dialer for connections over TCP.
type TCPDialer struct {
	dialer          net.Dialer
	deadPeerTimeout time.Duration
}

// NewTCPDialer returns a dialer with the given time limits.
func NewTCPDialer(cfg TCPConfig) *TCPDialer {
	interval := max(cfg.DeadPeerTimeout/3, time.Second)
	return &TCPDialer{deadPeerTimeout: cfg.DeadPeerTimeout, dialer: net.Dialer{
		Timeout:         cfg.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: 2},
		Control:         func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, cfg.DeadPeerTimeout) },
	}}
}

// Dial implements Dialer.
func (d *TCPDialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	return d.dialer.DialContext(ctx, "tcp", address)
}

// LimitSilence makes a connection that another host opened fail as those of a TCPDialer do.
func (d *TCPDialer) LimitSilence(conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return errors.Join(tcp.SetKeepAliveConfig(d.dialer.KeepAliveConfig), setUserTimeout(raw, d.deadPeerTimeout))
}

// setUserTimeout makes the kernel fail a connection whose sent data stays unacknowledged for limit. Keepalive probes then give up after it
// too, whatever their count.
func setUserTimeout(raw syscall.RawConn, limit time.Duration) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
	return errors.Join(err, optErr)
}
