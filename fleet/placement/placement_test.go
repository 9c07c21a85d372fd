package placement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func ids(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprint("engine-", i))
	}
	return list
}

func TestRemovalMovesOnlyTheKeysOfTheRemovedID(t *testing.T) {
	t.Parallel()
	all := ids(20)
	without := append(append([]string{}, all[:7]...), all[8:]...)
	for n := range 2000 {
		key := fmt.Sprint("chat-", n)
		before, after := Rank(key, all, 1)[0], Rank(key, without, 1)[0]
		if before != all[7] {
			require.Equal(t, before, after)
		}
	}
}

func TestRankDoesNotDependOnTheOrderOfIDs(t *testing.T) {
	t.Parallel()
	a := Rank("chat", []string{"x", "y", "z", "w"}, 3)
	require.Equal(t, a, Rank("chat", []string{"w", "z", "y", "x"}, 3))
	require.Len(t, a, 3)
	require.Empty(t, Rank("chat", a, 0))
}

func TestKeysAreSpreadEvenlyOverIDs(t *testing.T) {
	t.Parallel()
	counts := map[string]int{}
	const keys = 20_000
	for n := range keys {
		counts[Rank(fmt.Sprint(n), ids(10), 1)[0]]++
	}
	for id, n := range counts {
		require.InDelta(t, 0.1, float64(n)/keys, 0.02, id)
	}
}

func BenchmarkRank800(b *testing.B) {
	list := ids(800)
	b.ReportAllocs()
	for b.Loop() {
		Rank("chat", list, 4)
	}
}
