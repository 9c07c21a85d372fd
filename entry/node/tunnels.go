package node

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/entry/peer"
	"balsamknot.org/fleet/timer"
)

// maxTunnels limits the tunnels that a host carries for others at the same time. Each takes two connections and about 30 KB.
const maxTunnels = 600

// serveTunnel connects another host to an endpoint, for as long as both want.
func (p *pathTracker) serveTunnel(w http.ResponseWriter, r *http.Request) {
	upstream, err := p.dialForHost(r.Context(), peer.ReadTunnelTarget(r))
	if err != nil {
		peer.WriteTunnelRefusal(w, err)
		return
	}
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		_ = upstream.Close()
		peer.WriteTunnelRefusal(w, peer.ErrRelayUnavailable)
		return
	}
	client, buffered, err := hijacker.Hijack()
	if err != nil {
		_ = upstream.Close()
		return
	}
	if err := p.n.relayDialer.LimitSilence(client); err != nil {
		event.LogText(p.n.log, zerolog.WarnLevel, event.RelayUnavailable).Stringer("Peer", client.RemoteAddr()).Err(err).Send()
	}
	if !p.addTunnel(client) {
		_ = upstream.Close()
		_ = client.Close()
		return
	}
	defer p.removeTunnel(client)
	if _, err := client.Write([]byte(peer.TunnelEstablished)); err != nil {
		_ = upstream.Close()
		_ = client.Close()
		return
	}
	peer.Relay(client, buffered.Reader, upstream)
}

// dialForHost connects directly to the endpoint of a tunnel. A failure is peer.ErrEndpointUnreachable only if this host is in contact with
// other endpoints of the service.
func (p *pathTracker) dialForHost(ctx context.Context, target peer.TunnelTarget) (net.Conn, error) {
	resting := p.n.slots.resting(timer.BootClock(), target.Endpoint)
	p.mu.Lock()
	usable := p.table.IsRegistered(target.Endpoint, target.Address) && !p.table.Gone(target.Address) && len(p.tunnels) < maxTunnels
	p.mu.Unlock()
	if !usable || resting || p.n.draining.Load() {
		return nil, eris.Wrapf(peer.ErrRelayUnavailable, "tunnel to endpoint %s", target.Endpoint)
	}
	conn, err := p.dialDirect(ctx, target.Address)
	if err == nil {
		return conn, nil
	}
	p.mu.Lock()
	inContact := p.table.InContact(timer.BootClock(), target.Address)
	p.mu.Unlock()
	if !inContact {
		return nil, errors.Join(peer.ErrRelayUnavailable, err)
	}
	return nil, errors.Join(peer.ErrEndpointUnreachable, err)
}

// addTunnel records a tunnel. It returns false if there are maxTunnels already.
func (p *pathTracker) addTunnel(client net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.tunnels) >= maxTunnels {
		return false
	}
	p.tunnels[client] = true
	return true
}

func (p *pathTracker) removeTunnel(client net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.tunnels, client)
}

// tunnelCount returns the number of tunnels that this host carries.
func (p *pathTracker) tunnelCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.tunnels)
}

// closeTunnels closes all tunnels.
func (p *pathTracker) closeTunnels() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for client := range p.tunnels {
		_ = client.Close()
	}
}
