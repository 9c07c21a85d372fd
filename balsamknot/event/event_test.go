package event

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEventsPageMatchesCatalogue(t *testing.T) {
	t.Parallel()
	page, err := os.ReadFile("../../docs/EVENTS.md")
	require.NoError(t, err)
	require.Equal(t, Markdown(), string(page), "docs/EVENTS.md is out of date; run make events")
}

func TestEventNumbersAreUniqueAndAscending(t *testing.T) {
	t.Parallel()
	for i := 1; i < len(Catalogue); i++ {
		require.Less(t, Catalogue[i-1].Number, Catalogue[i].Number)
	}
}
