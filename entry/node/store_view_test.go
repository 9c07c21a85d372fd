package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"balsamknot.org/entry/settings"
	"balsamknot.org/fleet/catalogue"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/timer"
	"balsamknot.org/platform/standin"
)

// newIdleNode returns a node that does not run.
func newIdleNode(t *testing.T, storeAddress string) *Node {
	timers := timer.New()
	t.Cleanup(timers.Stop)
	cfg := settings.Default()
	cfg.Host, cfg.StoreAddress = "host-1", storeAddress
	return New(Config{Settings: cfg, Log: zerolog.Nop(), Timers: timers})
}

// The first set that a host reads is used only once the host also knows the endpoints of the same read: a request that is admitted earlier
// would be refused, as if there were none.
func TestFirstSetIsUsedOnceItsEndpointsAreKnown(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.store.Publish(1, "k1")
	const endpoints = 150
	for i := range endpoints {
		s.addEndpoint(fmt.Sprintf("i-%d", i), "plain", standin.RejectNotRun)
	}
	n := newIdleNode(t, s.store.Address())
	go func() { _, _ = n.storeView.executeStep(t.Context(), timer.BootClock(), catalogue.Step{}) }()
	require.Eventually(t, func() bool {
		for range 10_000 {
			if set, _ := n.storeView.set(timer.BootClock()); set != nil {
				return true
			}
		}
		return false
	}, time.Minute, time.Microsecond)
	n.slots.mu.Lock()
	defer n.slots.mu.Unlock()
	require.Len(t, n.slots.keeper.Candidates(pool.SlotRequested{Service: "plain"}), endpoints)
}
