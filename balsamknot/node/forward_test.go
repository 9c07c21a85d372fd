package node

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/engine"
	"balsamknot.org/fleet/revision"
	"balsamknot.org/fleet/wire"
)

// A stalled keeper can report all endpoints of a pool down, and each report outlives the endpoint's recovery. Callers are not refused for that.
func TestEndpointsReportedDownAreTheLastResort(t *testing.T) {
	t.Parallel()
	n := newTestNode(t)
	n.documents.offer(revision.Document{Name: revision.DocumentEndpoints, Number: 2, Value: []byte(
		`{"Endpoints":[{"ID":"near-1","Pool":"runners","Region":"r"},{"ID":"near-2","Pool":"runners","Region":"r"},` +
			`{"ID":"far","Pool":"runners","Region":"q"},{"ID":"gone","Pool":"runners","Region":"r","Leaving":true}]}`)}, "test")
	reported := func(ids ...engine.ID) []engine.ID {
		for _, id := range ids {
			n.keeper.recordDown(id, n.timers.Now())
		}
		return n.candidates(&wire.Call{Id: "c"}, "runners", 4)
	}
	require.ElementsMatch(t, []engine.ID{"near-1", "near-2"}, reported())
	require.Equal(t, []engine.ID{"near-2"}, reported("near-1"))
	require.Equal(t, []engine.ID{"far"}, reported("near-2"))
	require.ElementsMatch(t, []engine.ID{"near-1", "near-2"}, reported("far"))
}
