package node

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/entry/peer"
	"balsamknot.org/fleet/fingerprint"
	"balsamknot.org/fleet/timer"
	"balsamknot.org/platform/standin"
)

const (
	// stableTime is the time after which a host without faults must know what happened in the fleet, and allowedRetries how
	// often a request that has crashed three endpoints may still reach one after that time. Both are the users' limits.
	stableTime     = 3 * time.Second
	allowedRetries = 3
	// registrationLifetime is the time after which the registration of an endpoint that crashed is removed.
	registrationLifetime = 3600 * time.Millisecond
	// crashesToBlock is the number of crashes that must block a request.
	crashesToBlock = 3
)

var poison = []byte("poison")

// poisonSite is a site whose endpoints crash when they run the request with the body poison.
type poisonSite struct {
	*testSite
	// runs is how often the request reached an endpoint, and crashes how many endpoints it has crashed.
	runs, crashes atomic.Int64
	wg            sync.WaitGroup
	sent          int

	mu sync.Mutex
	// crashTimes and runTimes hold when the request crashed and reached endpoints, in order.
	crashTimes, runTimes []time.Time
	// ended holds the endpoints that crashed and did not come back.
	ended map[*standin.Endpoint]bool
}

// beginRun counts a run of the request and returns its number, from 1.
func (s *poisonSite) beginRun() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runTimes = append(s.runTimes, time.Now())
	return s.runs.Add(1)
}

// crash ends the endpoint, as end does, or waits for its end if another run has begun it. It does not return.
func (s *poisonSite) crash(e *standin.Endpoint, w http.ResponseWriter, r *http.Request, end ending) {
	if s.beginEnd(e) {
		end(s, e, w)
	} else {
		<-r.Context().Done()
	}
	panic(http.ErrAbortHandler)
}

// beginEnd counts a crash, and returns false if the endpoint has ended already.
func (s *poisonSite) beginEnd(e *standin.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended[e] {
		return false
	}
	s.ended[e] = true
	s.crashTimes = append(s.crashTimes, time.Now())
	s.crashes.Add(1)
	return true
}

// sinceCrash returns the time since the n-th crash; 0 if there were fewer.
func (s *poisonSite) sinceCrash(n int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.crashTimes) < n {
		return 0
	}
	return time.Since(s.crashTimes[n-1])
}

// lateRuns returns how often the request reached an endpoint later than stableTime after the n-th crash.
func (s *poisonSite) lateRuns(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := 0
	for _, at := range s.runTimes {
		if len(s.crashTimes) >= n && at.Sub(s.crashTimes[n-1]) > stableTime {
			late++
		}
	}
	return late
}

// ending is what an endpoint does after it began to run the request that crashes it.
type ending func(s *poisonSite, e *standin.Endpoint, w http.ResponseWriter)

// poisonCase is one way in which endpoints end and the request comes again.
type poisonCase struct {
	end           ending
	path, method  string
	service       string
	body          []byte
	hosts         int
	newHostsAfter int
	// failEvery, if above 0, makes each failEvery-th run end with status 500 and no crash.
	failEvery int64
	// keys are the API keys that the caller uses in turn.
	keys []string
	// otherService, if not empty, is the service to which the route /moved/ moves after the third crash.
	otherService string
}

// crashes reports whether a request is the one that crashes endpoints.
func (c poisonCase) crashes(r *http.Request, body []byte) bool {
	return r.Method == c.method && r.URL.Path == c.path && bytes.Equal(body, c.body)
}

func newPoisonSite(t *testing.T, c poisonCase, endpoints int) *poisonSite {
	s := &poisonSite{testSite: newSite(t), ended: map[*standin.Endpoint]bool{}}
	s.store.Publish(1, "k1", "k2")
	for i := range endpoints {
		service := c.service
		if c.otherService != "" && i%2 > 0 {
			service = c.otherService
		}
		var e *standin.Endpoint
		ready := make(chan struct{})
		e = s.addEndpoint(fmt.Sprintf("i-%d", i), service, func(w http.ResponseWriter, r *http.Request) {
			<-ready
			body, _ := io.ReadAll(r.Body)
			if !c.crashes(r, body) {
				time.Sleep(5 * time.Millisecond)
				if string(body) == slowBody {
					time.Sleep(slowTime)
				}
				_, _ = io.WriteString(w, "answer")
				return
			}
			run := s.beginRun()
			if c.failEvery > 0 && run%c.failEvery == 0 {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			s.crash(e, w, r, c.end)
		})
		close(ready)
	}
	t.Cleanup(s.wg.Wait)
	return s
}

// later runs f after d, beside the test.
func (s *poisonSite) later(d time.Duration, f func()) {
	s.wg.Go(func() {
		time.Sleep(d)
		f()
	})
}

func (s *poisonSite) comeBack(e *standin.Endpoint, id string) {
	s.mu.Lock()
	delete(s.ended, e)
	s.mu.Unlock()
	if err := e.ComeBackAs(id); err != nil {
		s.t.Error(err)
	}
}

// returns makes an endpoint crash and come back under its ID after d.
func returns(d time.Duration) ending {
	return func(s *poisonSite, e *standin.Endpoint, _ http.ResponseWriter) {
		s.wg.Go(e.Crash)
		s.later(d, func() { s.comeBack(e, e.ID) })
	}
}

// returnsAfterRemoval is returns with a removal of the registration meanwhile.
func returnsAfterRemoval(s *poisonSite, e *standin.Endpoint, _ http.ResponseWriter) {
	s.wg.Go(e.Crash)
	s.later(registrationLifetime, func() {
		e.Deregister()
		time.Sleep(time.Second)
		s.comeBack(e, e.ID)
	})
}

// returnsAsAnother makes an endpoint crash and come back under another ID after d.
func returnsAsAnother(d time.Duration) ending {
	return func(s *poisonSite, e *standin.Endpoint, _ http.ResponseWriter) {
		s.wg.Go(e.Crash)
		id := fmt.Sprintf("%s-%d", e.ID, s.runs.Load())
		s.later(d, func() { s.comeBack(e, id) })
	}
}

// staysAway makes an endpoint crash for good.
func staysAway(s *poisonSite, e *standin.Endpoint, _ http.ResponseWriter) {
	s.wg.Go(e.Crash)
	s.later(registrationLifetime, e.Deregister)
}

// fallsSilent makes an endpoint keep its connections and answer nothing any more; its registration is removed.
func fallsSilent(s *poisonSite, e *standin.Endpoint, _ http.ResponseWriter) {
	s.later(registrationLifetime, e.Deregister)
	time.Sleep(registrationLifetime)
}

// withUnmarkedEnd makes an endpoint crash, as end does, in an answer whose end only the end of the connection marks.
func withUnmarkedEnd(end ending) ending {
	return func(s *poisonSite, e *standin.Endpoint, w http.ResponseWriter) {
		conn, err := standin.BeginRaw(w, "")
		if err != nil {
			s.t.Error(err)
			return
		}
		_, _ = io.WriteString(conn, "id: 1\ndata: a\n\n")
		e.End()
		_ = conn.Close()
		end(s, e, w)
	}
}

// send sends the request that crashes endpoints through a host and waits for the end of the answer, if there is one.
func (s *poisonSite) send(c poisonCase, n *testNode) {
	s.sent++
	r := standin.NewCall(n.cfg.CallerAddress, c.method, c.path, fmt.Sprintf("poison-%d", s.sent), c.keys[s.sent%len(c.keys)], bytes.NewReader(c.body))
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
}

// logCrashEvents logs how often each host logged each event about requests that crash endpoints.
func (s *poisonSite) logCrashEvents() {
	for _, n := range s.nodes {
		counts := ""
		for _, number := range []event.Number{event.RunInterrupted, event.InterruptionDropped, event.RequestSuspected, event.RequestBlocked, event.CrashesCleared} {
			counts += fmt.Sprintf(" %s %d", number, n.log.count(`"Event":"`+number.String()+`"`))
		}
		s.t.Logf("%s:%s", n.cfg.Host, counts)
	}
}

// logTimes logs when the request reached endpoints and crashed them.
func (s *poisonSite) logTimes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, times := range map[string][]time.Time{"runs": s.runTimes, "crashes": s.crashTimes} {
		text := name + " at"
		for _, at := range times {
			text += " " + at.Sub(s.runTimes[0]).Round(time.Millisecond).String()
		}
		s.t.Log(text)
	}
}

// sendGap is the time between two copies of the request.
const sendGap = 600 * time.Millisecond

// checkRetriesAfterThirdCrash sends the request until it has crashed three endpoints, through the hosts in turn, and then counts
// how often it still reaches endpoints.
func checkRetriesAfterThirdCrash(t *testing.T, c poisonCase, subnet int) {
	const endpoints = 9
	s := newPoisonSite(t, c, endpoints)
	s.startNodes(c.hosts, subnet)
	for i := 0; s.crashes.Load() < crashesToBlock; i++ {
		require.Less(t, i, 4*endpoints, "the request reaches no endpoints")
		s.send(c, s.nodes[i%len(s.nodes)])
		time.Sleep(sendGap)
	}
	if c.otherService != "" {
		s.store.PublishMoved(2, c.otherService, "k1", "k2")
	}
	s.addNodes(c.newHostsAfter, subnet)
	time.Sleep(stableTime)
	before := s.runs.Load()
	for i := range 8 {
		s.send(c, s.nodes[(len(s.nodes)-1+i)%len(s.nodes)])
		time.Sleep(sendGap)
	}
	s.logCrashEvents()
	require.LessOrEqual(t, s.runs.Load()-before, int64(allowedRetries), "the request had reached %d endpoints before", before)
}

func TestRequestStaysBlockedHoweverItsEndpointsEnd(t *testing.T) {
	t.Parallel()
	base := poisonCase{method: http.MethodPost, path: "/once/x", service: "plain", body: poison, hosts: 3, keys: []string{"k1"}}
	with := func(change func(c *poisonCase)) poisonCase {
		c := base
		change(&c)
		return c
	}
	subnet := 40
	for name, c := range map[string]poisonCase{
		"return at once":             with(func(c *poisonCase) { c.end = returns(50 * time.Millisecond) }),
		"return after 1 s":           with(func(c *poisonCase) { c.end = returns(time.Second) }),
		"return after 5 s":           with(func(c *poisonCase) { c.end = returns(5 * time.Second) }),
		"return after their removal": with(func(c *poisonCase) { c.end = returnsAfterRemoval }),
		"return as other endpoints":  with(func(c *poisonCase) { c.end = returnsAsAnother(time.Second) }),
		"stay away":                  with(func(c *poisonCase) { c.end = staysAway }),
		"fall silent":                with(func(c *poisonCase) { c.end = fallsSilent }),
		"end a stream that looks complete": with(func(c *poisonCase) {
			c.end, c.path, c.service = withUnmarkedEnd(returns(time.Second)), "/stream/x", "engines"
		}),
		"end an answer that looks complete": with(func(c *poisonCase) { c.end = withUnmarkedEnd(returns(5 * time.Second)) }),
		"end it and stay away":              with(func(c *poisonCase) { c.end = withUnmarkedEnd(staysAway) }),
		"an idempotent request":             with(func(c *poisonCase) { c.end, c.path = returns(time.Second), "/again/x" }),
		"a resumable stream":                with(func(c *poisonCase) { c.end, c.path, c.service = returns(time.Second), "/stream/x", "engines" }),
		"a request without a body": with(func(c *poisonCase) {
			c.end, c.method, c.path, c.body = returns(time.Second), http.MethodGet, "/again/x", nil
		}),
		"a caller with several keys":         with(func(c *poisonCase) { c.end, c.keys = returns(time.Second), []string{"k1", "k2"} }),
		"through hosts that start afterward": with(func(c *poisonCase) { c.end, c.newHostsAfter = returns(time.Second), 2 }),
		"on a route that moves": with(func(c *poisonCase) {
			c.end, c.path, c.otherService = returns(time.Second), "/moved/x", "full"
		}),
		"beside answers with status 500": with(func(c *poisonCase) { c.end, c.failEvery, c.hosts = returns(time.Second), 2, 1 }),
		"through one host":               with(func(c *poisonCase) { c.end, c.hosts = returns(time.Second), 1 }),
	} {
		subnet++
		ownSubnet := subnet
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkRetriesAfterThirdCrash(t, c, ownSubnet)
		})
	}
}

// Copies of the request are sent ten times a second and do not wait for each other.
func TestRequestSentInQuickSuccessionStaysBlocked(t *testing.T) {
	t.Parallel()
	subnet := 80
	for name, end := range map[string]ending{
		"return after 1 s":          returns(time.Second),
		"return as other endpoints": returnsAsAnother(time.Second),
		"stay away":                 staysAway,
		"fall silent":               fallsSilent,
	} {
		subnet++
		ownSubnet := subnet
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const endpoints, gap, observed = 40, 100 * time.Millisecond, 4 * time.Second
			c := poisonCase{method: http.MethodPost, path: "/once/x", service: "plain", body: poison, hosts: 3, keys: []string{"k1"}, end: end}
			s := newPoisonSite(t, c, endpoints)
			s.startNodes(c.hosts, ownSubnet)
			var wg sync.WaitGroup
			defer wg.Wait()
			copies := 0
			sendFor := func(d time.Duration) {
				for start := time.Now(); time.Since(start) < d; copies++ {
					id := fmt.Sprintf("poison-%d", copies)
					n := s.nodes[copies%len(s.nodes)]
					wg.Go(func() { n.post(c.path, id, poison) })
					time.Sleep(gap)
				}
			}
			for s.crashes.Load() < crashesToBlock {
				sendFor(gap)
			}
			sendFor(stableTime)
			before := s.runs.Load()
			sendFor(observed)
			s.logCrashEvents()
			require.LessOrEqual(t, s.runs.Load()-before, int64(allowedRetries), "the request had reached %d endpoints before", before)
		})
	}
}

// blockAtOnce records three crashes of a request at a node, as if other hosts had reported them.
func (n *testNode) blockAtOnce(fp fingerprint.Fingerprint) {
	var crashes []peer.Crash
	for i := range int64(crashesToBlock) {
		crashes = append(crashes, peer.Crash{Fingerprint: fp, Endpoint: "i-other", StartedAt: i, AgeMs: 1000 * i})
	}
	n.crashes.handle(timer.BootClock(), peer.Datagram{From: "host-other", Crashes: crashes})
}

// post sends a request through the node and returns the status; 0 if there was no answer.
func (n *testNode) post(path, id string, body []byte) int {
	response, err := http.DefaultTransport.RoundTrip(standin.NewCall(n.cfg.CallerAddress, http.MethodPost, path, id, "k1", bytes.NewReader(body)))
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// A blocked request is told when the next one like it is let through: ten seconds after its last crash, or after ten minutes if that trial
// crashed an endpoint as well.
func TestBlockedRequestIsToldWhenTheBlockEnds(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.store.Publish(1, "k1")
	s.startNodes(1, 33)
	n := s.nodes[0]
	retryAfter := func(body string, crashAges ...time.Duration) float64 {
		fp := fingerprint.Of(standin.Host+" "+standin.Workspace, http.MethodPost, "/once/x", []byte(body))
		var crashes []peer.Crash
		for i, age := range crashAges {
			crashes = append(crashes, peer.Crash{Fingerprint: fp, Endpoint: "i-other", StartedAt: int64(i), AgeMs: age.Milliseconds()})
		}
		n.crashes.handle(timer.BootClock(), peer.Datagram{From: "host-other", Crashes: crashes})
		response := roundTrip(t, standin.NewCall(n.cfg.CallerAddress, http.MethodPost, "/once/x", body, "k1", strings.NewReader(body)))
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		seconds, err := strconv.ParseFloat(response.Header.Get(standin.RetryAfterHeader), 64)
		require.NoError(t, err)
		return seconds
	}
	untilTrial := retryAfter("three crashes", 4*time.Second, 3*time.Second, 2*time.Second)
	require.Positive(t, untilTrial)
	require.LessOrEqual(t, untilTrial, 8.0)
	require.Greater(t, retryAfter("and a failed trial", 24*time.Second, 23*time.Second, 22*time.Second, 0), 60.0)
}

func TestRequestThatIsBlockedWhileItWaitsForASlotIsNotSent(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.store.Publish(1, "k1")
	release := make(chan struct{})
	var poisonRuns atomic.Int64
	s.addEndpoint("i-a", "full", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if bytes.Equal(body, poison) {
			poisonRuns.Add(1)
		}
		<-release
		_, _ = io.WriteString(w, "answer")
	})
	s.startNodes(1, 30)
	n := s.nodes[0]
	waiting := func() int { _, waiting := n.slots.counts(); return waiting }
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := 0; waiting() == 0; i++ {
		wg.Go(func() { n.post("/full/x", fmt.Sprintf("holder-%d", i), []byte("holder")) })
		time.Sleep(20 * time.Millisecond)
	}
	before := waiting()
	status := make(chan int, 1)
	go func() { status <- n.post("/full/x", "poison", poison) }()
	require.Eventually(t, func() bool { return waiting() > before }, time.Minute, time.Millisecond)
	n.blockAtOnce(fingerprint.Of(standin.Host+" "+standin.Workspace, http.MethodPost, "/full/x", poison))
	close(release)
	require.Equal(t, http.StatusServiceUnavailable, <-status)
	require.Zero(t, poisonRuns.Load())
}

// A request has crashes recorded at every host and runs to its end through one of them.
func TestCompletionThroughOneHostClearsCrashesOnAll(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.store.Publish(1, "k1")
	s.addEndpoint("i-a", "plain", nil)
	s.startNodes(3, 31)
	body := []byte("innocent")
	fp := fingerprint.Of(standin.Host+" "+standin.Workspace, http.MethodPost, "/once/x", body)
	for _, n := range s.nodes {
		n.crashes.handle(timer.BootClock(), peer.Datagram{From: "host-other", Crashes: []peer.Crash{
			{Fingerprint: fp, Endpoint: "i-x", StartedAt: 1}, {Fingerprint: fp, Endpoint: "i-y", StartedAt: 1},
		}})
		require.Equal(t, 2, n.recordedCrashes(fp))
	}
	require.Equal(t, http.StatusOK, s.nodes[0].post("/once/x", "id-1", body))
	for _, n := range s.nodes {
		require.Eventually(t, func() bool { return n.recordedCrashes(fp) == 0 }, time.Minute, time.Millisecond, "%s", n.cfg.Host)
	}
}

func (n *testNode) recordedCrashes(fp fingerprint.Fingerprint) int {
	n.crashes.mu.Lock()
	defer n.crashes.mu.Unlock()
	return len(n.crashes.registry.Crashes(fp))
}

// isBlocked reports whether the node would refuse a request with this fingerprint.
func (n *testNode) isBlocked(fp fingerprint.Fingerprint) bool {
	n.crashes.mu.Lock()
	defer n.crashes.mu.Unlock()
	return n.crashes.registry.Verdict(timer.BootClock(), fp) == fingerprint.Blocked
}

// Two hosts have blocked a request. One that starts afterwards, and one that missed the message, must block it too.
func TestHostsThatMissedTheCrashesLearnThem(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.store.Publish(1, "k1")
	s.startNodes(3, 32)
	const fp = fingerprint.Fingerprint(7)
	s.nodes[0].blockAtOnce(fp)
	require.True(t, s.nodes[0].isBlocked(fp))
	s.addNodes(2, 32)
	for _, n := range s.nodes {
		require.Eventually(t, func() bool { return n.isBlocked(fp) }, 20*time.Second, time.Millisecond, "%s", n.cfg.Host)
	}
}
