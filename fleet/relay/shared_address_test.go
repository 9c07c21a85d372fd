package relay

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/endpoint"
)

// Guards against paths that are forgotten: an entry of another service took the place of a live endpoint at its address, and its removal the path.
func TestEntryOfAnotherServiceDoesNotTakeThePlaceOfTheEndpointAtItsAddress(t *testing.T) {
	t.Parallel()
	const address = "10.0.0.1:80"
	own := endpoint.Record{Instance: endpoint.Instance{ID: "a", StartedAt: 1}, Service: "plain", Address: address}
	foreign := endpoint.Record{Instance: endpoint.Instance{ID: "z", StartedAt: 1}, Service: "elsewhere", Address: address}
	table := NewTable()
	table.Update(start, Registered{own})
	require.Equal(t, []Command{Lost{Endpoint: "a", Address: address}}, table.Update(start, Bypassed{Address: address}))
	table.Update(start, Registered{foreign})
	require.True(t, table.Gone(address))
	require.True(t, table.IsRegistered("a", address))
	table.Update(start, Removed{"z"})
	require.True(t, table.Gone(address))
	require.Equal(t, 1, table.GoneCount())

	table.Update(start, Registered{foreign})
	table.Update(start, Removed{"a"})
	require.False(t, table.IsRegistered("a", address))
	require.True(t, table.IsRegistered("z", address), "the address was assigned anew")
	require.False(t, table.Gone(address))
	require.Zero(t, table.GoneCount())
}

func TestRemovalOfAnEndpointThatWasReplacedLeavesThePathOfItsSuccessor(t *testing.T) {
	t.Parallel()
	const address = "10.0.0.1:80"
	table := NewTable()
	for _, id := range []endpoint.ID{"a", "b"} {
		table.Update(start, Registered{endpoint.Record{Instance: endpoint.Instance{ID: id, StartedAt: 1}, Service: "plain", Address: address}})
	}
	table.Update(start, Removed{"a"})
	require.True(t, table.IsRegistered("b", address))
	require.Len(t, table.paths, 1)
}
