package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/host"
)

var start = time.Unix(1_000_000, 0)

// cluster is a set of hosts that exchange rows in rounds. In each round every host sends one message and gets one reply.
type cluster struct {
	ids       []host.ID
	tables    []*Table
	rotations []*PeerRotation
}

func newCluster(n, messageBytes int) *cluster {
	c := &cluster{}
	for i := range n {
		c.ids = append(c.ids, host.ID(fmt.Sprintf("host-%d", i)))
		c.tables = append(c.tables, NewTable(Config{MessageBytes: messageBytes, Lifetime: time.Minute}))
		c.rotations = append(c.rotations, NewPeerRotation(rand.New(rand.NewPCG(7, uint64(i)))))
	}
	return c
}

func (c *cluster) exchange(now time.Time) {
	for i := range c.tables {
		peers := append(append([]host.ID{}, c.ids[:i]...), c.ids[i+1:]...)
		peer, _ := c.rotations[i].Next(peers)
		var j int
		for k, id := range c.ids {
			if id == peer {
				j = k
			}
		}
		push, reply := c.tables[i].NextBatch(now, len(c.ids)), c.tables[j].NextBatch(now, len(c.ids))
		c.tables[j].Merge(push)
		c.tables[i].Merge(reply)
	}
}

func TestRowReachesEveryHostWithinThirtyRounds(t *testing.T) {
	t.Parallel()
	for _, n := range []int{8, 64, 512} {
		c := newCluster(n, 1100)
		c.tables[0].Merge([]Row{{Origin: "host-0", Key: "crash/1", Version: 1, At: start}})
		rounds := 0
		for reached := 0; reached < n; rounds++ {
			require.Less(t, rounds, 30, "%d hosts", n)
			c.exchange(start)
			reached = 0
			for _, table := range c.tables {
				reached += table.Len()
			}
		}
		t.Logf("%d hosts: %d rounds", n, rounds)
	}
}

func TestBatchStaysWithinMessageBytes(t *testing.T) {
	t.Parallel()
	table := NewTable(Config{MessageBytes: 500, Lifetime: time.Second})
	for i := range 100 {
		table.Merge([]Row{{Origin: "host", Key: fmt.Sprint("load/", i), Version: 1, At: start}})
	}
	sent := map[string]bool{}
	for range 40 {
		size := 0
		for _, row := range table.NextBatch(start, 8) {
			size += rowOverhead + len(row.Origin) + len(row.Key)
			sent[row.Key] = true
		}
		require.LessOrEqual(t, size, 500)
	}
	require.Len(t, sent, 100, "every row is sent, because the least sent come first")
	require.Empty(t, table.NextBatch(start.Add(2*time.Second), 8), "expired rows are deleted")
	require.Zero(t, table.Len())
}

func TestHighestVersionWins(t *testing.T) {
	t.Parallel()
	table := NewTable(Config{MessageBytes: 500, Lifetime: time.Second})
	require.Len(t, table.Merge([]Row{{Origin: "h", Key: "k", Version: 2, A: 2, At: start}}), 1)
	require.Empty(t, table.Merge([]Row{{Origin: "h", Key: "k", Version: 1, A: 1, At: start}}))
	row, ok := table.Get(start, "h", "k")
	require.True(t, ok)
	require.EqualValues(t, 2, row.A)
}

func BenchmarkNextBatchAndMerge(b *testing.B) {
	table := NewTable(Config{MessageBytes: 1100, Lifetime: time.Hour})
	for i := range 2700 {
		table.Merge([]Row{{Origin: host.ID(fmt.Sprint("host-", i/5)), Key: fmt.Sprint("load/engine-", i), Version: 1, At: start}})
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		table.Merge([]Row{{Origin: "host-0", Key: "load/engine-0", Version: uint64(i + 2), At: start}})
		table.NextBatch(start, 570)
	}
}
