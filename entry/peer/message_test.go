package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/catalogue"
	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/roster"
)

// asked is the question of an ordinary request for an engine.
var asked = pool.SlotRequested{
	Ticket: pool.Ticket{Host: "front-zone-1", Number: 70000}, Service: "fiba52a", Priority: 1, TimeLeft: 7500 * time.Millisecond,
	Prompt:     chat.Prompt{Parts: []chat.Part{{ID: 0x5c1e07a2, Tokens: 512}, {ID: 0x91bd3f06, Tokens: 10000}, {ID: 0xe4402b7d, Tokens: 1300}}},
	DataCentre: "zone-1", LastEndpoint: "i-7f3a91c2",
}

func TestWhatIsSentComesOutTheSame(t *testing.T) {
	t.Parallel()
	cached := []pool.CachedParts{{ID: "i-1", Parts: []chat.PartID{1, 2}}}
	held := pool.SlotHeld{Ticket: asked.Ticket, Service: "s", ID: "i-1", Prompt: asked.Prompt}
	why := pool.Decision{Running: 3, Limit: 9, MissingTokens: 10000, FetchedTokens: 9000, Suspect: true, Waited: 20 * time.Millisecond}
	raw, err := Encode(Datagram{
		From: "front-zone-1", Asks: []Ask{FromAsked(asked)}, Holds: []Hold{FromHeld(held)},
		Answers: []Answer{{Number: 1, Kind: Placed, Endpoint: "i-1", Born: 5, Why: FromWhy(why)}},
		Learned: []Learned{FromTell("s", cached)}, Beats: []roster.Heartbeat{{Host: "a", Cores: 0.4, Sequence: 7}},
		Confirms: []Confirm{{Nonce: 1, Newest: catalogue.Revision(4), AgeMs: 20, Reads: true}},
	})
	require.NoError(t, err)
	d, err := Decode(raw)
	require.NoError(t, err)
	got := d.Asks[0].Asked(d.From)
	require.Equal(t, 11812, got.Prompt.Tokens)
	got.Prompt.Tokens = 0
	require.Equal(t, asked, got)
	require.Equal(t, why, d.Answers[0].Why.Why())
	require.Equal(t, pool.CacheUpdated{Service: "s", Cached: cached}, d.Learned[0].Learned())
	require.Equal(t, held.ID, d.Holds[0].Held(d.From).ID)
	require.True(t, d.Confirms[0].Reads)
	require.InDelta(t, 0.4, d.Beats[0].Cores, 0)
}

func FuzzDecode(f *testing.F) {
	raw, err := Encode(Datagram{From: "a", Asks: []Ask{FromAsked(asked)}})
	require.NoError(f, err)
	f.Add(raw)
	f.Fuzz(func(_ *testing.T, raw []byte) {
		if d, err := Decode(raw); err == nil {
			for _, a := range d.Asks {
				_ = a.Asked(d.From)
			}
		}
	})
}

// BenchmarkPlace reports the bytes that one place costs: question, answer and end, and one reminder a second of its stay.
func BenchmarkPlace(b *testing.B) {
	parts := []Datagram{
		{From: "front-zone-1", Asks: []Ask{FromAsked(asked)}},
		{From: "front-zone-1", Answers: []Answer{{Number: 70000, Endpoint: "i-7f3a91c2", Born: 1770000000000, Why: Why{Running: 5, Limit: 9}}}},
		{From: "front-zone-1", Ends: []End{{Number: 70000, Service: "fiba52a", Result: pool.Completed}}},
		{From: "front-zone-1", Holds: []Hold{FromHeld(pool.SlotHeld{Ticket: asked.Ticket, Service: asked.Service, ID: "i-7f3a91c2", Prompt: asked.Prompt})}},
	}
	size := 0
	for b.Loop() {
		size = 0
		for _, d := range parts {
			raw, err := Encode(d)
			if err != nil {
				b.Fatal(err)
			}
			if _, err := Decode(raw); err != nil {
				b.Fatal(err)
			}
			size += len(raw)
		}
	}
	b.ReportMetric(float64(size), "B/place")
}
