package node

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/platform/standin"
)

// Callers send requests on kept connections until a host that is stopped closes them. Each request that reached the host's process gets its whole
// answer.
func TestRequestsAcceptedUntilAPlannedStopAreAnswered(t *testing.T) {
	t.Parallel()
	const callers, work = 20, 20 * time.Millisecond
	s := newSite(t)
	s.store.Publish(1, "k1")
	var begun atomic.Int64
	s.addEndpoint("i-a", "plain", func(w http.ResponseWriter, _ *http.Request) {
		begun.Add(1)
		time.Sleep(work)
		_, _ = io.WriteString(w, "whole answer")
	})
	s.startNodes(2, 253)
	n := s.nodes[0]
	var wg sync.WaitGroup
	var answered, broken atomic.Int64
	for range callers {
		wg.Go(func() {
			transport := &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}
			defer transport.CloseIdleConnections()
			for {
				r := standin.NewCall(n.cfg.CallerAddress, http.MethodPost, "/once/x", "id", "k1", nil)
				response, err := transport.RoundTrip(r)
				if err != nil {
					return
				}
				body, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				switch {
				case err != nil || response.StatusCode == http.StatusOK && string(body) != "whole answer":
					broken.Add(1)
				case response.StatusCode == http.StatusOK:
					answered.Add(1)
				}
			}
		})
	}
	require.Eventually(t, func() bool { return answered.Load() > 5*callers }, time.Minute, time.Millisecond)
	n.stop()
	<-n.exited
	wg.Wait()
	require.Zero(t, broken.Load())
	require.Equal(t, begun.Load(), answered.Load(), "each request that an endpoint began was answered to its caller")
}

// An endpoint loses its registration while it works, since it reports late, and its request goes on there.
func TestRequestGoesOnAtAnEndpointThatIsNoLongerRegistered(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.store.Publish(1, "k1")
	begun, finish := make(chan struct{}), make(chan struct{})
	slow := s.addEndpoint("i-a", "plain", func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-finish
		_, _ = io.WriteString(w, "whole answer")
	})
	s.startNodes(2, 254)
	s.addEndpoint("i-b", "other", nil)
	n := s.nodes[0]
	type result struct {
		status int
		body   string
	}
	got := make(chan result, 1)
	go func() {
		response, err := http.DefaultTransport.RoundTrip(standin.NewCall(n.cfg.CallerAddress, http.MethodGet, "/again/x", "id-1", "k1", nil))
		if err != nil {
			got <- result{}
			return
		}
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		got <- result{response.StatusCode, string(body)}
	}()
	<-begun
	slow.Deregister()
	require.Eventually(t, func() bool { return n.slots.endpointAddress("i-a") == "" }, time.Minute, 5*time.Millisecond)
	close(finish)
	require.Equal(t, result{http.StatusOK, "whole answer"}, <-got)
	require.Equal(t, 1, slow.RunCount())
}
