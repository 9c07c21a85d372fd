package node

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/entry/peer"
)

// When many hosts start together, a host may ask a reader or a keeper that has not heard of it yet. It gets its reply all the same.
func TestHostThatIsNotInTheRosterGetsReplies(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.store.Publish(1, "k1")
	s.addEndpoint("i-a", "plain", nil)
	s.startNodes(1, 241)
	n := s.nodes[0]
	socket, err := peer.Listen(t.Context(), "127.0.241.9:0")
	require.NoError(t, err)
	replies := make(chan peer.Datagram, 16)
	done := make(chan struct{})
	go func() {
		defer close(done)
		socket.Serve(func(_ netip.AddrPort, d peer.Datagram) { replies <- d }, func(netip.AddrPort, error) {})
	}()
	t.Cleanup(func() {
		require.NoError(t, socket.Close())
		<-done
	})
	receive := func() peer.Datagram {
		select {
		case reply := <-replies:
			return reply
		case <-time.After(20 * time.Second):
			t.Fatal("no reply")
			return peer.Datagram{}
		}
	}
	ask := func(d peer.Datagram) peer.Datagram {
		d.From = "host-9"
		_, err := socket.Send(n.peerAddress(n.cfg.Address), d)
		require.NoError(t, err)
		return receive()
	}
	require.Equal(t, uint64(3), ask(peer.Datagram{Probes: []peer.Probe{{Nonce: 3}}}).Extensions.CopyStates[0].Nonce)
	require.Equal(t, uint64(3), receive().ProbeReplies[0].Nonce, "for a host of an earlier release")
	require.Equal(t, uint64(4), ask(peer.Datagram{Extensions: peer.Extensions{CopyProbes: []peer.CopyProbe{{Nonce: 4}}}}).Extensions.CopyStates[0].Nonce)
	reply := ask(peer.Datagram{SlotRequests: []peer.SlotRequest{{Number: 5, Service: "plain", TimeLeftMs: 1000}}})
	require.Equal(t, uint64(5), reply.SlotReplies[0].Number)
	require.Equal(t, peer.Granted, reply.SlotReplies[0].Kind)
	require.NotContains(t, n.membership.live, "host-9")
}
