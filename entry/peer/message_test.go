package peer

import (
	"encoding/hex"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/catalogue"
	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/roster"
)

// slotRequest is a typical slot request for an engine.
var slotRequest = pool.SlotRequested{
	Ticket: pool.Ticket{Host: "front-zone-1", Number: 70000}, Service: "fiba52a", Priority: 1, TimeLeft: 7500 * time.Millisecond,
	Prompt:     chat.Prompt{Parts: []chat.Part{{ID: 0x5c1e07a2, Tokens: 512}, {ID: 0x91bd3f06, Tokens: 10000}, {ID: 0xe4402b7d, Tokens: 1300}}},
	DataCentre: "zone-1", LastEndpoint: "i-7f3a91c2",
}

func TestDatagramSurvivesEncodingAndDecoding(t *testing.T) {
	t.Parallel()
	cached := []pool.CachedParts{{ID: "i-1", Parts: []chat.PartID{1, 2}}}
	held := pool.SlotHeld{Ticket: slotRequest.Ticket, Service: "s", ID: "i-1", Prompt: slotRequest.Prompt}
	decision := pool.Decision{Running: 3, Limit: 9, MissingTokens: 10000, FetchedTokens: 9000, Suspect: true, Waited: 20 * time.Millisecond}
	raw, err := Encode(Datagram{
		From: "front-zone-1", SlotRequests: []SlotRequest{FromSlotRequested(slotRequest)}, HeldSlots: []HeldSlot{FromSlotHeld(held)},
		SlotReplies:  []SlotReply{{Number: 1, Kind: Granted, Endpoint: "i-1", StartedAt: 5, Decision: FromDecision(decision)}},
		CacheUpdates: []CacheUpdate{FromCachedParts("s", cached)}, Heartbeats: []roster.Heartbeat{{Host: "a", Cores: 0.4, Sequence: 7}},
		ProbeReplies: []ProbeReply{{Nonce: 1, NewestChange: catalogue.Revision(4), AgeMs: 20, ReadsPlatform: true}},
	})
	require.NoError(t, err)
	d, err := Decode(raw)
	require.NoError(t, err)
	got := d.SlotRequests[0].ToPool(d.From)
	require.Equal(t, 11812, got.Prompt.Tokens)
	got.Prompt.Tokens = 0
	require.Equal(t, slotRequest, got)
	require.Equal(t, decision, d.SlotReplies[0].Decision.ToPool())
	require.Equal(t, pool.CacheUpdated{Service: "s", Cached: cached}, d.CacheUpdates[0].ToPool())
	require.Equal(t, held.ID, d.HeldSlots[0].ToPool(d.From).ID)
	require.True(t, d.ProbeReplies[0].ReadsPlatform)
	require.InDelta(t, 0.4, d.Heartbeats[0].Cores, 0)
}

func TestDatagramWithoutAdditionsIsTheSameAsInTheLastRelease(t *testing.T) {
	t.Parallel()
	const lastRelease = "8b6161f6f6f681830163732d3100f6f6f6f6f6f6"
	raw, err := Encode(Datagram{From: "a", SlotReleases: []SlotRelease{{Number: 1, Service: "s-1"}}})
	require.NoError(t, err)
	require.Equal(t, lastRelease, hex.EncodeToString(raw))
	d, err := Decode(raw)
	require.NoError(t, err)
	require.Equal(t, uint64(1), d.SlotReleases[0].Number)
}

func TestAdditionsSurviveEncodingAndDecoding(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	limit := pool.LimitReported{
		Service: "s", Instance: endpoint.Instance{ID: "i-1", StartedAt: 5}, Limit: endpoint.Limit{State: endpoint.Limited, PerSecond: 1.6},
		ObservedAt: now.Add(-20 * time.Millisecond), Grants: 3,
	}
	raw, err := Encode(Datagram{From: "a", Additions: Additions{LimitReports: []LimitReport{FromLimitReported(now, limit)}}})
	require.NoError(t, err)
	d, err := Decode(raw)
	require.NoError(t, err)
	require.Equal(t, host.ID("a"), d.From)
	require.Equal(t, limit, d.Additions.LimitReports[0].ToPool(now))
}

func TestBoundSlotRequestSurvivesEncodingAndIsNotSeenByTheLastRelease(t *testing.T) {
	t.Parallel()
	bound := slotRequest
	bound.Version = "v1.2"
	raw, err := Encode(SlotRequestMessage(bound))
	require.NoError(t, err)
	d, err := Decode(raw)
	require.NoError(t, err)
	require.Empty(t, d.SlotRequests, "a keeper that can't read the version must not grant any slot")
	got := d.Additions.BoundRequests[0].ToPool(slotRequest.Ticket.Host)
	got.Prompt.Tokens = 0
	require.Equal(t, bound, got)
	require.Len(t, SlotRequestMessage(slotRequest).SlotRequests, 1)
}

func FuzzDecode(f *testing.F) {
	raw, err := Encode(Datagram{From: "a", SlotRequests: []SlotRequest{FromSlotRequested(slotRequest)}})
	require.NoError(f, err)
	f.Add(raw)
	gossipRaw, err := EncodeAll(Datagram{From: "a", Extensions: Extensions{Gossip: &gossip, PartLookups: []PartLookup{lookup}}})
	require.NoError(f, err)
	f.Add(gossipRaw[0])
	f.Fuzz(func(t *testing.T, raw []byte) {
		d, err := Decode(raw)
		if err != nil {
			return
		}
		for _, r := range d.SlotRequests {
			_ = r.ToPool(d.From)
		}
		receiveAny(t, d)
	})
}

// receiveAny passes what a datagram says of the fleet to a roster, twice, since the first message of a host is answered otherwise. What the
// roster sends must be readable, and no more than a few hosts long.
func receiveAny(t *testing.T, d Datagram) {
	now := time.Unix(1000, 0)
	r := roster.New(roster.Config{
		Self: roster.Heartbeat{Host: "self", Address: "127.0.0.1:1"}, Fanout: 3, MaxHeartbeats: 4, MaxUpdates: 4, NewsPeriod: time.Second,
		SuspectAfter: time.Minute, ForgetAfter: time.Hour, Random: rand.New(rand.NewPCG(1, 2)),
	})
	g, _ := d.ToRoster()
	for range 2 {
		now = now.Add(time.Second)
		_, answer := r.Receive(now, d.From, g)
		messages, _ := r.Tick(now)
		for _, m := range append(messages, answer...) {
			require.LessOrEqual(t, len(m.Gossip.Heartbeats), 5)
			require.LessOrEqual(t, len(m.Gossip.Updates)+len(m.Gossip.Wanted), 4)
			raw, err := EncodeAll(GossipMessage(m))
			require.NoError(t, err)
			for _, datagram := range raw {
				_, err := Decode(datagram)
				require.NoError(t, err)
			}
		}
	}
}

// BenchmarkAdditions reports the encoded size of the message about one stream to one replica, and of the report of one limit.
func BenchmarkAdditions(b *testing.B) {
	now := time.Unix(1000, 0)
	for name, additions := range map[string]Additions{
		"origin": {StreamOrigins: []StreamOrigin{{Stream: 0xfedcba9876543210, Service: "fiba52a", Version: "v1.2"}}},
		"limit": {LimitReports: []LimitReport{FromLimitReported(now, pool.LimitReported{
			Service: "fiba52a", Instance: endpoint.Instance{ID: "i-7f3a91c2", StartedAt: 1770000000000}, Limit: endpoint.Limit{State: endpoint.Limited, PerSecond: 3.1},
			ObservedAt: now.Add(-300 * time.Millisecond), Grants: 2,
		})}},
	} {
		b.Run(name, func(b *testing.B) {
			size := 0
			for b.Loop() {
				raw, err := Encode(Datagram{From: "front-zone-1", Additions: additions})
				if err != nil {
					b.Fatal(err)
				}
				if _, err := Decode(raw); err != nil {
					b.Fatal(err)
				}
				size = len(raw)
			}
			b.ReportMetric(float64(size), "B/datagram")
		})
	}
}

// BenchmarkSlotMessages reports the encoded size of the messages for one slot that is held for one second: request, reply,
// release and one repetition of HeldSlot.
func BenchmarkSlotMessages(b *testing.B) {
	datagrams := []Datagram{
		{From: "front-zone-1", SlotRequests: []SlotRequest{FromSlotRequested(slotRequest)}},
		{From: "front-zone-1", SlotReplies: []SlotReply{{Number: 70000, Endpoint: "i-7f3a91c2", StartedAt: 1770000000000, Decision: Decision{Running: 5, Limit: 9}}}},
		{From: "front-zone-1", SlotReleases: []SlotRelease{{Number: 70000, Service: "fiba52a", Result: pool.Completed}}},
		{From: "front-zone-1", HeldSlots: []HeldSlot{FromSlotHeld(pool.SlotHeld{Ticket: slotRequest.Ticket, Service: slotRequest.Service, ID: "i-7f3a91c2", Prompt: slotRequest.Prompt})}},
	}
	size := 0
	for b.Loop() {
		size = 0
		for _, d := range datagrams {
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
	b.ReportMetric(float64(size), "B/slot")
}

// Hosts of the last release drop a datagram with extras, and only such a one.
func TestDatagramWithExtrasIsUnreadableToTheLastRelease(t *testing.T) {
	t.Parallel()
	d := Datagram{
		From: "host-1", Additions: Additions{LimitReports: []LimitReport{{Service: "s"}}},
		Extras: Extras{Statements: []StatementReport{{Service: "s", Endpoint: "i-a", Leaving: true}}, Rests: []RestReport{{Endpoint: "i-a", Host: "host-2", LeftMs: 5}},
			PartQueries: []PartQuery{{Nonce: 1, Part: 2}}, PartReplies: []PartReply{{Nonce: 1, Versions: []endpoint.Version{"v1"}}},
		},
	}
	raw, err := Encode(d)
	require.NoError(t, err)
	got, err := Decode(raw)
	require.NoError(t, err)
	require.Equal(t, d, got)
	var last struct {
		_         struct{} `cbor:",toarray"`
		Datagram  Datagram
		Additions Additions
	}
	require.Error(t, cbor.Unmarshal(raw, &last))
	require.Error(t, cbor.Unmarshal(raw, &Datagram{}))
	d.Extras = Extras{}
	raw, err = Encode(d)
	require.NoError(t, err)
	require.NoError(t, cbor.Unmarshal(raw, &last))
}
