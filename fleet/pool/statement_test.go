package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/endpoint"
)

// stateOf returns what an answer of the endpoint i-a, started at 1, says.
func stateOf(now time.Time, leaving bool, brittle endpoint.Brittle) StatementReported {
	return StatementReported{Service: "s", Instance: endpoint.Instance{ID: "i-a", StartedAt: 1}, Leaving: leaving, Brittle: brittle, ObservedAt: now}
}

// grants requests n slots and returns how many are granted.
func grants(k *Keeper, now time.Time, first uint64, n int) int {
	granted := 0
	for i := range n {
		for _, c := range k.Update(now, SlotRequested{Ticket: Ticket{"h", first + uint64(i)}, Service: "s", TimeLeft: time.Second}) {
			if _, ok := c.(Grant); ok {
				granted++
			}
		}
	}
	return granted
}

func newStatingKeeper(now time.Time, slots int) *Keeper {
	k := New(Config{LoadFactor: 100, RetryWindow: time.Second})
	k.Update(now, EndpointRegistered{endpoint.Record{Instance: endpoint.Instance{ID: "i-a", StartedAt: 1}, Service: "s", Slots: slots}})
	return k
}

func TestEndpointThatSaidItLeavesGetsNoSlotsUntilItStartsAnew(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_000_000, 0)
	k := newStatingKeeper(now, 3)
	k.Update(now, stateOf(now, true, endpoint.Brittle{}))
	require.Zero(t, grants(k, now, 1, 1))
	k.Update(now, stateOf(now.Add(time.Second), false, endpoint.Brittle{}))
	record := endpoint.Record{Instance: endpoint.Instance{ID: "i-a", StartedAt: 1}, Service: "s", Slots: 3}
	k.Update(now, EndpointRegistered{record})
	require.Zero(t, grants(k, now, 2, 1), "it registered again with the same start")
	record.Instance.StartedAt = 2
	k.Update(now, EndpointRegistered{record})
	require.Equal(t, 1, grants(k, now, 3, 1))
}

func TestBrittleEndpointKeepsASlotFreeAndPausesAfterItTurnedARequestAway(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_000_000, 0)
	brittle := endpoint.Brittle{Stated: true, TurnedAway: 3}
	k := newStatingKeeper(now, 3)
	k.Update(now, stateOf(now, false, brittle))
	require.Equal(t, 2, grants(k, now, 1, 3))
	k.Update(now, SlotReleased{Ticket: Ticket{"h", 1}, Service: "s", Result: Rejected})
	require.Zero(t, grants(k, now.Add(brittlePause-1), 10, 1))
	now = now.Add(2 * brittlePause)
	k.Update(now, stateOf(now.Add(-time.Hour), false, endpoint.Brittle{}))
	require.True(t, k.Statement("s", endpoint.Instance{ID: "i-a", StartedAt: 1}).Brittle.Stated, "an older report does not end it")
	k.Update(now, stateOf(now, false, endpoint.Brittle{}))
	require.Empty(t, k.Statements())
}

func TestKeeperOfAPartOfTheFleetUsesItsShareOfBrittleEndpoints(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_000_000, 0)
	k := newStatingKeeper(now, 9)
	k.Update(now, FleetCounted{ReachableShare: 0.25})
	k.Update(now, stateOf(now, false, endpoint.Brittle{Stated: true}))
	require.Equal(t, 2, grants(k, now, 1, 5))
}
