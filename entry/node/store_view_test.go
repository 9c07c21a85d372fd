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
	"balsamknot.org/fleet/site"
	"balsamknot.org/fleet/timer"
	"balsamknot.org/platform"
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

// A set that a host reads is used only once the host also knows the endpoints of the same read: a request that is admitted earlier
// would be refused, as if there were none.
func TestSetIsUsedOnceItsEndpointsAreKnown(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	n := newIdleNode(t, s.store.Address())
	n.storeView.startedAt = n.storeView.startedAt.Add(-loneDiscoveryTime)
	go n.storeView.followSets(t.Context())
	const endpoints = 150
	for version := 1; version <= 2; version++ {
		for i := range endpoints {
			s.addEndpoint(fmt.Sprintf("i-%d-%d", version, i), "plain", standin.RejectNotRun)
		}
		s.store.Publish(version, "k1")
		go func() { _, _ = n.storeView.executeStep(t.Context(), timer.BootClock(), catalogue.Step{}) }()
		require.Eventually(t, func() bool {
			for range 10_000 {
				if set, _ := n.storeView.set(timer.BootClock()); set != nil && set.Version == site.Version(version) {
					return true
				}
			}
			return false
		}, time.Minute, time.Microsecond)
		n.slots.mu.Lock()
		known := n.slots.keeper.Candidates(pool.SlotRequested{Service: "plain"})
		n.slots.mu.Unlock()
		require.Len(t, known, version*endpoints)
	}
}

// One read may hold several versions of the set. What hosts that start get later is the newest, also after a read of the whole store.
func TestNewestSetOfAReadIsPassedOn(t *testing.T) {
	t.Parallel()
	n := newIdleNode(t, closedAddress(t))
	set := func(version, revision int) catalogue.Entry {
		return catalogue.Entry{Key: platform.SetKey(), Value: fmt.Appendf(nil, `{"version":%d}`, version), Revision: catalogue.Revision(revision)}
	}
	v := n.storeView
	position := catalogue.Position{Era: 1, Revision: 10}
	require.NoError(t, v.apply(timer.BootClock(), []catalogue.Entry{set(1, 9)}, position, true))
	position.Revision = 13
	require.NoError(t, v.apply(timer.BootClock(), []catalogue.Entry{set(2, 11), set(3, 12)}, position, false))
	for _, full := range []bool{false, true} {
		position.Revision++
		require.NoError(t, v.apply(timer.BootClock(), []catalogue.Entry{set(3, 12)}, position, full))
		entries, _ := v.history.Since(catalogue.Position{})
		require.Len(t, entries, 1)
		require.JSONEq(t, `{"version":3}`, string(entries[0].Value))
	}
}
