package roster

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	largeFleet = 195
	oneSecond  = 4 // rounds, rounded up
)

// requireAllLive requires that each host has all hosts in its list.
func (c *cluster) requireAllLive(t *testing.T) {
	t.Helper()
	for i := range len(c.hosts) {
		require.Len(t, c.hosts[address(i)].Live(), len(c.hosts), "live hosts at %s", id(i))
	}
}

func TestHostsOfALargeFleetStayLiveThoughMessagesAreLost(t *testing.T) {
	t.Parallel()
	c := newCluster(largeFleet)
	c.runRounds(10 * oneSecond)
	random := rand.New(rand.NewPCG(1, 2))
	c.lost = func(string, string) bool { return random.IntN(10) == 0 }
	for range 20 {
		c.runRounds(3 * oneSecond)
		c.requireAllLive(t)
	}
	c.partitioned[address(100)] = true
	c.runRounds(14 * oneSecond)
	for i := range largeFleet {
		if i != 100 {
			require.NotContains(t, c.hosts[address(i)].Live(), id(100), "at %s", id(i))
		}
	}
}

// Nearly all of what is sent are updates once a fleet has run for a while, and most of it stays within data centres.
func TestEstablishedHostsSendUpdatesMostlyWithinTheirDataCentre(t *testing.T) {
	t.Parallel()
	c := newCluster(largeFleet)
	c.runRounds(30 * oneSecond)
	heartbeats, updates, near, messages := 0, 0, 0, 0
	for i := range largeFleet {
		sent, _ := c.hosts[address(i)].Tick(c.now)
		for _, m := range sent {
			heartbeats += len(m.Gossip.Heartbeats)
			updates += len(m.Gossip.Updates)
			messages++
			if dataCentre(index(m.To)) == dataCentre(i) {
				near++
			}
		}
	}
	require.Greater(t, updates, 15*heartbeats)
	require.Greater(t, 2*near, messages)
}

func TestHostsOfTwoReleasesStayLiveBesideEachOther(t *testing.T) {
	t.Parallel()
	const hosts = 60
	c := newCluster(hosts)
	for i := range hosts / 2 {
		c.earlier[address(i)] = true
	}
	c.runRounds(10 * oneSecond)
	// Hosts are replaced by the other release in turn, forth and back.
	for i := range hosts {
		if c.earlier[address(i)] {
			delete(c.earlier, address(i))
		} else {
			c.earlier[address(i)] = true
		}
		c.startHost(i, 2)
		c.runRounds(oneSecond)
	}
	for range 20 {
		c.runRounds(3 * oneSecond)
		c.requireAllLive(t)
	}
}

// While the first 20 of 60 hosts run the earlier release, each host counts those of them that are live, so that operators see how far an upgrade is.
func TestHostsCountThoseOfTheEarlierRelease(t *testing.T) {
	t.Parallel()
	const hosts, earlier = 60, 20
	c := newCluster(hosts)
	for i := range earlier {
		c.earlier[address(i)] = true
	}
	c.runRounds(30 * oneSecond)
	for i := earlier; i < hosts; i++ {
		require.Equal(t, earlier, c.hosts[address(i)].EarlierReleaseCount(), "at %s", id(i))
	}
	for i := range earlier {
		delete(c.earlier, address(i))
		c.startHost(i, 2)
	}
	c.runRounds(30 * oneSecond)
	for i := range hosts {
		require.Zero(t, c.hosts[address(i)].EarlierReleaseCount(), "at %s", id(i))
	}
}

func TestHostThatRestartsIsKnownEverywhereSoon(t *testing.T) {
	t.Parallel()
	c := newCluster(largeFleet)
	c.runRounds(30 * oneSecond)
	c.startHost(7, 2)
	c.runRounds(int(5 * time.Second / roundInterval)) // the time in which a change of configuration is to be in force
	for i := range largeFleet {
		require.True(t, c.hosts[address(i)].HasSentHeartbeats(id(7), 1), "at %s", id(i))
	}
	require.Len(t, c.hosts[address(7)].Live(), largeFleet)
}

// Both halves of a partition forget each other. Only one of them has the seeds.
func TestHalvesOfALongPartitionFindEachOther(t *testing.T) {
	t.Parallel()
	c := newCluster(24)
	c.runRounds(10 * oneSecond)
	c.lost = func(from, to string) bool { return index(from)/12 != index(to)/12 }
	c.runRounds(120 * oneSecond)
	require.Len(t, c.hosts[address(20)].Live(), 12)
	c.lost = nil
	c.runRounds(20 * oneSecond)
	c.requireAllLive(t)
}

// After all hosts of a large fleet were killed, callers are served well once all hosts ask the same ones for slots and for the store's contents.
func TestHostsThatStartTogetherSoonAgreeOnTheirKeepers(t *testing.T) {
	t.Parallel()
	const hosts, bound = 302, 2 * time.Second
	c := newCluster(hosts)
	start := c.now
	c.runRoundsEvery(8, 60*time.Millisecond)
	for c.disagreeing() > 0 && c.now.Sub(start) <= 4*bound {
		c.runRounds(1)
	}
	t.Logf("agreed after %s", c.now.Sub(start))
	require.LessOrEqual(t, c.now.Sub(start), bound)
}

// disagreeing returns the number of hosts that do not know all large hosts.
func (c *cluster) disagreeing() int {
	n := 0
	for i := range len(c.hosts) {
		if len(c.hosts[address(i)].HighCapacity()) != (len(c.hosts)+10)/11 {
			n++
		}
	}
	return n
}
