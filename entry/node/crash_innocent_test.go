package node

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/platform/standin"
)

// innocent is a request that is sent again and again beside one that crashes endpoints.
type innocent struct {
	method, path string
	// body returns the body of the n-th copy.
	body func(n int) string
	// gap is the time between two copies, which do not wait for each other.
	gap time.Duration
}

func sameBody(text string) func(int) string { return func(int) string { return text } }

// slowBody is the body of requests that take slowTime.
const (
	slowBody = "slow"
	slowTime = 300 * time.Millisecond
)

// send sends copies through the nodes in turn until stop is closed, and returns their IDs.
func (in innocent) send(name string, nodes []*testNode, stop chan struct{}) []string {
	var ids []string
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return ids
		case <-time.After(in.gap):
		}
		id := fmt.Sprintf("%s-%d", name, n)
		ids = append(ids, id)
		wg.Go(func() {
			body := bytes.NewReader([]byte(in.body(n)))
			r := standin.NewCall(nodes[n%len(nodes)].cfg.CallerAddress, in.method, in.path, id, "k1", body)
			if response, err := http.DefaultTransport.RoundTrip(r); err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		})
	}
}

// blockedIDs returns those of the requests that a host refused because they crashed endpoints.
func (s *testSite) blockedIDs(ids []string) []string {
	var blocked []string
	for _, id := range ids {
		for _, n := range s.nodes {
			for _, line := range n.log.linesOf(id) {
				if strings.Contains(line, "request blocked") {
					blocked = append(blocked, id)
				}
			}
		}
	}
	return blocked
}

// Endpoints crash under one request while others run beside it: none of those may be blocked, and the one must be.
func TestRequestsBesideOneThatCrashesEndpointsAreNotBlocked(t *testing.T) {
	t.Parallel()
	innocents := map[string]innocent{
		"often":   {http.MethodPost, "/again/x", sameBody("often"), 10 * time.Millisecond},
		"slow":    {http.MethodPost, "/again/x", sameBody(slowBody), 60 * time.Millisecond},
		"rare":    {http.MethodPost, "/again/x", sameBody("rare"), 700 * time.Millisecond},
		"once":    {http.MethodPost, "/once/x", sameBody("once"), 50 * time.Millisecond},
		"no-body": {http.MethodGet, "/again/x", sameBody(""), 20 * time.Millisecond},
		"unique":  {http.MethodPost, "/once/x", func(n int) string { return fmt.Sprint(n) }, 20 * time.Millisecond},
	}
	for i, c := range []poisonCase{
		{method: http.MethodPost, path: "/once/x", service: "plain", body: poison, hosts: 3, keys: []string{"k1"}, end: returns(time.Second)},
		{method: http.MethodGet, path: "/again/poison", service: "plain", hosts: 3, keys: []string{"k1"}, end: returns(time.Second)},
	} {
		t.Run(c.method, func(t *testing.T) {
			t.Parallel()
			s := newPoisonSite(t, c, 6)
			s.startNodes(c.hosts, 60+i)
			stop := make(chan struct{})
			var mu sync.Mutex
			sent := map[string][]string{}
			var wg sync.WaitGroup
			for name, in := range innocents {
				wg.Go(func() {
					ids := in.send(name, s.nodes, stop)
					mu.Lock()
					defer mu.Unlock()
					sent[name] = ids
				})
			}
			for n := range 20 {
				s.send(c, s.nodes[n%len(s.nodes)])
				time.Sleep(sendGap / 2)
			}
			close(stop)
			wg.Wait()
			s.logCrashEvents()
			for name, ids := range sent {
				t.Logf("%s: %d sent, %d blocked", name, len(ids), len(s.blockedIDs(ids)))
			}
			for name, ids := range sent {
				require.Empty(t, s.blockedIDs(ids), name)
			}
			require.LessOrEqual(t, s.runs.Load(), int64(crashesToBlock+allowedRetries))
			require.NotZero(t, s.runs.Load())
		})
	}
}

// A request takes longer than an endpoint that ended is silent, and nothing else is answered meanwhile. Once a copy of it was answered
// through each host, the hosts know that it is slow.
func TestSlowRequestIsServedWhileItsEndpointsSendNothing(t *testing.T) {
	t.Parallel()
	const answerTime, copies = 1700 * time.Millisecond, 12
	s := newSite(t)
	s.store.Publish(1, "k1")
	for i := range 4 {
		s.addEndpoint(fmt.Sprintf("i-%d", i), "plain", func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(answerTime)
			_, _ = io.WriteString(w, "answer")
		})
	}
	s.startNodes(3, 117)
	for _, n := range s.nodes {
		require.Equal(t, http.StatusOK, n.post("/once/x", "first-"+string(n.cfg.Host), []byte("slow")))
	}
	var wg sync.WaitGroup
	var served atomic.Int64
	for i := range copies {
		wg.Go(func() {
			if s.nodes[i%len(s.nodes)].post("/once/x", fmt.Sprintf("copy-%d", i), []byte("slow")) == http.StatusOK {
				served.Add(1)
			}
		})
		time.Sleep(answerTime / 10)
	}
	wg.Wait()
	require.EqualValues(t, copies, served.Load())
}
