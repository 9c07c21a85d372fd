package node

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/site"
	"balsamknot.org/fleet/timer"
	"balsamknot.org/platform"
)

// callers serves those who ask.
type callers struct {
	n *Node
	// flying counts requests that were read and not yet answered.
	flying atomic.Int64

	mu   sync.Mutex
	idle map[net.Conn]time.Time
}

const (
	// streamRoom is the time that a stream may need, and turnedReturn when a caller may come back, to another host.
	streamRoom   = 4 * time.Second
	turnedReturn = 50 * time.Millisecond
	// firstSetLimit is how long a request waits for the first set of a process that has just started.
	firstSetLimit = 250 * time.Millisecond
	// unknownReturn is when to come back to a host that does not know the set yet.
	unknownReturn = 300 * time.Millisecond
	// defaultPatience is assumed of callers that don't say how long they wait.
	defaultPatience = 30 * time.Second
	// defaultIdle and defaultBody hold before the first set.
	defaultIdle = 60 * time.Second
	defaultBody = 4 << 20
)

func newCallers(n *Node) *callers {
	return &callers{n: n, idle: make(map[net.Conn]time.Time)}
}

func (c *callers) server() *http.Server {
	return &http.Server{
		Handler: c, ReadHeaderTimeout: headerLimit, MaxHeaderBytes: headerBytes, ConnState: c.noteState,
		DisableGeneralOptionsHandler: true, ErrorLog: nil,
	}
}

// noteState remembers since when a caller's connection is idle.
func (c *callers) noteState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.idle[conn] = timer.BootClock()
		return
	}
	delete(c.idle, conn)
}

// sweep closes connections that were idle for longer than the set allows.
func (c *callers) sweep(now time.Time) {
	limit := defaultIdle
	if set, _ := c.n.beliefs.set(now); set != nil && set.Limits.IdleTimeout > 0 {
		limit = set.Limits.IdleTimeout
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idle {
		if now.Sub(since) > limit {
			delete(c.idle, conn)
			_ = conn.Close()
		}
	}
}

// closeIdle closes all connections that were idle for a moment: their callers turn to other hosts.
func (c *callers) closeIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idle {
		if now.Sub(since) > idleMoment {
			delete(c.idle, conn)
			_ = conn.Close()
		}
	}
}

// idleMoment is the time in which a caller's next request may be on its way.
const idleMoment = 200 * time.Millisecond

// request is one caller's request with what was found out about it.
type request struct {
	w     http.ResponseWriter
	r     *http.Request
	call  platform.Call
	start time.Time
	// deadline is when neither caller nor route wait any longer.
	deadline  time.Time
	set       *site.Set
	route     *site.Route
	service   site.ServiceName
	workspace site.WorkspaceName
	body      []byte
	// resumed is the last event that was delivered.
	resumed string
	// endpoint got the request last.
	endpoint endpoint.ID
	// cause says why the latest try ended.
	cause string
	// first is when the caller got the first byte of an answer.
	first time.Time
}

// line begins a log line about the request.
func (q *request) line(log zerolog.Logger, level zerolog.Level, number event.Number) *zerolog.Event {
	line := event.LogText(log, level, number).Str("Request", q.call.ID)
	if q.route != nil {
		line = line.Str("Route", string(q.route.Name)).Str("Service", string(q.service))
	}
	if q.set != nil {
		line = line.Int64("Version", int64(q.set.Version))
	}
	return line
}

// ServeHTTP answers one request.
func (c *callers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.flying.Add(1)
	defer c.flying.Add(-1)
	q := &request{w: w, r: r, call: platform.ReadCall(r.Header), start: timer.BootClock()}
	if c.n.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if !c.admit(q) || !c.readBody(q) || !c.fits(q) {
		return
	}
	if c.n.crashes.condemned(q.start, q) {
		q.cause = "the request crashed endpoints before"
		c.n.refuse(q, http.StatusServiceUnavailable, 0)
		return
	}
	c.n.serve(q)
}

// admit finds the request's route and workspace, or answers it.
func (c *callers) admit(q *request) bool {
	set, valid := c.n.beliefs.set(q.start)
	if set == nil {
		c.n.beliefs.await(q.r.Context(), firstSetLimit)
		set, valid = c.n.beliefs.set(timer.BootClock())
	}
	if !valid {
		q.cause = "no set, or one that was not confirmed in time"
		q.w.Header().Set("Connection", "close")
		c.n.refuse(q, http.StatusServiceUnavailable, unknownReturn)
		return false
	}
	q.set = set
	if q.call.TimeLeft == 0 {
		q.call.TimeLeft = defaultPatience
	}
	path, _, _ := strings.Cut(q.r.RequestURI, "?")
	route, found := set.Match(q.r.Host, path)
	if !found {
		q.cause = "no route for " + q.r.Host + path
		c.n.refuse(q, http.StatusNotFound, 0)
		return false
	}
	q.route = route
	if !route.Public && len(set.Workspaces) > 0 {
		workspace, known := set.Keys[site.APIKey(q.call.Key)]
		if !known {
			q.cause = "no workspace has this key"
			c.n.refuse(q, http.StatusUnauthorized, 0)
			return false
		}
		q.workspace = workspace
	}
	q.service = route.Service(q.call.ID)
	q.deadline = q.start.Add(q.call.TimeLeft)
	if route.Timeout > 0 && route.Timeout < q.call.TimeLeft {
		q.deadline = q.start.Add(route.Timeout)
	}
	return true
}

// fits turns a stream away that a stopping host could not carry to its end.
func (c *callers) fits(q *request) bool {
	if !q.route.Streaming || !c.n.stopsWithin(q.start, streamRoom) {
		return true
	}
	q.cause = "the host stops before a stream could end"
	c.n.refuse(q, http.StatusServiceUnavailable, turnedReturn)
	return false
}

// readBody reads the whole body, so that it can be sent at once, and again where that is allowed.
func (c *callers) readBody(q *request) bool {
	if q.r.ContentLength == 0 {
		return true
	}
	limit := q.set.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	_ = http.NewResponseController(q.w).SetReadDeadline(time.Now().Add(q.deadline.Sub(timer.BootClock())))
	body, err := io.ReadAll(http.MaxBytesReader(q.w, q.r.Body, limit))
	_ = http.NewResponseController(q.w).SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		q.cause = "the body is too large"
		c.n.refuse(q, http.StatusRequestEntityTooLarge, 0)
		return false
	case err != nil:
		c.n.left(q)
	}
	q.body = body
	return true
}

// refuse answers with the system's own status; after says when to come back.
func (n *Node) refuse(q *request, status int, after time.Duration) {
	h := q.w.Header()
	platform.SetRefusalHeaders(h, q.call.ID, after)
	h.Set("Content-Type", "text/plain")
	text := http.StatusText(status) + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	q.w.WriteHeader(status)
	_, _ = io.WriteString(q.w, text)
	now := timer.BootClock()
	q.line(n.log, zerolog.WarnLevel, event.RequestRefused).Int("Status", status).Str("Cause", q.cause).
		Str("Endpoint", string(q.endpoint)).Dur("RetryAfterMs", after).Dur("BeliefMs", n.beliefs.age(now)).
		Dur("TotalMs", now.Sub(q.start)).Send()
	n.meter.finished(q, refusalOf(status))
}

// refusalOf tells refusals, which promise that the request did not run, from failures.
func refusalOf(status int) outcome {
	if status == http.StatusBadGateway || status == http.StatusGatewayTimeout {
		return outcomeFailed
	}
	return outcomeRefused
}

// allowed reports whether the newest set still holds the caller's key, and is known well enough to say so.
func (n *Node) allowed(now time.Time, q *request) bool {
	set, valid := n.beliefs.set(now)
	if !valid {
		return false
	}
	if q.route.Public || len(set.Workspaces) == 0 {
		return true
	}
	workspace, known := set.Keys[site.APIKey(q.call.Key)]
	return known && workspace == q.workspace
}

// gone reports whether the caller has left.
func (q *request) gone() bool { return errors.Is(q.r.Context().Err(), context.Canceled) }
