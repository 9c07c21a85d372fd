package peer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/pool"
)

var groupMessages = Extensions{
	GroupLookups: []GroupLookup{{Nonce: 7, Service: "s", Part: 0xe4402b7d, MinTokens: 1300, MaxTokens: 1380, Index: 3, Count: 64, Attempt: 1}},
	GroupReplies: []GroupReply{{Nonce: 7, Index: 3, Count: 64, Found: []endpoint.Version{"v1"}, Awaited: []endpoint.Version{"v2"}, Unlisted: true}},
}

// Recorded from the release that introduced them. Later ones must be able to read them, and those before ignore them.
func TestRecordedGroupMessagesAreReadable(t *testing.T) {
	t.Parallel()
	raw, d := decodeRecorded(t, "a30161610881a80107026173031ae4402b7d0419051405190564060307184008010981a6010702030318400481627631058162763206f5")
	require.Equal(t, Datagram{From: "a", Extensions: groupMessages}, d)
	datagrams, err := EncodeAll(d)
	require.NoError(t, err)
	require.Equal(t, [][]byte{raw}, datagrams)
}

func TestGroupMessagesAreConvertedWithoutLoss(t *testing.T) {
	t.Parallel()
	lookup := groupMessages.GroupLookups[0]
	group := pool.ListGroup{Index: 3, Count: 64}
	require.Equal(t, pool.PartLookup{Service: "s", Part: 0xe4402b7d, MinTokens: 1300, MaxTokens: 1380, Group: group}, lookup.ToPool())
	require.Equal(t, lookup, FromGroupQuery(7, lookup.ToPool(), pool.GroupQuery{Group: group, Attempt: 1}))
	reply := groupMessages.GroupReplies[0]
	require.Equal(t, reply, FromGroupAnswer(7, reply.ToPool()))
}
