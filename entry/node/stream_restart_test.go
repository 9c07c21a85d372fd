package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/platform/standin"
)

// sessionPrompt returns the prompt of a stream, with a last part of its own, that is the same when it is taken up.
func sessionPrompt(name string) string {
	shared := fmt.Sprintf("aa%x", name[len(name)-1:])
	return standin.PromptOf([]string{shared}, fmt.Sprintf("5e%x", name))
}

// beginStream reads the first event of a stream with its own prompt at a node and leaves; it returns false if there is none.
func (s *versionSite) beginStream(n *testNode, name string) bool {
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	r := standin.NewCall(n.cfg.CallerAddress, http.MethodPost, "/stream/x", name+"/1", "k1", nil).WithContext(ctx)
	r.Header.Set(standin.PromptPartsHeader, sessionPrompt(name))
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	line, err := bufio.NewReader(response.Body).ReadString('\n')
	return err == nil && response.StatusCode == http.StatusOK && line == "id: 1\n"
}

// takeUpStream takes a stream up with its own prompt at a node and returns the status; 0 if the connection broke.
func (s *versionSite) takeUpStream(n *testNode, name string) int {
	r := standin.NewCall(n.cfg.CallerAddress, http.MethodPost, "/stream/x", name+"/2", "k1", nil)
	r.Header.Set(standin.PromptPartsHeader, sessionPrompt(name))
	r.Header.Set(standin.LastEventIDHeader, "1")
	r.Header.Set(standin.ResumesHeader, name+"/1")
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
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
			s := newVersionSite(t, false, versions...)
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
	s := newVersionSite(t, false, standin.DefaultVersion, secondVersion, standin.DefaultVersion, secondVersion)
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

// beginStreams begins n streams at the nodes in turn and returns the names of those that began.
func (s *versionSite) beginStreams(n int) []string {
	var names []string
	for i := range n {
		if name := fmt.Sprintf("s-%d", i); s.beginStream(s.nodes[i%len(s.nodes)], name) {
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
		for range 3 {
			if s.takeUpStream(s.nodes[i%len(s.nodes)], name) == http.StatusOK {
				wentOn++
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return wentOn
}

// The last part of each prompt belongs to a session, whose earlier turn, with a shorter prompt, ran at an engine of the other version.
func TestStreamOfASessionDoesNotGoOnAtTheVersionOfItsEarlierTurn(t *testing.T) {
	t.Parallel()
	const streams, earlierTurn = 40, ":60"
	s := newVersionSite(t, false, standin.DefaultVersion, secondVersion)
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
