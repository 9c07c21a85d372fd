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

// fleet exchanges rows by rounds of one push and one answer a node.
type fleet struct {
	ids    []host.ID
	stores []*Store
	rounds []*Round
}

func newFleet(n, messageBytes int) *fleet {
	f := &fleet{}
	for i := range n {
		f.ids = append(f.ids, host.ID(fmt.Sprintf("host-%d", i)))
		f.stores = append(f.stores, NewStore(Config{MessageBytes: messageBytes, Lifetime: time.Minute}))
		f.rounds = append(f.rounds, NewRound(rand.New(rand.NewPCG(7, uint64(i)))))
	}
	return f
}

func (f *fleet) round(now time.Time) {
	for i := range f.stores {
		peers := append(append([]host.ID{}, f.ids[:i]...), f.ids[i+1:]...)
		peer, _ := f.rounds[i].Next(peers)
		var j int
		for k, id := range f.ids {
			if id == peer {
				j = k
			}
		}
		push, answer := f.stores[i].Pick(now, len(f.ids)), f.stores[j].Pick(now, len(f.ids))
		f.stores[j].Merge(push)
		f.stores[i].Merge(answer)
	}
}

func TestNewsReachesEveryNodeInAFewRounds(t *testing.T) {
	t.Parallel()
	for _, n := range []int{8, 64, 512} {
		f := newFleet(n, 1100)
		f.stores[0].Merge([]Row{{Origin: "host-0", Key: "crash/1", Version: 1, At: start}})
		rounds := 0
		for reached := 0; reached < n; rounds++ {
			require.Less(t, rounds, 30, "%d nodes", n)
			f.round(start)
			reached = 0
			for _, s := range f.stores {
				reached += s.Len()
			}
		}
		t.Logf("%d nodes: %d rounds", n, rounds)
	}
}

func TestMessageStaysWithinItsBytes(t *testing.T) {
	t.Parallel()
	s := NewStore(Config{MessageBytes: 500, Lifetime: time.Second})
	for i := range 100 {
		s.Merge([]Row{{Origin: "host", Key: fmt.Sprint("load/", i), Version: 1, At: start}})
	}
	sent := map[string]bool{}
	for range 40 {
		size := 0
		for _, row := range s.Pick(start, 8) {
			size += rowOverhead + len(row.Origin) + len(row.Key)
			sent[row.Key] = true
		}
		require.LessOrEqual(t, size, 500)
	}
	require.Len(t, sent, 100, "least sent goes first, so that all get their turn")
	require.Empty(t, s.Pick(start.Add(2*time.Second), 8), "old rows are dropped")
	require.Zero(t, s.Len())
}

func TestHighestVersionWins(t *testing.T) {
	t.Parallel()
	s := NewStore(Config{MessageBytes: 500, Lifetime: time.Second})
	require.Len(t, s.Merge([]Row{{Origin: "h", Key: "k", Version: 2, A: 2, At: start}}), 1)
	require.Empty(t, s.Merge([]Row{{Origin: "h", Key: "k", Version: 1, A: 1, At: start}}))
	row, ok := s.Get(start, "h", "k")
	require.True(t, ok)
	require.EqualValues(t, 2, row.A)
}

func BenchmarkPickAndMerge(b *testing.B) {
	s := NewStore(Config{MessageBytes: 1100, Lifetime: time.Hour})
	for i := range 2700 {
		s.Merge([]Row{{Origin: host.ID(fmt.Sprint("host-", i/5)), Key: fmt.Sprint("load/engine-", i), Version: 1, At: start}})
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		s.Merge([]Row{{Origin: "host-0", Key: "load/engine-0", Version: uint64(i + 2), At: start}})
		s.Pick(start, 570)
	}
}
