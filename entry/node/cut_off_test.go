package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/platform/standin"
)

// cutOffSite is a site with engines and runners that answer with their ID, where every host's path to the endpoints can be cut.
type cutOffSite struct {
	*testSite
	endpoints []*standin.Endpoint

	mu sync.Mutex
	// runs counts the runs of each non-idempotent request.
	runs map[string]int
	// hold, if it is set, holds the answers up until it is closed. held counts the requests that it holds, and left those whose connection
	// ended meanwhile.
	hold       chan struct{}
	held, left atomic.Int64
}

func newCutOffSite(t *testing.T, hosts, subnet int) *cutOffSite {
	s := &cutOffSite{testSite: newSite(t), runs: make(map[string]int)}
	s.store.Publish(1, "k1")
	for i := range 3 {
		s.endpoints = append(s.endpoints,
			s.addEndpoint(fmt.Sprintf("i-plain-%d", i), "plain", s.answer), s.addEndpoint(fmt.Sprintf("i-engine-%d", i), "engines", s.answer))
	}
	s.startNodes(hosts, subnet)
	return s
}

// wholeStream is the answer of the engines.
const wholeStream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

func (s *cutOffSite) answer(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/once/x" {
		s.mu.Lock()
		s.runs[r.Header.Get(standin.RequestIDHeader)]++
		s.mu.Unlock()
	}
	time.Sleep(2 * time.Millisecond)
	if s.hold != nil {
		s.held.Add(1)
		select {
		case <-s.hold:
		case <-r.Context().Done():
			s.left.Add(1)
			return
		}
	}
	if r.URL.Path == "/stream/x" {
		_, _ = io.WriteString(w, wholeStream)
		return
	}
	_, _ = io.WriteString(w, "answer of "+w.Header().Get(standin.SealHeader))
}

// served sends a request and reports whether its first attempt got the whole answer of an endpoint. Each third is a stream, each third
// non-idempotent.
func (s *cutOffSite) served(n *testNode, number int, id string) bool {
	method, path, headers := http.MethodGet, "/again/x", []string(nil)
	switch number % 3 {
	case 1:
		method, path = http.MethodPost, "/once/x"
	case 2:
		method, path, headers = http.MethodPost, "/stream/x", []string{standin.PromptPartsHeader, standin.PromptOf([]string{"aa"}, id)}
	}
	r := standin.NewCall(n.cfg.CallerAddress, method, path, id, "k1", nil)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	want := wholeStream
	if path != "/stream/x" {
		want = "answer of " + response.Header.Get(standin.SealHeader)
	}
	return err == nil && response.StatusCode == http.StatusOK && string(body) == want
}

// serve sends requests to a host for d, one after another, and returns how many were sent and how many of them served.
func (s *cutOffSite) serve(n *testNode, name string, d time.Duration) (sent, served int) {
	for start := time.Now(); time.Since(start) < d; time.Sleep(10 * time.Millisecond) {
		if s.served(n, sent, fmt.Sprintf("%s-%s-%d", n.cfg.Host, name, sent)) {
			served++
		}
		sent++
	}
	return sent, served
}

// requireServed requires that of the requests at hosts that are cut off, two thirds of the share of the others are served, and no more
// than 10 and one in 50 fail: the users' bound.
func requireServed(t *testing.T, sent, served, otherSent, otherServed int) {
	t.Helper()
	t.Logf("cut off: %d of %d served; others: %d of %d", served, sent, otherServed, otherSent)
	require.Positive(t, sent)
	share, otherShare := float64(served)/float64(sent), 1.0
	if otherSent > 0 {
		otherShare = float64(otherServed) / float64(otherSent)
	}
	require.GreaterOrEqual(t, share, otherShare*2/3)
	require.LessOrEqual(t, sent-served, 10+sent/50)
}

func TestCallersOfHostsWithoutPathToEndpointsAreServed(t *testing.T) {
	t.Parallel()
	for i, c := range []struct {
		name   string
		form   cutForm
		cutOff int
		// endpoints is how many endpoints the hosts lose; 0 means all.
		endpoints int
	}{
		{"one silent", cutSilent, 1, 0}, {"one reset", cutReset, 1, 0}, {"one refused", cutNew, 1, 0}, {"all but one silent", cutSilent, 3, 0},
		{"one to some endpoints", cutSilent, 1, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newCutOffSite(t, 4, 201+i)
			for _, n := range s.nodes {
				s.serve(n, "before", 50*time.Millisecond)
			}
			var addresses []string
			for _, e := range s.endpoints[:c.endpoints] {
				addresses = append(addresses, e.Listener.Addr().String())
			}
			for _, n := range s.nodes[:c.cutOff] {
				n.links.cut(c.form, addresses...)
			}
			var wg sync.WaitGroup
			var mu sync.Mutex
			var sent, served, otherSent, otherServed int
			for i, n := range s.nodes {
				wg.Go(func() {
					s.serve(n, "detect", stableTime)
					a, b := s.serve(n, "cut", 2*time.Second)
					mu.Lock()
					defer mu.Unlock()
					if i < c.cutOff {
						sent, served = sent+a, served+b
						return
					}
					otherSent, otherServed = otherSent+a, otherServed+b
				})
			}
			wg.Wait()
			requireServed(t, sent, served, otherSent, otherServed)
			for id, n := range s.runs {
				require.Equal(t, 1, n, "runs of non-idempotent request %s", id)
			}
		})
	}
}

// What a host without a path to the endpoints sees, broken connections, refusals and silence, says nothing about the endpoints.
func TestViewOfAHostWithoutPathToEndpointsDoesNotCountAgainstThem(t *testing.T) {
	t.Parallel()
	for i, form := range []cutForm{cutSilent, cutReset} {
		t.Run([]string{"silent", "reset"}[i], func(t *testing.T) {
			t.Parallel()
			s := newCutOffSite(t, 4, 206+i)
			s.serve(s.nodes[0], "before", 50*time.Millisecond)
			s.nodes[0].links.cut(form)
			var wg sync.WaitGroup
			for i, n := range s.nodes {
				for sender := range 3 {
					wg.Go(func() { s.serve(n, fmt.Sprintf("cut-%d-%d", i, sender), stableTime) })
				}
			}
			wg.Wait()
			for _, n := range s.nodes {
				require.Zero(t, n.log.count(`"message":"request suspected"`), n.cfg.Host)
				require.Zero(t, n.log.count(`"Suspect":true`), n.cfg.Host)
			}
		})
	}
}

// newRelayedSite returns a site whose first host has lost its path to the endpoints and knows it.
func newRelayedSite(t *testing.T, hosts, subnet int) *cutOffSite {
	s := newCutOffSite(t, hosts, subnet)
	s.nodes[0].links.cut(cutNew)
	require.Eventually(t, func() bool {
		s.serve(s.nodes[0], "detect", 100*time.Millisecond)
		return s.nodes[0].paths.goneCount() > 0
	}, time.Minute, time.Millisecond)
	return s
}

// relayOf returns the node through which the first node of a site has tunnels, once one is in use.
func (s *cutOffSite) relayOf(t *testing.T) *testNode {
	var found *testNode
	require.Eventually(t, func() bool {
		for _, n := range s.nodes[1:] {
			if n.paths.tunnelCount() > 0 {
				found = n
			}
		}
		return found != nil
	}, time.Minute, time.Millisecond)
	return found
}

func TestRequestWhoseRelayIsKilledRunsOnceOrIsSentAgainAsItMay(t *testing.T) {
	t.Parallel()
	for i, c := range []struct {
		kind   string
		status int
	}{
		{"once", http.StatusBadGateway}, {"again", http.StatusOK},
	} {
		t.Run(c.kind, func(t *testing.T) {
			t.Parallel()
			s := newRelayedSite(t, 2, 216+i)
			s.hold = make(chan struct{})
			id := "killed-" + c.kind
			status := make(chan int, 1)
			go func() { status <- s.statusOf(s.nodes[0], "/"+c.kind+"/x", id) }()
			require.Eventually(t, func() bool { return s.held.Load() > 0 }, time.Minute, time.Millisecond)
			s.nodes[1].paths.closeTunnels()
			s.held.Store(0)
			if c.status == http.StatusOK {
				require.Eventually(t, func() bool { return s.held.Load() > 0 }, time.Minute, time.Millisecond, "it was not sent again")
				close(s.hold)
			}
			require.Equal(t, c.status, <-status)
			if c.kind == "once" {
				require.Equal(t, 1, s.runs[id])
			}
		})
	}
}

// statusOf sends a request and returns the status of its answer, or 0 if there is none.
func (s *cutOffSite) statusOf(n *testNode, path, id string) int {
	response, err := http.DefaultTransport.RoundTrip(standin.NewCall(n.cfg.CallerAddress, http.MethodPost, path, id, "k1", nil))
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func TestEndpointStopsWorkWhenTheCallerOfARelayedRequestDisconnects(t *testing.T) {
	t.Parallel()
	s := newRelayedSite(t, 2, 212)
	s.hold = make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	r := standin.NewCall(s.nodes[0].cfg.CallerAddress, http.MethodGet, "/again/x", "leaves", "k1", nil).WithContext(ctx)
	go func() {
		if response, err := http.DefaultTransport.RoundTrip(r); err == nil {
			_ = response.Body.Close()
		}
	}()
	require.Eventually(t, func() bool { return s.held.Load() > 0 }, time.Minute, time.Millisecond)
	cancel()
	require.Eventually(t, func() bool { return s.left.Load() > 0 }, time.Minute, time.Millisecond, "the endpoint was not told")
	require.Eventually(t, func() bool { return s.nodes[1].paths.tunnelCount() == 0 }, time.Minute, time.Millisecond)
}

func TestRelayThatDrainsLetsItsTunnelsEnd(t *testing.T) {
	t.Parallel()
	s := newRelayedSite(t, 3, 213)
	s.hold = make(chan struct{})
	done := make(chan bool, 1)
	go func() { done <- s.served(s.nodes[0], 0, "drained") }()
	require.Eventually(t, func() bool { return s.held.Load() > 0 }, time.Minute, time.Millisecond)
	relay := s.relayOf(t)
	relay.stop()
	require.Eventually(t, func() bool { return relay.draining.Load() }, time.Minute, time.Millisecond)
	require.Eventually(t, func() bool { return s.nodes[0].membership.liveCount() == 2 }, time.Minute, time.Millisecond)
	close(s.hold)
	require.True(t, <-done)
	sent, served := s.serve(s.nodes[0], "after", time.Second)
	require.Equal(t, sent, served)
	<-relay.exited
}

// Guards against LOST: a request sent through a relay that is about to end, over a connection kept from before, was cut with it.
func TestRequestsDoNotUseARelayThatHasSaidThatItLeaves(t *testing.T) {
	t.Parallel()
	s := newRelayedSite(t, 3, 218)
	require.True(t, s.served(s.nodes[0], 0, "before"))
	relay := s.relayOf(t)
	relay.stop()
	require.Eventually(t, func() bool { return s.nodes[0].membership.liveCount() == 2 }, time.Minute, time.Millisecond)
	for i := range 20 {
		require.True(t, s.served(s.nodes[0], 0, "after-"+strconv.Itoa(i)))
	}
	require.Zero(t, relay.paths.tunnelCount())
	<-relay.exited
}

func TestRelayDoesNotUseAnotherRelay(t *testing.T) {
	t.Parallel()
	s := newCutOffSite(t, 3, 214)
	for _, n := range s.nodes {
		n.links.cut(cutNew)
	}
	for _, n := range s.nodes {
		sent, served := s.serve(n, "cut", 300*time.Millisecond)
		require.Zero(t, served, "of %d", sent)
		require.Zero(t, n.paths.tunnelCount())
	}
	for _, n := range s.nodes {
		n.links.cut(uncut)
	}
	require.Eventually(t, func() bool {
		served := 0
		for i, n := range s.nodes {
			if s.served(n, 1, fmt.Sprintf("back-%d-%d", i, time.Now().UnixNano())) {
				served++
			}
		}
		return served == len(s.nodes)
	}, time.Minute, 50*time.Millisecond)
}

// The path is there for half a second and gone for half a second, in turn.
func TestPathThatFlapsCostsFewCallers(t *testing.T) {
	t.Parallel()
	s := newCutOffSite(t, 3, 215)
	s.serve(s.nodes[0], "before", 100*time.Millisecond)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for form := cutSilent; ; form = cutSilent - form {
			s.nodes[0].links.cut(form)
			select {
			case <-stop:
				return
			case <-time.After(500 * time.Millisecond):
			}
		}
	})
	s.serve(s.nodes[0], "detect", stableTime)
	sent, served := s.serve(s.nodes[0], "flap", 4*time.Second)
	close(stop)
	wg.Wait()
	requireServed(t, sent, served, 0, 0)
}

func TestAnswerOfAnEndpointThatWasSilentIsNotCutOnceItTakesConnectionsAgain(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.store.Publish(1, "k1")
	goOn := make(chan struct{})
	e := s.addEndpoint("i-a", "engines", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/draft/x" {
			_, _ = io.WriteString(w, wholeStream)
			return
		}
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
		_ = http.NewResponseController(w).Flush()
		select {
		case <-goOn:
			_, _ = io.WriteString(w, "id: 2\ndata: b\n\n")
		case <-r.Context().Done():
		}
	})
	s.startNodes(2, 109)
	n := s.nodes[0]
	begun := make(chan struct{})
	result := make(chan string, 1)
	go func() {
		defer close(result)
		response, err := http.DefaultTransport.RoundTrip(standin.NewCall(n.cfg.CallerAddress, http.MethodPost, "/draft/x", "silent-1", "k1", nil))
		close(begun)
		if err != nil {
			return
		}
		defer response.Body.Close()
		text, _ := io.ReadAll(response.Body)
		result <- string(text)
	}()
	<-begun
	time.Sleep(stallTimeout)
	n.links.cut(cutNewSilent, e.Listener.Addr().String())
	require.Equal(t, http.StatusOK, n.call(t, http.MethodPost, "/stream/x", "other-1", "k1").StatusCode, "through the other host")
	n.links.cut(uncut)
	require.Eventually(t, func() bool { return n.log.contains(`"Event":"` + event.PathRestored.String() + `"`) }, time.Minute, time.Millisecond)
	close(goOn)
	require.Equal(t, wholeStream, <-result)
}
