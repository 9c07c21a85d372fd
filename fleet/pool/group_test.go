package pool

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/host"
)

// largePool is how many engines the pool of these tests has: four groups.
const largePool = 640

// newLargePool returns a simulation whose keeper divides its engines into groups of about maxSize at most.
func newLargePool(t *testing.T, maxSize int) *simulation {
	sim := newSimulation(t, 0, 16)
	sim.keeper.service(assistant).maxGroupSize = maxSize
	for i := range largePool {
		sim.register(i, 16, false)
	}
	return sim
}

// playChats sends requests of 2,000 chats for 12 s, about three at a time for each engine, and returns the load of the busiest engine, relative to the mean.
func playChats(sim *simulation) (skew float64) {
	for range 12 * 20 {
		sim.advance(sim.now.Add(time.Second / 20))
		for range 30 {
			sim.request(1, prompt(sim.random.IntN(2000), 4000), 2*time.Second+time.Duration(sim.random.IntN(2000))*time.Millisecond, 5*time.Second)
		}
	}
	busiest, total := 0, 0
	for _, n := range sim.running {
		busiest, total = max(busiest, n), total+n
	}
	return float64(busiest) * largePool / float64(total)
}

// Chats of a pool of 640 engines find their cached prefixes as well as with a pass over all engines, and no engine is busier.
func TestGroupsReuseCachesAndSpreadLoadLikeAPassOverAllEngines(t *testing.T) {
	t.Parallel()
	all, grouped := newLargePool(t, math.MaxInt/2), newLargePool(t, maxGroupSize)
	skewOfAll, skew := playChats(all), playChats(grouped)
	require.Len(t, all.keeper.service(assistant).groups, 1)
	require.Len(t, grouped.keeper.service(assistant).groups, 4)
	require.Zero(t, grouped.overLimitGrants)
	require.Zero(t, grouped.refused[1])
	require.LessOrEqual(t, float64(grouped.missingTokens-grouped.fetchedTokens), 1.05*float64(all.missingTokens-all.fetchedTokens), "tokens that were processed again")
	require.LessOrEqual(t, skew, 1.25*skewOfAll)
}

// All requests of one moment share a prefix, and so fall to one group: its engines, and then those of the others, take them up to the load
// limit, and none is refused while an engine has a free slot.
func TestRequestsOfAFullGroupGetSlotsOfOtherGroups(t *testing.T) {
	t.Parallel()
	sim := newLargePool(t, maxGroupSize)
	for range largePool * 3 {
		sim.request(1, prompt(1, 4000), time.Minute, time.Second)
	}
	require.Equal(t, largePool*3, sim.granted[1])
	require.Zero(t, sim.overLimitGrants)
}

// An engine that is removed while requests hold its slots, and registered anew, is counted right in its group, and is no source of parts.
func TestGroupsFollowEnginesThatLeaveAndReturn(t *testing.T) {
	t.Parallel()
	sim := newLargePool(t, maxGroupSize)
	for i := range 1200 {
		sim.request(1, prompt(i, 4000), time.Duration(1+i%7)*time.Second, time.Second)
	}
	s := sim.keeper.service(assistant)
	for i := range largePool {
		if i%3 == 0 {
			sim.keeper.Update(sim.now, EndpointRemoved{ID: engineID(i)})
		}
		if i%6 == 0 {
			sim.keeper.Update(sim.now, EndpointRegistered{Record: endpoint.Record{Instance: endpoint.Instance{ID: engineID(i), StartedAt: 1}, Service: assistant, Slots: 16}})
		}
	}
	for part, engines := range s.caching {
		for _, st := range engines {
			require.Same(t, s.endpoints[st.record.Instance.ID], st, "part %d", part)
		}
	}
	sim.advance(sim.now.Add(8 * time.Second))
	members := 0
	for i, g := range s.groups {
		require.Zero(t, g.running, "group %d", i)
		members += len(g.members)
	}
	require.Equal(t, len(s.sorted), members)
}

// A pool that shrinks to a few engines has one group again, with all of them, and one that changes by a few keeps its groups.
func TestGroupsAreJoinedWhenFewEnginesAreLeft(t *testing.T) {
	t.Parallel()
	sim := newLargePool(t, maxGroupSize)
	s := sim.keeper.service(assistant)
	for i := range largePool - 161 {
		sim.keeper.Update(sim.now, EndpointRemoved{ID: engineID(i)})
		require.Len(t, s.groups, 4)
	}
	for i := largePool - 161; i < largePool-60; i++ {
		sim.keeper.Update(sim.now, EndpointRemoved{ID: engineID(i)})
	}
	require.Len(t, s.groups, 1)
	require.Equal(t, s.sorted, s.groups[0].members)
	for i := range 60 {
		sim.request(1, prompt(i, 4000), time.Minute, time.Second)
	}
	require.Equal(t, 60, sim.granted[1])
	require.Zero(t, sim.overLimitGrants)
}

// Calls of a plain service have no prompt: they are spread over all groups of its runners.
func TestCallsWithoutAPromptAreSpreadOverAllGroups(t *testing.T) {
	t.Parallel()
	k := New(Config{LoadFactor: 2, RetryWindow: 10 * time.Second})
	for i := range largePool {
		k.Update(time.Unix(1000, 0), EndpointRegistered{Record: endpoint.Record{Instance: endpoint.Instance{ID: engineID(i)}, Service: "plain", Slots: 4}})
	}
	groups := map[*group]int{}
	for i := range uint64(800) {
		ticket := Ticket{Host: host.ID(fmt.Sprintf("host-%d", i%20)), Number: i}
		commands := k.Update(time.Unix(1000, 0), SlotRequested{Ticket: ticket, Service: "plain", Prompt: chat.Prompt{}, TimeLeft: time.Second})
		groups[k.service("plain").endpoints[commands[0].(Grant).Endpoint.Instance.ID].group]++
	}
	require.Len(t, groups, 4)
	for _, n := range groups {
		require.Less(t, n, 400)
	}
}
