package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/endpoint"
)

// newVersionSite returns a site whose first engine has version v1, and the others v2.
func newVersionSite(t *testing.T, engines, slots int) *limitSite {
	s := newLimitSite(t, 1, 0)
	for i := range engines {
		version := endpoint.Version("v1")
		if i > 0 {
			version = "v2"
		}
		s.keepers[0].Update(s.now, EndpointRegistered{Record: endpoint.Record{
			Instance: endpoint.Instance{ID: engineID(i)}, Service: assistant, Slots: slots, Version: version,
		}})
	}
	return s
}

func TestBoundStreamGetsAnEndpointOfItsVersionOnly(t *testing.T) {
	t.Parallel()
	s := newVersionSite(t, 4, 64)
	s.run(10*time.Second, 50*time.Millisecond, func() { s.request(0, SlotRequested{Version: "v1", Prompt: prompt(3, 100)}) })
	require.Len(t, s.grants[engineID(0)], 200)
	s.request(0, SlotRequested{Version: "v1", Tried: []endpoint.ID{engineID(0)}})
	require.Equal(t, NoEndpoint, s.refusals[0].Reason, "refused at once")
	s.request(0, SlotRequested{Version: "v3"})
	require.Equal(t, NoEndpoint, s.refusals[1].Reason)
}

func TestBoundStreamKeepsTheLoadBoundAndTheLimit(t *testing.T) {
	t.Parallel()
	s := newVersionSite(t, 4, 64)
	s.holdTime = time.Minute
	for range 40 {
		s.request(0, SlotRequested{Version: "v1", TimeLeft: time.Minute})
	}
	require.LessOrEqual(t, len(s.grants[engineID(0)]), 2*40/4+loadMargin)
	limited := newVersionSite(t, 2, 64)
	limited.report(0, limitOf(2))
	start := limited.now
	limited.run(10*time.Second, 20*time.Millisecond, func() { limited.request(0, SlotRequested{Version: "v1"}) })
	limited.requireWithin(start, 2)
	require.NotEmpty(t, limited.refusals)
}

func TestBoundStreamThatWaitsDoesNotHoldUpOthers(t *testing.T) {
	t.Parallel()
	s := newVersionSite(t, 3, 2)
	s.holdTime = time.Minute
	for range 6 {
		s.request(0, SlotRequested{TimeLeft: time.Minute})
	}
	s.request(0, SlotRequested{Version: "v1", TimeLeft: time.Minute})
	s.request(0, SlotRequested{TimeLeft: time.Minute})
	require.Equal(t, 2, s.keepers[0].Queued())
	for _, r := range s.releases {
		if s.keepers[0].service(assistant).heldSlots[r.ticket].endpoint.record.Version == "v2" {
			s.apply(s.keepers[0], s.keepers[0].Update(s.now, SlotReleased{Ticket: r.ticket, Service: assistant, Result: Completed}))
			break
		}
	}
	require.Equal(t, 1, s.keepers[0].Queued(), "the request behind the bound one has a slot")
}
