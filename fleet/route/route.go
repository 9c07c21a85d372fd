// Package route decides where a request goes next: which engine it tries, when it resumes, and when it gives up.
package route

import (
	"time"

	"balsamknot.org/fleet/engine"
	"balsamknot.org/fleet/keeper"
	"balsamknot.org/fleet/outcome"
)

// Config is a request's choices.
type Config struct {
	// Engines is the chat's order of engines, first choice first.
	Engines []engine.ID
	// Deadline is when the answer must be whole.
	Deadline time.Time
	// Repeatable is false for a request that may be sent to an endpoint only once.
	Repeatable bool
}

// Try is one attempt at an engine.
type Try struct {
	Engine engine.ID
	// Resume asks for the rest of an answer that the engine has begun.
	Resume         bool
	MayQueue       bool
	FollowOverflow bool
	MustDecide     bool
	// Alternate asks the second host in line to keep the engine, for when two views differ.
	Alternate bool
}

// Event is what became of the last try.
type Event interface{ routeEvent() }

// Declined says that the keeper did not start the try.
type Declined struct{ Reason keeper.RedirectReason }

// Refused says that the keeper refused the request for good.
type Refused struct{ Refusal *outcome.Refusal }

// PeerLost says that the way to the keeper broke. Started is true when the try may have reached the engine.
type PeerLost struct {
	Started bool
	Peer    string
}

// EngineLost says that the engine itself is gone. Delivered is true when the caller has seen part of the answer.
type EngineLost struct {
	Delivered bool
	// Budget is true when the workspace's retry budget paid for another try.
	Budget bool
}

func (Declined) routeEvent()   {}
func (Refused) routeEvent()    {}
func (PeerLost) routeEvent()   {}
func (EngineLost) routeEvent() {}

// maxSteps bounds the tries of one request, resumes included.
const maxSteps = 24

// retryAfter is the advice given when nothing better is known.
const retryAfter = time.Second

// Plan is the state of one request's way. It is not safe for concurrent use.
type Plan struct {
	cfg   Config
	next  int
	steps int
	last  Try
	// final is set once every engine declined and one is asked to queue the request.
	final bool
	// closed holds the engines that take no new work.
	closed map[engine.ID]bool
}

// New returns a plan and its first try.
func New(cfg Config) (*Plan, Try, *outcome.Refusal) {
	p := &Plan{cfg: cfg, closed: make(map[engine.ID]bool)}
	if len(cfg.Engines) == 0 {
		return p, Try{}, p.refuse(outcome.CodeNoEndpoint, "no endpoint of the pool takes work")
	}
	only := len(cfg.Engines) == 1
	p.final = only
	p.last = Try{Engine: cfg.Engines[0], MayQueue: only, MustDecide: only}
	return p, p.last, nil
}

// Update returns the next try, or the refusal that ends the request.
func (p *Plan) Update(now time.Time, event Event) (Try, *outcome.Refusal) {
	p.steps++
	if p.steps > maxSteps || !now.Before(p.cfg.Deadline) {
		return Try{}, p.exhausted(event)
	}
	switch e := event.(type) {
	case Declined:
		return p.declined(e)
	case Refused:
		return Try{}, e.Refusal
	case PeerLost:
		return p.peerLost(e)
	case EngineLost:
		return p.engineLost(e)
	}
	return Try{}, p.refuse(outcome.CodeNoEndpoint, "nothing left to try")
}

func (p *Plan) declined(e Declined) (Try, *outcome.Refusal) {
	switch e.Reason {
	case keeper.NotKeeper:
		if !p.last.Alternate {
			try := p.last
			try.Alternate = true
			return p.take(try)
		}
	case keeper.Overflowed:
		if p.next == 0 && len(p.cfg.Engines) > 1 {
			p.next = 1
			return p.take(Try{Engine: p.cfg.Engines[1], FollowOverflow: true})
		}
	case keeper.NotHere:
		p.next = 0
		return p.take(Try{Engine: p.cfg.Engines[0], MustDecide: true})
	case keeper.Leaving:
		p.closed[p.last.Engine] = true
	case keeper.OverBound:
	}
	return p.advance()
}

// advance goes to the next engine and, after the last, back to the first that is open with leave to queue.
func (p *Plan) advance() (Try, *outcome.Refusal) {
	for p.next++; p.next < len(p.cfg.Engines); p.next++ {
		if id := p.cfg.Engines[p.next]; !p.closed[id] {
			return p.take(Try{Engine: id, MayQueue: p.final, MustDecide: true})
		}
	}
	if p.final {
		return Try{}, p.refuse(outcome.CodeOverloaded, "every endpoint in reach declined the request")
	}
	p.final = true
	p.next = -1
	return p.advance()
}

// peerLost asks the engine's present keeper: to go on where the try may have started, else to start.
func (p *Plan) peerLost(e PeerLost) (Try, *outcome.Refusal) {
	if e.Started && !p.cfg.Repeatable {
		return Try{}, &outcome.Refusal{
			Code: outcome.CodePeerUnreachable, Outcome: outcome.Unknown, Status: statusBadGateway,
			Detail: "the way to the endpoint broke after the request was handed over", Step: "route", Peer: e.Peer,
		}
	}
	try := p.last
	try.Resume = e.Started
	try.Alternate = false
	return p.take(try)
}

func (p *Plan) engineLost(e EngineLost) (Try, *outcome.Refusal) {
	switch {
	case !p.cfg.Repeatable:
		return Try{}, &outcome.Refusal{
			Code: outcome.CodeEndpointLost, Outcome: outcome.Unknown, Status: statusBadGateway,
			Detail: "the endpoint was lost while it ran the request", Step: "route", Peer: string(p.last.Engine),
		}
	case e.Delivered:
		return Try{}, &outcome.Refusal{
			Code: outcome.CodeAnswerInterrupted, Outcome: outcome.Unknown, Status: statusBadGateway, RetryAfter: retryAfter,
			Detail: "the engine was lost in mid-answer", Step: "route", Peer: string(p.last.Engine),
		}
	case !e.Budget:
		return Try{}, p.refuse(outcome.CodeRetryBudget, "the workspace's retry budget is spent")
	}
	p.closed[p.last.Engine] = true
	return p.advance()
}

func (p *Plan) take(try Try) (Try, *outcome.Refusal) {
	p.last = try
	return try, nil
}

func (p *Plan) exhausted(event Event) *outcome.Refusal {
	if lost, ok := event.(PeerLost); ok && lost.Started && !p.cfg.Repeatable {
		_, refusal := p.peerLost(lost)
		return refusal
	}
	return p.refuse(outcome.CodeDeadline, "the deadline passed before an endpoint took the request")
}

const (
	statusUnavailable = 503
	statusBadGateway  = 502
)

func (p *Plan) refuse(code outcome.Code, detail string) *outcome.Refusal {
	return &outcome.Refusal{
		Code: code, Outcome: outcome.NotRun, Status: statusUnavailable, RetryAfter: retryAfter, Detail: detail, Step: "route",
	}
}
