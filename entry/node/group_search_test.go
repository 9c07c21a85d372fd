package node

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// A service of so many engines is divided into two groups, which two of the three hosts list, or one of them.
func TestStreamsOfALargeServiceGoOnAfterAllHostsStarted(t *testing.T) {
	t.Parallel()
	const streams, engines, silent = 80, 170, 16
	s := newSessionSite(t, alternatingVersions(engines)...)
	var lists atomic.Int64
	for _, e := range s.engines {
		e.BeforeCacheLists(func(*http.Request) { lists.Add(1) })
	}
	begunAtSilent := 0
	began, wentOn := s.takenUpAfterRestart(streams, 43, func() {
		lists.Store(0)
		for _, e := range s.engines[:silent] {
			begunAtSilent += e.RunCount()
			e.BeforeCacheLists(func(r *http.Request) { <-r.Context().Done() })
		}
	})
	t.Logf("%d streams begun at silent engines; %d lists of %d engines", begunAtSilent, lists.Load(), engines)
	require.Greater(t, began, 2*begunAtSilent)
	require.GreaterOrEqual(t, wentOn, began-begunAtSilent)
	require.LessOrEqual(t, s.mixed(), allowedMixed)
	require.LessOrEqual(t, lists.Load(), int64(engines), "an engine is asked once")
}
