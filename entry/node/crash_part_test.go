package node

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/platform/standin"
)

const (
	// crashesToBlockPart is the number of crashes that must block a part of a prompt. Later than stableTime after that, allowedRetries
	// further requests with it may reach endpoints.
	crashesToBlockPart = 5
	// poisonPart is the part that crashes engines, and commonPart one that all requests share.
	poisonPart, commonPart = "bad", "c0"
	// engineAbsence is how long an engine is away after a crash.
	engineAbsence = 3200 * time.Millisecond
)

// partCase is one way in which a part of a prompt crashes engines.
type partCase struct {
	// end is what an engine does when it begins to answer a prompt with the part.
	end ending
	// parts returns the parts of the n-th prompt that crashes engines, without the last.
	parts func(n int) []string
	// gap is the time between two such requests.
	gap time.Duration
	// newHostsAfter is the number of hosts that start after the fifth crash.
	newHostsAfter int
	// unframed makes all streams end with their connections only.
	unframed bool
}

// partSite is a site whose engines crash under prompts with poisonPart.
type partSite struct {
	*poisonSite
	// often and rare count the sound requests that share their first part with those that crash engines, and those with a part of
	// their own that comes less often than engines crash.
	often, rare soundCount
	wg          sync.WaitGroup
}

// soundCount counts sound requests, and those that an engine answered at the first attempt.
type soundCount struct{ sent, begun atomic.Int64 }

// requireHalfBegun checks that half of the requests began at the first attempt, as they all do without crashes.
func (c *soundCount) requireHalfBegun(t *testing.T) {
	t.Helper()
	t.Logf("of %d sound requests %d were served", c.sent.Load(), c.begun.Load())
	require.NotZero(t, c.sent.Load())
	require.GreaterOrEqual(t, 2*c.begun.Load(), c.sent.Load())
}

// sendSound sends sound requests until stop is closed, and counts those that are sent later than twice stableTime after the fifth crash.
func (s *partSite) sendSound(name string, gap time.Duration, stop <-chan struct{}, count *soundCount, parts func(n int) []string) {
	s.every(gap, stop, func(n *testNode, i int) {
		counts := s.sinceCrash(crashesToBlockPart) > 2*stableTime
		status := s.post(n, fmt.Sprintf("%s-%d", name, i), parts(i))
		if !counts {
			return
		}
		count.sent.Add(1)
		if status == http.StatusOK {
			count.begun.Add(1)
		}
	})
}

func newPartSite(t *testing.T, c partCase, engines int) *partSite {
	s := &partSite{poisonSite: &poisonSite{testSite: newSite(t), ended: map[*standin.Endpoint]bool{}}}
	s.store.Publish(1, "k1")
	for i := range engines {
		var e *standin.Endpoint
		ready := make(chan struct{})
		e = s.addEndpoint(fmt.Sprintf("i-%d", i), "engines", func(w http.ResponseWriter, r *http.Request) {
			<-ready
			if standin.SharesPart(r, poisonPart) {
				_, _ = io.Copy(io.Discard, r.Body)
				s.beginRun()
				s.crash(e, w, r, c.end)
			}
			if c.unframed {
				sendUnframed(w)
				return
			}
			for n := range 4 {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: a\n\n", n+1)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(10 * time.Millisecond)
			}
		})
		close(ready)
	}
	t.Cleanup(s.poisonSite.wg.Wait)
	t.Cleanup(s.wg.Wait)
	return s
}

// sendUnframed sends a stream that only the end of its connection ends.
func sendUnframed(w http.ResponseWriter) {
	conn, err := standin.BeginRaw(w, "")
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "id: 1\ndata: a\n\n")
	time.Sleep(20 * time.Millisecond)
}

// post sends a prompt through a node and returns the status; 0 if there was no complete answer.
func (s *partSite) post(n *testNode, id string, parts []string) int {
	r := standin.NewCall(n.cfg.CallerAddress, http.MethodPost, "/stream/x", id, "k1", bytes.NewReader([]byte(id)))
	r.Header.Set(standin.PromptPartsHeader, standin.PromptOf(parts, fmt.Sprintf("%x", id)))
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// every calls send with 0, 1 and so on, a node each time, until stop is closed. The calls do not wait for each other.
func (s *partSite) every(gap time.Duration, stop <-chan struct{}, send func(n *testNode, i int)) {
	s.wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(gap):
			}
			s.mu.Lock()
			n := s.nodes[i%len(s.nodes)]
			s.mu.Unlock()
			s.wg.Go(func() { send(n, i) })
		}
	})
}

// partCases are the ways in which a part of a prompt crashes engines.
func partCases() map[string]partCase {
	first := func(int) []string { return []string{poisonPart, commonPart} }
	second := func(int) []string { return []string{commonPart, poisonPart} }
	base := partCase{end: afterFirstEvent(returnsAsAnother(engineAbsence)), parts: second, gap: 250 * time.Millisecond}
	with := func(change func(c *partCase)) partCase {
		c := base
		change(&c)
		return c
	}
	return map[string]partCase{
		"second part":      base,
		"first part":       with(func(c *partCase) { c.parts = first }),
		"only shared part": with(func(c *partCase) { c.parts = func(int) []string { return []string{poisonPart} } }),
		"with other parts": with(func(c *partCase) {
			c.parts = func(n int) []string { return []string{commonPart, fmt.Sprintf("%x", 1000+n), poisonPart} }
		}),
		"before the answer":      with(func(c *partCase) { c.end = returnsAsAnother(engineAbsence) }),
		"back under the same ID": with(func(c *partCase) { c.end = afterFirstEvent(returns(engineAbsence)) }),
		"stays away":             with(func(c *partCase) { c.end = afterFirstEvent(staysAway) }),
		"in an unframed answer":  with(func(c *partCase) { c.end, c.unframed = withUnmarkedEnd(returnsAsAnother(engineAbsence)), true }),
		"in unframed answers, in quick succession": with(func(c *partCase) {
			c.end, c.unframed, c.gap = withUnmarkedEnd(returnsAsAnother(engineAbsence)), true, 60*time.Millisecond
		}),
		"in quick succession":        with(func(c *partCase) { c.gap = 60 * time.Millisecond }),
		"hosts that start meanwhile": with(func(c *partCase) { c.newHostsAfter = 2 }),
	}
}

// afterFirstEvent makes an engine end, as end does, after the first event of its answer.
func afterFirstEvent(end ending) ending {
	return func(s *poisonSite, e *standin.Endpoint, w http.ResponseWriter) {
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
		_ = http.NewResponseController(w).Flush()
		end(s, e, w)
	}
}

func TestPartOfPromptThatCrashesEnginesIsBlockedAndSoundRequestsBesideItAreServed(t *testing.T) {
	t.Parallel()
	const engines, oftenGap, rareGap = 18, 40 * time.Millisecond, 900 * time.Millisecond
	subnet := 120
	for name, c := range partCases() {
		subnet++
		ownSubnet := subnet
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newPartSite(t, c, engines)
			s.startNodes(3, ownSubnet)
			stop := make(chan struct{})
			s.every(c.gap, stop, func(n *testNode, i int) { s.post(n, fmt.Sprintf("poison-%d", i), c.parts(i)) })
			s.sendSound("often", oftenGap, stop, &s.often, func(n int) []string { return []string{commonPart, fmt.Sprintf("%x", n%7)} })
			s.sendSound("rare", rareGap, stop, &s.rare, func(int) []string { return []string{"d0"} })
			require.Eventually(t, func() bool { return s.crashes.Load() >= crashesToBlockPart }, time.Minute, 10*time.Millisecond)
			if c.newHostsAfter > 0 {
				s.mu.Lock()
				s.addNodes(c.newHostsAfter, ownSubnet)
				s.mu.Unlock()
			}
			time.Sleep(4 * stableTime)
			close(stop)
			s.wg.Wait()
			s.logCrashEvents()
			s.logTimes()
			t.Logf("%d engines ended, %d late", s.crashes.Load(), s.lateRuns(crashesToBlockPart))
			require.LessOrEqual(t, s.lateRuns(crashesToBlockPart), allowedRetries)
			s.often.requireHalfBegun(t)
			s.rare.requireHalfBegun(t)
		})
	}
}
