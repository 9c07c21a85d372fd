package rest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/endpoint"
)

func TestRestEndsAtItsTimeAndIsNotShortened(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_000_000, 0)
	table := NewTable()
	a := endpoint.Instance{ID: "i-a", StartedAt: 1}
	table.Ask(a, now.Add(3*time.Second))
	table.Ask(a, now.Add(time.Second))
	require.Equal(t, 3*time.Second, table.Left(now, a))
	require.Zero(t, table.Left(now, endpoint.Instance{ID: "i-a", StartedAt: 2}), "another start of the endpoint")
	table.Expire(now.Add(2 * time.Second))
	require.Equal(t, time.Second, table.Left(now.Add(2*time.Second), a))
	require.Zero(t, table.Left(now.Add(3*time.Second), a))
	table.Expire(now.Add(3 * time.Second))
	require.Zero(t, table.Len())
}
