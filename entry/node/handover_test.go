package node

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/pool"
)

// handover is an address at which one process listens after another, while the earlier ones go on with their connections. All pass what comes on
// to one endpoint.
type handover struct {
	listener net.Listener

	mu sync.Mutex
	// processes holds the connections of each process, in the order of their starts.
	processes [][]net.Conn
}

func startHandover(t *testing.T, target string) *handover {
	h := &handover{processes: make([][]net.Conn, 1)}
	t.Cleanup(func() {
		for i := range h.processes {
			h.end(i)
		}
	})
	h.listener = listenThrough(t, target, func(caller, server net.Conn) {
		h.mu.Lock()
		newest := len(h.processes) - 1
		h.processes[newest] = append(h.processes[newest], caller)
		h.mu.Unlock()
		go pipe(server, caller)
		go pipe(caller, server)
	})
	return h
}

// pipe copies what comes from one connection to another and passes its end on.
func pipe(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
}

// next lets another process take the connections from now on.
func (h *handover) next() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.processes = append(h.processes, nil)
}

// end ends the connections of a process in order.
func (h *handover) end(process int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, conn := range h.processes[process] {
		_ = conn.Close()
	}
}

// awaitStart waits until a node knows the registration of the service's only endpoint with a start time.
func (n *testNode) awaitStart(t *testing.T, startedAt int64) {
	require.Eventually(t, func() bool {
		n.slots.mu.Lock()
		defer n.slots.mu.Unlock()
		candidates := n.slots.keeper.Candidates(pool.SlotRequested{Service: "engines"})
		return len(candidates) == 1 && candidates[0].StartedAt == startedAt
	}, time.Minute, time.Millisecond)
}

// Guards against ORDER: the guard of an answer led to the process before the registered one. That process went on beside the one that wrote the
// answer, so that the end of the latter made the answer look complete.
func TestCutAnswerOfARegisteredProcessDoesNotLookCompleteBecauseTheOneBeforeGoesOn(t *testing.T) {
	t.Parallel()
	s := newUnframedSite(t, 1, "engines")
	e := s.endpoints[0]
	h := startHandover(t, e.Listener.Addr().String())
	e.RegisterAt(h.listener.Addr().String())
	s.startNodes(1, 217)
	whole, _ := s.send("/draft/x", 1)
	require.Equal(t, 1, whole)
	h.next()
	s.nodes[0].awaitStart(t, e.RestartAndRegister())
	s.awaitHalfwayAgain()
	go func() {
		<-s.halfway
		h.end(1)
	}()
	_, truncated := s.send("/draft/x", 2)
	require.Zero(t, truncated)
	require.Equal(t, 2, s.endsTakenFor("broken off")+s.endsTakenFor("unconfirmed"), "an answer was not cut")
}
