package node

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"balsamknot.org/entry/settings"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/site"
	"balsamknot.org/fleet/timer"
)

// The registrations of a copy of the store are applied one by one, after its services.
func TestHostThatIsLoadingItsCopyOfTheStoreDoesNotSayThatNoVersionCachesAPart(t *testing.T) {
	t.Parallel()
	const service, loaded = site.ServiceName("engines"), site.Version(1)
	timers := timer.New()
	defer timers.Stop()
	n := New(Config{Settings: settings.Default(), Log: zerolog.Nop(), Timers: timers})
	now := timer.BootClock()
	n.slots.update(now, pool.ServiceChanged{Service: site.Service{Name: service, Engine: &site.Engine{Slots: 4}}})
	nonce, replies := n.streams.partQueries.begin(1)
	defer n.streams.partQueries.end(nonce)
	answer := func() { n.streams.answerLookup(now, n.cfg.Host, nonce, pool.PartLookup{Service: service, Part: 1}) }
	answer()
	require.Empty(t, replies)
	n.storeView.putInForce(now, &site.Set{Version: loaded})
	n.storeView.useFirstSet(now)
	answer()
	require.Equal(t, []endpoint.Version(nil), <-replies)
}
