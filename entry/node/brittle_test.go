package node

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/platform/standin"
)

const (
	// fallsAllowed is how often four endpoints may fall in one time in which they are brittle: the users' bound of two, and a tenth of
	// their number.
	fallsAllowed = 2
	// turnedAwayAllowed is the number that the endpoints of these tests state: one that turns more requests away in a second falls.
	turnedAwayAllowed = 3
	// workTime is how long an endpoint of these tests runs a request.
	workTime = 30 * time.Millisecond
)

// brittleEndpoint is an endpoint that runs as many requests at a time as it has slots, turns all others away, and falls for a second if it
// turns too many away.
type brittleEndpoint struct {
	*standin.Endpoint

	mu sync.Mutex
	// stating is true while it says that it is brittle, and enforcing from stableTime later, when it falls.
	stating, enforcing bool
	running            int
	turnedAway         []time.Time
	downUntil          time.Time
	falls              int
}

func (e *brittleEndpoint) answer(w http.ResponseWriter, r *http.Request) {
	if !e.begin(time.Now(), w) {
		standin.RejectNotRun(w, r)
		return
	}
	time.Sleep(workTime)
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
	_, _ = io.WriteString(w, "answer")
}

// begin reports whether the endpoint runs a request.
func (e *brittleEndpoint) begin(now time.Time, w http.ResponseWriter) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Before(e.downUntil) {
		panic(http.ErrAbortHandler)
	}
	if e.stating {
		w.Header().Set(standin.BrittleHeader, strconv.Itoa(turnedAwayAllowed))
	}
	if e.running < standin.Slots {
		e.running++
		return true
	}
	e.turnedAway = append(e.turnedAway, now)
	for now.Sub(e.turnedAway[0]) > time.Second {
		e.turnedAway = e.turnedAway[1:]
	}
	if e.enforcing && len(e.turnedAway) > turnedAwayAllowed {
		e.falls++
		e.turnedAway, e.downUntil = nil, now.Add(time.Second)
	}
	return false
}

// isolate ends the messages between the hosts, as a partition does.
func (s *testSite) isolate() {
	for _, n := range s.nodes {
		_ = n.membership.socket.Close()
	}
}

func TestBrittleEndpointsDoNotFall(t *testing.T) {
	t.Parallel()
	for i, c := range []struct {
		name  string
		hosts int
		alone bool
	}{{"hosts in touch", 4, false}, {"hosts that decide alone", 4, true}, {"more hosts alone than slots", standin.Slots + 2, true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.store.Publish(1, "k1")
			var endpoints []*brittleEndpoint
			for j := range 4 {
				e := &brittleEndpoint{}
				e.Endpoint = s.addEndpoint(fmt.Sprintf("i-%d", j), "plain", e.answer)
				endpoints = append(endpoints, e)
			}
			s.startNodes(c.hosts, 231+i)
			s.load(1, 200*time.Millisecond)
			if c.alone {
				s.isolate()
				for _, n := range s.nodes {
					require.Eventually(t, func() bool { return n.membership.liveCount() == 1 }, time.Minute, 5*time.Millisecond)
				}
			}
			for _, e := range endpoints {
				e.mu.Lock()
				e.stating = true
				e.mu.Unlock()
			}
			s.load(8, stableTime)
			for _, e := range endpoints {
				e.mu.Lock()
				e.enforcing = true
				e.mu.Unlock()
			}
			o := s.load(8, 5*time.Second)
			falls := 0
			for _, e := range endpoints {
				falls += e.falls
			}
			t.Logf("%d falls, answers by status: %v", falls, o.byStatus)
			require.LessOrEqual(t, falls, fallsAllowed)
			require.Greater(t, o.byStatus[http.StatusOK], 500, "the endpoints can serve some 2,000")
		})
	}
}
