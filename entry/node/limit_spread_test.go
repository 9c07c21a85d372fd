package node

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/site"
	"balsamknot.org/platform/standin"
)

// limitOf returns the limit of an endpoint as a node knows it.
func (n *testNode) limitOf(service, id string) endpoint.Limit {
	n.slots.mu.Lock()
	defer n.slots.mu.Unlock()
	return n.slots.keeper.Limit(site.ServiceName(service), endpoint.Instance{ID: endpoint.ID(id), StartedAt: 1})
}

func TestLimitIsKnownOnAllHostsUntilTheFirstAnswerWithoutIt(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.store.Publish(1, "k1")
	var limit atomic.Value
	limit.Store("3.5")
	s.addEndpoint("i-a", "plain", func(w http.ResponseWriter, _ *http.Request) {
		if stated := limit.Load().(string); stated != "" {
			w.Header().Set(standin.LimitHeader, stated)
		}
		_, _ = w.Write([]byte("answer"))
	})
	s.startNodes(3, 160)
	sent := 0
	call := func(n *testNode) *http.Response {
		sent++
		return n.call(t, http.MethodPost, "/again/x", fmt.Sprintf("id-%d", sent), "k1")
	}
	response := call(s.nodes[0])
	require.Empty(t, response.Header.Get(standin.LimitHeader), "callers do not get it")
	stated := endpoint.Limit{State: endpoint.Limited, PerSecond: 3.5}
	requireKnown := func(want endpoint.Limit) {
		for _, n := range s.nodes {
			require.Eventually(t, func() bool { return n.limitOf("plain", "i-a") == want }, time.Minute, time.Millisecond, "%s", n.cfg.Host)
		}
	}
	requireKnown(stated)
	s.addNodes(1, 160)
	requireKnown(stated)
	limit.Store("")
	require.Eventually(t, func() bool { return call(s.nodes[1]).StatusCode == http.StatusOK }, time.Minute, 50*time.Millisecond)
	requireKnown(endpoint.Limit{})
}

func TestAnswerOfAnotherEndpointDoesNotEndALimit(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.store.Publish(1, "k1")
	e := s.addEndpoint("i-a", "plain", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(standin.LimitHeader, "50") })
	s.startNodes(1, 161)
	n := s.nodes[0]
	require.Equal(t, http.StatusOK, n.call(t, http.MethodPost, "/again/x", "id-1", "k1").StatusCode)
	stated := endpoint.Limit{State: endpoint.Limited, PerSecond: 50}
	require.Equal(t, stated, n.limitOf("plain", "i-a"))
	e.Rename("i-b")
	require.Equal(t, http.StatusServiceUnavailable, n.call(t, http.MethodPost, "/again/x", "id-2", "k1").StatusCode)
	require.Equal(t, stated, n.limitOf("plain", "i-a"))
}
