package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/host"
)

// dataCentreLoad plays the chats of callers in several data centres at a pool whose engines are spread over them.
type dataCentreLoad struct {
	sim         *simulation
	dataCentres int
	// local and missing count the requests that got an engine of their caller's data centre, and the tokens that were processed again.
	requests, local, missing int
}

func newDataCentreLoad(t *testing.T, dataCentres, engines int) *dataCentreLoad {
	sim := newSimulation(t, 0, 16)
	for i := range engines {
		sim.keeper.Update(sim.now, EndpointRegistered{Record: endpoint.Record{
			Instance: endpoint.Instance{ID: engineID(i)}, Service: assistant, Address: "10.0.0.1:1", Slots: 16, DataCentre: dataCentreOf(i % dataCentres),
		}})
	}
	return &dataCentreLoad{sim: sim, dataCentres: dataCentres}
}

func dataCentreOf(i int) host.DataCentre { return host.DataCentre(fmt.Sprintf("dc-%d", i)) }

// play sends requests of chats for a time, each through the data centre of its chat.
func (l *dataCentreLoad) play(chats, tokens, perSecond int, length time.Duration) {
	sim := l.sim
	for end := sim.now.Add(length); sim.now.Before(end); {
		sim.advance(sim.now.Add(time.Second / time.Duration(perSecond)))
		chatNumber := sim.random.IntN(chats)
		sim.nextTicket++
		e := SlotRequested{
			Ticket: Ticket{"host", sim.nextTicket}, Service: assistant, Prompt: prompt(chatNumber, tokens), Priority: 1, TimeLeft: 5 * time.Second,
			DataCentre: dataCentreOf(chatNumber % l.dataCentres),
		}
		sim.waiting[e.Ticket], sim.holdTime[e.Ticket] = e, time.Second
		commands := sim.keeper.Update(sim.now, e)
		for _, c := range commands {
			if grant, ok := c.(Grant); ok {
				l.requests++
				l.missing += grant.Decision.MissingTokens - grant.Decision.FetchedTokens
				if grant.Endpoint.DataCentre == e.DataCentre {
					l.local++
				}
			}
		}
		sim.apply(commands)
	}
}

// Callers of six data centres chat with 120 engines. Most requests get an engine of the caller's data centre; prefixes are not processed
// again for it, and no engine exceeds the load limit.
func TestChatsBeginAtEnginesOfTheirCallersDataCentre(t *testing.T) {
	t.Parallel()
	for _, tokens := range []int{700, 10000} {
		l := newDataCentreLoad(t, 6, 120)
		l.play(600, tokens, 240, 20*time.Second)
		require.Greater(t, float64(l.local), 0.8*float64(l.requests), "%d tokens: %d of %d", tokens, l.local, l.requests)
		require.Less(t, l.missing, 600*(tokens+500)*11/10, "%d tokens", tokens)
		require.Zero(t, l.sim.overLimitGrants)
		require.Zero(t, l.sim.refused[1])
	}
}

// The engines of a data centre are all gone: its callers are served by the others as before.
func TestCallersOfADataCentreWithoutEnginesAreServedElsewhere(t *testing.T) {
	t.Parallel()
	l := newDataCentreLoad(t, 6, 120)
	for i := 0; i < 120; i += 6 {
		l.sim.keeper.Update(l.sim.now, EndpointRemoved{ID: engineID(i)})
	}
	l.play(600, 4000, 240, 10*time.Second)
	require.Greater(t, float64(l.local), 0.65*float64(l.requests), "%d of %d", l.local, l.requests)
	require.Zero(t, l.sim.overLimitGrants)
	require.Zero(t, l.sim.refused[1])
}
