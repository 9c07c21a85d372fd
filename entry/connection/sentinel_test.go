package connection

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/timer"
	"balsamknot.org/platform/standin"
)

// heldDialer is a Dialer whose attempts after the first one wait for release.
type heldDialer struct {
	Dialer
	attempts chan struct{}
	release  chan struct{}
	begun    bool
}

func (d *heldDialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	if d.begun {
		d.attempts <- struct{}{}
		<-d.release
	}
	d.begun = true
	return d.Dialer.Dial(ctx, address)
}

// beginUnframed reads a request and sends the head of an answer that ends with its connection.
func (s *scriptedServer) beginUnframed(conn net.Conn, r *bufio.Reader, id string) {
	s.read(r)
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+standin.RequestIDHeader+": "+id+"\r\n\r\n")
}

// Guards against a leak: a sentinel that was dropped while it was being established stayed open until its endpoint ended it.
func TestSentinelThatIsDroppedWhileItConnectsIsClosed(t *testing.T) {
	t.Parallel()
	for name, drop := range map[string]func(p *Pool, address string){
		"DropIdle": (*Pool).DropIdle,
		"Close":    func(p *Pool, _ string) { p.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			closed := make(chan struct{})
			s := startScriptedServer(t,
				func(s *scriptedServer, conn net.Conn, r *bufio.Reader) {
					s.beginUnframed(conn, r, "id-1")
					<-closed
				},
				func(_ *scriptedServer, conn net.Conn, _ *bufio.Reader) {
					_, _ = conn.Read(make([]byte, 1))
					close(closed)
				})
			p := newPool()
			d := &heldDialer{Dialer: p.cfg.Dialer, attempts: make(chan struct{}), release: make(chan struct{})}
			p.cfg.Dialer = d
			x, err := do(t, p, s, "id-1")
			require.NoError(t, err)
			x.Guard()
			<-d.attempts
			x.Abort()
			drop(p, s.address())
			close(d.release)
			select {
			case <-closed:
			case <-time.After(3 * time.Second):
				t.Fatal("the connection is open though no pool holds it")
			}
		})
	}
}

// Guards against LOST: an endpoint that takes no further connection, and resets the sentinel, was taken for one that ended with its answer.
func TestSentinelThatIsResetSaysNothing(t *testing.T) {
	t.Parallel()
	reset, end := make(chan struct{}), make(chan struct{})
	defer close(end)
	s := startScriptedServer(t,
		func(s *scriptedServer, conn net.Conn, r *bufio.Reader) {
			s.beginUnframed(conn, r, "id-1")
			<-end
		},
		func(_ *scriptedServer, conn net.Conn, _ *bufio.Reader) {
			time.Sleep(5 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			close(reset)
		})
	x, err := do(t, newPool(), s, "id-1")
	require.NoError(t, err)
	defer x.Abort()
	g := x.Guard()
	<-reset
	require.Never(t, func() bool { return g.State() == GuardEnded }, 100*time.Millisecond, time.Millisecond)
	require.Equal(t, GuardAbsent, g.State())
}

// Guards against connections for nothing: each unframed answer of an endpoint that resets further connections tried another sentinel.
func TestSentinelThatIsResetIsNotTriedAgainAtOnce(t *testing.T) {
	t.Parallel()
	end := make(chan struct{})
	defer close(end)
	s := startScriptedServer(t,
		func(s *scriptedServer, conn net.Conn, r *bufio.Reader) {
			s.beginUnframed(conn, r, "id-1")
			<-end
		},
		func(_ *scriptedServer, conn net.Conn, _ *bufio.Reader) {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		})
	p := newPool()
	x, err := do(t, p, s, "id-1")
	require.NoError(t, err)
	defer x.Abort()
	x.Guard()
	tried := p.sentinels[s.address()]
	require.Eventually(t, func() bool {
		tried.mu.Lock()
		defer tried.mu.Unlock()
		return tried.failed
	}, time.Minute, time.Millisecond)
	x.Guard()
	require.Same(t, tried, p.sentinels[s.address()])
	require.True(t, tried.replaceable(timer.BootClock().Add(sentinelRetryInterval)))
}

// Guards against ORDER: the sentinel of an answer that took long, or whose endpoint was removed meanwhile, was given up, and one that had ended was
// forgotten before the answer was judged.
func TestSentinelIsKeptWhileItGuardsAnAnswer(t *testing.T) {
	t.Parallel()
	later := func(p *Pool, d time.Duration) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.sweepSentinels(timer.BootClock().Add(d))
	}
	for name, test := range map[string]struct {
		drop  func(p *Pool, address string)
		ended bool
		want  GuardState
	}{
		"a long answer":                   {func(p *Pool, _ string) { later(p, time.Minute) }, false, GuardOpen},
		"an endpoint that is removed":     {(*Pool).DropIdle, false, GuardOpen},
		"a sentinel that ended, swept":    {func(p *Pool, _ string) { later(p, 0) }, true, GuardEnded},
		"a sentinel that ended, dropped":  {(*Pool).DropIdle, true, GuardEnded},
		"a sentinel that ended, replaced": {func(p *Pool, _ string) { p.Close() }, true, GuardEnded},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			end, closed := make(chan struct{}), make(chan struct{})
			s := startScriptedServer(t,
				func(s *scriptedServer, conn net.Conn, r *bufio.Reader) {
					s.beginUnframed(conn, r, "id-1")
					<-closed
				},
				func(*scriptedServer, net.Conn, *bufio.Reader) { <-end })
			p := newPool()
			x, err := do(t, p, s, "id-1")
			require.NoError(t, err)
			g := x.Guard()
			require.Eventually(t, func() bool { return g.State() == GuardOpen }, time.Minute, time.Millisecond)
			if test.ended {
				close(closed)
				require.Eventually(t, func() bool { return x.conn.peerState() == peerEnded }, time.Minute, time.Millisecond)
				close(end)
				require.Eventually(t, func() bool { return g.State() == GuardEnded }, time.Minute, time.Millisecond)
			} else {
				defer close(closed)
				defer close(end)
			}
			test.drop(p, s.address())
			require.Equal(t, test.want, g.State())
			x.Abort()
			later(p, time.Minute)
			require.Empty(t, p.sentinels)
		})
	}
}

// Guards against LOST: an endpoint that ends connections over which nothing comes was taken for one that ended with its answer, each time that an
// answer ended soon after its sentinel.
func TestSentinelThatAnAnswerOutlivesTeachesTheEndpointsIdleTime(t *testing.T) {
	t.Parallel()
	const idle = 50 * time.Millisecond
	over := make(chan struct{})
	defer close(over)
	answer := func(s *scriptedServer, conn net.Conn, r *bufio.Reader) {
		s.beginUnframed(conn, r, "id-1")
		<-over
	}
	s := startScriptedServer(t, answer, func(*scriptedServer, net.Conn, *bufio.Reader) { time.Sleep(idle) }, answer)
	p := newPool()
	first, err := do(t, p, s, "id-1")
	require.NoError(t, err)
	defer first.Abort()
	g := first.Guard()
	require.Eventually(t, func() bool { return g.s.idleTime.Load() >= int64(idle/2) }, time.Minute, time.Millisecond)
	require.Equal(t, GuardAbsent, g.State())
	p.Sweep()
	second, err := do(t, p, s, "id-1")
	require.NoError(t, err)
	defer second.Abort()
	next := second.Guard().s
	require.NotSame(t, g.s, next)
	require.Same(t, g.s.idleTime, next.idleTime, "the next sentinel of the address knows the time, too")
}

// Guards against LOST and ORDER: which ends of sentinels are put down to the endpoint's idle time.
func TestSentinelThatEndsAtTheEndpointsIdleTimeSaysNothing(t *testing.T) {
	t.Parallel()
	const idle = time.Second
	for age, want := range map[time.Duration]bool{
		idle: true, idle - 60*time.Millisecond: true, idle + 60*time.Millisecond: true,
		idle / 2: false, idle - 100*time.Millisecond: false, idle + 100*time.Millisecond: false,
	} {
		s := (*sentinel)(nil).next(time.Unix(1000, 0), "i-1")
		s.conn = &pooledConn{connectedAt: time.Unix(1000, 0)}
		s.endedAt = s.conn.connectedAt.Add(age)
		require.False(t, s.endedIdle(), "an idle time that is not known")
		s.idleTime.Store(int64(idle))
		require.Equal(t, want, s.endedIdle(), "age %s", age)
	}
}

// Guards against ORDER: the age at which this host closed a sentinel, or the endpoint reset it, was taken for the endpoint's idle time, so that the next one
// that ended at that age with its process said nothing.
func TestIdleTimeIsLearntOnlyFromSentinelsThatTheEndpointEndsInOrder(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(s *sentinel, peer net.Conn){
		"closed here": func(s *sentinel, _ net.Conn) { _ = s.conn.Conn.Close() },
		"reset":       func(_ *sentinel, peer net.Conn) { _ = peer.(*net.TCPConn).SetLinger(0); _ = peer.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			peers, over := make(chan net.Conn, 1), make(chan struct{})
			s := startScriptedServer(t,
				func(s *scriptedServer, conn net.Conn, r *bufio.Reader) {
					s.beginUnframed(conn, r, "id-1")
					<-over
				},
				func(_ *scriptedServer, conn net.Conn, _ *bufio.Reader) {
					peers <- conn
					<-over
				})
			defer close(over)
			x, err := do(t, newPool(), s, "id-1")
			require.NoError(t, err)
			defer x.Abort()
			g := x.Guard()
			require.Eventually(t, func() bool { return g.State() == GuardOpen }, time.Minute, time.Millisecond)
			end(g.s, <-peers)
			require.Never(t, func() bool { return g.s.idleTime.Load() != 0 }, 200*time.Millisecond, 10*time.Millisecond)
		})
	}
}
