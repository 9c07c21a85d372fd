package node

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/entry/settings"
	"balsamknot.org/fleet/host"
)

// staleSeeds returns the addresses of hosts that are gone.
func (s *testSite) staleSeeds(subnet int) []string {
	return []string{fmt.Sprintf("%s.%d.101:1", s.network, subnet), fmt.Sprintf("%s.%d.102:1", s.network, subnet)}
}

// settingsOf returns the settings of a new host of the site, with seeds that are out of date.
func (s *returnSite) settingsOf(subnet, number int) settings.Host {
	cfg := s.nodes[0].cfg
	cfg.Host, cfg.Address = host.ID(fmt.Sprintf("host-%d", number)), fmt.Sprintf("%s.%d.%d", s.network, subnet, number)
	cfg.CallerAddress = fmt.Sprintf("%s:%d", cfg.Address, s.firstPort+4)
	cfg.ReadyAddress = fmt.Sprintf("%s:%d", cfg.Address, s.firstPort+3)
	cfg.MetricsAddress = fmt.Sprintf("%s:%d", cfg.Address, s.firstPort+2)
	cfg.Seeds = s.staleSeeds(subnet)
	return cfg
}

// start runs a host with a path to the store.
func (s *returnSite) start(cfg settings.Host) *testNode {
	frontend := s.store.NewFrontend()
	s.t.Cleanup(frontend.Close)
	cfg.StoreAddress = frontend.Address()
	s.runNode(cfg, frontend)
	return s.nodes[len(s.nodes)-1]
}

// revokeAndReturn takes key k1 away, waits until all hosts know it, and lets the store return from a copy that has the key.
func (s *returnSite) revokeAndReturn() {
	s.store.Publish(2, "k2")
	s.awaitEveryRevisionRead()
	for _, node := range s.nodes {
		require.Eventually(s.t, func() bool { return node.storeView.setVersion() == 2 }, convergenceLimit, 5*time.Millisecond)
	}
	s.store.ReturnFromCopy(1, 0)
	for _, node := range s.nodes {
		require.Eventually(s.t, func() bool { return node.log.contains("BK1205") }, convergenceLimit, 5*time.Millisecond)
	}
}

// A new host, which the others have never met, has put the older set in force when it meets them; either side may make the first contact.
func TestOlderSetInForceIsReplacedWhenAHostMeetsTheOthers(t *testing.T) {
	t.Parallel()
	for i, tc := range []struct {
		name string
		// finds reports whether the host with the older set makes the contact.
		finds bool
	}{{"by its own seeds", true}, {"by theirs", false}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			subnet := 42 + i
			s := newReturnSite(t, 1, subnet)
			newer := s.nodes[0]
			s.revokeAndReturn()
			older := s.start(s.settingsOf(subnet, 2))
			require.Eventually(t, older.Ready, convergenceLimit, time.Millisecond)
			require.Equal(t, 1, int(older.storeView.setVersion()))
			if tc.finds {
				older.membership.setSeeds(older.seedAddresses([]string{newer.cfg.Address + ":1"}))
			} else {
				newer.membership.setSeeds(newer.seedAddresses([]string{older.cfg.Address + ":1"}))
			}
			require.Eventually(t, func() bool { return older.storeView.setVersion() == 2 }, convergenceLimit, time.Millisecond)
			require.EqualValues(t, 2, newer.storeView.setVersion())
			require.Equal(t, http.StatusUnauthorized, older.call(t, http.MethodGet, "/again/", "revoked", "k1").StatusCode)
		})
	}
}
