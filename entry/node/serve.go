package node

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/entry/connection"
	"balsamknot.org/fleet/attempt"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/site"
	"balsamknot.org/fleet/timer"
	"balsamknot.org/platform"
)

const (
	// leastWorth is the least time left for which another endpoint is tried.
	leastWorth = 50 * time.Millisecond
	// answerLimit bounds the answer of a plain service, in bytes.
	answerLimit = 16 << 20
)

// serve carries a request to its end: place, send, deliver, and again where that is allowed.
func (n *Node) serve(q *request) {
	a := attempt.New(attempt.Config{
		Idempotency: q.route.RetryMode, MaxEndpoints: q.route.MaxEndpoints, Deadline: q.deadline, MinTimeLeft: leastWorth,
	})
	var next attempt.Command = attempt.AcquireSlot{}
	for {
		switch c := next.(type) {
		case attempt.AcquireSlot:
			next = n.try(q, a, c)
		case attempt.Respond:
			n.refuse(q, c.Status, c.RetryAfter)
			return
		case attempt.Abort:
			n.cut(q)
		case nil:
			return
		}
	}
}

// cut closes the caller's connection in the middle of an answer.
func (n *Node) cut(q *request) {
	q.line(n.log, zerolog.WarnLevel, event.AnswerAborted).Str("Cause", q.cause).Str("Endpoint", string(q.endpoint)).
		Str("Position", q.resumed).Dur("TotalMs", timer.BootClock().Sub(q.start)).Send()
	n.meter.finished(q, outcomeCut)
	panic(http.ErrAbortHandler)
}

// left ends a request whose caller is gone.
func (n *Node) left(q *request) {
	q.line(n.log, zerolog.InfoLevel, event.CallerDisconnected).Str("Endpoint", string(q.endpoint)).
		Dur("TotalMs", timer.BootClock().Sub(q.start)).Send()
	n.meter.finished(q, outcomeLeft)
	panic(http.ErrAbortHandler)
}

// try asks for a place and sends the request there. It returns nil when the request has ended.
func (n *Node) try(q *request, a *attempt.Attempt, ask attempt.AcquireSlot) attempt.Command {
	now := timer.BootClock()
	left := q.deadline.Sub(now)
	if left <= 0 {
		q.cause = "no time left for a place"
		return a.Update(now, attempt.DeadlineExceeded{})
	}
	ticket, answer := n.places.ask(q.r.Context(), pool.SlotRequested{
		Service: q.service, Prompt: q.call.Prompt, Priority: q.set.Priority(q.route, q.workspace), TimeLeft: left / 2,
		Tried: ask.Tried, Retry: ask.Retry, LastTry: q.route.RetryMode == site.NonIdempotent || a.Sends()+1 >= q.route.MaxEndpoints,
		DataCentre: n.cfg.DataCentre,
	})
	switch c := answer.(type) {
	case pool.Grant:
		n.notePlaced(q, c)
		// The place is given back also when the caller's connection is aborted.
		result := pool.Unknown
		defer func() { n.places.end(ticket, q.service, result) }()
		var next attempt.Command
		result, next = n.send(q, a, c)
		n.noteNext(q, next)
		return next
	case pool.Refuse:
		q.cause = "no place: " + c.Reason.String()
		return a.Update(timer.BootClock(), attempt.SlotRefused{Reason: c.Reason, RetryAfter: c.RetryAfter})
	}
	if !q.gone() {
		q.cause = "no answer of the keeper"
		return a.Update(timer.BootClock(), attempt.DeadlineExceeded{})
	}
	n.left(q)
	return nil
}

func (n *Node) notePlaced(q *request, c pool.Grant) {
	now := timer.BootClock()
	q.endpoint = c.Endpoint.Instance.ID
	q.line(n.log, zerolog.InfoLevel, event.RequestPlaced).Str("Endpoint", string(q.endpoint)).
		Str("Keeper", string(c.Decision.Keeper)).Int("Running", c.Decision.Running).Int("Limit", c.Decision.Limit).Int("Missing", c.Decision.MissingTokens).Int("Fetched", c.Decision.FetchedTokens).Bool("Suspect", c.Decision.Suspect).
		Dur("WaitedMs", c.Decision.Waited).Dur("BeliefMs", n.beliefs.age(now)).Send()
	n.meter.placed(q, now.Sub(q.start), c.Decision)
}

// noteNext logs that a request goes on at another endpoint.
func (n *Node) noteNext(q *request, next attempt.Command) {
	ask, again := next.(attempt.AcquireSlot)
	if !again {
		return
	}
	number := event.RequestRetried
	if q.resumed != "" {
		number = event.RequestResumed
	}
	q.line(n.log, zerolog.WarnLevel, number).Str("Endpoint", string(q.endpoint)).Str("Cause", q.cause).
		Bool("Repeat", ask.Retry).Str("Position", q.resumed).Send()
	n.meter.retried(q)
}

// send gives the request to an endpoint and delivers its answer.
func (n *Node) send(q *request, a *attempt.Attempt, place pool.Grant) (pool.Result, attempt.Command) {
	now := timer.BootClock()
	to := place.Endpoint
	id := to.Instance.ID
	switch {
	case !n.allowed(now, q):
		q.cause = "the key or the set is no longer good"
		return pool.Unknown, a.Update(now, attempt.NotAllowed{RetryAfter: unknownReturn})
	case !n.places.usable(to.Instance):
		q.cause = "the endpoint is leaving or gone"
		return pool.Unknown, a.Update(now, attempt.Unreachable{ID: id})
	}
	left := q.deadline.Sub(now)
	header := platform.Forward(q.r.Header, platform.ForwardOptions{
		Workspace: string(q.workspace), Instance: to.Instance, TimeLeft: left, Priority: q.set.Priority(q.route, q.workspace),
		LastEventID: q.position(), Fetch: n.places.address(place.Fetch),
	})
	x, err := n.links.Do(q.r.Context(), to.Address, connection.Request{
		ID: q.call.ID, Method: q.r.Method, Target: q.r.RequestURI, Host: q.r.Host, Header: header, Body: q.body,
	}, time.Now().Add(left))
	if errors.Is(err, connection.ErrNotSent) {
		if q.gone() {
			n.left(q)
		}
		q.cause = err.Error()
		n.crashes.lost(timer.BootClock(), id)
		return pool.ConnectionFailed, a.Update(timer.BootClock(), attempt.Unreachable{ID: id})
	}
	a.Sent(id)
	if err != nil {
		return n.broken(q, a, id, err)
	}
	stop := x.AbortOnDone(q.r.Context())
	defer stop()
	defer x.Abort()
	return n.deliver(q, a, id, x)
}

// broken decides what follows from an answer that broke off.
func (n *Node) broken(q *request, a *attempt.Attempt, id endpoint.ID, err error) (pool.Result, attempt.Command) {
	if q.gone() {
		n.left(q)
	}
	now := timer.BootClock()
	q.cause = err.Error()
	if errors.Is(err, os.ErrDeadlineExceeded) && !now.Before(q.deadline.Add(-time.Millisecond)) {
		return pool.TimedOut, a.Update(now, attempt.DeadlineExceeded{})
	}
	n.crashes.broke(now, id, q)
	return pool.ConnectionFailed, a.Update(now, attempt.Interrupted{ID: id})
}

// deliver judges the head of an answer and passes its body on.
func (n *Node) deliver(q *request, a *attempt.Attempt, id endpoint.ID, x *connection.Exchange) (pool.Result, attempt.Command) {
	status := x.Response.StatusCode
	switch {
	case x.Reply.NotRun:
		drop(x)
		q.cause = "not run: status " + strconv.Itoa(status)
		return pool.Rejected, a.Update(timer.BootClock(), attempt.NotExecuted{ID: id})
	case status >= http.StatusInternalServerError:
		return n.failed(q, a, id, x)
	case q.route.Streaming && status == http.StatusOK:
		return n.stream(q, a, id, x)
	}
	body, err := readAnswer(x)
	if err != nil {
		return n.broken(q, a, id, err)
	}
	n.relay(q, x, body)
	return pool.Completed, nil
}

// errTooLong means that an answer is longer than one may be.
var errTooLong = errors.New("the answer is too long")

// readAnswer reads the whole answer of a plain service. An answer that is cut at the limit would look whole, so that it is none.
func readAnswer(x *connection.Exchange) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(x.Response.Body, answerLimit+1))
	switch {
	case err != nil:
		return nil, err
	case len(body) > answerLimit:
		return nil, errTooLong
	}
	x.Finish()
	return body, nil
}

// drop reads a short body to its end, so that the connection can be used again.
func drop(x *connection.Exchange) {
	if _, err := io.Copy(io.Discard, io.LimitReader(x.Response.Body, answerLimit)); err == nil {
		x.Finish()
	}
}

// failed passes an endpoint's own failure on, or tries another endpoint.
func (n *Node) failed(q *request, a *attempt.Attempt, id endpoint.ID, x *connection.Exchange) (pool.Result, attempt.Command) {
	body, err := readAnswer(x)
	if err != nil {
		return n.broken(q, a, id, err)
	}
	q.cause = "the endpoint failed: status " + strconv.Itoa(x.Response.StatusCode)
	next := a.Update(timer.BootClock(), attempt.Failed{ID: id})
	if _, relay := next.(attempt.RelayFailure); relay {
		n.relay(q, x, body)
		return pool.Failed, nil
	}
	return pool.Failed, next
}

// relay answers with an endpoint's status, headers and whole body.
func (n *Node) relay(q *request, x *connection.Exchange, body []byte) {
	h := q.w.Header()
	platform.CopyAnswerHeaders(h, x.Response.Header)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	q.w.WriteHeader(x.Response.StatusCode)
	_, _ = q.w.Write(body)
	n.done(q, x.Response.StatusCode)
}

// done notes an answer that was delivered whole.
func (n *Node) done(q *request, status int) {
	now := timer.BootClock()
	n.crashes.survived(q)
	if q.first.IsZero() {
		q.first = now
	}
	level := zerolog.InfoLevel
	if status >= http.StatusInternalServerError {
		level = zerolog.WarnLevel
	}
	q.line(n.log, level, event.RequestDone).Int("Status", status).Str("Endpoint", string(q.endpoint)).
		Dur("FirstMs", q.first.Sub(q.start)).Dur("TotalMs", now.Sub(q.start)).Send()
	n.meter.finished(q, outcomeOf(status))
}

// stream passes whole events on as they come.
func (n *Node) stream(q *request, a *attempt.Attempt, id endpoint.ID, x *connection.Exchange) (pool.Result, attempt.Command) {
	events := connection.NewEventReader(x.Response.Body)
	control := http.NewResponseController(q.w)
	for {
		ev, err := events.Next()
		if errors.Is(err, io.EOF) {
			x.Finish()
			n.begin(q, a, x)
			n.done(q, x.Response.StatusCode)
			return pool.Completed, nil
		}
		if err != nil {
			return n.broken(q, a, id, err)
		}
		n.begin(q, a, x)
		q.resumed = events.LastEventID()
		_, err = q.w.Write(ev)
		if err := errors.Join(err, control.Flush()); err != nil {
			n.left(q)
		}
	}
}

// begin sends the head of a stream, once.
func (n *Node) begin(q *request, a *attempt.Attempt, x *connection.Exchange) {
	if !q.first.IsZero() {
		return
	}
	q.first = timer.BootClock()
	platform.CopyAnswerHeaders(q.w.Header(), x.Response.Header)
	q.w.WriteHeader(x.Response.StatusCode)
	a.Delivering()
}

// position is the last event that the caller has: of this answer, or of one that it wants to go on.
func (q *request) position() string {
	if q.resumed != "" {
		return q.resumed
	}
	return q.call.LastEventID
}
