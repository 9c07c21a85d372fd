package node

import (
	"context"
	"errors"
	"net/http"
	"time"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/engine"
	"balsamknot.org/fleet/fingerprint"
	"balsamknot.org/fleet/keeper"
	"balsamknot.org/fleet/outcome"
	"balsamknot.org/fleet/wire"
)

// serveForward handles a try as the endpoint's keeper: it admits or declines the request, runs it on the endpoint and sends
// the answer in frames. It returns an error only when a frame can't be sent to the entry; all other failures are sent in frames.
func (n *Node) serveForward(ctx context.Context, r *wire.ForwardRequest, send func(*wire.Frame) error) error {
	defer n.trackInFlight()()
	call := r.GetCall()
	n.crashes.recordCrashes(fingerprint.Fingerprint(call.GetFingerprint()), r.GetCrashes())
	n.keeper.recordObservedLoads(r.GetLoads())
	ctx, cancel := context.WithDeadline(ctx, time.UnixMilli(call.GetDeadlineMs()))
	defer cancel()
	record, ok := n.documents.snapshot().endpoints[engine.ID(r.GetEngine())]
	if !ok {
		return send(n.declineFrame(r, wire.Decline_NOT_KEEPER, nil))
	}
	release, decline := n.admit(ctx, r, record)
	if decline != nil {
		return send(decline)
	}
	defer release()
	return n.runTry(ctx, r, record, send)
}

// admit waits for a slot on the endpoint. It returns the function that releases the slot, or the frame that declines the
// request. If crashes of the request are recorded while it waits, admit releases the slot and starts over: the request is
// then blocked, or runs only with no other request on the endpoint.
func (n *Node) admit(ctx context.Context, r *wire.ForwardRequest, record engine.Record) (release func(), decline *wire.Frame) {
	fp := fingerprint.Fingerprint(r.GetCall().GetFingerprint())
	for {
		verdict := n.crashes.verdict(n.timers.Now(), fp)
		if verdict == fingerprint.Blocked {
			return nil, n.declineFrame(r, wire.Decline_REFUSED, blockedRefusal(string(n.self.ID)))
		}
		exclusive := verdict == fingerprint.Isolated
		ticket, command := n.keeper.requestSlot(ctx, n.newArrival(r, exclusive))
		switch c := command.(type) {
		case keeper.Redirect:
			frame := n.declineFrame(r, declineReasons[c.Reason], nil)
			frame.GetDecline().Load = uint32(c.Load)
			return nil, frame
		case keeper.Refuse:
			return nil, n.declineFrame(r, wire.Decline_REFUSED, overloadedRefusal(c, string(record.ID)))
		case keeper.Admit:
			if !exclusive && n.crashes.verdict(n.timers.Now(), fp) != fingerprint.Allowed {
				n.keeper.update(keeper.RequestEnded{Ticket: ticket})
				continue
			}
			endTry := n.keeper.startTry(record.ID, fp)
			return func() {
				endTry()
				n.keeper.update(keeper.RequestEnded{Ticket: ticket})
			}, nil
		}
	}
}

// declineReasons maps the keeper's reasons for a redirect to those on the wire.
var declineReasons = map[keeper.RedirectReason]wire.Decline_Reason{
	keeper.OverBound:  wire.Decline_OVER_BOUND,
	keeper.Overflowed: wire.Decline_OVERFLOWED,
	keeper.NotHere:    wire.Decline_NOT_HERE,
	keeper.NotKeeper:  wire.Decline_NOT_KEEPER,
	keeper.Leaving:    wire.Decline_LEAVING,
}

// newArrival returns the slot request for a forwarded request. The keeper runs requests with the same Fingerprint one after
// another; it is set for chats only, so that copies of other requests may run at the same time.
func (n *Node) newArrival(r *wire.ForwardRequest, exclusive bool) keeper.RequestArrived {
	call := r.GetCall()
	workspace := n.documents.snapshot().objects.Workspaces[call.GetWorkspace()]
	arrival := keeper.RequestArrived{
		Engine: engine.ID(r.GetEngine()), Chat: chat.ID(call.GetChat()), Workspace: call.GetWorkspace(),
		Weight: workspace.Weight, Priority: workspace.Priority, Deadline: time.UnixMilli(call.GetDeadlineMs()),
		MayQueue: r.GetMayQueue(), FollowOverflow: r.GetFollowOverflow(), MustDecide: r.GetMustDecide(),
		Exclusive: exclusive, Resumed: r.GetResume(),
	}
	if call.GetChat() != "" {
		arrival.Fingerprint = call.GetFingerprint()
	}
	return arrival
}

// runTry runs an admitted request and sends its answer to the entry. If the request fails, the last frame says how: a decline
// with reason LEAVING when the endpoint did not accept the last connection and no part of the answer was sent, otherwise an end
// with the refusal and the recorded crashes.
func (n *Node) runTry(ctx context.Context, r *wire.ForwardRequest, record engine.Record, send func(*wire.Frame) error) error {
	call := r.GetCall()
	frames := &frameWriter{tryID: r.GetTryId(), engineID: string(record.ID), keeperID: string(n.self.ID), send: send, load: n.keeper.averageLoad(record.ID)}
	var err error
	if call.GetChat() != "" {
		err = n.keeper.runModelTry(ctx, record, r, frames)
	} else {
		err = n.keeper.runPlainTry(ctx, record, call, frames)
	}
	var sendErr sendError
	switch {
	case err == nil:
		if frames.succeeded {
			n.crashes.recordCompletion(fingerprint.Fingerprint(call.GetFingerprint()))
		}
		return nil
	case errors.As(err, &sendErr):
		return sendErr.error
	case wasNeverSent(err) && !frames.headSent:
		return send(n.declineFrame(r, wire.Decline_LEAVING, nil))
	}
	return send(&wire.Frame{TryId: r.GetTryId(), Body: &wire.Frame_End{End: &wire.End{
		Failure: refusalToWire(n.endpointFailure(ctx, err, record.ID)),
		Crashes: n.crashes.crashesToWire(fingerprint.Fingerprint(call.GetFingerprint())),
	}}})
}

// endpointFailure returns the refusal for a try that failed on the endpoint. Its outcome is always Unknown, since the request may
// have run.
func (n *Node) endpointFailure(ctx context.Context, err error, id engine.ID) *outcome.Refusal {
	refusal := &outcome.Refusal{
		Code: outcome.CodeEndpointLost, Outcome: outcome.Unknown, Status: http.StatusBadGateway,
		Detail: err.Error(), Step: "run", Peer: string(id),
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		refusal.Code, refusal.Status = outcome.CodeDeadline, http.StatusGatewayTimeout
	case errors.Is(err, errAnswerTooLarge):
		refusal.Code = outcome.CodeAnswerTooLarge
	}
	return refusal
}

// declineFrame returns the frame that declines a try. It carries the recorded crashes of the request, so that the entry gets
// them before gossip delivers them. refusal is nil except with reason REFUSED.
func (n *Node) declineFrame(r *wire.ForwardRequest, reason wire.Decline_Reason, refusal *outcome.Refusal) *wire.Frame {
	return &wire.Frame{TryId: r.GetTryId(), Body: &wire.Frame_Decline{Decline: &wire.Decline{
		Reason: reason, Refusal: refusalToWire(refusal),
		Crashes: n.crashes.crashesToWire(fingerprint.Fingerprint(r.GetCall().GetFingerprint())),
	}}}
}

// overloadedRefusal returns the refusal of a request that got no slot, because the endpoint's queue is full, because the wait
// exceeds the pool's QueueWait, or because the request's deadline comes first.
func overloadedRefusal(c keeper.Refuse, peer string) *outcome.Refusal {
	refusal := &outcome.Refusal{
		Code: c.Code, Outcome: outcome.NotRun, Status: http.StatusTooManyRequests, RetryAfter: c.RetryAfter,
		Detail: "every place on the endpoint is taken", Step: "admit", Peer: peer,
	}
	if c.Code == outcome.CodeDeadline {
		refusal.Status = http.StatusServiceUnavailable
		refusal.Detail = "the deadline can't be met"
	}
	return refusal
}

// blockedRefusal returns the refusal of a request that is blocked because it crashed endpoints.
func blockedRefusal(peer string) *outcome.Refusal {
	return &outcome.Refusal{
		Code: outcome.CodeCrashSuspected, Outcome: outcome.NotRun, Status: http.StatusUnprocessableEntity,
		Detail: "this request cost two endpoints and is not run again", Step: "admit", Peer: peer,
	}
}

func refusalToWire(r *outcome.Refusal) *wire.Refusal {
	if r == nil {
		return nil
	}
	return &wire.Refusal{
		Code: string(r.Code), Outcome: string(r.Outcome), Status: int32(r.Status), RetryAfterMs: r.RetryAfter.Milliseconds(),
		Detail: r.Detail, Step: r.Step, Peer: r.Peer,
	}
}

func refusalFromWire(r *wire.Refusal) *outcome.Refusal {
	if r == nil {
		return nil
	}
	return &outcome.Refusal{
		Code: outcome.Code(r.GetCode()), Outcome: outcome.Outcome(r.GetOutcome()), Status: int(r.GetStatus()),
		RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
		Detail:     r.GetDetail(), Step: r.GetStep(), Peer: r.GetPeer(),
	}
}
