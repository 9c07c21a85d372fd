package site

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"balsamknot.org/fleet/timer"
	"balsamknot.org/platform/standin"
	"balsamknot.org/soak/checker"
	"balsamknot.org/soak/schedule"
)

const (
	// poisonPrefix begins the body of requests that crash endpoints, and burstPrefix that of those that are sent in bursts of burstSize.
	poisonPrefix = "poison "
	burstPrefix  = poisonPrefix + "burst "
	burstSize    = 8
	// poisonPartPrefix begins the name of a part of a prompt that crashes engines. No other name of a part contains it.
	poisonPartPrefix = "bad"
	// sharedPart is the first part of all prompts.
	sharedPart = "5a"
	// meanPoisonGap is the mean time between two copies of such a request.
	meanPoisonGap = 250 * time.Millisecond
	// maxPoisonDowntime is the longest time for which an endpoint that such a request has crashed stays down. After a burst all stay
	// down for burstDowntime, which exceeds the time within which hosts must block the request.
	maxPoisonDowntime = 5 * time.Second
	burstDowntime     = 3600 * time.Millisecond
)

// poisonTargets are the routes to which requests that crash endpoints are sent.
var poisonTargets = []requestSpec{
	{method: http.MethodPost, path: "/once/x", kind: checker.NonIdempotent},
	{method: http.MethodPost, path: "/stream/x", kind: checker.Resumable},
	{method: http.MethodPost, path: checker.MovedPath, kind: checker.Idempotent},
}

func isPoison(body []byte) bool { return bytes.HasPrefix(body, []byte(poisonPrefix)) }

func isBurst(body []byte) bool { return bytes.HasPrefix(body, []byte(burstPrefix)) }

// crashForPoison crashes the endpoint for the given time.
func (e *endpoint) crashForPoison(downtime time.Duration) {
	endFault := e.site.startEndpointFault(e.name)
	e.crash()
	e.site.wg.Go(func() {
		time.Sleep(downtime)
		e.restart()
		endFault()
	})
}

// sendPoison sends copies of a request that crashes endpoints through random hosts until the fault ends.
func (s *Site) sendPoison(ctx context.Context, f schedule.Fault) {
	target := poisonTargets[f.Endpoint%len(poisonTargets)]
	prefix, copies := poisonPrefix, 1
	if f.Action == schedule.SendPoisonBurst {
		prefix, copies = burstPrefix, burstSize
	}
	name := fmt.Sprintf("%s%d", prefix, f.At.Nanoseconds())
	s.repeat(ctx, f, copies, func(id string) {
		spec := target
		spec.id = id
		s.sendPoisonCopy(ctx, spec, name, checker.RequestSent{Poison: name})
	})
}

// sendPoisonPart sends different requests through random hosts until the fault ends. One part of their prompts crashes engines.
func (s *Site) sendPoisonPart(ctx context.Context, f schedule.Fault) {
	name := fmt.Sprintf("%s%05x", poisonPartPrefix, f.At.Milliseconds())
	s.repeat(ctx, f, 1, func(id string) {
		parts := []string{sharedPart, name}
		if rand.N(2) == 0 {
			parts = []string{sharedPart, strconv.Itoa(rand.N(sharedPartCount)), name}
		}
		spec := requestSpec{id: id, method: http.MethodPost, path: "/stream/x", kind: checker.Resumable, parts: parts}
		s.sendPoisonCopy(ctx, spec, "body of "+id, checker.RequestSent{Poison: name, PoisonPart: true})
	})
}

// repeat calls send with a new request ID, copies times at random intervals, until the fault ends. The calls do not wait for each other.
func (s *Site) repeat(ctx context.Context, f schedule.Fault, copies int, send func(id string)) {
	end := s.Now() + f.For
	for n := 0; s.Now() < end; n++ {
		for i := range copies {
			s.wg.Go(func() { send(fmt.Sprintf("poison-%d-%d-%d", f.At.Milliseconds(), n, i)) })
		}
		if !timer.Sleep(ctx, time.Duration(rand.ExpFloat64()*float64(meanPoisonGap))) {
			return
		}
	}
}

// sendPoisonCopy sends a request that crashes endpoints through a random host. sent says what crashes them.
func (s *Site) sendPoisonCopy(ctx context.Context, spec requestSpec, body string, sent checker.RequestSent) {
	host := rand.N(len(s.hosts))
	spec.key = keyName(int(s.newestKey.Load()))
	ctx, cancel := context.WithTimeout(ctx, callerDeadline+deadlineSlack)
	defer cancel()
	r := s.newCall(ctx, host, spec, strings.NewReader(body), sent)
	r.Close = true
	result := checker.RequestCompleted{Request: spec.id}
	if response, err := http.DefaultTransport.RoundTrip(r); err == nil {
		defer response.Body.Close()
		if _, err := io.Copy(io.Discard, response.Body); err == nil {
			result.Status, result.Seal = response.StatusCode, response.Header.Get(standin.SealHeader)
		}
	}
	s.record(result)
}
