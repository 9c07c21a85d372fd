package node

import (
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/entry/connection"
	"balsamknot.org/fleet/answer"
	"balsamknot.org/fleet/attempt"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/fingerprint"
	"balsamknot.org/fleet/interruption"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/site"
	"balsamknot.org/fleet/timer"
	"balsamknot.org/platform"
)

// minTimeLeft is the time that must be left before the deadline for another endpoint to be tried.
const minTimeLeft = 50 * time.Millisecond

// nowhereRetryAfter is the retry-after time of a request that can run in no data centre for now.
const nowhereRetryAfter = 2 * time.Second

// serialRetryAfter is the retry-after time of a request that must be sent with a SerialKey, for which its slot was not requested.
const serialRetryAfter = 500 * time.Millisecond

// serve acquires a slot for a request, forwards the request to the slot's endpoint and delivers the answer. It repeats this with
// other endpoints as far as package attempt allows, and otherwise responds with an error or closes the connection.
func (n *Node) serve(q *request) {
	a := attempt.New(attempt.Config{
		RetryMode: q.route.RetryMode, MaxEndpoints: q.route.MaxEndpoints, Deadline: q.deadline, MinTimeLeft: minTimeLeft,
	})
	var next attempt.Command = attempt.AcquireSlot{}
	for {
		switch c := next.(type) {
		case attempt.AcquireSlot:
			next = n.tryEndpoint(q, a, c)
		case attempt.Respond:
			n.refuse(q, c.Status, c.RetryAfter)
			return
		case attempt.Abort:
			n.abortAnswer(q)
		case nil:
			return
		}
	}
}

// abortAnswer closes the caller's connection in the middle of an answer that can't be completed, so that the answer does not
// look complete. It does not return.
func (n *Node) abortAnswer(q *request) {
	q.logEvent(n.log, zerolog.WarnLevel, event.AnswerAborted).Str("Cause", q.cause).Str("Endpoint", string(q.endpoint)).
		Str("Position", string(q.position.Last())).Dur("TotalMs", timer.BootClock().Sub(q.start)).Send()
	n.meter.recordOutcome(q, outcomeAborted)
	if !q.r.ProtoAtLeast(1, 1) {
		resetConnection(q.w)
	}
	panic(http.ErrAbortHandler)
}

// resetConnection resets a caller's connection. The end of its connection is all that ends an answer to a caller that speaks HTTP/1.0, so that
// a cut answer would look complete if it ended in order.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// endDisconnected ends a request whose caller has disconnected. It does not return.
func (n *Node) endDisconnected(q *request) {
	q.logEvent(n.log, zerolog.InfoLevel, event.CallerDisconnected).Str("Endpoint", string(q.endpoint)).
		Dur("TotalMs", timer.BootClock().Sub(q.start)).Send()
	n.meter.recordOutcome(q, outcomeDisconnected)
	panic(http.ErrAbortHandler)
}

// tryEndpoint acquires a slot, forwards the request to its endpoint and returns what to do next; nil when the request has ended.
// The request waits for a slot as long as slotTimeLeft says.
func (n *Node) tryEndpoint(q *request, a *attempt.Attempt, acquire attempt.AcquireSlot) attempt.Command {
	now := timer.BootClock()
	timeLeft := q.deadline.Sub(now)
	if timeLeft <= 0 {
		q.cause = "deadline passed before a slot was requested"
		return a.Update(now, attempt.DeadlineExceeded{})
	}
	decision := n.crashes.decide(now, q)
	if decision.BlockedFor > 0 {
		return a.Update(now, attempt.NotAllowed{RetryAfter: decision.BlockedFor})
	}
	q.setSerial(decision)
	e := pool.SlotRequested{
		Service: q.service, Prompt: q.call.Prompt, Priority: q.set.Priority(q.route, q.workspace), TimeLeft: q.slotTimeLeft(now),
		Tried: acquire.Tried, Retry: acquire.Retry, LastTry: q.route.RetryMode == site.NonIdempotent || a.Sends()+1 >= q.route.MaxEndpoints,
		DataCentre: n.cfg.DataCentre, Serial: q.serial, Version: q.version,
		Route: q.route.Name, Workspace: q.workspace, Objective: q.objectiveLeft(now), LengthHint: q.call.LengthHint,
	}
	if reason, found := n.bindDataCentres(q, &e); !found {
		return n.slotRefused(q, a, pool.Refuse{Reason: reason, RetryAfter: nowhereRetryAfter})
	}
	if wait := n.slots.avoidResting(now, &e); wait > 0 {
		q.cause = "no place: " + pool.Resting.String()
		return a.Update(now, attempt.SlotRefused{Reason: pool.Resting, RetryAfter: wait})
	}
	q.slotRequestedAt = now
	ticket, reply := n.acquireSlot(q, a, e)
	switch c := reply.(type) {
	case pool.Grant:
		n.recordGrant(q, c)
		// Deferred, so that the slot is also released when forward panics because the caller has disconnected.
		result := pool.Unknown
		defer func() {
			n.releaseSlot(q, pool.SlotReleased{Ticket: ticket, Service: q.service, Result: result, Run: q.observed.run(timer.BootClock())}, c.Endpoint.Address)
		}()
		var next attempt.Command
		result, next = n.forward(q, a, c)
		n.recordRetry(q, next)
		return next
	case pool.Refuse:
		return n.slotRefused(q, a, c)
	}
	if !q.disconnected() {
		q.cause = "no reply from the keeper"
		return a.Update(timer.BootClock(), attempt.DeadlineExceeded{})
	}
	n.endDisconnected(q)
	return nil
}

// slotRefused counts a refusal of a slot and returns what follows from it.
func (n *Node) slotRefused(q *request, a *attempt.Attempt, c pool.Refuse) attempt.Command {
	q.cause = "no place: " + c.Reason.String()
	n.meter.recordSlotRefusal(c.Reason)
	return a.Update(timer.BootClock(), attempt.SlotRefused{Reason: c.Reason, RetryAfter: c.RetryAfter})
}

// releaseSlot releases the slot of a run at an address. A run without an answer does not count against the endpoint if this host's own path
// to it is gone; the slot is held until that is known.
func (n *Node) releaseSlot(q *request, e pool.SlotReleased, address string) {
	if q.causeKnown || (e.Result != pool.ConnectionFailed && e.Result != pool.TimedOut) {
		n.slots.releaseSlot(e)
		return
	}
	sentAt := q.sentAt
	go func() {
		if !n.paths.blames(address, sentAt) {
			e.Result = pool.Unknown
		}
		n.slots.releaseSlot(e)
	}()
}

// setSerial sets the key of the next slot request from the decision on how the request may run.
func (q *request) setSerial(d fingerprint.Decision) {
	q.serial, q.trials = pool.SerialKey(d.Serial), d.Trials
}

func (n *Node) recordGrant(q *request, grant pool.Grant) {
	now := timer.BootClock()
	q.endpoint, q.observed = grant.Endpoint.Instance.ID, observedRun{}
	q.logEvent(n.log, zerolog.InfoLevel, event.RequestPlaced).Str("Endpoint", string(q.endpoint)).
		Str("Keeper", string(grant.Decision.Keeper)).Int("Running", grant.Decision.Running).Int("Limit", grant.Decision.Limit).Int("Missing", grant.Decision.MissingTokens).Int("Fetched", grant.Decision.FetchedTokens).Bool("Suspect", grant.Decision.Suspect).
		Str("Software", string(grant.Endpoint.Version)).Str("Bound", string(q.version)).
		Dur("WaitedMs", grant.Decision.Waited).Dur("BeliefMs", n.storeView.age(now)).Send()
	n.meter.recordGrant(q, now.Sub(q.start), grant.Decision)
}

// recordRetry logs and counts a retry, if next is the command to send the request to another endpoint.
func (n *Node) recordRetry(q *request, next attempt.Command) {
	acquire, retried := next.(attempt.AcquireSlot)
	if !retried {
		return
	}
	number := event.RequestRetried
	if q.begun {
		number = event.RequestResumed
	}
	q.logEvent(n.log, zerolog.WarnLevel, number).Str("Endpoint", string(q.endpoint)).Str("Cause", q.cause).
		Bool("Repeat", acquire.Retry).Str("Position", string(q.position.Last())).Send()
	n.meter.recordRetry(q)
}

// forward sends the request to the endpoint of a slot and delivers the answer. The caller's key, the endpoint's registration and its data
// centre are checked again first, since they may have changed while the request waited for the slot.
func (n *Node) forward(q *request, a *attempt.Attempt, grant pool.Grant) (pool.Result, attempt.Command) {
	now := timer.BootClock()
	target := grant.Endpoint
	id := target.Instance.ID
	decision := n.crashes.decide(now, q)
	switch {
	case decision.BlockedFor > 0:
		return pool.Unknown, a.Update(now, attempt.NotAllowed{RetryAfter: decision.BlockedFor})
	case decision.Serial != 0 && pool.SerialKey(decision.Serial) != q.serial:
		q.cause = "crashes were recorded for the request while it waited for a slot"
		return pool.Unknown, a.Update(now, attempt.NotAllowed{RetryAfter: serialRetryAfter})
	case !n.stillAllowed(now, q):
		q.cause = "key no longer allowed, or set not confirmed in time"
		return pool.Unknown, a.Update(now, attempt.NotAllowed{RetryAfter: notReadyRetryAfter})
	case n.slots.isEvacuated(target.DataCentre):
		q.cause, q.metEvacuation = "data centre of the endpoint is evacuated", true
		return pool.Unknown, a.Update(now, attempt.Unreachable{ID: id})
	case !n.slots.usable(target.Instance):
		q.cause = "endpoint is leaving or was removed"
		return pool.Unknown, a.Update(now, attempt.Unreachable{ID: id})
	case !n.inHomes(q, target.DataCentre):
		q.cause = "endpoint is outside of the regions in which the request may run"
		return pool.Unknown, a.Update(now, attempt.Unreachable{ID: id})
	case n.slots.restLeft(now, target.Instance) > 0:
		q.cause = "endpoint asked this host for rest while the request waited for the slot"
		return pool.Unknown, a.Update(now, attempt.Unreachable{ID: id})
	case q.slotExpired(now, grant):
		q.cause = "slot was granted too long ago"
		return pool.Unknown, a.Update(now, attempt.SlotExpired{})
	case q.version != "" && target.Version != q.version:
		q.cause = "endpoint has another version than the one that began the stream"
		return pool.Unknown, a.Update(now, attempt.Unreachable{ID: id})
	}
	timeLeft := q.deadline.Sub(now)
	header := platform.Forward(q.r.Header, platform.ForwardOptions{
		Workspace: string(q.workspace), Instance: target.Instance, TimeLeft: timeLeft, Priority: q.set.Priority(q.route, q.workspace),
		LastEventID: string(q.position.Last()), Fetch: n.slots.endpointAddress(grant.Fetch),
	})
	q.instance, q.address, q.software, q.sentAt, q.relay, q.causeKnown = target.Instance, target.Address, target.Version, now, "", false
	q.observed = observedRun{sentAt: now}
	n.crashes.update(now, interruption.Sent{Run: q.run()})
	x, err := n.endpointConns.Do(n.connectionContext(q), target.Address, connection.Request{
		ID: q.call.ID, Method: q.r.Method, Target: q.r.RequestURI, Host: q.r.Host, Header: header, Body: q.bodyData(),
		Instance: target.Instance, Process: n.boundProcess(now, q, grant), Written: q.writingBody(a.LastSend()),
	}, time.Now().Add(timeLeft))
	if errors.Is(err, connection.ErrNotSent) {
		n.crashes.recordUnreachable(timer.BootClock(), q, err)
		n.noteOtherProcess(q, err)
		if q.disconnected() {
			n.endDisconnected(q)
		}
		q.cause, q.causeKnown = err.Error(), true
		return resultOfFailedConnection(err), a.Update(timer.BootClock(), attempt.Unreachable{ID: id})
	}
	a.Sent(id)
	if err != nil {
		return n.interrupted(q, a, id, err)
	}
	q.guardEnd(x)
	q.bodyAnswered(x)
	q.relay = x.Relay()
	n.paths.heard(target.Address, x)
	q.observed.answered(timer.BootClock(), q.route.Streaming, x.Answer)
	n.slots.recordStatement(q, x)
	n.crashes.recordReceived(q, x)
	stop := x.AbortOnDone(q.r.Context())
	defer stop()
	defer x.Abort()
	return n.deliver(q, a, id, x)
}

// resultOfFailedConnection returns the result of a run for which no connection could be established: Unknown unless the endpoint is the cause.
func resultOfFailedConnection(err error) pool.Result {
	var failed *pathError
	if errors.As(err, &failed) && failed.endpointDown {
		return pool.ConnectionFailed
	}
	return pool.Unknown
}

// interrupted handles an answer that is missing or incomplete.
func (n *Node) interrupted(q *request, a *attempt.Attempt, id endpoint.ID, err error) (pool.Result, attempt.Command) {
	now := timer.BootClock()
	q.cause = err.Error()
	timedOut := errors.Is(err, os.ErrDeadlineExceeded) && !now.Before(q.deadline.Add(-time.Millisecond))
	n.crashes.recordInterruption(now, q, interruption.Interrupted{Broken: !timedOut && !q.disconnected() && !n.paths.gone(q.address)})
	switch {
	case q.disconnected():
		n.endDisconnected(q)
	case timedOut:
		return pool.TimedOut, a.Update(now, attempt.DeadlineExceeded{})
	}
	return pool.ConnectionFailed, a.Update(now, attempt.Interrupted{ID: id})
}

// deliver passes an answer on to the caller. If the endpoint did not run the request, or failed, the request may be sent
// to another endpoint instead.
func (n *Node) deliver(q *request, a *attempt.Attempt, id endpoint.ID, x *connection.Exchange) (pool.Result, attempt.Command) {
	status := x.Response.StatusCode
	switch {
	case x.Answer.NotRun:
		x.Discard()
		n.crashes.recordSignOfLife(timer.BootClock(), q, x)
		q.cause = "endpoint did not run the request: status " + strconv.Itoa(status)
		return pool.Rejected, a.Update(timer.BootClock(), attempt.NotExecuted{ID: id})
	case status >= http.StatusInternalServerError:
		return n.endpointFailed(q, a, id, x)
	case status != http.StatusOK && !q.firstByteAt.IsZero():
		x.Discard()
		return n.misplaced(q, a, id, x, eris.Errorf("status %d in place of its events", status))
	case status < http.StatusMultipleChoices && !x.Answer.Signed:
		return n.unsigned(q, a, id, x)
	case q.route.Streaming && status == http.StatusOK:
		return n.streamEvents(q, a, id, x)
	}
	body, err := n.readAnswerBody(q, x)
	if err != nil {
		return n.interrupted(q, a, id, err)
	}
	defer body.Release()
	n.relay(q, x, body)
	return q.completedResult(x), nil
}

// unsigned handles a success without its endpoint's signature, some of whose bytes are wrong. It is no answer, but the endpoint lives, so that its run is
// no crash.
func (n *Node) unsigned(q *request, a *attempt.Attempt, id endpoint.ID, x *connection.Exchange) (pool.Result, attempt.Command) {
	now := timer.BootClock()
	x.Discard()
	n.crashes.recordSignOfLife(now, q, x)
	q.cause = "the endpoint's success has no signature"
	n.meter.recordUnsigned()
	q.logEvent(n.log, zerolog.WarnLevel, event.AnswerUnsigned).Int("Status", x.Response.StatusCode).Str("Endpoint", string(q.endpoint)).Send()
	return pool.Failed, a.Update(now, attempt.Interrupted{ID: id})
}

// completedResult returns the result of an answer that was delivered in full. One without a marked end may have ended in a crash, on which
// the next request with the same SerialKey must wait for evidence.
func (q *request) completedResult(x *connection.Exchange) pool.Result {
	if q.serial != 0 && !answer.EndMarked(x.Response) {
		return pool.Unknown
	}
	return pool.Completed
}

// endpointFailed handles an answer with a status of 500 or above: it is passed on, unless another endpoint is to be tried.
func (n *Node) endpointFailed(q *request, a *attempt.Attempt, id endpoint.ID, x *connection.Exchange) (pool.Result, attempt.Command) {
	body, err := n.readAnswerBody(q, x)
	if err != nil {
		return n.interrupted(q, a, id, err)
	}
	defer body.Release()
	q.cause = "the endpoint failed: status " + strconv.Itoa(x.Response.StatusCode)
	next := a.Update(timer.BootClock(), attempt.Failed{ID: id})
	if _, relay := next.(attempt.RelayFailure); relay {
		n.relay(q, x, body)
		return pool.Failed, nil
	}
	return pool.Failed, next
}

// relay responds with an endpoint's status, headers and whole body.
func (n *Node) relay(q *request, x *connection.Exchange, body *answerBody) {
	h := q.w.Header()
	platform.CopyAnswerHeaders(h, x.Response.Header)
	h.Set("Content-Length", strconv.Itoa(body.buf.Len()))
	q.w.WriteHeader(x.Response.StatusCode)
	_, _ = q.w.Write(body.buf.Bytes())
	n.recordCompletion(q, x)
}

// recordCompletion logs and counts an endpoint's answer that was delivered in full, and clears the crashes recorded for the
// request.
func (n *Node) recordCompletion(q *request, x *connection.Exchange) {
	now := timer.BootClock()
	status := x.Response.StatusCode
	n.crashes.recordAnswer(q, x)
	if q.firstByteAt.IsZero() {
		q.firstByteAt = now
	}
	level := zerolog.InfoLevel
	if status >= http.StatusInternalServerError {
		level = zerolog.WarnLevel
	}
	q.logEvent(n.log, level, event.RequestDone).Int("Status", status).Str("Endpoint", string(q.endpoint)).Str("Relay", string(q.relay)).
		Dur("FirstMs", q.firstByteAt.Sub(q.start)).Dur("TotalMs", now.Sub(q.start)).Send()
	outcome := outcomeOfAnswer(status)
	n.meter.recordOutcome(q, outcome)
	if outcome == outcomeDone {
		n.stopping.noteCompletion(now, q)
	}
}
