package node

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRepliesReachTheirQueryOnly(t *testing.T) {
	t.Parallel()
	q := newQueries[string]()
	first, firstReplies := q.begin(1)
	second, secondReplies := q.begin(1)
	q.deliver(second, "b")
	q.deliver(second, "beyond the buffer")
	q.deliver(first, "a")
	q.deliver(first+second, "of no query")
	require.Equal(t, "a", <-firstReplies)
	require.Equal(t, "b", <-secondReplies)
	q.end(first)
	q.deliver(first, "late")
	require.Empty(t, firstReplies)
	require.Empty(t, secondReplies)
}
