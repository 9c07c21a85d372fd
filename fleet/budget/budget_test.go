package budget

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRetriesAreLimitedToDepositedShare(t *testing.T) {
	t.Parallel()
	b := NewRetries()
	retries := 0
	const requests = 1000
	for range requests {
		b.Deposit("gent", 0.1)
		if b.Spend("gent") {
			retries++
		}
	}
	require.InDelta(t, requests/10+initialBalance, retries, 1, "retries must be a tenth of the requests and the initial balance when every request fails")
	require.True(t, b.Spend("liege"), "the budget of another workspace must not be affected")
}
