package site

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"balsamknot.org/fleet/timer"
	"balsamknot.org/platform/standin"
	"balsamknot.org/soak/checker"
)

// caller sends one request after the other, over a connection that it keeps until it breaks or the caller switches hosts.
type caller struct {
	site      *Site
	index     int
	random    *rand.Rand
	transport *http.Transport
	// host is the number of the host that it uses. A sticky caller stays there until a request fails, even if the host
	// is no longer ready.
	host   int
	sticky bool
	// streams is true for one that sends only requests for streams.
	streams bool
	// requests is the number of requests so far.
	requests int
}

const (
	// meanThinkTime is the mean of the exponentially distributed time between a response and the next request.
	meanThinkTime = 20 * time.Millisecond
	// callerDeadline is how long a host has to respond; standin.NewCall sends the same time in a header. Callers wait
	// deadlineSlack longer, so that they also see late responses.
	callerDeadline = 2 * time.Second
	deadlineSlack  = 1500 * time.Millisecond
	// disconnectShare is the share of requests whose caller disconnects early, at a random time before maxDisconnectDelay.
	disconnectShare    = 0.06
	maxDisconnectDelay = 80 * time.Millisecond
	// oldKeyShare is the share of requests that use an old API key: one of the oldKeyCount keys up to the oldest valid one.
	oldKeyShare = 0.1
	oldKeyCount = 4
	// callerRandomStream is the second seed of the random generator of caller 0. The others have the numbers after it.
	callerRandomStream = 11
	// deniedPause is how long a caller waits after a response with status 401.
	deniedPause = 200 * time.Millisecond
)

func (s *Site) newCaller(index int) *caller {
	return &caller{
		site: s, index: index, random: rand.New(rand.NewPCG(s.cfg.Seed, callerRandomStream+uint64(index))),
		transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true},
		host:      index % len(s.hosts), sticky: index%2 == 0,
	}
}

func (c *caller) run(ctx context.Context) {
	defer c.transport.CloseIdleConnections()
	for c.think(ctx) {
		c.sendNext(ctx)
	}
}

// think waits for the time between a response and the next request. It returns false if ctx has ended.
func (c *caller) think(ctx context.Context) bool {
	return timer.Sleep(ctx, time.Duration(c.random.ExpFloat64()*float64(meanThinkTime)))
}

// sendNext sends the next request, through another host if the present one is not ready or the request before failed.
func (c *caller) sendNext(ctx context.Context) {
	if !c.sticky && !c.site.hosts[c.host].ready.Load() {
		c.switchHost()
	}
	if !c.send(ctx) {
		c.switchHost()
	}
}

// switchHost closes the connection and selects a random host. It makes as many attempts as there are hosts to find a ready
// one.
func (c *caller) switchHost() {
	c.transport.CloseIdleConnections()
	for range c.site.hosts {
		c.host = c.random.IntN(len(c.site.hosts))
		if c.site.hosts[c.host].ready.Load() {
			return
		}
	}
}

// requestSpec describes one request and how often it may be executed.
type requestSpec struct {
	id, method, path, key string
	kind                  checker.Kind
	// resumes is the ID of the request that began the stream which this one takes up after the event number after, as written by an
	// endpoint of version; empty for other requests.
	resumes, version string
	after            int
	// parts are the names of the parts of the prompt that requests share; empty for plain services.
	parts []string
	// ownPart is what the name of the request's own part of the prompt is derived from; empty for the ID.
	ownPart string
}

// sharedPartCount is the number of parts that follow sharedPart in the prompts of callers.
const sharedPartCount = 5

// newCall returns a request through a host, and records that it is sent. sent holds what spec does not say of it.
func (s *Site) newCall(ctx context.Context, host int, spec requestSpec, body io.Reader, sent checker.RequestSent) *http.Request {
	r := standin.NewCall(s.hosts[host].callerLinks.tcpLinks[0].Address(), spec.method, spec.path, spec.id, spec.key, body).WithContext(ctx)
	spec.setParts(r)
	sent.Request, sent.Host, sent.Kind, sent.Path, sent.Key = spec.id, host, spec.kind, spec.path, spec.key
	sent.Deadline = s.Now() + callerDeadline
	s.record(sent)
	return r
}

// setParts sets the header with the parts of the prompt, the last of which is the request's own.
func (spec requestSpec) setParts(r *http.Request) {
	if len(spec.parts) == 0 {
		return
	}
	own := fnv.New64a()
	_, _ = io.WriteString(own, cmp.Or(spec.ownPart, spec.id))
	r.Header.Set(standin.PromptPartsHeader, standin.PromptOf(spec.parts, strconv.FormatUint(own.Sum64(), 10)))
}

func (c *caller) nextRequest() requestSpec {
	c.requests++
	// Service times and the lengths of streams depend on the length of the id, so it varies.
	spec := requestSpec{id: fmt.Sprintf("c%d-%d-%s", c.index, c.requests, strings.Repeat("x", c.random.IntN(30)))}
	spec.key = keyName(max(int(c.site.newestKey.Load())-c.random.IntN(validKeyCount), 0))
	if c.random.Float64() < oldKeyShare {
		spec.key = keyName(max(int(c.site.newestKey.Load())-validKeyCount+1-c.random.IntN(oldKeyCount), 0))
	}
	switch n := c.random.IntN(10); {
	case c.streams:
		c.askForStream(&spec)
	case n < 4:
		spec.method, spec.path, spec.kind = http.MethodPost, "/once/x", checker.NonIdempotent
	case n < 6:
		spec.method, spec.path, spec.kind = http.MethodGet, "/again/x", checker.Idempotent
	case n < 8:
		spec.method, spec.path, spec.kind = http.MethodGet, checker.MovedPath, checker.Idempotent
	default:
		c.askForStream(&spec)
	}
	return spec
}

// askForStream makes a request one for a stream.
func (c *caller) askForStream(spec *requestSpec) {
	spec.method, spec.path, spec.kind = http.MethodPost, c.site.streamPath(), checker.Resumable
	spec.parts = []string{sharedPart, strconv.Itoa(c.requests % sharedPartCount)}
}

// send sends a request and records its result. It returns false if the request failed, so that the caller should switch to
// another host.
func (c *caller) send(ctx context.Context) bool {
	spec, runCtx := c.nextRequest(), ctx
	ctx, cancel := context.WithTimeout(ctx, callerDeadline+deadlineSlack)
	defer cancel()
	disconnects := false
	if c.random.Float64() < disconnectShare {
		disconnectCtx, disconnect := context.WithCancel(ctx)
		defer time.AfterFunc(time.Duration(c.random.Int64N(int64(maxDisconnectDelay))), disconnect).Stop()
		ctx, disconnects = disconnectCtx, true
	}
	var body io.Reader
	if spec.method == http.MethodPost {
		body = strings.NewReader("body of " + spec.id)
	}
	r := c.site.newCall(ctx, c.host, spec, body, checker.RequestSent{SharesPart: len(spec.parts) > 0 && c.site.surges.Load() == 0})
	result, pause, broken := c.exchange(r, spec)
	if result.Status == 0 && result.Defect == "" && disconnects && ctx.Err() != nil {
		c.site.record(checker.CallerDisconnected{Request: spec.id})
		return true
	}
	c.site.record(result)
	if broken.after > 0 && ctx.Err() == nil {
		if c.site.lateLists.Load() > 0 {
			return c.takeUpLater(runCtx, broken)
		}
		return c.takeUp(ctx, broken)
	}
	timer.Sleep(ctx, pause)
	return result.Status > 0 && result.Status < http.StatusInternalServerError
}

// exchange sends a request, reads the response and checks it. It also returns how long the caller waits before its next request and, if
// the response is a stream that broke off after an event, the request that takes it up.
func (c *caller) exchange(r *http.Request, spec requestSpec) (result checker.RequestCompleted, pause time.Duration, broken requestSpec) {
	result.Request = spec.id
	response, err := c.transport.RoundTrip(r)
	if err != nil {
		return result, 0, broken
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	result.Mixed = response.StatusCode == http.StatusOK && spec.mixed(string(body))
	if err != nil {
		result.Defect = spec.cutDefect(response.StatusCode, result.Mixed, string(body))
		return result, 0, spec.broken(response.StatusCode, string(body))
	}
	result.Status, result.Seal = response.StatusCode, response.Header.Get(standin.SealHeader)
	switch response.StatusCode {
	case http.StatusOK:
		if result.Mixed {
			break
		}
		result.Defect = c.defect(spec, result.Seal, string(body))
	case http.StatusServiceUnavailable:
		pause = retryAfter(response.Header)
	case http.StatusUnauthorized:
		pause = deniedPause
	}
	return result, pause, broken
}

// defect describes what is wrong with a response of status 200; it is empty if the response is correct. The seal is the value of
// a header that only endpoints add, so that a response without it was generated by a host.
func (c *caller) defect(spec requestSpec, seal, body string) string {
	want := plainBody(spec.id)
	if spec.kind == checker.Resumable {
		events, rest := numberedEvents(body)
		body = strings.Join(events, "") + rest
		want = spec.streamBody(body)
	}
	switch {
	case seal == "":
		return "status 200 without the seal of an endpoint"
	case spec.kind == checker.Resumable && spec.misplaced(body) != "":
		return "events out of order: " + spec.misplaced(body)
	case body != want:
		return fmt.Sprintf("the body differs from the expected one, %d bytes instead of %d: %.200q", len(body), len(want), body)
	}
	return ""
}

// cutDefect describes what is wrong with a response that broke off; it is empty if what came of it is correct.
func (spec requestSpec) cutDefect(status int, mixed bool, body string) string {
	if spec.kind != checker.Resumable || status != http.StatusOK || mixed {
		return ""
	}
	if misplaced := spec.misplaced(body); misplaced != "" {
		return "broke off after events out of order: " + misplaced
	}
	return ""
}

// retryAfter returns the time in a Retry-After header, given in seconds; 0 if there is none.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get(standin.RetryAfterHeader), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
