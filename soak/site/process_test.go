package site

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestHalfOfTheStartsRunTheEarlierRelease(t *testing.T) {
	t.Parallel()
	c := Config{Program: "new", Previous: "old", Seed: 5}
	count := map[string]int{}
	for host := range 20 {
		for n := range uint64(20) {
			program := c.release(host, n)
			require.Equal(t, program, c.release(host, n))
			count[program]++
		}
	}
	require.InDelta(t, 200, count["old"], 50)
	require.Equal(t, "new", Config{Program: "new"}.release(3, 1))
}
