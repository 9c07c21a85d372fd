package node

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/memory"
	"balsamknot.org/fleet/timer"
	"balsamknot.org/platform/standin"
)

// largestBody is the limit on bodies in the tests of memory, and bodyBudget the memory budget of their hosts.
const (
	largestBody = memory.MiB
	bodyBudget  = 16 * memory.MiB
)

func startHostWithLittleMemory(t *testing.T, subnet int) (*testSite, *testNode) {
	s := newSite(t)
	s.store.PublishWorkspaces(1, int(largestBody), "hot", "usual")
	s.memoryBudget = float64(bodyBudget)
	s.startNodes(1, subnet)
	return s, s.nodes[0]
}

// unsized hides the length of a body, so that it is sent in chunks.
type unsized struct{ io.Reader }

func callWithBody(n *testNode, path, id, key string, chunked bool) (*http.Response, error) {
	var body io.Reader = bytes.NewReader(make([]byte, largestBody))
	if chunked {
		body = unsized{body}
	}
	return http.DefaultTransport.RoundTrip(standin.NewCall(n.cfg.CallerAddress, http.MethodPost, path, id, key, body))
}

// One workspace sends many of the largest bodies, which its endpoints don't answer, while another one sends as usual.
func TestLargestBodiesOfOneWorkspaceTakeNeitherTheHostsMemoryNorThatOfOthers(t *testing.T) {
	t.Parallel()
	const hotEndpoints, hotCallers, usualCalls = 6, 60, 20
	s, n := startHostWithLittleMemory(t, 130)
	release := make(chan struct{})
	end := sync.OnceFunc(func() { close(release) })
	defer end()
	for i := range hotEndpoints {
		s.addEndpoint(fmt.Sprintf("i-hot-%d", i), "plain", func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-release
			_, _ = io.WriteString(w, "done")
		})
	}
	s.addEndpoint("i-usual", "full", func(w http.ResponseWriter, r *http.Request) {
		size, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, size)
	})
	require.Eventually(t, func() bool { return n.log.count(`"Leaving":false`) == hotEndpoints+1 }, time.Minute, time.Millisecond)
	var wg sync.WaitGroup
	for i := range hotCallers {
		wg.Go(func() {
			response, err := callWithBody(n, "/again/x", fmt.Sprintf("hot-%d", i), "hot", i%2 == 1)
			if err != nil {
				t.Errorf("a request of the hot workspace got no answer: %v", err)
				return
			}
			defer response.Body.Close()
			if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(standin.RetryAfterHeader) == "" {
				t.Error("a refusal has no retry-after time")
			}
		})
	}
	require.Eventually(t, func() bool { return n.memory.refusals(memory.Body) > 0 || n.memory.usedBy(memory.Body) > bodyBudget }, time.Minute, time.Millisecond)
	usualAnswers := make([]string, usualCalls)
	for i := range usualCalls {
		response, err := callWithBody(n, "/full/x", fmt.Sprintf("usual-%d", i), "usual", i%2 == 1)
		require.NoError(t, err)
		usualAnswers[i] = readText(t, response)
		_ = response.Body.Close()
	}
	end()
	wg.Wait()
	for i, text := range usualAnswers {
		require.Equal(t, fmt.Sprint(int(largestBody)), text, "answer to a request of the other workspace: %s", n.log.linesOf(fmt.Sprintf("usual-%d", i)))
	}
	require.LessOrEqual(t, n.memory.peak(), bodyBudget)
	require.Eventually(t, func() bool { return n.memory.usedBy(memory.Body) == 0 }, time.Minute, time.Millisecond)
}

// The body of a request that can't be sent again must not take memory while its endpoint works on it.
func TestBodyTakesNoMemoryOnceItIsNotNeededAnyMore(t *testing.T) {
	t.Parallel()
	s, n := startHostWithLittleMemory(t, 131)
	release, working := make(chan struct{}), make(chan struct{})
	s.addEndpoint("i-a", "full", func(w http.ResponseWriter, r *http.Request) {
		size, _ := io.Copy(io.Discard, r.Body)
		close(working)
		<-release
		_, _ = fmt.Fprint(w, size)
	})
	require.Eventually(t, func() bool { return n.log.contains(`"Leaving":false`) }, time.Minute, time.Millisecond)
	answer := make(chan *http.Response, 1)
	go func() {
		response, err := callWithBody(n, "/full/x", "id-1", "usual", false)
		if err != nil {
			t.Error(err)
		}
		answer <- response
	}()
	<-working
	require.Eventually(t, func() bool { return n.memory.usedBy(memory.Body) == 0 && n.callers.inFlight.Load() == 1 }, time.Minute, time.Millisecond)
	close(release)
	response := <-answer
	defer response.Body.Close()
	require.Equal(t, fmt.Sprint(int(largestBody)), readText(t, response))
}

// A caller that sends its whole body before it reads must get the refusal of a body that was not read.
func TestRefusalOfAnUnreadBodyReachesACallerThatSendsOn(t *testing.T) {
	t.Parallel()
	s, n := startHostWithLittleMemory(t, 132)
	const size = int(bodyBudget)
	s.store.PublishWorkspaces(2, size, "usual")
	require.Eventually(t, func() bool { return n.storeView.setVersion() == 2 }, time.Minute, time.Millisecond)
	conn := dialCaller(t, n)
	_, err := fmt.Fprintf(conn, "POST /again/x HTTP/1.1\r\nHost: %s\r\nCredential: usual\r\n%s: id-1\r\nContent-Length: %d\r\n\r\n",
		standin.Host, standin.RequestIDHeader, size)
	require.NoError(t, err)
	_, err = conn.Write(make([]byte, size))
	require.NoError(t, err)
	raw, err := io.ReadAll(conn)
	require.NoError(t, err)
	text := string(raw)
	require.Contains(t, text, "503 Service Unavailable")
	require.Contains(t, text, standin.RetryAfterHeader)
	require.Contains(t, text, "Connection: close")
	readOperationsPage(t).checkSection(t, "A body for which there is no memory", n.log, "id-1")
	require.Equal(t, 1, n.memory.refusals(memory.Body))
}

func TestConnectionsBeyondTheBudgetAreClosed(t *testing.T) {
	t.Parallel()
	_, n := startHostWithLittleMemory(t, 133)
	for n.memory.take(timer.BootClock(), connectionClaim) {
	}
	used := n.memory.usedBy(memory.Connection)
	_, _ = io.ReadAll(dialCaller(t, n))
	require.Equal(t, used, n.memory.usedBy(memory.Connection))
	n.memory.release(connectionClaim)
	require.Equal(t, http.StatusNotFound, n.call(t, http.MethodGet, "/nowhere/", "id-1", "usual").StatusCode)
}

func dialCaller(t *testing.T, n *testNode) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", n.cfg.CallerAddress)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// Engines send events of the largest size, which are not finished, in many streams.
func TestLargeEventsOfManyStreamsTakeNoMoreThanTheBudget(t *testing.T) {
	t.Parallel()
	const engines, callers = 30, 100
	s, n := startHostWithLittleMemory(t, 134)
	release := make(chan struct{})
	end := sync.OnceFunc(func() { close(release) })
	defer end()
	var sent atomic.Int64
	for i := range engines {
		s.addEndpoint(fmt.Sprintf("i-%d", i), "engines", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "data: "+strings.Repeat("x", 200<<10))
			_ = http.NewResponseController(w).Flush()
			sent.Add(1)
			<-release
		})
	}
	require.Eventually(t, func() bool { return n.log.count(`"Leaving":false`) == engines }, time.Minute, time.Millisecond)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			response, err := http.DefaultTransport.RoundTrip(standin.NewCall(n.cfg.CallerAddress, http.MethodPost, "/stream/x", fmt.Sprintf("id-%d", i), "hot", nil))
			if err == nil {
				_ = response.Body.Close()
			}
		})
	}
	require.Eventually(t, func() bool { return n.memory.refusals(memory.Stream) > 0 }, time.Minute, time.Millisecond)
	end()
	wg.Wait()
	require.LessOrEqual(t, n.memory.peak(), bodyBudget)
	require.Eventually(t, func() bool { return n.memory.usedBy(memory.Stream) == 0 }, time.Minute, time.Millisecond)
}

func TestEveryListenerLimitsTheHeadersOfARequest(t *testing.T) {
	t.Parallel()
	_, n := startHostWithLittleMemory(t, 135)
	for _, address := range []string{n.cfg.CallerAddress, n.cfg.ReadyAddress, n.cfg.MetricsAddress, n.readerAddress(n.cfg.Address)} {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/", nil)
		require.NoError(t, err)
		r.Header.Set("Long", strings.Repeat("x", 2*maxHeaderBytes))
		require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, roundTrip(t, r).StatusCode, address)
	}
}
