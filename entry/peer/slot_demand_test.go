package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/pool"
)

// detailedRequest is slotRequest with all that only a SlotDemand carries.
func detailedRequest() pool.SlotRequested {
	e := slotRequest
	e.Prompt.MaxOutputTokens, e.Prompt.Model, e.Version = 640, "m", "v1"
	e.Route, e.Workspace, e.Objective, e.LengthHint, e.DataCentres = "r-1", "w-1", -20*time.Millisecond, 384, []host.DataCentre{"zone-1"}
	return e
}

var slotEnd = pool.SlotReleased{
	Ticket: slotRequest.Ticket, Service: "fiba52a", Result: pool.Failed,
	Run: pool.Run{
		FirstAfter: 80 * time.Millisecond, Lasted: 2 * time.Second, Events: 7, Load: endpoint.Load{Running: 3, Waiting: 1, Slots: 32, Slowdown: 2.5},
	},
}

func TestDemandsAndEndsSurviveEncodingAndDecoding(t *testing.T) {
	t.Parallel()
	for _, d := range []Datagram{SlotMessage(detailedRequest(), true), ReleaseMessage(slotEnd, true)} {
		d.From = slotRequest.Ticket.Host
		datagrams, err := EncodeAll(d)
		require.NoError(t, err)
		require.Len(t, datagrams, 1)
		read, err := Decode(datagrams[0])
		require.NoError(t, err)
		require.Equal(t, d, read)
	}
	got := SlotMessage(detailedRequest(), true).Extensions.SlotDemands[0].ToPool(slotRequest.Ticket.Host)
	require.Equal(t, 11812, got.Prompt.Tokens)
	got.Prompt.Tokens = 0
	require.Equal(t, detailedRequest(), got)
	require.Equal(t, slotEnd, ReleaseMessage(slotEnd, true).Extensions.SlotEnds[0].ToPool(slotRequest.Ticket.Host))
}

// Recorded from the release that introduced them. Later ones must be able to read them.
func TestRecordedDemandsAndEndsAreReadable(t *testing.T) {
	t.Parallel()
	for _, recorded := range []string{
		"a20161610a81a5010702617303818219ffff18640402051901f4", "a20161610b81a50107026173041850051907d00607", "a20161610ca101f5",
	} {
		raw, d := decodeRecorded(t, recorded)
		datagrams, err := EncodeAll(d)
		require.NoError(t, err)
		require.Equal(t, [][]byte{raw}, datagrams)
	}
}

func TestKeepersThatDoNotKnowDemandsGetWhatTheyKnow(t *testing.T) {
	t.Parallel()
	e := detailedRequest()
	require.NotEmpty(t, SlotMessage(e, false).Extensions.SlotDemands, "one that can't read the data centres must not grant any slot")
	e.DataCentres = nil
	require.NotEmpty(t, SlotMessage(e, false).Additions.BoundRequests)
	e.Version = ""
	require.NotEmpty(t, SlotMessage(e, false).SlotRequests)
	require.Equal(t, []SlotRelease{{Number: slotEnd.Ticket.Number, Service: slotEnd.Service, Result: pool.Failed}}, ReleaseMessage(slotEnd, false).SlotReleases)
}
