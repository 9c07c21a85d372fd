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

// serveForward is the keeper's side of a try: it decides, runs, and sends frames until the answer ends.
// An error is one of the way to the entry; everything else travels in frames.
func (n *Node) serveForward(ctx context.Context, r *wire.ForwardRequest, send func(*wire.Frame) error) error {
	defer n.enter()()
	call := r.GetCall()
	n.suspects.recordCrashes(fingerprint.Fingerprint(call.GetFingerprint()), r.GetCrashes())
	n.keeping.hearLoads(r.GetLoads())
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

// admit waits for a place on the endpoint, again when the request became a suspect while it waited.
func (n *Node) admit(ctx context.Context, r *wire.ForwardRequest, record engine.Record) (release func(), decline *wire.Frame) {
	p := fingerprint.Fingerprint(r.GetCall().GetFingerprint())
	for {
		verdict := n.suspects.verdict(n.timers.Now(), p)
		if verdict == fingerprint.Blocked {
			return nil, n.declineFrame(r, wire.Decline_REFUSED, condemned(string(n.self.ID)))
		}
		alone := verdict == fingerprint.Isolated
		ticket, command := n.keeping.arrive(ctx, n.arrival(r, alone))
		switch c := command.(type) {
		case keeper.Redirect:
			frame := n.declineFrame(r, reasons[c.Reason], nil)
			frame.GetDecline().Load = uint32(c.Load)
			return nil, frame
		case keeper.Refuse:
			return nil, n.declineFrame(r, wire.Decline_REFUSED, overloaded(c, string(record.ID)))
		case keeper.Admit:
			if !alone && n.suspects.verdict(n.timers.Now(), p) != fingerprint.Allowed {
				n.keeping.update(keeper.RequestEnded{Ticket: ticket})
				continue
			}
			done := n.keeping.begin(record.ID, p)
			return func() {
				done()
				n.keeping.update(keeper.RequestEnded{Ticket: ticket})
			}, nil
		}
	}
}

var reasons = map[keeper.RedirectReason]wire.Decline_Reason{
	keeper.OverBound:  wire.Decline_OVER_BOUND,
	keeper.Overflowed: wire.Decline_OVERFLOWED,
	keeper.NotHere:    wire.Decline_NOT_HERE,
	keeper.NotKeeper:  wire.Decline_NOT_KEEPER,
	keeper.Leaving:    wire.Decline_LEAVING,
}

func (n *Node) arrival(r *wire.ForwardRequest, alone bool) keeper.RequestArrived {
	call := r.GetCall()
	workspace := n.documents.snapshot().objects.Workspaces[call.GetWorkspace()]
	arrival := keeper.RequestArrived{
		Engine: engine.ID(r.GetEngine()), Chat: chat.ID(call.GetChat()), Workspace: call.GetWorkspace(),
		Weight: workspace.Weight, Priority: workspace.Priority, Deadline: time.UnixMilli(call.GetDeadlineMs()),
		MayQueue: r.GetMayQueue(), FollowOverflow: r.GetFollowOverflow(), MustDecide: r.GetMustDecide(),
		Exclusive: alone, Resumed: r.GetResume(),
	}
	if call.GetChat() != "" {
		arrival.Fingerprint = call.GetFingerprint()
	}
	return arrival
}

// runTry runs an admitted request and tells the entry how it ended.
func (n *Node) runTry(ctx context.Context, r *wire.ForwardRequest, record engine.Record, send func(*wire.Frame) error) error {
	call := r.GetCall()
	m := &frameWriter{tryID: r.GetTryId(), engineID: string(record.ID), keeperID: string(n.self.ID), send: send, load: n.keeping.average(record.ID)}
	var err error
	if call.GetChat() != "" {
		err = n.keeping.runModelTry(ctx, record, r, m)
	} else {
		err = n.keeping.runPlainTry(ctx, record, call, m)
	}
	var failed sendError
	switch {
	case err == nil:
		n.suspects.recordCompletion(fingerprint.Fingerprint(call.GetFingerprint()))
		return nil
	case errors.As(err, &failed):
		return failed.error
	case wasNeverSent(err) && !m.headSent:
		return send(n.declineFrame(r, wire.Decline_LEAVING, nil))
	}
	return send(&wire.Frame{TryId: r.GetTryId(), Body: &wire.Frame_End{End: &wire.End{
		Failure: refusalToWire(n.failure(ctx, err, record.ID)),
		Crashes: n.suspects.crashesToWire(fingerprint.Fingerprint(call.GetFingerprint())),
	}}})
}

// failure names what ended a try on the endpoint. All of them may have run.
func (n *Node) failure(ctx context.Context, err error, id engine.ID) *outcome.Refusal {
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

func (n *Node) declineFrame(r *wire.ForwardRequest, reason wire.Decline_Reason, refusal *outcome.Refusal) *wire.Frame {
	return &wire.Frame{TryId: r.GetTryId(), Body: &wire.Frame_Decline{Decline: &wire.Decline{
		Reason: reason, Refusal: refusalToWire(refusal),
		Crashes: n.suspects.crashesToWire(fingerprint.Fingerprint(r.GetCall().GetFingerprint())),
	}}}
}

func overloaded(c keeper.Refuse, peer string) *outcome.Refusal {
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

func condemned(peer string) *outcome.Refusal {
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
