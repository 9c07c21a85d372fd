package roster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/host"
)

// cluster simulates hosts that exchange heartbeats without a network.
type cluster struct {
	now   time.Time
	hosts map[string]*Roster
	// partitioned holds the addresses whose messages are lost in both directions.
	partitioned map[string]bool
	// lost, if it is set, tells which other messages are lost.
	lost func(from, to string) bool
	// earlier holds the addresses of hosts of a release without updates.
	earlier map[string]bool
}

const roundInterval = 300 * time.Millisecond

func newCluster(n int) *cluster {
	c := &cluster{now: time.Unix(1000, 0), hosts: map[string]*Roster{}, partitioned: map[string]bool{}, earlier: map[string]bool{}}
	for i := range n {
		c.startHost(i, 1)
	}
	return c
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:7340", i) }

// dataCentre spreads the hosts over six data centres.
func dataCentre(i int) host.DataCentre { return host.DataCentre(fmt.Sprintf("dc-%d", i%6)) }

// cores makes one of eleven hosts a large one.
func cores(i int) float64 {
	if i%11 == 0 {
		return 0.8
	}
	return 0.192
}

func id(i int) host.ID { return host.ID(fmt.Sprintf("host-%02d", i)) }

func (c *cluster) startHost(i int, startedAt int64) {
	c.hosts[address(i)] = New(Config{
		Self:  Heartbeat{Host: id(i), Address: address(i), DataCentre: dataCentre(i), Cores: cores(i), StartedAt: startedAt},
		Seeds: []string{address(0), address(1)}, Fanout: 3, MaxHeartbeats: 24, MaxUpdates: 40,
		SuspectAfter: 1500 * time.Millisecond, SuspectAfterPerHost: 40 * time.Millisecond, ForgetAfter: 30 * time.Second, NewsPeriod: 5 * time.Second,
		Random: rand.New(rand.NewPCG(uint64(i), uint64(startedAt))),
	})
}

func TestHostThatIsCutOffKnowsHowManyItDoesNotReach(t *testing.T) {
	t.Parallel()
	c := newCluster(8)
	c.runRounds(20)
	require.Zero(t, c.hosts[address(7)].UnreachableCount())
	c.partitioned[address(7)] = true
	for range 20 {
		c.runRounds(1)
		c.hosts[address(7)].Tick(c.now)
	}
	require.Equal(t, 7, c.hosts[address(7)].UnreachableCount())
	require.Equal(t, 1, c.hosts[address(0)].UnreachableCount())
}

func (c *cluster) runRounds(n int) { c.runRoundsEvery(n, roundInterval) }

func (c *cluster) runRoundsEvery(n int, interval time.Duration) {
	for range n {
		c.now = c.now.Add(interval)
		for i := range len(c.hosts) {
			from := address(i)
			if c.partitioned[from] {
				continue
			}
			messages, _ := c.hosts[from].Tick(c.now)
			for _, m := range messages {
				c.deliver(i, m)
			}
		}
	}
}

// deliver gives a message of a host to its receiver, which replies to one that it did not know.
func (c *cluster) deliver(from int, m Message) {
	to := c.hosts[m.To]
	if to == nil || c.partitioned[m.To] || c.lost != nil && c.lost(address(from), m.To) {
		return
	}
	g := m.Gossip
	if c.earlier[address(from)] {
		g.UnderstandsUpdates = false
	}
	if c.earlier[m.To] {
		if m.Compact {
			return
		}
		g.UnderstandsUpdates = false
	}
	changes, answer := to.Receive(c.now, id(from), g)
	for _, m := range answer {
		c.deliver(index(to.cfg.Self.Address), m)
	}
	for _, change := range changes {
		if reply, known := to.JoinMessage(c.now, id(from)); known && change == (Change{id(from), true}) {
			c.deliver(index(m.To), reply)
		}
	}
}

// index returns the number of the host at an address.
func index(a string) int {
	var i int
	if _, err := fmt.Sscanf(a, "10.0.0.%d:7340", &i); err != nil {
		panic(err)
	}
	return i
}

func TestHostsDiscoverAllOthersFromTwoSeeds(t *testing.T) {
	t.Parallel()
	for _, n := range []int{8, 82} {
		c := newCluster(n)
		c.runRounds(20)
		for range 20 { // the lists must stay complete
			c.runRounds(5)
			for i := range n {
				require.Len(t, c.hosts[address(i)].Live(), n, "live hosts at host %d of %d", i, n)
			}
		}
	}
}

func TestUnreachableHostIsRemovedAndRestartedHostIsAdded(t *testing.T) {
	t.Parallel()
	c := newCluster(8)
	c.runRounds(10)
	c.partitioned[address(3)] = true
	c.runRounds(8)
	require.NotContains(t, c.hosts[address(5)].Live(), id(3))
	delete(c.partitioned, address(3))
	c.startHost(3, 0) // the host's wall clock was set back: its start time is earlier than before
	c.runRounds(6)
	require.Contains(t, c.hosts[address(5)].Live(), id(3))
	require.Len(t, c.hosts[address(3)].Live(), 8)
}

func TestHostKeepsOthersLiveAfterItsOwnPause(t *testing.T) {
	t.Parallel()
	c := newCluster(8)
	c.runRounds(10)
	c.partitioned[address(3)] = true
	c.runRounds(20)
	delete(c.partitioned, address(3))
	_, changes := c.hosts[address(3)].Tick(c.now)
	require.Empty(t, changes)
	require.Len(t, c.hosts[address(3)].Live(), 8)
}

func TestLeavingHostIsRemovedAtOnce(t *testing.T) {
	t.Parallel()
	c := newCluster(4)
	c.runRounds(6)
	for _, m := range c.hosts[address(2)].Leave() {
		changes, _ := c.hosts[m.To].Receive(c.now, id(2), m.Gossip)
		require.Equal(t, []Change{{id(2), false}}, changes)
	}
	require.NotContains(t, c.hosts[address(2)].Live(), id(2))
	require.NotContains(t, c.hosts[address(0)].Live(), id(2))
}

func TestHighCapacityReturnsLiveHostsWithMostCores(t *testing.T) {
	t.Parallel()
	r := New(Config{Self: Heartbeat{Host: "weak", Cores: 0.2}})
	require.Equal(t, []host.ID{"weak"}, r.HighCapacity())
	r.Receive(time.Unix(1, 0), "a", Gossip{Heartbeats: []Heartbeat{{Host: "a", Cores: 0.8}, {Host: "b", Cores: 0.6}, {Host: "c", Cores: 0.2}, {Host: "d", Cores: 1, Leaving: true}}})
	require.Equal(t, []host.ID{"a", "b"}, r.HighCapacity())
}

func TestSeedsAreReturnedOnlyIfAllOfThemAreLive(t *testing.T) {
	t.Parallel()
	c := newCluster(3)
	require.Empty(t, c.hosts[address(2)].Seeds(), "it has met no host")
	c.runRounds(3)
	require.Equal(t, []host.ID{id(0), id(1)}, c.hosts[address(2)].Seeds())
	require.Equal(t, []host.ID{id(1)}, c.hosts[address(0)].Seeds(), "it is one itself")
	c.partitioned[address(1)] = true
	c.runRounds(10)
	require.Empty(t, c.hosts[address(2)].Seeds())
	c.hosts[address(2)].SetSeeds(nil)
	require.Empty(t, c.hosts[address(2)].Seeds())
}
