package node

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/balsamknot/event"
)

// openConnections makes the first host keep an open connection to each endpoint.
func (s *cutOffSite) openConnections() {
	for i := range 12 {
		s.served(s.nodes[0], i, fmt.Sprintf("open-%d", i))
	}
}

// Guards against requests that wait for their deadlines: one goes out over an open connection just as its path falls silent, and no other shows the loss.
func TestRequestSentAsItsPathFallsSilentIsServedElsewhere(t *testing.T) {
	t.Parallel()
	s := newCutOffSite(t, 3, 219)
	s.openConnections()
	s.nodes[0].links.cut(cutSilent)
	require.True(t, s.served(s.nodes[0], 0, "sent-as-it-fell-silent"))
}

func TestRequestThatWaitsAsItsPathFallsSilentIsServedElsewhere(t *testing.T) {
	t.Parallel()
	s := newCutOffSite(t, 3, 189)
	s.openConnections()
	s.hold = make(chan struct{})
	served := make(chan bool, 1)
	go func() { served <- s.served(s.nodes[0], 0, "waits") }()
	require.Eventually(t, func() bool { return s.held.Load() == 1 }, time.Minute, time.Millisecond)
	s.nodes[0].links.cut(cutSilent)
	close(s.hold)
	require.True(t, <-served)
}

func TestNonIdempotentRequestOverAPathThatFallsSilentRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	s := newCutOffSite(t, 3, 190)
	s.openConnections()
	s.hold = make(chan struct{})
	status := make(chan int, 1)
	go func() { status <- s.statusOf(s.nodes[0], "/once/x", "waits") }()
	require.Eventually(t, func() bool { return s.held.Load() == 1 }, time.Minute, time.Millisecond)
	s.nodes[0].links.cut(cutSilent)
	close(s.hold)
	require.Equal(t, http.StatusBadGateway, <-status, "it may have run")
	require.Equal(t, 1, s.runs["waits"])
}

// The connection of a request whose endpoint is silent, over a path that is there, is not cut: its endpoint's system acknowledges.
func TestRequestsThatWaitLongOverSoundPathsAreNotCut(t *testing.T) {
	t.Parallel()
	s := newCutOffSite(t, 3, 191)
	s.openConnections()
	s.hold = make(chan struct{})
	var wg sync.WaitGroup
	results := make([]bool, 6)
	for i := range results {
		wg.Go(func() { results[i] = s.served(s.nodes[0], i, fmt.Sprintf("long-%d", i)) })
	}
	require.Eventually(t, func() bool { return s.held.Load() == int64(len(results)) }, time.Minute, time.Millisecond)
	time.Sleep(silentPathLimits.KeepAlive + silentProbes)
	close(s.hold)
	wg.Wait()
	for i, served := range results {
		require.True(t, served, "request %d", i)
	}
	require.Zero(t, s.left.Load())
	require.False(t, s.nodes[0].log.contains(`"Event":"`+event.PathLost.String()+`"`))
}
