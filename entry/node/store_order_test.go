package node

import (
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/timer"
	"balsamknot.org/platform/standin"
)

// Guards against ORDER: the removals of an answer were applied last, so that its readers lost an engine that was back. An engine's registration is removed and written again, with another version, within one answer of a watch.
func TestEndpointReplacedInPlaceWithinOneAnswerStaysInUse(t *testing.T) {
	t.Parallel()
	s := newVersionSite(t, false, standin.DefaultVersion)
	replaced := s.addReplaceable()
	s.startNodes(3, 152)
	replaced.replace(secondVersion)
	s.awaitChangesInUse()
	for _, n := range s.nodes {
		require.True(t, n.knowsEndpoint("i-replaced"), "%s has dropped the endpoint", n.cfg.Host)
		require.Equal(t, 2, n.versionCount(), "%s does not know both versions", n.cfg.Host)
	}
}

// Guards against ORDER: the readers of the store, which had lost the new version, let its streams go on at the old one.
func TestStreamsAreNotJoinedFromTwoVersionsAfterAnEndpointWasReplacedInPlace(t *testing.T) {
	t.Parallel()
	const streams, hosts = 60, 6
	s := newVersionSite(t, false, standin.DefaultVersion)
	replaced := s.addReplaceable()
	s.startNodes(hosts, 153)
	replaced.replace(secondVersion)
	s.awaitChangesInUse()
	for _, n := range s.nodes {
		n.haveRunForLifetime()
	}
	readers, followers := s.readersAndFollowers()
	var names []string
	for i := range streams {
		if name := fmt.Sprintf("s-%d", i); s.begin(followers[i%len(followers)], name) {
			names = append(names, name)
		}
	}
	wentOn := 0
	for i, name := range names {
		if s.takeUp(readers[i%len(readers)], name) == http.StatusOK {
			wentOn++
		}
	}
	t.Logf("%d of %d streams went on, %d at another version", wentOn, len(names), s.mixed())
	require.LessOrEqual(t, s.mixed(), allowedMixed)
	require.Greater(t, wentOn, len(names)/2)
}

// Guards against LOST: live endpoints were dropped for good after an outage of the store. Two registrations lapse while the store is silent. One is back when it returns, so that one answer of a watch has its removal, too.
func TestRegistrationThatLapsedAndIsBackInOneAnswerIsKeptAfterTheGracePeriod(t *testing.T) {
	t.Parallel()
	s := newVersionSite(t, false)
	back := s.addEndpoint("i-back", "engines", nil)
	lost := s.addEndpoint("i-lost", "engines", nil)
	s.startNodes(3, 154)
	s.store.SetDown(true)
	back.Deregister()
	lost.Deregister()
	back.RegisterReady()
	for _, n := range s.nodes {
		require.Eventually(t, func() bool { return n.storeView.age(timer.BootClock()) > outageThreshold }, time.Minute, time.Millisecond)
	}
	s.store.SetDown(false)
	for _, n := range s.nodes {
		require.Eventually(t, func() bool { return !n.knowsEndpoint("i-lost") }, time.Minute, time.Millisecond)
		require.True(t, n.knowsEndpoint("i-back"), "%s has dropped the endpoint", n.cfg.Host)
	}
}

// replaceable is an engine that is replaced under its ID by one of another version.
type replaceable struct {
	*standin.Endpoint
	store   *standin.Store
	version atomic.Value
}

func (s *versionSite) addReplaceable() *replaceable {
	r := &replaceable{store: s.store}
	r.version.Store(standin.DefaultVersion)
	r.Endpoint = s.addEndpoint("i-replaced", "engines", func(w http.ResponseWriter, request *http.Request) { s.answer(w, request, r.version.Load().(string)) })
	return r
}

// replace replaces the engine in place; its removal and its new registration become visible together.
func (r *replaceable) replace(version string) {
	r.version.Store(version)
	r.Restart()
	r.store.Together(func() {
		r.Deregister()
		r.RegisterVersion(version)
	})
}

// awaitChangesInUse waits until all parts of all hosts know what the store holds: an answer after those with the changes was passed on.
func (s *testSite) awaitChangesInUse() {
	s.awaitEveryRevisionRead()
	s.addEndpoint("i-marker", "plain", nil)
	for _, n := range s.nodes {
		require.Eventually(s.t, func() bool { return n.knowsEndpoint("i-marker") }, time.Minute, time.Millisecond)
	}
}

// readersAndFollowers returns the nodes that read the store continuously, and the others.
func (s *testSite) readersAndFollowers() (readers, followers []*testNode) {
	active := s.nodes[0].membership.rankedReaders()[:activeReaders]
	for _, n := range s.nodes {
		if slices.Contains(active, n.cfg.Host) {
			readers = append(readers, n)
		} else {
			followers = append(followers, n)
		}
	}
	return readers, followers
}

// versionCount returns how many versions of the engines count for a node.
func (n *testNode) versionCount() int {
	n.streams.mu.Lock()
	defer n.streams.mu.Unlock()
	count, _ := n.streams.registry.Versions(timer.BootClock(), "engines")
	return count
}

// Guards against ORDER: streams that broke off when the process of an engine ended went on in the process of another version that took its place,
// before their hosts knew.
func TestStreamsDoNotGoOnInAProcessThatTookTheirEnginesPlace(t *testing.T) {
	t.Parallel()
	const streams = 60
	s := newVersionSite(t, false, standin.DefaultVersion)
	s.prompt = sessionPrompt
	replaced := s.addReplaceable()
	s.startNodes(3, 156)
	names := s.beginStreams(streams)
	replaced.version.Store(secondVersion)
	replaced.SetVersion(secondVersion)
	replaced.Crash()
	require.NoError(t, replaced.ComeBackAs("i-replaced"))
	wentOn := s.takeUpStreamsAtOnce(names)
	t.Logf("%d of %d streams went on, %d at another version", wentOn, len(names), s.mixed())
	require.LessOrEqual(t, s.mixed(), allowedMixed)
	require.Greater(t, wentOn, len(names)/2)
}
