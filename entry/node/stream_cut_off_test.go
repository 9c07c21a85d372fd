package node

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/platform/standin"
)

// cutOff cuts a node off from the store and the other nodes, at once and without an answer.
func (n *testNode) cutOff() {
	n.storeFrontend.Stall()
	n.storeFrontend.CloseClientConnections()
	_ = n.membership.socket.Close()
}

// newLongRunningSite returns a site whose nodes look as if they had run for long and had seen one version.
func newLongRunningSite(t *testing.T, hosts, subnet int) *versionSite {
	s := newSessionSite(t, standin.DefaultVersion, standin.DefaultVersion)
	s.startNodes(hosts, subnet)
	for _, n := range s.nodes {
		n.haveRunForLifetime()
	}
	return s
}

// Guards against ORDER: a host that nobody answered took the only version it had seen for the stream's. Engines of another version register after a host was cut off, and streams begin there at another host.
func TestCutOffHostDoesNotJoinStreamsOfAVersionItHasNotSeen(t *testing.T) {
	t.Parallel()
	const streams = 20
	s := newLongRunningSite(t, 2, 155)
	cut := s.nodes[1]
	cut.cutOff()
	for i := range 2 {
		s.addEndpoint(fmt.Sprintf("j-%d", i), "engines", func(w http.ResponseWriter, r *http.Request) { s.answer(w, r, secondVersion) }).RegisterVersion(secondVersion)
	}
	require.Eventually(t, func() bool { return s.nodes[0].knowsEndpoint("j-1") }, time.Minute, time.Millisecond)
	var names []string
	for i := range streams {
		if name := fmt.Sprintf("s-%d", i); s.begin(s.nodes[0], name) {
			names = append(names, name)
		}
	}
	require.Greater(t, len(names), streams/2)
	s.nodes[0].kill()
	wentOn := 0
	for _, name := range names {
		if s.takeUp(cut, name) == http.StatusOK {
			wentOn++
		}
	}
	t.Logf("%d of %d streams went on, %d at another version", wentOn, len(names), s.mixed())
	require.LessOrEqual(t, s.mixed(), allowedMixed)
}

func TestCutOffHostThatDoesNotKnowTheVersionOfAStreamSaysWhenToTryAgain(t *testing.T) {
	t.Parallel()
	s := newLongRunningSite(t, 2, 156)
	s.nodes[1].cutOff()
	r := standin.NewCall(s.nodes[1].cfg.CallerAddress, http.MethodPost, "/stream/x", "unknown/2", "k1", nil)
	r.Header.Set(standin.PromptPartsHeader, s.prompt("unknown/2"))
	r.Header.Set(standin.LastEventIDHeader, "1")
	r.Header.Set(standin.ResumesHeader, "unknown/1")
	response := roundTrip(t, r)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get(standin.RetryAfterHeader))
	require.Empty(t, s.wentOn)
}

// No other host is left to ask, no engine caches the prompts, and the store answers.
func TestStreamsGoOnAtTheOnlyHostLeftWhileItReadsTheStore(t *testing.T) {
	t.Parallel()
	const streams = 10
	s := newLongRunningSite(t, 2, 157)
	names := make([]string, streams)
	for i := range names {
		names[i] = fmt.Sprintf("s-%d", i)
		require.True(t, s.begin(s.nodes[0], names[i]))
	}
	for _, e := range s.engines {
		e.SetCachedParts()
	}
	s.nodes[0].kill()
	wentOn := 0
	for _, name := range names {
		if s.takeUp(s.nodes[1], name) == http.StatusOK {
			wentOn++
		}
	}
	require.Greater(t, wentOn, streams/2)
}

// However many hosts there are, the hosts that do not reply are fewer than the replicas.
func TestQuorumOfRepliesHasAReplica(t *testing.T) {
	t.Parallel()
	require.Zero(t, originQuorum(0), "a host that is alone")
	for others := 1; others < 4*streamQueries; others++ {
		asked, replicas := min(others, streamQueries), min(others, streamReplicas)
		quorum := originQuorum(others)
		require.Positive(t, quorum)
		require.LessOrEqual(t, quorum, asked)
		require.Less(t, asked-quorum, replicas, "%d others", others)
	}
}
