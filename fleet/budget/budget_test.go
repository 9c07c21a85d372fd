package budget

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRetriesStayWithinTheirShare(t *testing.T) {
	t.Parallel()
	b := NewRetries()
	retried := 0
	const requests = 1000
	for range requests {
		b.Deposit("gent", 0.1)
		if b.Spend("gent") {
			retried++
		}
	}
	require.InDelta(t, requests/10+reserve, retried, 1, "a tenth of the requests and the reserve, when every one fails")
	require.True(t, b.Spend("liege"), "another workspace has its own")
}
