package node

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/platform/standin"
)

// cutOffSite is a site with engines and runners that answer with their ID, where every host's path to the endpoints can be cut.
type cutOffSite struct {
	*testSite
	endpoints []*standin.Endpoint

	mu sync.Mutex
	// runs counts the runs of each non-idempotent request.
	runs map[string]int
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
	}{
		{"one silent", cutSilent, 1}, {"one reset", cutReset, 1}, {"one refused", cutNew, 1}, {"all but one silent", cutSilent, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newCutOffSite(t, 4, 131+i)
			for _, n := range s.nodes {
				s.serve(n, "before", 50*time.Millisecond)
			}
			for _, n := range s.nodes[:c.cutOff] {
				n.links.cut(c.form)
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
			s := newCutOffSite(t, 4, 136+i)
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
