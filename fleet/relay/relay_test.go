package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/host"
)

var start = time.Unix(1_000_000, 0)

// at returns the time d after start.
func at(d time.Duration) time.Time { return start.Add(d) }

// newTable returns a table with engines at a1 to a4 and a runner at b1.
func newTable() *Table {
	t := NewTable()
	for _, address := range []string{"a1", "a2", "a3", "a4"} {
		t.Update(start, Registered{endpoint.Record{Instance: endpoint.Instance{ID: endpoint.ID("i-" + address)}, Service: "engines", DataCentre: "z1", Address: address}})
	}
	t.Update(start, Registered{endpoint.Record{Instance: endpoint.Instance{ID: "i-b1"}, Service: "plain", DataCentre: "z2", Address: "b1"}})
	return t
}

func probes(commands []Command) []string {
	var addresses []string
	for _, c := range commands {
		if p, ok := c.(Probe); ok {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}

func TestPathThatARelayBypassedIsUsedAgainOnceAProbeConnects(t *testing.T) {
	t.Parallel()
	table := newTable()
	require.Equal(t, []Command{Lost{Endpoint: "i-a1", Address: "a1", Silent: true}}, table.Update(at(0), Bypassed{Address: "a1", Silent: true}))
	require.True(t, table.Gone("a1"))
	require.False(t, table.Gone("a2"))
	require.Equal(t, []string{"a1"}, probes(table.Update(at(0), Tick{})))
	require.Empty(t, table.Update(at(probeInterval-1), Tick{}), "a probe was made a short time ago")
	table.Update(at(probeInterval-1), Failed{"a1"})
	require.Equal(t, []string{"a1"}, probes(table.Update(at(probeInterval), Tick{})))
	require.Equal(t, []Command{Restored{Endpoint: "i-a1", Address: "a1"}}, table.Update(at(probeInterval), Connected{"a1"}))
	require.False(t, table.Gone("a1"))
	require.Empty(t, table.Update(at(2*probeInterval), Tick{}))
}

func TestOtherPathsOfAServiceAreDoubtedAfterTwoLosses(t *testing.T) {
	t.Parallel()
	table := newTable()
	table.Update(at(0), Bypassed{Address: "a1"})
	commands := table.Update(at(time.Second), Bypassed{Address: "a2"})
	require.Len(t, commands, 3)
	require.True(t, table.Gone("a3"))
	require.True(t, table.Gone("a4"))
	require.False(t, table.Gone("b1"), "another service")
	commands = table.Update(at(time.Second), Connected{"a4"})
	require.Equal(t, []Command{Restored{Endpoint: "i-a4", Address: "a4"}, Restored{Endpoint: "i-a3", Address: "a3"}}, commands)
	require.True(t, table.Gone("a1"))
}

func TestDoubtedPathThatCannotBeConnectedToIsLost(t *testing.T) {
	t.Parallel()
	table := newTable()
	table.Update(at(0), Bypassed{Address: "a1", Silent: true})
	table.Update(at(0), Bypassed{Address: "a2", Silent: true})
	require.Equal(t, []string{"a1", "a2"}, table.SilentAddresses(at(stall), stall))
	table.Update(at(time.Second), Failed{"a3"})
	require.Equal(t, []string{"a1", "a2", "a3"}, table.SilentAddresses(at(time.Second+stall), stall))
	table.Update(at(time.Second), Connected{"a4"})
	require.True(t, table.Gone("a3"))
}

// stall is how long a path must be silent in these tests.
const stall = 700 * time.Millisecond

func TestConnectionsAreJudgedByTheSilenceSinceTheirEndpointWasFoundAlive(t *testing.T) {
	t.Parallel()
	table := newTable()
	table.Update(at(0), Heard{"a1"})
	found := 2 * time.Second
	table.Update(at(found), Bypassed{Address: "a1", Silent: true})
	require.Empty(t, table.SilentAddresses(at(found), stall), "the endpoint may have been silent until now")
	require.Empty(t, table.SilentAddresses(at(found+stall-1), stall))
	table.Update(at(found+stall-1), Failed{"a1"})
	require.Equal(t, []string{"a1"}, table.SilentAddresses(at(found+stall), stall), "a probe that fails doesn't begin the time anew")
	table.Update(at(found+stall), Connected{"a1"})
	require.Empty(t, table.SilentAddresses(at(found+2*stall), stall))
}

func TestConnectionsOverAPathThatFlapsAreGivenUp(t *testing.T) {
	t.Parallel()
	table := newTable()
	table.Update(at(0), Bypassed{Address: "a1", Silent: true})
	table.Update(at(100*time.Millisecond), Connected{"a1"})
	table.Update(at(time.Second), Bypassed{Address: "a1", Silent: true})
	table.Update(at(1500*time.Millisecond), Connected{"a1"})
	require.Empty(t, table.SilentAddresses(at(1900*time.Millisecond), stall), "a connection succeeded since")
	table.Update(at(2*time.Second), Failed{"a1"})
	require.Equal(t, []string{"a1"}, table.SilentAddresses(at(2*time.Second), stall))
	table.Update(at(2500*time.Millisecond), Connected{"a1"})
	require.Empty(t, table.SilentAddresses(at(2900*time.Millisecond), stall))
}

func TestPathsAreNotDoubtedWhileTheServiceIsHeardOf(t *testing.T) {
	t.Parallel()
	table := newTable()
	table.Update(at(0), Bypassed{Address: "a1"})
	table.Update(at(time.Millisecond), Heard{"a3"})
	require.Len(t, table.Update(at(time.Second), Bypassed{Address: "a2"}), 1)
	require.False(t, table.Gone("a4"))
}

func TestPathThatFlapsMustHoldBeforeItIsUsedAgain(t *testing.T) {
	t.Parallel()
	table := newTable()
	now := start
	for loss, hold := range []time.Duration{0, minHold, 2 * minHold, maxHold, maxHold} {
		table.Update(now, Bypassed{Address: "a1"})
		if hold > 0 {
			require.Empty(t, table.Update(now, Connected{"a1"}), "loss %d", loss)
			require.Empty(t, table.Update(now.Add(hold-1), Connected{"a1"}), "loss %d", loss)
			table.Update(now.Add(hold-1), Failed{"a1"})
			require.Empty(t, table.Update(now.Add(hold), Connected{"a1"}), "a connection failed meanwhile")
			now = now.Add(2 * hold)
		}
		require.NotEmpty(t, table.Update(now, Connected{"a1"}), "loss %d", loss)
		now = now.Add(time.Second)
	}
	now = now.Add(2 * flapWindow)
	table.Update(now, Bypassed{Address: "a1"})
	require.NotEmpty(t, table.Update(now, Connected{"a1"}), "the earlier losses are long ago")
}

func TestViewOfAFailureCountsOnlyInContactWithOthersOfTheService(t *testing.T) {
	t.Parallel()
	table := newTable()
	require.False(t, table.InContact(at(0), "a1"))
	table.Update(at(0), Heard{"a1"})
	require.False(t, table.InContact(at(0), "a1"), "the endpoint itself")
	table.Update(at(0), Heard{"b1"})
	require.False(t, table.InContact(at(0), "a1"), "another service")
	table.Update(at(0), Heard{"a2"})
	table.Update(at(1), Heard{"a1"})
	require.True(t, table.InContact(at(contactWindow), "a1"))
	require.False(t, table.InContact(at(contactWindow+1), "a1"))
}

func TestRelaysNearTheHostOrTheEndpointComeFirst(t *testing.T) {
	t.Parallel()
	table := newTable()
	self := Candidate{Host: "h0", DataCentre: "z3"}
	candidates := []Candidate{self}
	for i, dc := range []host.DataCentre{"z1", "z2", "z3", "z4", "z1", "z3"} {
		candidates = append(candidates, Candidate{Host: host.ID(rune('a' + i)), DataCentre: dc})
	}
	order := table.Relays(at(0), self, "a1", candidates, 6)
	require.Len(t, order, 6)
	require.ElementsMatch(t, []host.ID{"a", "c", "e", "f"}, order[:4])
	require.Equal(t, order, table.Relays(at(0), self, "a1", candidates, 6))
	table.Update(at(0), Unavailable{order[0]})
	require.Equal(t, order[1], table.Relays(at(0), self, "a1", candidates, 1)[0])
	require.Equal(t, order[0], table.Relays(at(0), self, "a1", candidates, 6)[5])
	require.Equal(t, order[0], table.Relays(at(relayBackoff), self, "a1", candidates, 1)[0])
	require.Empty(t, table.Relays(at(0), self, "a1", candidates[:1], 3), "no other host")
}

func TestEndpointThatMovesHasANewPath(t *testing.T) {
	t.Parallel()
	table := newTable()
	table.Update(at(0), Bypassed{Address: "a1"})
	table.Update(at(0), Registered{endpoint.Record{Instance: endpoint.Instance{ID: "i-a1"}, Service: "engines", Address: "a9"}})
	require.False(t, table.Gone("a1"))
	require.False(t, table.Gone("a9"))
	require.Zero(t, table.GoneCount())
	table.Update(at(0), Bypassed{Address: "a9"})
	table.Update(at(0), Removed{"i-a1"})
	require.Zero(t, table.GoneCount())
	require.Empty(t, table.Update(at(time.Second), Tick{}))
}
