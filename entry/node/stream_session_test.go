package node

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/platform/standin"
)

const (
	// callerTime is the time of a caller for a whole stream, the timeout of its route, and olderBy by how much the first stream of a session is older
	// than the second one.
	callerTime = 15 * time.Second
	olderBy    = 2 * time.Second
)

// twoVersionSessions is a site on which a stream of each session began at engines of the default version, and another one at those of secondVersion.
type twoVersionSessions struct {
	*versionSite
	old, new []*standin.Endpoint
	// older and newer hold the first and the second stream of each session.
	older, newer []string
}

func newTwoVersionSessions(t *testing.T, sessions, subnet int) *twoVersionSessions {
	s := &twoVersionSessions{versionSite: newSessionSite(t, standin.DefaultVersion, standin.DefaultVersion)}
	s.store.PublishWithTimeout(2, callerTime, "k1")
	s.prompt = func(requestID string) string {
		_, session, _ := strings.Cut(streamName(requestID), "-")
		return standin.PromptOf([]string{"aa1"}, "5e"+session)
	}
	s.startNodes(3, subnet)
	s.old, s.engines = s.engines, nil
	s.older = s.beginAll("older", sessions)
	for i, old := range s.old {
		e := s.addEndpoint(fmt.Sprintf("j-%d", i), "engines", func(w http.ResponseWriter, r *http.Request) { s.answer(w, r, secondVersion) })
		e.CachePrompts()
		e.RegisterVersion(secondVersion)
		old.RegisterDraining()
		s.new = append(s.new, e)
	}
	for _, n := range s.nodes {
		require.Eventually(t, func() bool {
			return n.knowsEndpoint("j-0") && n.knowsEndpoint("j-1") && n.leaves("i-0") && n.leaves("i-1")
		}, time.Minute, time.Millisecond)
	}
	s.newer = s.beginAll("newer", sessions)
	return s
}

func (s *twoVersionSessions) beginAll(kind string, sessions int) []string {
	var names []string
	for i := range sessions {
		name := fmt.Sprintf("%s-%d", kind, i)
		require.True(s.t, s.begin(s.nodes[i%len(s.nodes)], name))
		names = append(names, name)
	}
	return names
}

// takeUpAll takes streams up at the same time, as callers with timeLeft do: again after a refusal, five times in all. It returns how many went on.
func (s *twoVersionSessions) takeUpAll(wg *sync.WaitGroup, names []string, timeLeft time.Duration) *atomic.Int64 {
	var wentOn atomic.Int64
	for i, name := range names {
		wg.Go(func() {
			for range 5 {
				if s.takeUpWith(s.nodes[i%len(s.nodes)], name, timeLeft) == http.StatusOK {
					wentOn.Add(1)
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	return &wentOn
}

// takeUpBoth takes the older and the newer streams up at the same time and returns how many of each went on.
func (s *twoVersionSessions) takeUpBoth() (older, newer int64) {
	const newerTimeLeft = callerTime - 2*time.Second
	var wg sync.WaitGroup
	a, b := s.takeUpAll(&wg, s.older, newerTimeLeft-olderBy), s.takeUpAll(&wg, s.newer, newerTimeLeft)
	wg.Wait()
	s.t.Logf("%d older and %d newer streams went on, %d at another version", a.Load(), b.Load(), s.mixed())
	return a.Load(), b.Load()
}

// Guards against ORDER, review/12: engines of the old version left while no host ran, and its streams went on at the version of the other streams of their
// sessions.
func TestStreamsOfAVersionThatLeftWhileNoHostRanDoNotGoOnAtTheOtherOneOfTheirSession(t *testing.T) {
	t.Parallel()
	const sessions = 12
	s := newTwoVersionSessions(t, sessions, 66)
	for _, n := range s.nodes {
		n.kill()
	}
	for _, e := range s.old {
		e.Deregister()
		e.Crash()
	}
	s.restartAll(67)
	older, newer := s.takeUpBoth()
	require.LessOrEqual(t, s.mixed(), allowedMixed)
	require.Zero(t, older, "no engine of their version is left")
	require.Greater(t, newer, int64(sessions/2), "those of the version that is left go on")
}

// Guards against LOST, review/13: streams of sessions that ran at two versions were refused after a start of all hosts, although both versions served.
func TestStreamsGoOnAfterAllHostsStartedThoughTheirSessionsRanAtBothVersions(t *testing.T) {
	t.Parallel()
	const sessions = 12
	s := newTwoVersionSessions(t, sessions, 68)
	for _, e := range s.old {
		e.RegisterReady()
	}
	s.restartAll(69)
	older, newer := s.takeUpBoth()
	require.LessOrEqual(t, s.mixed(), allowedMixed)
	require.Greater(t, older, int64(sessions/2))
	require.Greater(t, newer, int64(sessions/2))
}
