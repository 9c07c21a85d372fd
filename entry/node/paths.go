package node

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/entry/connection"
	"balsamknot.org/entry/peer"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/relay"
	"balsamknot.org/fleet/timer"
)

// pathTracker connects to endpoints for this host, directly or through a relay as package relay decides, and for other hosts whose relay it
// is. It implements connection.Dialer and is safe for concurrent use.
type pathTracker struct {
	n      *Node
	direct connection.Dialer
	checks singleflight.Group

	mu    sync.Mutex
	table *relay.Table
	// tunnels holds the connections of other hosts for which this one is the relay.
	tunnels map[net.Conn]bool
	// deliveryUnknown is used to log once that the state of connections can't be read.
	deliveryUnknown sync.Once
}

const (
	// relayDelay is how long a direct connection may take before a relay is tried beside it.
	relayDelay = 80 * time.Millisecond
	// relayTimeout limits the time for a tunnel through one relay, and maxRelays how many are tried.
	relayTimeout = 150 * time.Millisecond
	maxRelays    = 3
	// stallTimeout is how long a connection over a path that went silent may receive nothing before it is given up. It runs from when the
	// endpoint was found to be alive: it may have been silent itself before.
	stallTimeout = 700 * time.Millisecond
)

func newPathTracker(n *Node, direct connection.Dialer) *pathTracker {
	return &pathTracker{n: n, direct: direct, table: relay.NewTable(), tunnels: make(map[net.Conn]bool)}
}

// pathError means that no connection to an endpoint could be established, neither directly nor through a relay.
type pathError struct {
	cause error
	// endpointDown is true if the endpoint is the cause, as far as this host or a relay can tell, and refused if nothing listens at its
	// address.
	endpointDown, refused bool
}

// Error implements error.
func (e *pathError) Error() string { return e.cause.Error() }

// Unwrap returns the failure of the direct connection.
func (e *pathError) Unwrap() error { return e.cause }

// Dial implements connection.Dialer.
func (p *pathTracker) Dial(ctx context.Context, address string) (net.Conn, error) {
	if !p.gone(address) {
		return p.dialBoth(ctx, address)
	}
	tunnel, relayErr := p.openTunnel(ctx, address)
	if relayErr == nil {
		return tunnel, nil
	}
	conn, err := p.dialDirect(ctx, address)
	if err != nil {
		return nil, p.failure(address, err, relayErr)
	}
	return conn, nil
}

// failure returns the error of a connection that failed directly and through relays.
func (p *pathTracker) failure(address string, err, relayErr error) error {
	down := p.endpointDown(address, relayErr)
	refused := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(relayErr, peer.ErrEndpointUnreachable) && errors.Is(relayErr, syscall.ECONNREFUSED)
	return &pathError{cause: err, endpointDown: down, refused: down && refused}
}

// directDial is a direct connection that is being established.
type directDial struct {
	done chan struct{}
	// conn and err hold the result once done is closed.
	conn net.Conn
	err  error
}

func (p *pathTracker) startDirect(ctx context.Context, address string) *directDial {
	d := &directDial{done: make(chan struct{})}
	go func() {
		defer close(d.done)
		d.conn, d.err = p.dialDirect(ctx, address)
	}()
	return d
}

// endedWithin reports whether the result is there, and waits for it for at most limit.
func (d *directDial) endedWithin(limit time.Duration) bool {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-d.done:
	case <-t.C:
	}
	return d.ended()
}

func (d *directDial) ended() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

// drop closes the connection, also if it is established later.
func (d *directDial) drop() {
	<-d.done
	if d.conn != nil {
		_ = d.conn.Close()
	}
}

// dialBoth connects directly, and through a relay if that fails or takes longer than relayDelay. A direct connection is preferred.
func (p *pathTracker) dialBoth(ctx context.Context, address string) (net.Conn, error) {
	direct := p.startDirect(ctx, address)
	if direct.endedWithin(relayDelay) && (direct.err == nil || ctx.Err() != nil) {
		return direct.conn, direct.err
	}
	tunnel, relayErr := p.openTunnel(ctx, address)
	if relayErr != nil {
		<-direct.done
		if direct.err != nil {
			return nil, p.failure(address, direct.err, relayErr)
		}
		return direct.conn, nil
	}
	ended := direct.ended()
	if ended && direct.err == nil {
		_ = tunnel.Close()
		return direct.conn, nil
	}
	p.update(timer.BootClock(), relay.Bypassed{Address: address, Silent: !ended || isTimeout(direct.err)})
	go direct.drop()
	return tunnel, nil
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// dialDirect connects directly and records the result.
func (p *pathTracker) dialDirect(ctx context.Context, address string) (net.Conn, error) {
	conn, err := p.direct.Dial(ctx, address)
	if err != nil {
		p.update(timer.BootClock(), relay.Failed{Address: address})
		return nil, err
	}
	p.update(timer.BootClock(), relay.Connected{Address: address})
	return conn, nil
}

// endpointDown reports whether a failed connection is the endpoint's fault, given the error of the relay that was asked last.
func (p *pathTracker) endpointDown(address string, relayErr error) bool {
	if errors.Is(relayErr, peer.ErrEndpointUnreachable) || p.n.membership.liveCount() <= 1 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.InContact(timer.BootClock(), address)
}

// relayedConn is a tunnel through a host.
type relayedConn struct {
	*peer.Tunnel
	relay host.ID
}

// Relay implements connection.Relayed.
func (c relayedConn) Relay() host.ID { return c.relay }

// openTunnel connects through the first relay that can, of those that ctx allows.
func (p *pathTracker) openTunnel(ctx context.Context, address string) (net.Conn, error) {
	m := p.n.membership
	p.mu.Lock()
	target := peer.TunnelTarget{Endpoint: p.table.Endpoint(address), Address: address}
	relays := p.table.Relays(timer.BootClock(), relay.Candidate{Host: p.n.cfg.Host, DataCentre: p.n.cfg.DataCentre}, address, m.relayCandidates(ctx), maxRelays)
	p.mu.Unlock()
	err := peer.ErrRelayUnavailable
	for _, id := range relays {
		var conn net.Conn
		if conn, err = p.openTunnelThrough(ctx, id, target); err == nil {
			p.n.meter.recordTunnel()
			return conn, nil
		}
		if errors.Is(err, peer.ErrEndpointUnreachable) || ctx.Err() != nil {
			break
		}
		event.LogText(p.n.log, zerolog.DebugLevel, event.RelayUnavailable).Str("Peer", string(id)).Str("Endpoint", string(target.Endpoint)).Err(err).Send()
		p.update(timer.BootClock(), relay.Unavailable{Host: id})
	}
	return nil, eris.Wrapf(err, "connect to endpoint %s through %d relays", address, len(relays))
}

func (p *pathTracker) openTunnelThrough(ctx context.Context, id host.ID, target peer.TunnelTarget) (net.Conn, error) {
	address, known := p.n.membership.readerAddress(id)
	if !known {
		return nil, eris.Wrapf(peer.ErrRelayUnavailable, "relay %s is not known", id)
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	conn, err := p.n.relayDialer.Dial(ctx, address)
	if err != nil {
		return nil, eris.Wrapf(errors.Join(peer.ErrRelayUnavailable, err), "connect to relay %s", id)
	}
	tunnel, err := peer.OpenTunnel(ctx, conn, target)
	if err != nil {
		return nil, err
	}
	return relayedConn{tunnel, id}, nil
}

// update passes an event to the table and executes the resulting commands.
func (p *pathTracker) update(now time.Time, e relay.Event) {
	p.mu.Lock()
	commands := p.table.Update(now, e)
	p.mu.Unlock()
	for _, c := range commands {
		switch c := c.(type) {
		case relay.Probe:
			p.n.wg.Go(func() { p.probe(c.Address) })
		case relay.Check:
			p.n.wg.Go(func() { p.check(c.Address) })
		case relay.Lost:
			event.LogText(p.n.log, zerolog.WarnLevel, event.PathLost).Str("Endpoint", string(c.Endpoint)).Bool("Silent", c.Silent).Bool("Doubted", c.Doubted).Send()
			p.n.endpointConns.DropIdle(c.Address)
		case relay.Restored:
			event.LogText(p.n.log, zerolog.InfoLevel, event.PathRestored).Str("Endpoint", string(c.Endpoint)).Send()
			p.n.endpointConns.DropIdle(c.Address)
		}
	}
}

// tick starts the probes and checks that are due, and gives up the connections that stall on paths that went silent.
func (p *pathTracker) tick(now time.Time) {
	p.update(now, relay.Tick{})
	for _, address := range p.silentAddresses(now, stallTimeout) {
		p.n.endpointConns.AbortSilent(now, address, stallTimeout)
	}
	p.tickUnheard(now)
}

// silentAddresses returns the addresses whose path has been silent for d.
func (p *pathTracker) silentAddresses(now time.Time, d time.Duration) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.SilentAddresses(now, d)
}

// probe tries a direct connection to an endpoint whose path is gone.
func (p *pathTracker) probe(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	if conn, err := p.dialDirect(ctx, address); err == nil {
		_ = conn.Close()
	}
}

func (p *pathTracker) gone(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Gone(address)
}

// heard records that an endpoint sent something over an exchange's connection.
func (p *pathTracker) heard(address string, x *connection.Exchange) {
	if x.Relay() == "" {
		p.update(timer.BootClock(), relay.Heard{Address: address})
	}
}

// blames reports whether a run that ended without an answer is evidence against its endpoint, and not against this host's own path to it.
// Unless the endpoint has sent something since the run began, it tries to connect.
func (p *pathTracker) blames(address string, since time.Time) bool {
	p.mu.Lock()
	gone, heard := p.table.Gone(address), p.table.HeardSince(address, since)
	p.mu.Unlock()
	switch {
	case p.n.membership.liveCount() <= 1, heard:
		return true
	case gone:
		return false
	}
	blames, _, _ := p.checks.Do(address, func() (any, error) {
		return p.check(address), nil
	})
	return blames.(bool)
}

// check tries to connect to an endpoint, directly and through a relay. It returns false if the cause of a failure is this host's own path to
// the endpoint, or may be.
func (p *pathTracker) check(address string) (endpointsFault bool) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout+relayDelay)
	defer cancel()
	conn, err := p.dialBoth(ctx, address)
	if err == nil {
		defer conn.Close()
		_, relayed := conn.(relayedConn)
		return !relayed
	}
	var failed *pathError
	return errors.As(err, &failed) && failed.endpointDown
}

// listening reports whether something listens at an address. known is false if neither a connection nor a refusal that is the endpoint's came
// in time.
func (p *pathTracker) listening(ctx context.Context, address string) (listening, known bool) {
	conn, err := p.Dial(ctx, address)
	if err == nil {
		_ = conn.Close()
		return true, true
	}
	var failed *pathError
	return false, errors.As(err, &failed) && failed.refused
}

// goneCount returns the number of endpoints to which this host connects through relays.
func (p *pathTracker) goneCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.GoneCount()
}
