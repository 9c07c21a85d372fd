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

	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/platform/standin"
)

// sessionPrompt returns the prompt of a request with a last part of the stream's own, that is the same when it is taken up.
func sessionPrompt(requestID string) string {
	name := streamName(requestID)
	shared := fmt.Sprintf("aa%x", name[len(name)-1:])
	return standin.PromptOf([]string{shared}, fmt.Sprintf("5e%x", name))
}

// newSessionSite returns a version site whose streams have prompts of their own.
func newSessionSite(t *testing.T, versions ...string) *versionSite {
	s := newVersionSite(t, false, versions...)
	s.prompt = sessionPrompt
	return s
}

// restartAll ends all nodes and starts as many others, which know nothing of before.
func (s *testSite) restartAll(subnet int) {
	n := len(s.nodes)
	for _, node := range s.nodes {
		node.kill()
	}
	s.nodes = nil
	s.addNodes(n, subnet)
}

func TestStreamsGoOnAfterAllHostsStartedWhileTheirVersionServes(t *testing.T) {
	t.Parallel()
	const streams = 40
	for i, versions := range [][]string{
		{standin.DefaultVersion, secondVersion, standin.DefaultVersion, secondVersion}, {standin.DefaultVersion, standin.DefaultVersion},
	} {
		t.Run(fmt.Sprintf("%d engines", len(versions)), func(t *testing.T) {
			t.Parallel()
			s := newSessionSite(t, versions...)
			s.startNodes(3, 241+2*i)
			names := s.beginStreams(streams)
			s.restartAll(242 + 2*i)
			wentOn := s.takeUpStreams(names)
			t.Logf("%d of %d streams went on, %d at another version", wentOn, len(names), s.mixed())
			require.Greater(t, wentOn, len(names)/2)
			require.LessOrEqual(t, s.mixed(), allowedMixed)
		})
	}
}

func TestStreamsOfAVersionThatLeftBeforeAllHostsStartedDoNotGoOnAtAnother(t *testing.T) {
	t.Parallel()
	const streams = 60
	s := newSessionSite(t, standin.DefaultVersion, secondVersion, standin.DefaultVersion, secondVersion)
	s.startNodes(3, 245)
	names := s.beginStreams(streams)
	for i, e := range s.engines {
		if i%2 == 0 {
			e.Deregister()
			e.Crash()
		}
	}
	s.restartAll(246)
	wentOn := s.takeUpStreams(names)
	t.Logf("%d of %d streams went on, %d at another version", wentOn, len(names), s.mixed())
	require.LessOrEqual(t, s.mixed(), allowedMixed)
}

// takenUpAfterRestart begins streams, starts all nodes anew on another subnet, and takes the streams up again. before is called between the two
// starts. It returns how many streams began and how many went on.
func (s *versionSite) takenUpAfterRestart(streams, subnet int, before func()) (began, wentOn int) {
	s.startNodes(3, subnet)
	names := s.beginStreams(streams)
	before()
	s.restartAll(subnet + 1)
	wentOn = s.takeUpStreamsAtOnce(names)
	s.t.Logf("%d of %d streams went on, %d at another version", wentOn, len(names), s.mixed())
	return len(names), wentOn
}

// requireStreamsGoOnThoughListsTake starts all hosts of a site of 64 engines anew, each of which takes listTime to list its cache.
func requireStreamsGoOnThoughListsTake(t *testing.T, listTime time.Duration, subnet int) {
	const streams, engines = 80, 64
	s := newSessionSite(t, alternatingVersions(engines)...)
	began, wentOn := s.takenUpAfterRestart(streams, subnet, func() {
		for _, e := range s.engines {
			e.BeforeCacheLists(func(*http.Request) { time.Sleep(listTime) })
		}
	})
	require.Equal(t, began, wentOn)
	require.LessOrEqual(t, s.mixed(), allowedMixed)
}

// Guards against LOST: engines that the keeper had not asked in half a second were taken for empty, and their streams were refused.
func TestStreamsGoOnAfterAllHostsStartedThoughManyEnginesListTheirCachesLate(t *testing.T) {
	t.Parallel()
	requireStreamsGoOnThoughListsTake(t, 150*time.Millisecond, 191)
}

// Guards against LOST: lists that take longer than the time limit of the first one came too late for most streams.
func TestStreamsGoOnAfterAllHostsStartedThoughListsOfManyEnginesTakeLong(t *testing.T) {
	t.Parallel()
	requireStreamsGoOnThoughListsTake(t, 600*time.Millisecond, 232)
}

// Guards against LOST: an engine that was silent when the keeper asked for its list was taken for empty, for good.
func TestStreamsGoOnAfterAllHostsStartedWhileOneEngineWasSilent(t *testing.T) {
	t.Parallel()
	const streams, silentLists = 40, 2
	s := newSessionSite(t, standin.DefaultVersion, secondVersion, standin.DefaultVersion, secondVersion)
	var lists atomic.Int64
	began, wentOn := s.takenUpAfterRestart(streams, 193, func() {
		s.engines[0].BeforeCacheLists(func(r *http.Request) {
			if lists.Add(1) <= silentLists {
				<-r.Context().Done()
			}
		})
	})
	require.Equal(t, began, wentOn)
	require.Greater(t, lists.Load(), int64(silentLists))
	require.LessOrEqual(t, s.mixed(), allowedMixed)
}

// Guards against LOST: an engine of each version that never listed its cache kept the streams of all others from going on.
func TestStreamsGoOnAfterAllHostsStartedThoughAnEngineOfEachVersionNeverLists(t *testing.T) {
	t.Parallel()
	const streams, engines, silent = 60, 12, 2
	s := newSessionSite(t, alternatingVersions(engines)...)
	begunAtSilent := 0
	began, wentOn := s.takenUpAfterRestart(streams, 228, func() {
		for _, e := range s.engines[:silent] {
			begunAtSilent += e.RunCount()
			e.BeforeCacheLists(func(r *http.Request) { <-r.Context().Done() })
		}
	})
	require.Less(t, begunAtSilent, began/2)
	require.GreaterOrEqual(t, wentOn, began-begunAtSilent)
	require.LessOrEqual(t, s.mixed(), allowedMixed)
}

// alternatingVersions returns the versions of n engines, by turns.
func alternatingVersions(n int) []string {
	versions := make([]string, n)
	for i := range versions {
		versions[i] = []string{standin.DefaultVersion, secondVersion}[i%2]
	}
	return versions
}

// beginStreams begins n streams at the nodes in turn and returns the names of those that began.
func (s *versionSite) beginStreams(n int) []string {
	var names []string
	for i := range n {
		if name := fmt.Sprintf("s-%d", i); s.begin(s.nodes[i%len(s.nodes)], name) {
			names = append(names, name)
		}
	}
	return names
}

// takeUpStreams takes streams up at the nodes in turn, as their callers do: again after a refusal, three times in all. It returns how many
// went on.
func (s *versionSite) takeUpStreams(names []string) int {
	wentOn := 0
	for i, name := range names {
		if s.takeUpAgain(s.nodes[i%len(s.nodes)], name) {
			wentOn++
		}
	}
	return wentOn
}

// takeUpStreamsAtOnce does the same for all streams at the same time.
func (s *versionSite) takeUpStreamsAtOnce(names []string) int {
	var wentOn atomic.Int64
	var wg sync.WaitGroup
	for i, name := range names {
		wg.Go(func() {
			if s.takeUpAgain(s.nodes[i%len(s.nodes)], name) {
				wentOn.Add(1)
			}
		})
	}
	wg.Wait()
	return int(wentOn.Load())
}

// takeUpAgain takes a stream up until it goes on, three times at most.
func (s *versionSite) takeUpAgain(n *testNode, name string) bool {
	for range 3 {
		if s.takeUp(n, name) == http.StatusOK {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// The last part of each prompt belongs to a session, whose earlier turn, with a shorter prompt, ran at an engine of the other version.
func TestStreamOfASessionDoesNotGoOnAtTheVersionOfItsEarlierTurn(t *testing.T) {
	t.Parallel()
	const streams, earlierTurn = 40, ":60"
	s := newSessionSite(t, standin.DefaultVersion, secondVersion)
	s.startNodes(3, 247)
	var atSecond, parts []string
	for _, name := range s.beginStreams(streams) {
		if s.began[name] == secondVersion {
			atSecond = append(atSecond, name)
			_, last, _ := strings.Cut(sessionPrompt(name), ",")
			part, _, _ := strings.Cut(last, ":")
			parts = append(parts, part+earlierTurn)
		}
	}
	require.Greater(t, len(atSecond), allowedMixed)
	s.engines[0].SetCachedParts(parts...)
	s.engines[1].Deregister()
	s.engines[1].Crash()
	s.restartAll(248)
	wentOn := s.takeUpStreams(atSecond)
	t.Logf("%d of %d streams went on, %d at another version", wentOn, len(atSecond), s.mixed())
	require.LessOrEqual(t, s.mixed(), allowedMixed)
}

// Guards against ORDER: two requests of each session ran at engines of two versions. After a start of all hosts, when the engines of the old version had left, all
// its streams went on at the new one, whose engines cached the sessions' parts too.
func TestStreamsDoNotGoOnAtTheVersionOfAnotherRequestOfTheirSession(t *testing.T) {
	t.Parallel()
	const sessions = 12
	s := newSessionSite(t, standin.DefaultVersion, standin.DefaultVersion)
	s.prompt = func(requestID string) string {
		_, session, _ := strings.Cut(streamName(requestID), "-")
		return standin.PromptOf([]string{"aa1"}, "5e"+session)
	}
	s.startNodes(3, 64)
	atOld := s.beginStreams(sessions)
	var replaced []*standin.Endpoint
	replaced, s.engines = s.engines, nil
	for i, old := range replaced {
		e := s.addEndpoint(fmt.Sprintf("j-%d", i), "engines", func(w http.ResponseWriter, r *http.Request) { s.answer(w, r, secondVersion) })
		e.CachePrompts()
		e.RegisterVersion(secondVersion)
		old.RegisterDraining()
	}
	for _, n := range s.nodes {
		require.Eventually(t, func() bool {
			return n.knowsEndpoint("j-0") && n.knowsEndpoint("j-1") && n.leaves("i-0") && n.leaves("i-1")
		}, time.Minute, time.Millisecond)
	}
	for i := range sessions {
		require.True(t, s.begin(s.nodes[i%len(s.nodes)], fmt.Sprintf("new-%d", i)))
	}
	s.restartAll(65)
	require.Zero(t, s.takeUpStreams(atOld), "both versions cache the part of each session")
	for _, old := range replaced {
		old.Deregister()
		old.Crash()
	}
	for _, n := range s.nodes {
		require.Eventually(t, func() bool { return !n.knowsEndpoint("i-0") && !n.knowsEndpoint("i-1") }, time.Minute, time.Millisecond)
	}
	wentOn := s.takeUpStreams(atOld)
	t.Logf("%d of %d streams went on, %d at another version", wentOn, len(atOld), s.mixed())
	require.LessOrEqual(t, s.mixed(), allowedMixed)
}

// leaves reports whether an endpoint is registered and gets no new requests from the node.
func (n *testNode) leaves(id string) bool {
	instance, registered := n.slots.registeredInstance(endpoint.ID(id))
	return registered && !n.slots.usable(instance)
}
