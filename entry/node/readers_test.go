package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/entry/peer"
	"balsamknot.org/fleet/catalogue"
	"balsamknot.org/fleet/timer"
)

// loadCopy gives an idle node a copy of an empty store.
func loadCopy(t *testing.T, n *Node, at catalogue.Position) {
	require.NoError(t, n.storeView.apply(timer.BootClock(), nil, at, true))
}

// Hosts of the release before eras report revisions alone. A host that knows eras sends both forms to one of which it does not know that.
func TestReplyWithoutEraIsInOwnEraUnlessItsSenderKnowsEras(t *testing.T) {
	t.Parallel()
	n := newIdleNode(t, closedAddress(t))
	loadCopy(t, n, catalogue.Position{Era: 4, Revision: 480})
	now := timer.BootClock()
	withoutEra := peer.Datagram{From: "host-2", ProbeReplies: []peer.ProbeReply{{Nonce: 7, NewestChange: 481}}, Notices: []peer.Notice{{NewestChange: 482}}}
	states, notices := n.storeView.inOwnEra(now, withoutEra)
	require.Equal(t, []peer.CopyState{{Nonce: 7, NewestChange: catalogue.Position{Era: 4, Revision: 481}}}, states)
	require.Equal(t, []peer.CopyNotice{{NewestChange: catalogue.Position{Era: 4, Revision: 482}}}, notices)
	require.Len(t, n.storeView.probe(now, "host-2", 8).Probes, 1)

	withEra := peer.CopyState{Nonce: 7, NewestChange: catalogue.Position{Era: 5, Revision: 470}}
	states, _ = n.storeView.inOwnEra(now, peer.Datagram{From: "host-2", Extensions: peer.Extensions{CopyStates: []peer.CopyState{withEra}}})
	require.Equal(t, []peer.CopyState{withEra}, states)
	states, notices = n.storeView.inOwnEra(now, withoutEra)
	require.Empty(t, states)
	require.Empty(t, notices)
	require.Len(t, n.storeView.probe(now, "host-2", 8).Extensions.CopyProbes, 1)

	later := now.Add(eraKnowledgeTTL)
	states, _ = n.storeView.inOwnEra(later, withoutEra)
	require.Len(t, states, 1, "it may run an earlier release by now")
	n.storeView.tick(later)
	require.Empty(t, n.storeView.knowEras)
}

// What was under way when the store returned, or comes from a reader that has not noticed, changes nothing.
func TestReadOfAnEarlierEraIsDroppedLoggedAndCounted(t *testing.T) {
	t.Parallel()
	n := newIdleNode(t, closedAddress(t))
	position := catalogue.Position{Era: 4, Revision: 480}
	loadCopy(t, n, position)
	entries := []catalogue.Entry{{Key: "k/a", Value: []byte("v")}}
	for _, full := range []bool{false, true} {
		err := n.storeView.apply(timer.BootClock(), entries, catalogue.Position{Era: 3, Revision: 500}, full)
		require.ErrorIs(t, err, errEarlierEra)
	}
	require.Equal(t, position, n.storeView.position())
	require.Equal(t, position, n.storeView.history.Position())
	listed, _ := n.storeView.history.Since(catalogue.Position{})
	require.Empty(t, listed)
	require.Equal(t, uint64(2), n.meter.set.GetOrCreateCounter(droppedReads).Get())
	require.Zero(t, n.meter.set.GetOrCreateCounter(storeReturns).Get())
	require.NoError(t, n.storeView.apply(timer.BootClock(), entries, catalogue.Position{Era: 5, Revision: 470}, true))
	require.Equal(t, uint64(1), n.meter.set.GetOrCreateCounter(storeReturns).Get())
}

// A host that asks two readers in turn, one of which is cut off from the store and has not noticed its return, keeps to the other.
func TestHostsDoNotGoBackAndForthBetweenReadersOfTwoEras(t *testing.T) {
	t.Parallel()
	s := newReturnSite(t, 5, 28)
	s.store.WriteOthers(lostChanges)
	s.awaitEveryRevisionRead()
	reader := s.nodes[0].membership.rankedReaders()[0]
	for _, node := range s.nodes {
		if node.cfg.Host == reader {
			node.storeFrontend.Stall()
		}
	}
	s.store.ReturnFromCopy(lostChanges, 0)
	s.leaving.RegisterDraining()
	s.store.PublishMoved(2, "full", "k2")
	s.requireCurrent()
	time.Sleep(2 * minProbeInterval)
	for _, node := range s.nodes {
		require.Equal(t, catalogue.Era(4), node.storeView.position().Era)
		require.Equal(t, 1, node.log.count("BK1205"), "%s", node.cfg.Host)
	}
}
