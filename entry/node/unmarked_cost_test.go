package node

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// answersTo sends n requests from a number of callers, one after another each, and returns how long the answers took, the shortest first.
func (s *testSite) answersTo(callers, n int) []time.Duration {
	var mu sync.Mutex
	var took []time.Duration
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for i := c; i < n; i += callers {
				began := time.Now()
				s.nodes[0].readAnswer("/again/x", fmt.Sprintf("id-%d", i))
				mu.Lock()
				took = append(took, time.Since(began))
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	slices.Sort(took)
	return took
}

// sendShort sends a whole short answer at once, framed or not.
func sendShort(w http.ResponseWriter, framed bool) {
	const text = "answer"
	if framed {
		_, _ = io.WriteString(w, text)
		return
	}
	sendRaw(w, "", text)
}

// Guards against LOST: sound unframed answers were taken for cut ones, since all connections to their endpoint that were open at their end ended soon as well.
func TestShortUnframedAnswersOfManyCallersAreComplete(t *testing.T) {
	t.Parallel()
	const answers, endpoints = 400, 3
	subnet := 62
	for _, framed := range []bool{true, false} {
		for _, callers := range []int{1, 16} {
			subnet++
			ownSubnet := subnet
			t.Run(fmt.Sprintf("framed %t, %d callers", framed, callers), func(t *testing.T) {
				t.Parallel()
				s := newSite(t)
				s.store.Publish(1, "k1")
				for i := range endpoints {
					s.addEndpoint(fmt.Sprintf("i-%d", i), "plain", func(w http.ResponseWriter, _ *http.Request) { sendShort(w, framed) })
				}
				s.startNodes(1, ownSubnet)
				took := s.answersTo(callers, answers)
				log := s.nodes[0].log
				dials := s.nodes[0].endpointConns.Dials()
				notConfirmed := log.count(`"Verdict":"unconfirmed"`) + log.count(`"Verdict":"broken off"`)
				t.Logf("median %v, 99th percentile %v, %d connections for %d answers, %d not confirmed", took[answers/2], took[answers*99/100], dials, answers, notConfirmed)
				require.LessOrEqual(t, notConfirmed, callers-1, "only the first answers of an endpoint lack a guard")
				require.LessOrEqual(t, dials, int64(answers+endpoints+3*callers))
			})
		}
	}
}
