package site

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"balsamknot.org/fleet/timer"
	"balsamknot.org/platform/standin"
	"balsamknot.org/soak/checker"
	"balsamknot.org/soak/schedule"
)

const (
	// poisonPrefix begins the body of requests that crash endpoints.
	poisonPrefix = "poison "
	// meanPoisonGap is the mean time between two copies of such a request.
	meanPoisonGap = 250 * time.Millisecond
	// maxPoisonDowntime is the longest time for which an endpoint that such a request has crashed stays down.
	maxPoisonDowntime = 5 * time.Second
)

// poisonTargets are the routes to which requests that crash endpoints are sent.
var poisonTargets = []requestSpec{
	{method: http.MethodPost, path: "/once/x", kind: checker.NonIdempotent},
	{method: http.MethodPost, path: "/stream/x", kind: checker.Resumable},
	{method: http.MethodPost, path: checker.MovedPath, kind: checker.Idempotent},
}

func isPoison(body []byte) bool { return bytes.HasPrefix(body, []byte(poisonPrefix)) }

// crashForPoison crashes the endpoint for a random time.
func (e *endpoint) crashForPoison() {
	endFault := e.site.startEndpointFault(e.name)
	e.crash()
	e.site.wg.Go(func() {
		time.Sleep(rand.N(maxPoisonDowntime))
		e.restart()
		endFault()
	})
}

// sendPoison sends copies of a request that crashes endpoints through random hosts until the fault ends.
func (s *Site) sendPoison(ctx context.Context, f schedule.Fault) {
	target := poisonTargets[f.Endpoint%len(poisonTargets)]
	name := fmt.Sprintf("%s%d", poisonPrefix, f.At.Nanoseconds())
	end := s.Now() + f.For
	for n := 0; s.Now() < end; n++ {
		spec := target
		spec.id = fmt.Sprintf("poison-%d-%d", f.At.Milliseconds(), n)
		spec.key = keyName(int(s.newestKey.Load()))
		s.wg.Go(func() { s.sendPoisonCopy(ctx, rand.N(len(s.hosts)), spec, name) })
		if !timer.Sleep(ctx, time.Duration(rand.ExpFloat64()*float64(meanPoisonGap))) {
			return
		}
	}
}

func (s *Site) sendPoisonCopy(ctx context.Context, host int, spec requestSpec, body string) {
	ctx, cancel := context.WithTimeout(ctx, callerDeadline+deadlineSlack)
	defer cancel()
	r := standin.NewCall(s.hosts[host].callerLinks.tcpLinks[0].Address(), spec.method, spec.path, spec.id, spec.key, strings.NewReader(body)).WithContext(ctx)
	r.Close = true
	s.record(checker.RequestSent{
		Request: spec.id, Host: host, Kind: spec.kind, Path: spec.path, Key: spec.key, Deadline: s.Now() + callerDeadline, Poison: body,
	})
	result := checker.RequestCompleted{Request: spec.id}
	if response, err := http.DefaultTransport.RoundTrip(r); err == nil {
		defer response.Body.Close()
		if _, err := io.Copy(io.Discard, response.Body); err == nil {
			result.Status, result.Seal = response.StatusCode, response.Header.Get(standin.SealHeader)
		}
	}
	s.record(result)
}
