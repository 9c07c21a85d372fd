package node

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/fingerprint"
	"balsamknot.org/fleet/timer"
	"balsamknot.org/platform/standin"
)

// absence is how long a pool of the users' stays away after its end; it exceeds stableTime.
const absence = 3600 * time.Millisecond

// atOneMoment makes the first n endpoints end together: each waits until the request has reached all of them.
func atOneMoment(n int64, end ending) ending {
	return func(s *poisonSite, e *standin.Endpoint, w http.ResponseWriter) {
		for s.crashes.Load() < n {
			time.Sleep(time.Millisecond)
		}
		end(s, e, w)
	}
}

func TestRequestThatEndsAWholePoolAtOneMomentDoesNotEndItAgain(t *testing.T) {
	t.Parallel()
	const endpoints, gap, observed = 6, 100 * time.Millisecond, 12 * time.Second
	base := poisonCase{method: http.MethodPost, path: "/once/x", service: "plain", body: poison, hosts: 4, keys: []string{"k1"}}
	subnet := 110
	for name, change := range map[string]func(*poisonCase){
		"back under other IDs":       func(c *poisonCase) { c.end = returnsAsAnother(absence) },
		"back under the same IDs":    func(c *poisonCase) { c.end = returns(absence) },
		"an idempotent request":      func(c *poisonCase) { c.end, c.path = returnsAsAnother(absence), "/again/x" },
		"hosts that start meanwhile": func(c *poisonCase) { c.end, c.newHostsAfter = returnsAsAnother(absence), 2 },
	} {
		subnet++
		ownSubnet := subnet
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := base
			change(&c)
			c.end = atOneMoment(endpoints, c.end)
			s := newPoisonSite(t, c, endpoints)
			s.startNodes(c.hosts, ownSubnet)
			var wg sync.WaitGroup
			defer wg.Wait()
			copies := 0
			postToEach := func() {
				for _, n := range append(s.nodes, s.nodes...) {
					copies++
					id := fmt.Sprintf("poison-%d", copies)
					wg.Go(func() { n.post(c.path, id, poison) })
				}
			}
			postToEach()
			if c.newHostsAfter > 0 {
				s.addNodes(c.newHostsAfter, ownSubnet)
			}
			for start := time.Now(); time.Since(start) < observed; time.Sleep(gap) {
				postToEach()
			}
			s.logCrashEvents()
			s.logTimes()
			require.GreaterOrEqual(t, s.crashes.Load(), int64(crashesToBlock))
			require.LessOrEqual(t, s.lateRuns(crashesToBlock), allowedRetries, "%d endpoints ended in all", s.crashes.Load())
		})
	}
}

// A machine fails with the whole pool, while copies of an innocent request run on each endpoint.
func TestRequestThatRanOnAPoolThatFailedIsServedAgain(t *testing.T) {
	t.Parallel()
	const endpoints = 4
	s := newSite(t)
	s.store.Publish(1, "k1")
	var running atomic.Int64
	var pool []*standin.Endpoint
	for i := range endpoints {
		pool = append(pool, s.addEndpoint(fmt.Sprintf("i-%d", i), "plain", func(w http.ResponseWriter, _ *http.Request) {
			running.Add(1)
			defer running.Add(-1)
			time.Sleep(slowTime)
			_, _ = io.WriteString(w, "answer")
		}))
	}
	s.startNodes(3, 116)
	fp := fingerprint.Of(standin.Host+" "+standin.Workspace, http.MethodPost, "/again/x", []byte("innocent"))
	var wg sync.WaitGroup
	var ids []string
	post := func(n *testNode) {
		id := fmt.Sprintf("innocent-%d", len(ids))
		ids = append(ids, id)
		wg.Go(func() { n.post("/again/x", id, []byte("innocent")) })
	}
	for running.Load() < 2*endpoints {
		post(s.nodes[len(ids)%len(s.nodes)])
		time.Sleep(5 * time.Millisecond)
	}
	for _, e := range pool {
		wg.Go(e.Crash)
	}
	wg.Wait()
	for _, n := range s.nodes {
		require.Eventually(t, func() bool { return n.isLimited(fp) }, time.Minute, time.Millisecond, "%s", n.cfg.Host)
	}
	for _, e := range pool {
		require.NoError(t, e.ComeBackAs(e.ID))
	}
	for _, n := range s.nodes {
		require.Eventually(t, func() bool {
			return n.post("/again/x", "again-"+string(n.cfg.Host), []byte("innocent")) == http.StatusOK
		},
			time.Minute, 50*time.Millisecond, "%s", n.cfg.Host)
		require.Eventually(t, func() bool { return n.recordedCrashes(fp) == 0 }, time.Minute, time.Millisecond, "%s", n.cfg.Host)
	}
	require.Empty(t, s.blockedIDs(ids))
}

// isLimited reports whether copies of a request run one after another.
func (n *testNode) isLimited(fp fingerprint.Fingerprint) bool {
	n.crashes.mu.Lock()
	defer n.crashes.mu.Unlock()
	return n.crashes.registry.Limited(timer.BootClock(), fp)
}
