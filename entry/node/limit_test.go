package node

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/platform/standin"
)

const (
	// limitWindow, limitFactor and limitSlack are the users' bound on the requests that reach an endpoint with a limit: in each window
	// at most limitFactor times what the limit allows, plus limitSlack.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// noticeTime is the time from the first answer that states a limit after which the bound holds in these tests. The users allow
	// stableTime.
	noticeTime = 500 * time.Millisecond
)

// limitedEndpoint is an endpoint that states a limit in each answer.
type limitedEndpoint struct {
	*standin.Endpoint
	perSecond float64

	mu       sync.Mutex
	statedAt time.Time
	arrivals []time.Time
}

// begin notes the arrival of a request.
func (e *limitedEndpoint) begin() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals = append(e.arrivals, time.Now())
}

// state adds the limit to the head of an answer.
func (e *limitedEndpoint) state(w http.ResponseWriter) {
	w.Header().Set(standin.LimitHeader, fmt.Sprint(e.perSecond))
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.statedAt.IsZero() {
		e.statedAt = time.Now()
	}
}

// busiest returns the largest number of requests that arrived within a limitWindow after the limit was known.
func (e *limitedEndpoint) busiest() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	from := e.statedAt.Add(noticeTime)
	counted := slices.DeleteFunc(slices.Clone(e.arrivals), func(at time.Time) bool { return at.Before(from) })
	most := 0
	for i, first := range counted {
		n := 0
		for _, at := range counted[i:] {
			if at.Sub(first) <= limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func (e *limitedEndpoint) allowed() int {
	return int(limitFactor*e.perSecond*limitWindow.Seconds()) + limitSlack
}

// readAnswer sends a request and reads its answer to the end, if there is one.
func (n *testNode) readAnswer(path, id string) {
	response, err := http.DefaultTransport.RoundTrip(standin.NewCall(n.cfg.CallerAddress, http.MethodPost, path, id, "k1", nil))
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}

func TestEndpointGetsNoMoreRequestsThanTheLimitThatItStates(t *testing.T) {
	t.Parallel()
	const limited, hosts, perSecond, observed, interval, workTime, streamTime = 3, 4, 2.0, 6 * time.Second, 10 * time.Millisecond, 50 * time.Millisecond, 400 * time.Millisecond
	type limitCase struct {
		path string
		// free is the number of endpoints without a limit.
		free int
		// answer writes the answer after its head was sent; nil for a short one.
		answer func(w http.ResponseWriter, r *http.Request)
		// duringLoad runs beside the load.
		duringLoad func(s *testSite)
	}
	longStream := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(streamTime):
		case <-r.Context().Done():
		}
	}
	subnet := 150
	for name, c := range map[string]limitCase{
		"idempotent requests":     {path: "/again/x", free: 2},
		"non-idempotent requests": {path: "/once/x", free: 2},
		"streams that last":       {path: "/stream/x", free: 2, answer: longStream},
		"all are limited":         {path: "/again/x"},
		"the keeper stops":        {path: "/again/x", free: 2, duringLoad: func(s *testSite) { s.keeperOf("plain").stop() }},
		"the keeper is cut off": {path: "/again/x", free: 2, duringLoad: func(s *testSite) {
			_ = s.keeperOf("plain").membership.socket.Close()
		}},
		"hosts decide alone": {path: "/again/x", free: 2, duringLoad: func(s *testSite) {
			for _, n := range s.nodes {
				_ = n.membership.socket.Close()
			}
		}},
	} {
		subnet++
		ownSubnet := subnet
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.store.Publish(1, "k1")
			service := "plain"
			if c.path == "/stream/x" {
				service = "engines"
			}
			var runs atomic.Int64
			var pool []*limitedEndpoint
			for i := range limited {
				e := &limitedEndpoint{perSecond: perSecond}
				pool = append(pool, e)
				e.Endpoint = s.addEndpoint(fmt.Sprintf("i-%d", i), service, func(w http.ResponseWriter, r *http.Request) {
					runs.Add(1)
					e.begin()
					e.state(w)
					time.Sleep(workTime)
					if c.answer != nil {
						c.answer(w, r)
					}
				})
			}
			for i := range c.free {
				s.addEndpoint(fmt.Sprintf("z-free-%d", i), service, func(w http.ResponseWriter, _ *http.Request) {
					runs.Add(1)
					time.Sleep(workTime)
					_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
				})
			}
			s.startNodes(hosts, ownSubnet)
			var wg sync.WaitGroup
			defer wg.Wait()
			start := time.Now()
			for i := 0; time.Since(start) < observed; i++ {
				if c.duringLoad != nil && time.Since(start) > time.Second {
					c.duringLoad(s)
					c.duringLoad = nil
				}
				n := s.nodes[i%hosts]
				wg.Go(func() { n.readAnswer(c.path, fmt.Sprintf("id-%d", i)) })
				time.Sleep(interval)
			}
			for _, e := range pool {
				t.Logf("%s: %d requests in %s, %d allowed", e.ID, e.busiest(), limitWindow, e.allowed())
			}
			for _, e := range pool {
				require.LessOrEqual(t, e.busiest(), e.allowed(), "requests to %s in %s", e.ID, limitWindow)
			}
			require.Positive(t, runs.Load())
		})
	}
}
