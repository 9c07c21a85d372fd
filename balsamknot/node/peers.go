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
	// pingAfter and pingTimeout replace a silent connection that carries requests within three seconds.
	pingAfter   = 2 * time.Second
	pingTimeout = time.Second
	dialTimeout = 700 * time.Millisecond
	// maxPeerStreams bounds the requests in flight on one connection between two nodes.
	maxPeerStreams = 4096
	// maxPeerMessage bounds a message between nodes in bytes.
	maxPeerMessage = 16 << 20
	// forwardIdle closes unused connections for requests: in a large fleet most peers are seldom met, and each open
	// connection costs pings.
	forwardIdle = 5 * time.Second
	// controlIdle keeps those for control, which cost nothing while unused: a new one costs more than a heartbeat.
	controlIdle = 90 * time.Second
)

// peers dials the other nodes: control messages and requests travel on connections of their own.
type peers struct {
	key     []byte
	self    host.ID
	control *http.Client
	forward *http.Client
	mu      sync.Mutex
	clients map[clientKey]wire.PeerClient
}

type clientKey struct {
	address string
	control bool
}

func newPeers(s settings.Node, m *meter) *peers {
	return &peers{
		key:     s.FleetKey,
		self:    s.Host,
		control: &http.Client{Transport: peerTransport(m.countControl, 0, controlIdle)},
		forward: &http.Client{Transport: peerTransport(nil, pingAfter, forwardIdle)},
		clients: make(map[clientKey]wire.PeerClient),
	}
}

// peerTransport speaks HTTP/2 without TLS. Control calls have short timeouts of their own and need no pings.
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

// countingDial dials with a short timeout and reports the bytes of each connection to count.
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

// dialError says that no connection came about, so that nothing was sent.
type dialError struct{ error }

// Unwrap returns the cause.
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

// controlClient returns a client for heartbeats, votes and documents.
func (p *peers) controlClient(address string) wire.PeerClient {
	return p.client(clientKey{address, true}, p.control)
}

// forwardClient returns a client for requests.
func (p *peers) forwardClient(address string) wire.PeerClient {
	return p.client(clientKey{address, false}, p.forward)
}

func (p *peers) client(key clientKey, httpClient *http.Client) wire.PeerClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	client := p.clients[key]
	if client == nil {
		client = wire.NewPeerClient(httpClient, "http://"+key.address,
			connect.WithInterceptors(&signer{key: p.key, self: p.self}),
			connect.WithAcceptCompression("gzip", nil, nil),
			connect.WithReadMaxBytes(maxPeerMessage))
		p.clients[key] = client
	}
	return client
}

func (p *peers) close() {
	p.control.CloseIdleConnections()
	p.forward.CloseIdleConnections()
}

// Headers by which a node proves that it holds the fleet's key.
const (
	headerPeer = "Peer-Host"
	headerTime = "Peer-Time"
	headerMac  = "Peer-Mac"
)

// macLifetime bounds the age of a proof, clock differences included.
const macLifetime = 30 * time.Second

var errNotPeer = errors.New("the caller did not prove that it is a node of the fleet")

func mac(key []byte, self, procedure, at string) string {
	hash := hmac.New(sha256.New, key)
	for _, part := range []string{self, procedure, at} {
		_, _ = hash.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// signer is the interceptor that proves and checks a peer's identity.
type signer struct {
	key      []byte
	self     host.ID
	rejected func(peer string)
}

func (s *signer) sign(header http.Header, procedure string) {
	at := strconv.FormatInt(time.Now().UnixMilli(), 10)
	header.Set(headerPeer, string(s.self))
	header.Set(headerTime, at)
	header.Set(headerMac, mac(s.key, string(s.self), procedure, at))
}

func (s *signer) check(header http.Header, procedure, from string) error {
	at, err := strconv.ParseInt(header.Get(headerTime), 10, 64)
	age := time.Since(time.UnixMilli(at)).Abs()
	want := mac(s.key, header.Get(headerPeer), procedure, header.Get(headerTime))
	if err == nil && age <= macLifetime && hmac.Equal([]byte(want), []byte(header.Get(headerMac))) {
		return nil
	}
	s.rejected(from)
	return connect.NewError(connect.CodeUnauthenticated, errNotPeer)
}

// WrapUnary implements connect.Interceptor.
func (s *signer) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		if r.Spec().IsClient {
			s.sign(r.Header(), r.Spec().Procedure)
			return next(ctx, r)
		}
		if err := s.check(r.Header(), r.Spec().Procedure, r.Peer().Addr); err != nil {
			return nil, err
		}
		return next(ctx, r)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (s *signer) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		s.sign(conn.RequestHeader(), spec.Procedure)
		return conn
	}
}

// WrapStreamingHandler implements connect.Interceptor.
func (s *signer) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		if err := s.check(conn.RequestHeader(), conn.Spec().Procedure, conn.Peer().Addr); err != nil {
			return err
		}
		return next(ctx, conn)
	}
}
