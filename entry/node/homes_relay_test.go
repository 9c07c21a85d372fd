package node

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/entry/settings"
	"balsamknot.org/fleet/timer"
	"balsamknot.org/platform/standin"
)

// A host that has lost its path to the endpoints sends the bodies of bound requests through hosts in their homes only, and does not use
// connections through others that earlier requests left open.
func TestBodiesPassThroughRelaysInTheirHomesOnly(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	for i := range 6 {
		s.addEndpoint(fmt.Sprint("i-far-", i), "plain", nil).RegisterIn("z2")
	}
	s.store.PublishHomes(1, nil, nil, "k1")
	s.configure = func(i int, cfg *settings.Host) {
		cfg.Regions = twoRegions
		if i == 2 {
			cfg.DataCentre, cfg.Region = "z2", "r2"
		}
	}
	s.startNodes(2, 107)
	first := s.nodes[0]
	first.links.cut(cutNew)
	calls := 0
	relays := func(n int) map[any]int {
		counts := make(map[any]int)
		for range n {
			calls++
			id := fmt.Sprint("relayed-", calls)
			require.Equal(t, http.StatusOK, first.call(t, http.MethodGet, "/again/x", id, "k1").StatusCode)
			counts[first.relayOf(t, id)]++
		}
		return counts
	}
	require.Equal(t, map[any]int{"host-2": 20}, relays(20), "without homes the relay may be outside of them")
	s.addNodes(1, 107)
	s.store.PublishHomes(2, nil, []string{"r2"}, "k1")
	require.Eventually(t, func() bool { return first.storeView.setVersion() == 2 }, convergenceLimit, time.Millisecond)
	require.Equal(t, map[any]int{"host-3": 30}, relays(30))
}

// relayOf returns the host through which a request went, by its last log line, which comes after its answer.
func (n *testNode) relayOf(t *testing.T, id string) any {
	var done map[string]any
	require.Eventually(t, func() bool {
		lines := n.log.eventsOf(id)
		if len(lines) > 0 {
			done = lines[len(lines)-1]
		}
		return done["Event"] == "BK1401"
	}, time.Minute, time.Millisecond)
	return done["Relay"]
}

// With no relay in the homes the request is not sent, and other requests still are.
func TestRequestIsNotSentIfOnlyRelaysOutsideOfItsHomesReachTheEndpoint(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	far := s.addEndpoint("i-far", "plain", nil)
	far.RegisterIn("z2")
	s.store.PublishHomes(1, nil, []string{"r2"}, "k1")
	s.configure = func(_ int, cfg *settings.Host) { cfg.Regions = twoRegions }
	s.startNodes(2, 108)
	first := s.nodes[0]
	first.links.cut(cutNew)
	r := standin.NewCall(first.cfg.CallerAddress, http.MethodGet, "/again/x", "kept", "k1", nil)
	require.Equal(t, http.StatusServiceUnavailable, roundTrip(t, r).StatusCode)
	require.Zero(t, far.RunCount())
	s.store.PublishHomes(2, nil, nil, "k1")
	require.Eventually(t, func() bool { return first.storeView.setVersion() == 2 }, convergenceLimit, time.Millisecond)
	require.Eventually(t, func() bool {
		return first.call(t, http.MethodGet, "/again/x", fmt.Sprint("free-", timer.BootClock().UnixNano()), "k1").StatusCode == http.StatusOK
	}, time.Minute, time.Millisecond)
}
