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
	"balsamknot.org/entry/connection"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/fingerprint"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/memory"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/site"
	"balsamknot.org/fleet/stream"
	"balsamknot.org/fleet/timer"
	"balsamknot.org/platform"
)

// callerHandler is the HTTP handler for callers' requests.
type callerHandler struct {
	n *Node
	// inFlight is the number of requests whose headers were read and that have not ended.
	inFlight atomic.Int64

	mu sync.Mutex
	// idleSince holds when each idle connection of a caller became idle.
	idleSince map[net.Conn]time.Time
	// open holds the connections of callers for which memory is taken.
	open map[net.Conn]bool
}

const (
	// firstSetTimeout is how long a request waits for the first configuration set of a process that has just started.
	firstSetTimeout = 250 * time.Millisecond
	// notReadyRetryAfter is the retry-after time when the host has no configuration set, or one that is too old.
	notReadyRetryAfter = 300 * time.Millisecond
	// defaultCallerTimeout is the time limit of requests whose caller sent none.
	defaultCallerTimeout = 30 * time.Second
	// defaultIdleTimeout and defaultMaxBodyBytes apply when the configuration set gives no limit or is not known yet.
	defaultIdleTimeout  = 60 * time.Second
	defaultMaxBodyBytes = 4 << 20
)

func newCallerHandler(n *Node) *callerHandler {
	return &callerHandler{n: n, idleSince: make(map[net.Conn]time.Time), open: make(map[net.Conn]bool)}
}

func (c *callerHandler) httpServer() *http.Server {
	return &http.Server{
		Handler: c, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: c.recordConnState,
		DisableGeneralOptionsHandler: true, ErrorLog: nil,
	}
}

// recordConnState records when a caller's connection becomes idle. It takes memory for a new one, which it closes if there is none.
func (c *callerHandler) recordConnState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.idleSince, conn)
	switch state {
	case http.StateNew:
		if !c.n.memory.take(timer.BootClock(), connectionClaim) {
			_ = conn.Close()
			return
		}
		c.open[conn] = true
	case http.StateIdle:
		c.idleSince[conn] = timer.BootClock()
	case http.StateClosed, http.StateHijacked:
		if c.open[conn] {
			delete(c.open, conn)
			c.n.memory.release(connectionClaim)
		}
	case http.StateActive:
	}
}

var connectionClaim = memory.Claim{Kind: memory.Connection, Bytes: connectionBytes}

// sweep closes callers' connections that were idle for longer than the configuration set's IdleTimeout, or defaultIdleTimeout.
func (c *callerHandler) sweep(now time.Time) {
	limit := defaultIdleTimeout
	if set, _ := c.n.storeView.set(now); set != nil && set.Limits.IdleTimeout > 0 {
		limit = set.Limits.IdleTimeout
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idleSince {
		if now.Sub(since) > limit {
			delete(c.idleSince, conn)
			_ = conn.Close()
		}
	}
}

// closeIdle closes callers' connections that were idle for longer than idleGrace, so that the callers connect to other hosts.
func (c *callerHandler) closeIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idleSince {
		if now.Sub(since) > idleGrace {
			delete(c.idleSince, conn)
			_ = conn.Close()
		}
	}
}

// idleGrace is how long a connection must be idle before a drain closes it, since the caller's next request may be in transit.
const idleGrace = 200 * time.Millisecond

// request is the state of one caller's request.
type request struct {
	w     http.ResponseWriter
	r     *http.Request
	call  platform.Call
	start time.Time
	// deadline is the earlier of the caller's deadline and the route's time-out.
	deadline  time.Time
	set       *site.Set
	route     *site.Route
	service   site.ServiceName
	workspace site.WorkspaceName
	// homes says where the request may run.
	homes site.Homes
	// metEvacuation is true once a keeper granted a slot in a data centre that this host knows to be evacuated.
	metEvacuation bool
	// body is the body; nil if there is none. dropOnce makes dropBody end its use once.
	body     *requestBody
	dropOnce sync.Once
	// stream is what a streamed answer has taken.
	stream memory.Claim
	// position is where the request's stream stands: at first after the event that the caller gave to take up an earlier answer.
	position stream.Position
	// endpoint is the endpoint of the latest slot that the request got; empty before the first.
	endpoint endpoint.ID
	// slotRequestedAt is when the latest slot was requested.
	slotRequestedAt time.Time
	// instance is the incarnation of the endpoint to which the request was sent last, and sentAt when that was.
	instance endpoint.Instance
	sentAt   time.Time
	// address is that endpoint's ip:port, and relay the host through which the request was sent; empty if it was sent directly.
	address string
	relay   host.ID
	// observed is what is known of the run at that endpoint.
	observed observedRun
	// causeKnown is true if it is known whether the endpoint is the cause of the latest failure.
	causeKnown bool
	// fps holds the fingerprints of the request and of the parts of its prompt; see fingerprints.
	fps []fingerprint.Fingerprint
	// serial is the SerialKey of the latest slot that was requested, 0 if there is none, and trials the blocked fingerprints that the
	// request tries out there.
	serial pool.SerialKey
	trials []fingerprint.Fingerprint
	// version is the software version at which the request's stream must go on; empty for any, before a stream's first event.
	version endpoint.Version
	// begun is true once an event of the request's stream was about to be delivered.
	begun bool
	// software is that of the endpoint to which the request was sent last.
	software endpoint.Version
	// cause is why the latest attempt failed or the request was refused, for the log.
	cause string
	// guard observes the process that writes the answer whose end will not be marked; nil if it will be.
	guard *connection.Guard
	// endConfirmed is true if the end of the answer, which is not marked, was confirmed by its endpoint going on.
	endConfirmed bool
	// firstByteAt is when the headers of a streamed answer were sent to the caller, or when an answer that is not streamed was
	// written; zero before.
	firstByteAt time.Time
}

// logEvent starts a log line about the request. Its route, service and set version are left out while they are unknown.
func (q *request) logEvent(log zerolog.Logger, level zerolog.Level, number event.Number) *zerolog.Event {
	ev := event.LogText(log, level, number).Str("Request", q.call.ID)
	if q.route != nil {
		ev = ev.Str("Route", string(q.route.Name)).Str("Service", string(q.service))
	}
	if q.set != nil {
		ev = ev.Int64("Version", int64(q.set.Version))
	}
	return ev
}

// ServeHTTP handles one request of a caller. It panics with http.ErrAbortHandler to close the caller's connection when the
// answer can't be completed or the caller has disconnected.
func (c *callerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.inFlight.Add(1)
	defer c.inFlight.Add(-1)
	q := &request{w: w, r: r, call: platform.ReadCall(r.Header), start: timer.BootClock()}
	q.position = stream.NewPosition(stream.EventID(q.call.LastEventID))
	if c.n.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	defer c.releaseMemory(q)
	if !c.admit(q) || !c.takeStream(q) || !c.readBody(q) || !c.fitsIntoDrain(q) || !c.n.streams.bind(q) {
		return
	}
	c.n.serve(q)
}

// admit sets the request's configuration set, route, service, workspace and deadline. If there is no valid set or matching route,
// or the API key is unknown, it refuses the request and returns false.
func (c *callerHandler) admit(q *request) bool {
	set, valid := c.n.storeView.set(q.start)
	if set == nil {
		c.n.storeView.awaitFirstSet(q.r.Context(), firstSetTimeout)
		set, valid = c.n.storeView.set(timer.BootClock())
	}
	if !valid {
		q.cause = "no set, or one that was not confirmed in time"
		q.w.Header().Set("Connection", "close")
		c.n.refuse(q, http.StatusServiceUnavailable, notReadyRetryAfter)
		return false
	}
	q.set = set
	if q.call.TimeLeft == 0 {
		q.call.TimeLeft = defaultCallerTimeout
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
	q.service, q.homes = route.Service(q.call.ID), set.Homes(route, q.workspace)
	q.deadline = q.start.Add(q.call.TimeLeft)
	if route.Timeout > 0 && route.Timeout < q.call.TimeLeft {
		q.deadline = q.start.Add(route.Timeout)
	}
	return true
}

// fitsIntoDrain refuses a request that was read to its end, and returns false, when the host may stop before its answer ends.
func (c *callerHandler) fitsIntoDrain(q *request) bool {
	if c.n.stopping.takes(q) {
		return true
	}
	q.cause = "host is draining and stops before the answer could end"
	q.w.Header().Set("Connection", "close")
	c.n.refuse(q, http.StatusServiceUnavailable, drainRetryAfter)
	return false
}

// refuse responds with an error status that this host chose, as opposed to an endpoint's. retryAfter is the retry-after time for
// the caller; 0 omits it.
func (n *Node) refuse(q *request, status int, retryAfter time.Duration) {
	h := q.w.Header()
	platform.SetRefusalHeaders(h, q.call.ID, retryAfter)
	h.Set("Content-Type", "text/plain")
	text := http.StatusText(status) + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	q.w.WriteHeader(status)
	_, _ = io.WriteString(q.w, text)
	now := timer.BootClock()
	q.logEvent(n.log, zerolog.WarnLevel, event.RequestRefused).Int("Status", status).Str("Cause", q.cause).
		Str("Endpoint", string(q.endpoint)).Dur("RetryAfterMs", retryAfter).Dur("BeliefMs", n.storeView.age(now)).
		Dur("TotalMs", now.Sub(q.start)).Send()
	n.meter.recordOutcome(q, outcomeOfRefusal(status))
}

// outcomeOfRefusal returns the outcome of a request to which refuse responded with status. Statuses 502 and 504 are failures,
// since an endpoint may have run the request; all others guarantee that none did.
func outcomeOfRefusal(status int) outcome {
	if status == http.StatusBadGateway || status == http.StatusGatewayTimeout {
		return outcomeFailed
	}
	return outcomeRefused
}

// stillAllowed reports whether the configuration set in force still assigns the caller's key to the request's workspace. It is
// true for requests that need no key, and false when the set is too old to tell.
func (n *Node) stillAllowed(now time.Time, q *request) bool {
	set, valid := n.storeView.set(now)
	if !valid {
		return false
	}
	if q.route.Public || len(set.Workspaces) == 0 {
		return true
	}
	workspace, known := set.Keys[site.APIKey(q.call.Key)]
	return known && workspace == q.workspace
}

// disconnected reports whether the caller has closed its connection.
func (q *request) disconnected() bool { return errors.Is(q.r.Context().Err(), context.Canceled) }
