package node

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"balsamknot.org/entry/settings"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/timer"
)

// A host starts anew while its keeper still holds a place for a request of the process before. The first requests of the new
// process must not be taken for those.
func TestTicketsOfANewProcessAreNew(t *testing.T) {
	t.Parallel()
	ask := func() pool.Ticket {
		timers := timer.New()
		defer timers.Stop()
		cfg := settings.Default()
		cfg.Host = "host-1"
		n := New(Config{Settings: cfg, Log: zerolog.Nop(), Timers: timers})
		ticket, answer := n.places.ask(t.Context(), pool.Asked{Service: "plain", Patience: time.Second})
		require.IsType(t, pool.Refuse{}, answer)
		return ticket
	}
	before, after := ask(), ask()
	require.NotEqual(t, before, after)
}
