package node

import (
	"time"

	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/entry/connection"
	"balsamknot.org/fleet/relay"
)

// silentProbes is how long probes of a silent path must fail before the connections over it that are unheard are given up.
const silentProbes = 200 * time.Millisecond

var (
	// checkLimits says when an open connection lets its path be checked. Keep-alive probes are 1 s apart.
	checkLimits = connection.SilenceLimits{Sent: 300 * time.Millisecond, KeepAlive: 1100 * time.Millisecond, Unknown: time.Second}
	// silentPathLimits says when a connection over a silent path is given up.
	silentPathLimits = connection.SilenceLimits{Sent: stallTimeout, KeepAlive: 1300 * time.Millisecond}
	// anyPathLimits says when a connection is given up whatever is known of its path: by then data has been sent again several times.
	anyPathLimits = connection.SilenceLimits{Sent: 1500 * time.Millisecond}
)

// tickUnheard gives up connections over which neither data nor acknowledgements come, and lets the paths of others be checked.
func (p *pathTracker) tickUnheard(now time.Time) {
	p.n.endpointConns.CloseUnheard(anyPathLimits)
	if silent := p.silentAddresses(now, silentProbes); len(silent) > 0 {
		p.n.endpointConns.CloseUnheard(silentPathLimits, silent...)
	}
	addresses, err := p.n.endpointConns.Unheard(checkLimits)
	if err != nil {
		p.deliveryUnknown.Do(func() { event.LogText(p.n.log, zerolog.InfoLevel, event.DeliveryUnknown).Err(err).Send() })
	}
	for _, address := range addresses {
		p.update(now, relay.Unheard{Address: address})
	}
}
