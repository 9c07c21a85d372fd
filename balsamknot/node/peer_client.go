package node

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"

	"balsamknot.org/balsamknot/settings"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/wire"
)

const (
	// A connection that carries requests and receives nothing is closed within three seconds: a ping is sent after pingAfter,
	// and its reply must arrive within pingTimeout.
	pingAfter   = 2 * time.Second
	pingTimeout = time.Second
	dialTimeout = 700 * time.Millisecond
	// maxPeerStreams limits the requests in flight on one connection between two nodes.
	maxPeerStreams = 4096
	// maxPeerMessageBytes is the maximum size of a message between nodes.
	maxPeerMessageBytes = 16 << 20
	// forwardIdleTimeout is how long an unused connection for requests stays open. It is short because in a large fleet a node
	// seldom forwards to any given peer, and each open connection costs pings.
	forwardIdleTimeout = 5 * time.Second
	// controlIdleTimeout is how long an unused connection for control messages stays open. It is long because an idle one
	// costs nothing (it has no pings), while setting up a new one costs more than a heartbeat.
	controlIdleTimeout = 90 * time.Second
)

// peerClients holds the clients for calls to the other nodes. Control messages and requests use separate connections.
type peerClients struct {
	key         []byte
	self        host.ID
	controlHTTP *http.Client
	forwardHTTP *http.Client
	mu          sync.Mutex
	clients     map[clientKey]wire.PeerClient
}

type clientKey struct {
	address string
	control bool
}

func newPeerClients(s settings.Node, m *meter) *peerClients {
	return &peerClients{
		key:         s.FleetKey,
		self:        s.Host,
		controlHTTP: &http.Client{Transport: peerTransport(m.countControl, 0, controlIdleTimeout)},
		forwardHTTP: &http.Client{Transport: peerTransport(nil, pingAfter, forwardIdleTimeout)},
		clients:     make(map[clientKey]wire.PeerClient),
	}
}

// peerTransport returns a transport for HTTP/2 without TLS. With a ping of 0 it sends no pings: control calls need none, because
// each has a short timeout.
func peerTransport(count func(bytes int), ping, idle time.Duration) *http.Transport {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		DialContext:     countingDial(count),
		Protocols:       &protocols,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: ping, PingTimeout: pingTimeout},
		IdleConnTimeout: idle,
	}
}

// countingDial returns a dial function with a short timeout. It calls count, unless nil, with the number of bytes of each read
// and write on the connections.
func countingDial(count func(bytes int)) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: pingAfter}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, &dialError{err}
		}
		if count == nil {
			return conn, nil
		}
		return &countingConn{Conn: conn, count: count}, nil
	}
}

// dialError wraps an error of establishing a connection; it means that nothing was sent.
type dialError struct{ error }

// Unwrap returns the error of the dialer.
func (e *dialError) Unwrap() error { return e.error }

type countingConn struct {
	net.Conn
	count func(bytes int)
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count(n)
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count(n)
	return n, err
}

// controlClient returns a client for all calls that do not carry a caller's request, such as heartbeats and votes.
func (p *peerClients) controlClient(address string) wire.PeerClient {
	return p.client(clientKey{address, true}, p.controlHTTP)
}

// forwardClient returns a client for the calls Forward and Act, which carry callers' requests.
func (p *peerClients) forwardClient(address string) wire.PeerClient {
	return p.client(clientKey{address, false}, p.forwardHTTP)
}

func (p *peerClients) client(key clientKey, httpClient *http.Client) wire.PeerClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	client := p.clients[key]
	if client == nil {
		client = wire.NewPeerClient(httpClient, "http://"+key.address,
			connect.WithInterceptors(&authInterceptor{key: p.key, self: p.self}),
			connect.WithAcceptCompression("gzip", nil, nil),
			connect.WithReadMaxBytes(maxPeerMessageBytes))
		p.clients[key] = client
	}
	return client
}

func (p *peerClients) close() {
	p.controlHTTP.CloseIdleConnections()
	p.forwardHTTP.CloseIdleConnections()
}

// Headers that authenticate a call: the ID of the calling host, the time of the call in Unix milliseconds, and the HMAC of both
// and of the procedure under the fleet's key.
const (
	headerPeer = "Peer-Host"
	headerTime = "Peer-Time"
	headerMAC  = "Peer-Mac"
)

// maxMACAge is the largest accepted difference between the time in a call's headers and the local clock. It covers both the time
// that the call takes and the difference between the clocks.
const maxMACAge = 30 * time.Second

var errUnauthenticatedPeer = errors.New("the caller did not prove that it is a node of the fleet")

// computeMAC returns the HMAC-SHA256 of the other arguments under key, in hexadecimal. Each part is preceded by its length, so
// that the same bytes split differently give another MAC.
func computeMAC(key []byte, self, procedure, at string) string {
	hash := hmac.New(sha256.New, key)
	for _, part := range []string{self, procedure, at} {
		_, _ = hash.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// authInterceptor is a connect interceptor that signs the calls of this node and verifies those of its peers. onReject is called
// with the address of a peer whose call fails the verification. It may be nil on the client side.
type authInterceptor struct {
	key      []byte
	self     host.ID
	onReject func(peer string)
}

func (a *authInterceptor) sign(header http.Header, procedure string) {
	at := strconv.FormatInt(time.Now().UnixMilli(), 10)
	header.Set(headerPeer, string(a.self))
	header.Set(headerTime, at)
	header.Set(headerMAC, computeMAC(a.key, string(a.self), procedure, at))
}

func (a *authInterceptor) verify(header http.Header, procedure, from string) error {
	at, err := strconv.ParseInt(header.Get(headerTime), 10, 64)
	age := time.Since(time.UnixMilli(at)).Abs()
	want := computeMAC(a.key, header.Get(headerPeer), procedure, header.Get(headerTime))
	if err == nil && age <= maxMACAge && hmac.Equal([]byte(want), []byte(header.Get(headerMAC))) {
		return nil
	}
	a.onReject(from)
	return connect.NewError(connect.CodeUnauthenticated, errUnauthenticatedPeer)
}

// WrapUnary implements connect.Interceptor.
func (a *authInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		if r.Spec().IsClient {
			a.sign(r.Header(), r.Spec().Procedure)
			return next(ctx, r)
		}
		if err := a.verify(r.Header(), r.Spec().Procedure, r.Peer().Addr); err != nil {
			return nil, err
		}
		return next(ctx, r)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (a *authInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		a.sign(conn.RequestHeader(), spec.Procedure)
		return conn
	}
}

// WrapStreamingHandler implements connect.Interceptor.
func (a *authInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		if err := a.verify(conn.RequestHeader(), conn.Spec().Procedure, conn.Peer().Addr); err != nil {
			return err
		}
		return next(ctx, conn)
	}
}
