package node

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"balsamknot.org/entry/connection"
	"balsamknot.org/fleet/attempt"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/pool"
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
		Repeat: q.route.Repeat, Endpoints: q.route.Endpoints, Deadline: q.deadline, Worth: leastWorth,
	})
	var next attempt.Command = attempt.Ask{}
	for {
		switch c := next.(type) {
		case attempt.Ask:
			next = n.try(q, a, c)
		case attempt.Answer:
			q.refuse(c.Status, c.After)
			return
		case attempt.Abort:
			panic(http.ErrAbortHandler)
		case nil:
			return
		}
	}
}

// try asks for a place and sends the request there. It returns nil when the request has ended.
func (n *Node) try(q *request, a *attempt.Attempt, ask attempt.Ask) attempt.Command {
	now := timer.Boot()
	left := q.deadline.Sub(now)
	if left <= 0 {
		return a.Update(now, attempt.Expired{})
	}
	ticket, answer := n.places.ask(q.r.Context(), pool.Asked{
		Service: q.service, Prompt: q.call.Prompt, Rank: q.set.Rank(q.route, q.workspace), Patience: left / 2,
		Tried: ask.Tried, Repeat: ask.Repeat, DataCentre: n.cfg.DataCentre,
	})
	switch place := answer.(type) {
	case pool.Place:
		result, next := n.send(q, a, place.Endpoint)
		n.places.end(ticket, q.service, result)
		return next
	case pool.Refuse:
		return a.Update(timer.Boot(), attempt.Refused{Reason: place.Reason, After: place.After})
	}
	panic(http.ErrAbortHandler)
}

// send gives the request to an endpoint and delivers its answer.
func (n *Node) send(q *request, a *attempt.Attempt, to endpoint.Record) (pool.Result, attempt.Command) {
	now := timer.Boot()
	id := to.Instance.ID
	switch {
	case !n.allowed(now, q):
		return pool.Unknown, a.Update(now, attempt.NotAllowed{After: unknownReturn})
	case !n.places.usable(to.Instance):
		return pool.Unknown, a.Update(now, attempt.Unreached{ID: id})
	}
	left := q.deadline.Sub(now)
	header := platform.Forward(q.r.Header, platform.Offer{
		Workspace: string(q.workspace), Instance: to.Instance, Left: left, Rank: q.set.Rank(q.route, q.workspace),
		Position: q.position(),
	})
	x, err := n.links.Do(q.r.Context(), to.Address, connection.Request{
		ID: q.call.ID, Method: q.r.Method, Target: q.r.RequestURI, Host: q.r.Host, Header: header, Body: q.body,
	}, time.Now().Add(left))
	if errors.Is(err, connection.ErrUnreached) {
		n.leave(q)
		return pool.Broken, a.Update(timer.Boot(), attempt.Unreached{ID: id})
	}
	a.Sent(id)
	if err != nil {
		return n.broken(q, a, id, err)
	}
	stop := x.Watch(q.r.Context())
	defer stop()
	defer x.Abort()
	return n.deliver(q, a, id, x)
}

// leave ends the request without an answer when its caller is gone.
func (n *Node) leave(q *request) {
	if q.gone() {
		panic(http.ErrAbortHandler)
	}
}

// broken decides what follows from an answer that broke off.
func (n *Node) broken(q *request, a *attempt.Attempt, id endpoint.ID, err error) (pool.Result, attempt.Command) {
	now := timer.Boot()
	switch {
	case q.gone():
		return pool.Unknown, nil
	case errors.Is(err, os.ErrDeadlineExceeded) && !now.Before(q.deadline.Add(-time.Millisecond)):
		return pool.Silent, a.Update(now, attempt.Expired{})
	}
	return pool.Broken, a.Update(now, attempt.Broken{ID: id})
}

// deliver judges the head of an answer and passes its body on.
func (n *Node) deliver(q *request, a *attempt.Attempt, id endpoint.ID, x *connection.Exchange) (pool.Result, attempt.Command) {
	status := x.Response.StatusCode
	switch {
	case x.Reply.NotRun:
		drop(x)
		return pool.TurnedAway, a.Update(timer.Boot(), attempt.TurnedAway{ID: id})
	case status >= http.StatusInternalServerError:
		return n.failed(q, a, id, x)
	case q.route.Streaming && status == http.StatusOK:
		return n.stream(q, a, id, x)
	}
	body, err := io.ReadAll(io.LimitReader(x.Response.Body, answerLimit))
	if err != nil {
		return n.broken(q, a, id, err)
	}
	x.Finish()
	q.relay(x, body)
	return pool.Done, nil
}

// drop reads a short body to its end, so that the connection can be used again.
func drop(x *connection.Exchange) {
	if _, err := io.Copy(io.Discard, io.LimitReader(x.Response.Body, answerLimit)); err == nil {
		x.Finish()
	}
}

// failed passes an endpoint's own failure on, or tries another endpoint.
func (n *Node) failed(q *request, a *attempt.Attempt, id endpoint.ID, x *connection.Exchange) (pool.Result, attempt.Command) {
	body, err := io.ReadAll(io.LimitReader(x.Response.Body, answerLimit))
	if err != nil {
		return n.broken(q, a, id, err)
	}
	x.Finish()
	next := a.Update(timer.Boot(), attempt.Failed{ID: id})
	if _, relay := next.(attempt.Relay); relay {
		q.relay(x, body)
		return pool.Failed, nil
	}
	return pool.Failed, next
}

// relay answers with an endpoint's status, headers and whole body.
func (q *request) relay(x *connection.Exchange, body []byte) {
	h := q.w.Header()
	platform.Deliver(h, x.Response.Header)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	q.w.WriteHeader(x.Response.StatusCode)
	_, _ = q.w.Write(body)
}

// stream passes whole events on as they come.
func (n *Node) stream(q *request, a *attempt.Attempt, id endpoint.ID, x *connection.Exchange) (pool.Result, attempt.Command) {
	events := connection.NewEventReader(x.Response.Body)
	control := http.NewResponseController(q.w)
	for {
		ev, err := events.Next()
		if errors.Is(err, io.EOF) {
			x.Finish()
			return pool.Done, nil
		}
		if err != nil {
			return n.broken(q, a, id, err)
		}
		if q.resumed == "" {
			platform.Deliver(q.w.Header(), x.Response.Header)
			q.w.WriteHeader(x.Response.StatusCode)
			a.Delivering()
		}
		q.resumed = events.Last()
		if _, err := q.w.Write(ev); err != nil {
			return pool.Unknown, nil
		}
		if err := control.Flush(); err != nil {
			return pool.Unknown, nil
		}
	}
}

// position is the last event that the caller has: of this answer, or of one that it wants to go on.
func (q *request) position() string {
	if q.resumed != "" {
		return q.resumed
	}
	return q.call.Position
}
