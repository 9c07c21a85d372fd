package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/endpoint"
)

// tunnelSite is an endpoint, and a relay that connects to it.
type tunnelSite struct {
	endpoint net.Listener
	relay    *httptest.Server
	// refuse is returned instead of a connection to the endpoint, unless it is nil.
	refuse error
	// clients receives the relay's connection to the host of each tunnel.
	clients chan net.Conn
}

func newTunnelSite(t *testing.T) *tunnelSite {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &tunnelSite{endpoint: listener, clients: make(chan net.Conn, 1)}
	s.relay = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		target := ReadTunnelTarget(r)
		if s.refuse != nil || target.Endpoint != "i-a" {
			WriteTunnelRefusal(w, errors.Join(ErrRelayUnavailable, s.refuse))
			return
		}
		upstream, err := net.Dial("tcp", target.Address)
		if err != nil {
			WriteTunnelRefusal(w, err)
			return
		}
		client, buffered, _ := w.(http.Hijacker).Hijack()
		_, _ = io.WriteString(client, TunnelEstablished)
		s.clients <- client
		Relay(client, buffered.Reader, upstream)
	}))
	t.Cleanup(s.relay.Close)
	return s
}

func (s *tunnelSite) open(id endpoint.ID) (*Tunnel, error) {
	conn, err := net.Dial("tcp", s.relay.Listener.Addr().String())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return OpenTunnel(ctx, conn, TunnelTarget{Endpoint: id, Address: s.endpoint.Addr().String()})
}

// connect opens a tunnel and returns its two ends.
func (s *tunnelSite) connect(t *testing.T) (*Tunnel, net.Conn) {
	tunnel, err := s.open("i-a")
	require.NoError(t, err)
	t.Cleanup(func() { _ = tunnel.Close() })
	far, err := s.endpoint.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = far.Close() })
	return tunnel, far
}

func TestTunnelCarriesBytesBothWays(t *testing.T) {
	t.Parallel()
	tunnel, far := newTunnelSite(t).connect(t)
	long := strings.Repeat("0123456789", 10_000)
	go func() { _, _ = io.WriteString(tunnel, long) }()
	got := make([]byte, len(long))
	_, err := io.ReadFull(far, got)
	require.NoError(t, err)
	require.Equal(t, long, string(got))
	go func() {
		_, _ = io.WriteString(far, long)
		_ = far.Close()
	}()
	answer, err := io.ReadAll(tunnel)
	require.NoError(t, err, "the endpoint ended in order")
	require.Equal(t, long, string(answer))
}

// An answer that only the end of the connection ends must not look complete when the relay or the endpoint's connection ends.
func TestTunnelThatBreaksOffDoesNotLookLikeTheEndOfAnAnswer(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(s *tunnelSite, far net.Conn){
		"relay killed":   func(s *tunnelSite, _ net.Conn) { _ = (<-s.clients).Close() },
		"endpoint reset": func(_ *tunnelSite, far net.Conn) { _ = far.(*net.TCPConn).SetLinger(0); _ = far.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTunnelSite(t)
			tunnel, far := s.connect(t)
			_, _ = io.WriteString(far, "part")
			buf := make([]byte, 4)
			_, err := io.ReadFull(tunnel, buf)
			require.NoError(t, err)
			end(s, far)
			_, err = tunnel.Read(buf)
			require.Error(t, err)
			require.NotErrorIs(t, err, io.EOF)
		})
	}
}

func TestEndpointNoticesThatTheHostClosedItsTunnel(t *testing.T) {
	t.Parallel()
	tunnel, far := newTunnelSite(t).connect(t)
	require.NoError(t, tunnel.Close())
	_ = far.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, err := far.Read(make([]byte, 1))
	require.Error(t, err)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the connection stayed open")
}

func TestRefusedTunnelSaysWhoseFaultItIs(t *testing.T) {
	t.Parallel()
	s := newTunnelSite(t)
	_, err := s.open("i-b")
	require.ErrorIs(t, err, ErrRelayUnavailable, "an endpoint that the relay does not know")
	s.refuse = errors.Join(ErrEndpointUnreachable, syscall.ECONNREFUSED)
	_, err = s.open("i-a")
	require.ErrorIs(t, err, ErrEndpointUnreachable)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	s.refuse = ErrEndpointUnreachable
	_, err = s.open("i-a")
	require.ErrorIs(t, err, ErrEndpointUnreachable)
	require.NotErrorIs(t, err, syscall.ECONNREFUSED)
}

// A host of the last release answers requests on this port with its copy of the store only.
func TestHostOfTheLastReleaseIsNoRelay(t *testing.T) {
	t.Parallel()
	mux := http.NewServeMux()
	mux.Handle("GET "+StoreUpdatePath, http.NotFoundHandler())
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	s := &tunnelSite{endpoint: server.Listener, relay: server}
	_, err := s.open("i-a")
	require.ErrorIs(t, err, ErrRelayUnavailable)
}

// Guards against MIXED: an endpoint that reset its connection during an upload ended its tunnel in order, since the relay's write was told of the reset.
func TestTunnelOfAnEndpointThatResetsDuringAnUploadBreaksOff(t *testing.T) {
	t.Parallel()
	upload := make([]byte, 16<<20)
	s := newTunnelSite(t)
	for range 20 {
		tunnel, far := s.connect(t)
		go func() { _, _ = tunnel.Write(upload) }()
		go func() {
			_, _ = io.WriteString(far, "part")
			time.Sleep(5 * time.Millisecond)
			_ = far.(*net.TCPConn).SetLinger(0)
			_ = far.Close()
		}()
		_, err := io.Copy(io.Discard, tunnel)
		require.Error(t, err)
		<-s.clients
	}
}

func TestTunnelEndsInOrderWithItsEndpointsSideDuringAnUpload(t *testing.T) {
	t.Parallel()
	tunnel, far := newTunnelSite(t).connect(t)
	go func() { _, _ = tunnel.Write(make([]byte, 16<<20)) }()
	_, err := io.WriteString(far, "all of it")
	require.NoError(t, err)
	require.NoError(t, far.(*net.TCPConn).CloseWrite())
	got, err := io.ReadAll(tunnel)
	require.NoError(t, err)
	require.Equal(t, "all of it", string(got))
}

// Guards against MIXED: a reply whose head can't be trusted was taken for a tunnel.
func TestReplyWhoseHeadCannotBeTrustedIsNoTunnel(t *testing.T) {
	t.Parallel()
	for _, head := range []string{"HTTP/1.1 200 OK\r\nBad Name: 1\r\n\r\n", "HTTP/9.9 200 OK\r\n\r\n", "HTTP/1.1 099 Low\r\n\r\n"} {
		near, far := net.Pipe()
		go func() {
			_, _ = far.Read(make([]byte, 1<<10))
			_, _ = io.WriteString(far, head)
		}()
		_, err := OpenTunnel(t.Context(), near, TunnelTarget{Endpoint: "i-a", Address: "127.0.0.1:1"})
		require.ErrorIs(t, err, ErrRelayUnavailable, head)
	}
}
