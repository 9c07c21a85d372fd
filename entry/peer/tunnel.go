package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"balsamknot.org/entry/reset"
	"balsamknot.org/fleet/answer"
	"balsamknot.org/fleet/endpoint"
)

// A tunnel is a connection to an endpoint through another host, the relay. It is requested with the HTTP method CONNECT (RFC 9110). After
// status 200, what the host sends goes to the endpoint as it is. What the endpoint sends comes in chunks, each with its length before it, and
// a chunk of length 0 means that the endpoint ended its side in order: otherwise the end of a relay would look like the end of an answer
// that only the end of the connection ends.

// Headers of a request for a tunnel and of the reply.
const (
	// endpointHeader is the ID of the endpoint to connect to.
	endpointHeader = "Endpoint"
	// refusedHeader is present if nothing listens at the endpoint's address.
	refusedHeader = "Refused"
)

// Statuses of the reply to a request for a tunnel.
const (
	// StatusEndpointUnreachable means that the relay can't connect to the endpoint, but is in contact with others of its service.
	StatusEndpointUnreachable = http.StatusBadGateway
	// StatusRelayUnavailable means that the relay can't say whether the endpoint is reachable: its own path to it is gone, it has too many
	// tunnels, it does not know the endpoint, or it is about to stop.
	StatusRelayUnavailable = http.StatusServiceUnavailable
)

var (
	// ErrEndpointUnreachable means that the relay can't connect to the endpoint either.
	ErrEndpointUnreachable = errors.New("the relay can't connect to the endpoint")
	// ErrRelayUnavailable means that the relay can't be reached or did not try to connect.
	ErrRelayUnavailable = errors.New("the relay is not available")
)

// TunnelTarget is the endpoint to which a tunnel leads.
type TunnelTarget struct {
	Endpoint endpoint.ID
	// Address is the endpoint's ip:port.
	Address string
}

// ReadTunnelTarget returns the target of a request for a tunnel.
func ReadTunnelTarget(r *http.Request) TunnelTarget {
	return TunnelTarget{Endpoint: endpoint.ID(r.Header.Get(endpointHeader)), Address: r.Host}
}

// WriteTunnelRefusal replies to a request for a tunnel that err could not be established: StatusEndpointUnreachable if err is
// ErrEndpointUnreachable, else StatusRelayUnavailable.
func WriteTunnelRefusal(w http.ResponseWriter, err error) {
	w.Header().Set("Content-Length", "0")
	if errors.Is(err, syscall.ECONNREFUSED) {
		w.Header().Set(refusedHeader, "1")
	}
	status := StatusRelayUnavailable
	if errors.Is(err, ErrEndpointUnreachable) {
		status = StatusEndpointUnreachable
	}
	w.WriteHeader(status)
}

// TunnelEstablished is the reply to a request for a tunnel that leads to its endpoint.
const TunnelEstablished = "HTTP/1.1 200 OK\r\n\r\n"

// OpenTunnel requests a tunnel over conn, a new connection to a relay, within the deadline of ctx. It closes conn if it fails: with
// ErrEndpointUnreachable, also ECONNREFUSED if nothing listens there, or ErrRelayUnavailable.
func OpenTunnel(ctx context.Context, conn net.Conn, target TunnelTarget) (*Tunnel, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	tunnel, err := requestTunnel(conn, target)
	if err != nil {
		_ = conn.Close()
		return nil, eris.Wrapf(err, "tunnel to endpoint %s through %s", target.Endpoint, conn.RemoteAddr())
	}
	_ = conn.SetDeadline(time.Time{})
	return tunnel, nil
}

func requestTunnel(conn net.Conn, target TunnelTarget) (*Tunnel, error) {
	head := "CONNECT " + target.Address + " HTTP/1.1\r\nHost: " + target.Address + "\r\n" + endpointHeader + ": " + string(target.Endpoint) + "\r\n\r\n"
	if _, err := io.WriteString(conn, head); err != nil {
		return nil, errors.Join(ErrRelayUnavailable, err)
	}
	reader := bufio.NewReaderSize(conn, tunnelReaderSize)
	response, err := answer.ReadHead(reader, &http.Request{Method: http.MethodConnect})
	if err != nil {
		return nil, errors.Join(ErrRelayUnavailable, err)
	}
	_ = response.Body.Close()
	switch {
	case response.StatusCode == http.StatusOK:
		return &Tunnel{Conn: conn, reader: reader}, nil
	case response.StatusCode != StatusEndpointUnreachable:
		return nil, eris.Wrapf(ErrRelayUnavailable, "status %d", response.StatusCode)
	case response.Header.Get(refusedHeader) != "":
		return nil, errors.Join(ErrEndpointUnreachable, syscall.ECONNREFUSED)
	}
	return nil, ErrEndpointUnreachable
}

const (
	// tunnelReaderSize is the size of the read buffer of a tunnel, and tunnelChunkSize the largest chunk, in bytes.
	tunnelReaderSize = 4 << 10
	tunnelChunkSize  = 8 << 10
	// chunkHeadSize is the size of the length before each chunk, a big-endian integer.
	chunkHeadSize = 2
)

// Tunnel is a connection to an endpoint through a relay.
type Tunnel struct {
	net.Conn
	reader *bufio.Reader
	// left is how much of the current chunk has not been read, and ended is true after the last chunk.
	left  int
	ended bool
}

// Read implements net.Conn. The error is io.EOF only if the endpoint ended its side in order.
func (t *Tunnel) Read(p []byte) (int, error) {
	if t.ended {
		return 0, io.EOF
	}
	if t.left == 0 {
		var head [chunkHeadSize]byte
		if _, err := io.ReadFull(t.reader, head[:]); err != nil {
			return 0, broken(err)
		}
		t.left = int(binary.BigEndian.Uint16(head[:]))
		if t.left == 0 {
			t.ended = true
			return 0, io.EOF
		}
	}
	n, err := t.reader.Read(p[:min(len(p), t.left)])
	t.left -= n
	return n, broken(err)
}

// broken returns an error of a tunnel that does not look like an orderly end.
func broken(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// SyscallConn implements syscall.Conn, so that bytes that arrive on an idle tunnel are noticed.
func (t *Tunnel) SyscallConn() (syscall.RawConn, error) {
	conn, ok := t.Conn.(syscall.Conn)
	if !ok {
		return nil, eris.New("the tunnel's connection has no descriptor")
	}
	return conn.SyscallConn()
}

// Relay copies between a host, which has requested a tunnel over client, and an endpoint until one of them ends, and closes both
// connections. sent holds what the host sent after its request.
func Relay(client net.Conn, sent io.Reader, upstream net.Conn) {
	var wg sync.WaitGroup
	to := &watchedWriter{conn: upstream}
	wg.Go(func() {
		defer upstream.Close()
		_, _ = io.CopyBuffer(to, io.MultiReader(sent, onlyReader{client}), make([]byte, tunnelReaderSize))
	})
	copyChunks(client, upstream, &to.writes)
	_ = upstream.Close()
	_ = client.Close()
	wg.Wait()
}

// onlyReader hides the methods with which io.Copy would let the kernel copy.
type onlyReader struct{ io.Reader }

// watchedWriter writes to the connection to an endpoint.
type watchedWriter struct {
	conn   net.Conn
	writes reset.Watch
}

// Write implements io.Writer.
func (w *watchedWriter) Write(p []byte) (int, error) { return w.writes.Write(w.conn, p) }

// copyChunks copies what the endpoint sends to the host. It resets the host's connection if the endpoint's broke off, also if the writes to the endpoint were
// told of that.
func copyChunks(client, upstream net.Conn, writes *reset.Watch) {
	buf := make([]byte, chunkHeadSize+tunnelChunkSize)
	for {
		n, err := upstream.Read(buf[chunkHeadSize:])
		if n > 0 {
			binary.BigEndian.PutUint16(buf, uint16(n))
			if _, err := client.Write(buf[:chunkHeadSize+n]); err != nil {
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF) && writes.EndedInOrder(upstream):
			_, _ = client.Write([]byte{0, 0})
			return
		case err != nil:
			if tcp, ok := client.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			return
		}
	}
}
