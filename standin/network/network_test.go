package network

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func get(t *testing.T, l *Link) error {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get("http://" + l.Address())
	if err != nil {
		return err
	}
	_, err = io.ReadAll(r.Body)
	_ = r.Body.Close()
	return err
}

func newLink(t *testing.T) *Link {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(server.Close)
	l, err := NewLink(server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(l.Close)
	return l
}

// Faults of one link overlap: the first to end leaves the other in force.
func TestFaultsOfALinkOverlap(t *testing.T) {
	t.Parallel()
	l := newLink(t)
	first, second := l.Impair(Fault{Cut: true}), l.Impair(Fault{Cut: true})
	require.Error(t, get(t, l))
	first()
	require.Error(t, get(t, l))
	second()
	require.NoError(t, get(t, l))
}

// What a blocked direction holds arrives once the fault ends, unless the connection was broken meanwhile.
func TestABlockedDirectionHoldsItsBytes(t *testing.T) {
	t.Parallel()
	for _, way := range []Direction{Onward, Back} {
		l := newLink(t)
		mend := l.Impair(Fault{Blocked: way})
		over := make(chan error, 1)
		go func() { over <- get(t, l) }()
		require.Never(t, func() bool { return len(over) > 0 }, 50*time.Millisecond, 10*time.Millisecond)
		mend()
		require.NoError(t, <-over)
	}
	l := newLink(t)
	defer l.Impair(Fault{Blocked: Back})()
	over := make(chan error, 1)
	go func() { over <- get(t, l) }()
	require.Eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.pairs) == 1
	}, time.Minute, time.Millisecond)
	l.Break()
	require.Error(t, <-over)
}

func TestARelayLosesWhatOneSenderSends(t *testing.T) {
	t.Parallel()
	target, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer target.Close()
	at := freeUDP(t)
	r, err := NewRelay(at, target.LocalAddr().String())
	require.NoError(t, err)
	defer r.Close()
	send := func(from, text string) {
		conn, err := net.DialUDP("udp", &net.UDPAddr{IP: net.ParseIP(from)}, net.UDPAddrFromAddrPort(r.in.LocalAddr().(*net.UDPAddr).AddrPort()))
		require.NoError(t, err)
		defer conn.Close()
		_, err = conn.Write([]byte(text))
		require.NoError(t, err)
	}
	mend := r.Impair(Fault{Cut: true, From: "127.0.0.2"})
	send("127.0.0.2", "lost")
	send("127.0.0.3", "a")
	require.Equal(t, "a", receive(t, target))
	mend()
	send("127.0.0.2", "b")
	require.Equal(t, "b", receive(t, target))
}

func receive(t *testing.T, conn *net.UDPConn) string {
	buffer := make([]byte, 64)
	n, err := conn.Read(buffer)
	require.NoError(t, err)
	return string(buffer[:n])
}

func freeUDP(t *testing.T) string {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer conn.Close()
	return conn.LocalAddr().String()
}
