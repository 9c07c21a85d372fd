package peer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/roster"
)

const (
	gossipHosts    = 200
	gossipRound    = 300 * time.Millisecond
	roundsASecond  = 10.0 / 3
	controlBudget  = 11_000 // bytes a second of a host, for all control
	warmUpRounds   = 100
	measuredRounds = 20
)

// gossipFleet simulates the heartbeats of a large fleet, through the encoding.
type gossipFleet struct {
	hosts map[string]*roster.Roster
	names map[string]host.ID
	// sent counts the bytes that all hosts sent, and crossing those that crossed data centres.
	sent, crossing int
}

func gossipAddress(i int) string { return fmt.Sprintf("10.1.%d.%d:7340", i%6, i/6) }

func gossipDataCentre(i int) host.DataCentre {
	return host.DataCentre(fmt.Sprintf("zone-antwerp-%d", i%6))
}

func newGossipFleet() *gossipFleet {
	f := &gossipFleet{hosts: map[string]*roster.Roster{}, names: map[string]host.ID{}}
	for i := range gossipHosts {
		name := host.ID(fmt.Sprintf("front-zone-antwerp-%d", i))
		f.names[gossipAddress(i)] = name
		f.hosts[gossipAddress(i)] = roster.New(roster.Config{
			Self:  roster.Heartbeat{Host: name, Address: gossipAddress(i), DataCentre: gossipDataCentre(i), Cores: 0.192, StartedAt: 1_800_000_000_000 + int64(i)},
			Seeds: []string{gossipAddress(0), gossipAddress(1)}, Fanout: 3, MaxHeartbeats: 24, MaxUpdates: 40, NewsPeriod: 5 * time.Second,
			SuspectAfter: 1500 * time.Millisecond, SuspectAfterPerHost: 40 * time.Millisecond, ForgetAfter: time.Minute,
			Random: rand.New(rand.NewPCG(uint64(i), 1)),
		})
	}
	return f
}

func (f *gossipFleet) round(t *testing.T, now time.Time) {
	for i := range gossipHosts {
		messages, _ := f.hosts[gossipAddress(i)].Tick(now)
		for _, m := range messages {
			f.deliver(t, now, gossipAddress(i), m)
		}
	}
}

func (f *gossipFleet) deliver(t *testing.T, now time.Time, from string, m roster.Message) {
	d := GossipMessage(m)
	d.From = f.names[from]
	raw, err := EncodeAll(d)
	require.NoError(t, err)
	for _, datagram := range raw {
		f.sent += len(datagram)
		if from[:len("10.1.0")] != m.To[:len("10.1.0")] {
			f.crossing += len(datagram)
		}
		received, err := Decode(datagram)
		require.NoError(t, err)
		g, ok := received.ToRoster()
		require.True(t, ok)
		_, answer := f.hosts[m.To].Receive(now, received.From, g)
		for _, reply := range answer {
			f.deliver(t, now, m.To, reply)
		}
	}
}

func TestHeartbeatsOfALargeFleetLeaveRoomInTheControlBudget(t *testing.T) {
	t.Parallel()
	f := newGossipFleet()
	now := time.Unix(1_800_000_000, 0)
	for range warmUpRounds {
		now = now.Add(gossipRound)
		f.round(t, now)
	}
	f.sent, f.crossing = 0, 0
	for range measuredRounds {
		now = now.Add(gossipRound)
		f.round(t, now)
	}
	perHost := float64(f.sent) / gossipHosts / measuredRounds * roundsASecond
	t.Logf("%.0f B/s a host, %.2f of it across data centres", perHost, float64(f.crossing)/float64(f.sent))
	require.Less(t, perHost, float64(controlBudget))
	require.Less(t, float64(f.crossing)/float64(f.sent), 0.5)
	for address := range f.hosts {
		require.Len(t, f.hosts[address].Live(), gossipHosts)
	}
}

var gossip = Gossip{
	Heartbeats: []roster.Heartbeat{{Host: "a", Address: "10.0.0.1:7340", DataCentre: "z", Cores: 0.5, StartedAt: 1000, Sequence: 9}},
	Updates:    []roster.Update{{Process: 0x1122334455667788, Sequence: 300}}, Wanted: []roster.ProcessKey{5},
}

// Recorded from the release that introduced updates. Later ones must be able to read it.
func TestRecordedGossipIsReadable(t *testing.T) {
	t.Parallel()
	_, d := decodeRecorded(t, "a201616103a301818761616d31302e302e302e313a37333430617afb3fe00000000000001903e809f40281821b112233445566778819012c038105")
	require.Equal(t, Datagram{From: "a", Extensions: Extensions{Gossip: &gossip}}, d)
}

func TestGossipForHostOfAnEarlierReleaseIsInTheArrayToo(t *testing.T) {
	t.Parallel()
	m := roster.Message{Gossip: roster.Gossip{Heartbeats: gossip.Heartbeats, UnderstandsUpdates: true}}
	raw, err := EncodeAll(GossipMessage(m))
	require.NoError(t, err)
	require.Len(t, raw, 2)
	var array Datagram
	require.NoError(t, cbor.Unmarshal(raw[0], &array))
	require.Equal(t, gossip.Heartbeats, array.Heartbeats)
	for i, reads := range []bool{false, true} {
		d, err := Decode(raw[i])
		require.NoError(t, err)
		g, ok := d.ToRoster()
		require.True(t, ok)
		require.Equal(t, roster.Gossip{Heartbeats: gossip.Heartbeats, UnderstandsUpdates: reads}, g)
	}
	_, ok := Datagram{From: "a"}.ToRoster()
	require.False(t, ok)
}
