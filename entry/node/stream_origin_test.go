package node

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/entry/peer"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/roster"
	"balsamknot.org/fleet/stream"
	"balsamknot.org/fleet/timer"
	"balsamknot.org/platform/standin"
)

func TestHostThatCanNotKnowTheVersionOfAStreamRefusesAtOnce(t *testing.T) {
	t.Parallel()
	s := newVersionSite(t, false, standin.DefaultVersion, secondVersion)
	s.startNodes(3, 180)
	require.Equal(t, http.StatusServiceUnavailable, s.takeUp(s.nodes[0], "unknown"))
	r := standin.NewCall(s.nodes[0].cfg.CallerAddress, http.MethodPost, "/stream/x", "unnamed/2", "k1", nil)
	r.Header.Set(standin.LastEventIDHeader, "1")
	response := roundTrip(t, r)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode, "the caller does not name the stream")
	require.NotEmpty(t, response.Header.Get(standin.RetryAfterHeader))
	require.Empty(t, s.wentOn)
}

// haveRunForLifetime makes a node's process look as if it had started stream.Lifetime earlier and seen the same registrations since.
func (n *testNode) haveRunForLifetime() {
	n.slots.mu.Lock()
	var records []endpoint.Record
	for _, instance := range n.slots.keeper.Candidates(pool.SlotRequested{Service: "engines"}) {
		record, _ := n.slots.keeper.Record(instance)
		records = append(records, record)
	}
	n.slots.mu.Unlock()
	n.streams.mu.Lock()
	defer n.streams.mu.Unlock()
	now := timer.BootClock()
	n.streams.registry = stream.NewRegistry(now.Add(-stream.Lifetime))
	for _, record := range records {
		n.streams.registry.Update(now, stream.Registered{Record: record})
	}
}

func TestUnsureHostGoesOnWhereThereIsOneVersionForLong(t *testing.T) {
	t.Parallel()
	s := newVersionSite(t, false, standin.DefaultVersion, standin.DefaultVersion)
	s.startNodes(1, 181)
	require.Equal(t, http.StatusServiceUnavailable, s.takeUp(s.nodes[0], "s"), "another version may have left before it started")
	s.nodes[0].haveRunForLifetime()
	for i := range 10 {
		require.Equal(t, http.StatusOK, s.takeUp(s.nodes[0], fmt.Sprintf("s-%d", i)))
	}
}

// heartbeat returns the node's own heartbeat.
func (m *membership) heartbeat() roster.Heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	messages, _ := m.roster.Tick(timer.BootClock())
	return messages[0].Gossip.Heartbeats[0]
}

func TestUnsureHostAsksOneThatHasRunForLong(t *testing.T) {
	t.Parallel()
	s := newVersionSite(t, false, standin.DefaultVersion, standin.DefaultVersion)
	s.startNodes(2, 186)
	require.Equal(t, http.StatusServiceUnavailable, s.takeUp(s.nodes[0], "s"), "the other host has just started, too")
	self := s.nodes[1].membership.heartbeat()
	self.Sequence += startupRounds + uint64(stream.Lifetime/heartbeatInterval)
	s.nodes[0].membership.handle(netip.AddrPort{}, peer.Datagram{From: self.Host, Heartbeats: []roster.Heartbeat{self}})
	for i := range 10 {
		require.Equal(t, http.StatusOK, s.takeUp(s.nodes[0], fmt.Sprintf("s-%d", i)))
	}
}

// A host that has just started sees one version. Another host has seen that a second one is gone since a short time.
func TestHostThatHasJustStartedAsksForVersionsThatAreGone(t *testing.T) {
	t.Parallel()
	s := newVersionSite(t, false, standin.DefaultVersion)
	gone := s.addEndpoint("i-gone", "engines", func(w http.ResponseWriter, r *http.Request) { s.answer(w, r, secondVersion) })
	gone.RegisterVersion(secondVersion)
	s.startNodes(1, 182)
	require.Eventually(t, func() bool { return s.nodes[0].knowsEndpoint("i-gone") }, time.Minute, time.Millisecond)
	gone.Deregister()
	require.Eventually(t, func() bool { return !s.nodes[0].knowsEndpoint("i-gone") }, time.Minute, time.Millisecond)
	s.addNodes(1, 182)
	require.Equal(t, http.StatusServiceUnavailable, s.takeUp(s.nodes[1], "s-1"))
}

// Four of eight hosts end at one moment, the first host of the streams and the keeper among them.
func TestHalfOfTheStreamsGoOnAfterHalfOfTheHostsEnded(t *testing.T) {
	t.Parallel()
	const streams, hosts = 40, 8
	s := newVersionSite(t, false, standin.DefaultVersion, secondVersion, standin.DefaultVersion, secondVersion)
	s.startNodes(hosts, 183)
	var names []string
	for i := range streams {
		if name := fmt.Sprintf("s-%d", i); s.begin(s.nodes[0], name) {
			names = append(names, name)
		}
	}
	killed := 0
	for _, n := range append([]*testNode{s.nodes[0], s.keeperOf("engines")}, s.nodes...) {
		if killed < hosts/2 && !n.stopped() {
			n.kill()
			killed++
		}
	}
	wentOn := 0
	for i, name := range names {
		for s.nodes[i%hosts].stopped() {
			i++
		}
		if s.takeUp(s.nodes[i%hosts], name) == http.StatusOK {
			wentOn++
		}
	}
	t.Logf("%d of %d streams went on, %d at another version", wentOn, len(names), s.mixed())
	require.Greater(t, wentOn, len(names)/2)
	require.LessOrEqual(t, s.mixed(), allowedMixed)
}

// A host that is cut off from the store does not see a version that came up.
func TestHostWithAnOldCopyOfTheStoreDoesNotTakeItsVersionForTheOnlyOne(t *testing.T) {
	t.Parallel()
	s := newVersionSite(t, false, standin.DefaultVersion)
	s.startNodes(1, 184)
	n := s.nodes[0]
	n.haveRunForLifetime()
	require.Equal(t, http.StatusOK, s.takeUp(n, "s-1"))
	n.storeFrontend.Stall()
	require.Eventually(t, func() bool { return n.storeView.age(timer.BootClock()) > staleAge }, time.Minute, time.Millisecond)
	require.NotEqual(t, http.StatusOK, s.takeUp(n, "s-2"))
}

func TestRefusalOfAnUnknownStreamIsLogged(t *testing.T) {
	t.Parallel()
	s := newVersionSite(t, false, standin.DefaultVersion, secondVersion)
	s.startNodes(1, 185)
	require.Equal(t, http.StatusServiceUnavailable, s.takeUp(s.nodes[0], "unknown"))
	require.Eventually(t, func() bool { return s.nodes[0].log.contains("not known which version began the stream") }, time.Minute, time.Millisecond)
}
