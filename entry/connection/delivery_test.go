package connection

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/timer"
)

// acknowledgedLimits are those of a host, with keep-alive probes 1 s apart.
var acknowledgedLimits = SilenceLimits{Sent: 300 * time.Millisecond, KeepAlive: 1300 * time.Millisecond, Unknown: time.Millisecond}

func TestConnectionIsUnheardIfNothingIsAcknowledgedInTime(t *testing.T) {
	t.Parallel()
	const day = 24 * time.Hour
	limits := SilenceLimits{Sent: 1, KeepAlive: 10, Unknown: 5}
	for name, c := range map[string]struct {
		limits   SilenceLimits
		quiet    time.Duration
		delivery Delivery
		err      error
		unheard  bool
	}{
		"sent data unacknowledged":                   {limits, 2, Delivery{Unacknowledged: true, HeardAgo: 1}, nil, true},
		"sent a moment ago, after a long idle time":  {limits, 0, Delivery{Unacknowledged: true, HeardAgo: day}, nil, false},
		"sent long ago, a part acknowledged now":     {limits, day, Delivery{Unacknowledged: true}, nil, false},
		"waits, keep-alive probes acknowledged":      {limits, day, Delivery{HeardAgo: 9}, nil, false},
		"waits, keep-alive probes lost":              {limits, day, Delivery{HeardAgo: 10}, nil, true},
		"body not read":                              {limits, day, Delivery{Blocked: true, HeardAgo: day}, nil, false},
		"not known, for long":                        {limits, 5, Delivery{}, errors.ErrUnsupported, true},
		"not known, for a moment":                    {limits, 4, Delivery{}, errors.ErrUnsupported, false},
		"a limit that does not apply, sent":          {SilenceLimits{KeepAlive: 1}, day, Delivery{Unacknowledged: true, HeardAgo: day}, nil, false},
		"a limit that does not apply, keep-alive":    {SilenceLimits{Sent: 1}, day, Delivery{HeardAgo: day}, nil, false},
		"a limit that does not apply, not supported": {SilenceLimits{Sent: 1}, day, Delivery{}, errors.ErrUnsupported, false},
	} {
		require.Equal(t, c.unheard, c.limits.unheard(c.quiet, c.delivery, c.err), name)
	}
}

// requireHeard requires that no connection of a pool is unheard while its endpoint is silent for several intervals of keep-alive probes.
func requireHeard(t *testing.T, p *Pool) {
	t.Helper()
	for start := timer.BootClock(); timer.BootClock().Sub(start) < 3*time.Second; time.Sleep(50 * time.Millisecond) {
		addresses, err := p.Unheard(acknowledgedLimits)
		require.NoError(t, err)
		require.Empty(t, addresses)
	}
}

// An endpoint reads a request and stays silent, or doesn't even read it: its system acknowledges.
func TestConnectionToASilentEndpointIsHeard(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		reads bool
		body  int
	}{"reads": {true, 10}, "does not read": {false, 10}, "does not read a body that exceeds all buffers": {false, 64 << 20}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			accepted := make(chan struct{})
			done := make(chan struct{})
			s := startScriptedServer(t, func(s *scriptedServer, _ net.Conn, r *bufio.Reader) {
				if c.reads {
					s.read(r)
				}
				close(accepted)
				<-done
			})
			p := New(Config{Dialer: NewTCPDialer(TCPConfig{DialTimeout: time.Minute, DeadPeerTimeout: 3 * time.Second}), IdleTimeout: time.Minute, MaxIdlePerEndpoint: 1})
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() {
				_, err := p.Do(ctx, s.address(), Request{ID: "a", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, c.body)}, time.Now().Add(time.Minute)) //nolint:bodyclose // There is no answer.
				ended <- err
			}()
			<-accepted
			requireHeard(t, p)
			cancel()
			require.Error(t, <-ended)
			close(done)
		})
	}
}

// lostConn is a connection whose Delivery is given.
type lostConn struct {
	net.Conn
	delivery Delivery
}

func (c lostConn) Delivery() (Delivery, error) { return c.delivery, nil }

// lossyDialer connects over a path that acknowledges nothing.
type lossyDialer struct{ TCPDialer }

func (d lossyDialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := d.TCPDialer.Dial(ctx, address)
	return lostConn{conn, Delivery{Unacknowledged: true, HeardAgo: time.Hour}}, err
}

func TestExchangeOverAnUnheardConnectionEndsIncomplete(t *testing.T) {
	t.Parallel()
	done := make(chan struct{})
	s := startScriptedServer(t, func(*scriptedServer, net.Conn, *bufio.Reader) { <-done })
	defer close(done)
	p := New(Config{Dialer: lossyDialer{*NewTCPDialer(TCPConfig{DialTimeout: time.Minute, DeadPeerTimeout: time.Minute})}, IdleTimeout: time.Minute, MaxIdlePerEndpoint: 1})
	ended := make(chan error, 1)
	go func() {
		_, err := p.Do(context.Background(), s.address(), Request{ID: "a", Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}, time.Now().Add(time.Minute)) //nolint:bodyclose // There is no answer.
		ended <- err
	}()
	limits := SilenceLimits{Sent: time.Millisecond}
	require.Eventually(t, func() bool {
		addresses, err := p.Unheard(limits)
		return err == nil && len(addresses) == 1
	}, time.Minute, time.Millisecond)
	p.CloseUnheard(limits, "127.0.0.1:1")
	require.Empty(t, ended, "another address")
	p.CloseUnheard(limits, s.address())
	require.ErrorIs(t, <-ended, ErrIncomplete)
}
