package node

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/platform/standin"
)

// absence is how long a pool of the users' stays away after its end; it exceeds stableTime.
const absence = 3600 * time.Millisecond

// atOneMoment makes the first n endpoints end together: each waits until the request has reached all of them.
func atOneMoment(n int, end ending) ending {
	return func(s *poisonSite, e *standin.Endpoint, w http.ResponseWriter) {
		for s.crashes.Load() == 0 && s.endedCount() < n {
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
