package peer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/roster"
)

func TestKindFollowsFromTheMessagesOfADatagram(t *testing.T) {
	t.Parallel()
	datagrams := map[Kind]Datagram{
		KindMembership:  GossipMessage(roster.Message{Gossip: roster.Gossip{Heartbeats: []roster.Heartbeat{{Host: "a"}}}}),
		KindSlotRequest: {SlotRequests: []SlotRequest{{}}},
		KindSlotReply:   {SlotReplies: []SlotReply{{}}},
		KindSlotRelease: {SlotReleases: []SlotRelease{{}}},
		KindHeldSlots:   {HeldSlots: []HeldSlot{{}}},
		KindCacheUpdate: {CacheUpdates: []CacheUpdate{{}}},
		KindCrash:       {Crashes: []Crash{{}}},
		KindStore:       {Probes: []Probe{{}}},
		KindOther:       {Extensions: Extensions{PartLookups: []PartLookup{{}}}},
	}
	require.Len(t, datagrams, len(Kinds))
	for kind, d := range datagrams {
		require.Equal(t, kind, d.Kind())
	}
	require.Equal(t, KindSlotRequest, Datagram{Additions: Additions{BoundRequests: []BoundRequest{{}}}}.Kind())
}
