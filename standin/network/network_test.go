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

// Guards against a fault that ends early: removing the first of two overlapping faults must leave the second active.
func TestLinkKeepsOverlappingFaultUntilItsOwnEnd(t *testing.T) {
	t.Parallel()
	l := newLink(t)
	removeFirst, removeSecond := l.Impair(Fault{Cut: true}), l.Impair(Fault{Cut: true})
	require.Error(t, get(t, l))
	removeFirst()
	require.Error(t, get(t, l))
	removeSecond()
	require.NoError(t, get(t, l))
}

// Guards against bytes lost in a blocked direction: they must arrive once the fault ends, as TCP would retransmit them.
// If the connection is reset while the direction is blocked, the client must get an error instead of waiting.
func TestLinkDeliversBlockedBytesAfterFaultEnds(t *testing.T) {
	t.Parallel()
	for _, direction := range []Direction{ToTarget, FromTarget} {
		l := newLink(t)
		removeFault := l.Impair(Fault{Blocked: direction})
		result := make(chan error, 1)
		go func() { result <- get(t, l) }()
		require.Never(t, func() bool { return len(result) > 0 }, 50*time.Millisecond, 10*time.Millisecond)
		removeFault()
		require.NoError(t, <-result)
	}
	l := newLink(t)
	defer l.Impair(Fault{Blocked: FromTarget})()
	result := make(chan error, 1)
	go func() { result <- get(t, l) }()
	require.Eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.conns) == 1
	}, time.Minute, time.Millisecond)
	l.Break()
	require.Error(t, <-result)
}

// Guards against a fault that is limited to one sender and drops datagrams of another, or is still active after its removal.
func TestRelayDropsDatagramsOfFaultySenderOnly(t *testing.T) {
	t.Parallel()
	target, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer target.Close()
	relayAddress := freeUDPAddress(t)
	r, err := NewRelay(relayAddress, target.LocalAddr().String())
	require.NoError(t, err)
	defer r.Close()
	send := func(from, text string) {
		conn, err := net.DialUDP("udp", &net.UDPAddr{IP: net.ParseIP(from)}, net.UDPAddrFromAddrPort(r.in.LocalAddr().(*net.UDPAddr).AddrPort()))
		require.NoError(t, err)
		defer conn.Close()
		_, err = conn.Write([]byte(text))
		require.NoError(t, err)
	}
	removeFault := r.Impair(Fault{Cut: true, From: "127.0.0.2"})
	send("127.0.0.2", "lost")
	send("127.0.0.3", "a")
	require.Equal(t, "a", receive(t, target))
	removeFault()
	send("127.0.0.2", "b")
	require.Equal(t, "b", receive(t, target))
}

func receive(t *testing.T, conn *net.UDPConn) string {
	buffer := make([]byte, 64)
	n, err := conn.Read(buffer)
	require.NoError(t, err)
	return string(buffer[:n])
}

func freeUDPAddress(t *testing.T) string {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer conn.Close()
	return conn.LocalAddr().String()
}

// Guards against an end that the other side could tell from the end of a process: each connection ends in order, and the address listens on.
func TestLinkEndsConnectionsInOrderWhileItListensOn(t *testing.T) {
	t.Parallel()
	l := newLink(t)
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", l.Address())
	require.NoError(t, err)
	defer conn.Close()
	require.Eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.conns) == 1
	}, time.Minute, time.Millisecond)
	l.EndConnections()
	_, err = conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.NoError(t, get(t, l))
}
