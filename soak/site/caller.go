package site

import (
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
	"balsamknot.org/soak/promise"
)

// caller asks again and again, over a connection that it keeps until it breaks.
type caller struct {
	s      *Site
	number int
	r      *rand.Rand
	client *http.Transport
	// host is the one that it uses; faithful callers stay there while their connection holds, even when it takes no more callers.
	host     int
	faithful bool
	asked    int
}

const (
	// thinking is the mean time between an answer and the next request.
	thinking = 20 * time.Millisecond
	// patience is how long callers say that they wait, and overtime how much longer they do.
	patience = 2 * time.Second
	overtime = 1500 * time.Millisecond
	// leaveShare of the callers leave early, within leaveWithin.
	leaveShare  = 0.06
	leaveWithin = 80 * time.Millisecond
	// oldKeyShare of the requests use a key that is about to go or gone.
	oldKeyShare = 0.1
	oldKeys     = 4
	callStream  = 11
	// afterDenial is how long a caller pauses whose key was not accepted.
	afterDenial = 200 * time.Millisecond
)

func (s *Site) newCaller(number int) *caller {
	return &caller{
		s: s, number: number, r: rand.New(rand.NewPCG(s.cfg.Seed, callStream+uint64(number))),
		client: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true},
		host:   number % len(s.hosts), faithful: number%2 == 0,
	}
}

func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for timer.Sleep(ctx, time.Duration(c.r.ExpFloat64()*float64(thinking))) {
		if !c.faithful && !c.s.hosts[c.host].ready.Load() {
			c.turn()
		}
		if !c.ask(ctx) {
			c.turn()
		}
	}
}

// turn goes to another host, one that takes callers if there is any.
func (c *caller) turn() {
	c.client.CloseIdleConnections()
	for range c.s.hosts {
		c.host = c.r.IntN(len(c.s.hosts))
		if c.s.hosts[c.host].ready.Load() {
			return
		}
	}
}

// call is one request and what is right for it.
type call struct {
	id, method, path, key string
	kind                  promise.Kind
}

func (c *caller) next() call {
	c.asked++
	// The id's length varies, and with it a stream's.
	q := call{id: fmt.Sprintf("c%d-%d-%s", c.number, c.asked, strings.Repeat("x", c.r.IntN(30)))}
	q.key = keyName(max(int(c.s.newest.Load())-c.r.IntN(liveKeys), 0))
	if c.r.Float64() < oldKeyShare {
		q.key = keyName(max(int(c.s.newest.Load())-liveKeys+1-c.r.IntN(oldKeys), 0))
	}
	switch n := c.r.IntN(10); {
	case n < 4:
		q.method, q.path, q.kind = http.MethodPost, "/once/x", promise.Once
	case n < 6:
		q.method, q.path, q.kind = http.MethodGet, "/again/x", promise.Again
	case n < 8:
		q.method, q.path, q.kind = http.MethodGet, promise.MovedPath, promise.Again
	default:
		q.method, q.path, q.kind = http.MethodPost, "/stream/x", promise.Stream
	}
	return q
}

// ask sends a request and tells how it ended; false if the caller had better turn to another host.
func (c *caller) ask(ctx context.Context) bool {
	q := c.next()
	ctx, cancel := context.WithTimeout(ctx, patience+overtime)
	defer cancel()
	left := false
	if c.r.Float64() < leaveShare {
		early, leave := context.WithCancel(ctx)
		defer time.AfterFunc(time.Duration(c.r.Int64N(int64(leaveWithin))), leave).Stop()
		ctx, left = early, true
	}
	var body io.Reader
	if q.method == http.MethodPost {
		body = strings.NewReader("body of " + q.id)
	}
	r := standin.NewCall(c.s.hosts[c.host].callers.streams[0].Address(), q.method, q.path, q.id, q.key, body).WithContext(ctx)
	c.s.tell(promise.Sent{Request: q.id, Host: c.host, Kind: q.kind, Path: q.path, Key: q.key, Deadline: c.s.Now() + patience})
	answer := c.exchange(r, q)
	if answer.Status == 0 && left && ctx.Err() != nil {
		c.s.tell(promise.Left{Request: q.id})
		return true
	}
	c.s.tell(answer)
	return answer.Status > 0 && answer.Status < http.StatusInternalServerError
}

// exchange sends a request and checks its answer.
func (c *caller) exchange(r *http.Request, q call) promise.Answered {
	answer := promise.Answered{Request: q.id}
	response, err := c.client.RoundTrip(r)
	if err != nil {
		return answer
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer
	}
	answer.Status, answer.Seal = response.StatusCode, response.Header.Get(standin.SealHeader)
	switch response.StatusCode {
	case http.StatusOK:
		answer.Wrong = c.wrong(q, answer.Seal, string(body))
	case http.StatusServiceUnavailable:
		c.wait(r.Context(), response.Header.Get(standin.RetryAfterHeader))
	case http.StatusUnauthorized:
		timer.Sleep(r.Context(), afterDenial)
	}
	return answer
}

// wrong says what is wrong with a success; empty if nothing is.
func (c *caller) wrong(q call, seal, body string) string {
	want := plainBody(q.id)
	if q.kind == promise.Stream {
		want = streamBody(q.id)
	}
	switch {
	case seal == "":
		return "a success that no endpoint sealed"
	case body != want:
		return fmt.Sprintf("the body has %d bytes of %d, or others: %.200q", len(body), len(want), body)
	}
	return ""
}

// wait comes back when the answer says.
func (c *caller) wait(ctx context.Context, after string) {
	if seconds, err := strconv.ParseFloat(after, 64); err == nil {
		timer.Sleep(ctx, time.Duration(seconds*float64(time.Second)))
	}
}
