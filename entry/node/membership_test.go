package node

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/entry/peer"
)

// peerStub exchanges datagrams with a node under the name host-9, which is in no roster.
type peerStub struct {
	t        *testing.T
	node     *testNode
	socket   *peer.Socket
	received chan peer.Datagram
}

func newPeerStub(t *testing.T, n *testNode, address string) *peerStub {
	socket, err := peer.Listen(t.Context(), address)
	require.NoError(t, err)
	p := &peerStub{t: t, node: n, socket: socket, received: make(chan peer.Datagram, 16)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		socket.Serve(func(_ netip.AddrPort, d peer.Datagram) { p.received <- d }, func(netip.AddrPort, error) {})
	}()
	t.Cleanup(func() {
		require.NoError(t, socket.Close())
		<-done
	})
	return p
}

func (p *peerStub) send(d peer.Datagram) {
	d.From = "host-9"
	_, err := p.socket.Send(p.node.peerAddress(p.node.cfg.Address), d)
	require.NoError(p.t, err)
}

func (p *peerStub) receive() peer.Datagram {
	select {
	case d := <-p.received:
		return d
	case <-time.After(20 * time.Second):
		p.t.Fatal("no datagram")
		return peer.Datagram{}
	}
}

// When many hosts start together, a host may ask a reader or a keeper that has not heard of it yet. It gets its reply all the same.
func TestHostThatIsNotInTheRosterGetsReplies(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.store.Publish(1, "k1")
	s.addEndpoint("i-a", "plain", nil)
	s.startNodes(1, 241)
	n := s.nodes[0]
	other := newPeerStub(t, n, "127.0.241.9:0")
	ask := func(d peer.Datagram) peer.Datagram {
		other.send(d)
		return other.receive()
	}
	require.Equal(t, uint64(3), ask(peer.Datagram{Probes: []peer.Probe{{Nonce: 3}}}).Extensions.CopyStates[0].Nonce)
	require.Equal(t, uint64(3), other.receive().ProbeReplies[0].Nonce, "for a host of an earlier release")
	require.Equal(t, uint64(4), ask(peer.Datagram{Extensions: peer.Extensions{CopyProbes: []peer.CopyProbe{{Nonce: 4}}}}).Extensions.CopyStates[0].Nonce)
	reply := ask(peer.Datagram{SlotRequests: []peer.SlotRequest{{Number: 5, Service: "plain", TimeLeftMs: 1000}}})
	require.Equal(t, uint64(5), reply.SlotReplies[0].Number)
	require.Equal(t, peer.Granted, reply.SlotReplies[0].Kind)
	require.NotContains(t, n.membership.live, "host-9")
}
