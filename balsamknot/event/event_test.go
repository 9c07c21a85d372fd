package event

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPageIsTheCatalogue(t *testing.T) {
	t.Parallel()
	page, err := os.ReadFile("../../docs/EVENTS.md")
	require.NoError(t, err)
	require.Equal(t, Markdown(), string(page), "run make events")
}

func TestNumbersAreUniqueAndInOrder(t *testing.T) {
	t.Parallel()
	for i := 1; i < len(Catalogue); i++ {
		require.Less(t, Catalogue[i-1].Number, Catalogue[i].Number)
	}
}
