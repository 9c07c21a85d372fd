// Package route decides which engine a request is sent to next, when an interrupted answer is resumed, and when the request
// is refused. Each engine is reached through its keeper, the host that decides which requests the engine gets. Hosts of
// balsamknot use this package; package attempt is the counterpart for the hosts of the command entry.
package route

import (
	"time"

	"balsamknot.org/fleet/engine"
	"balsamknot.org/fleet/keeper"
	"balsamknot.org/fleet/outcome"
)

// Config holds the parameters of a request. They do not change after its start.
type Config struct {
	// Engines lists the candidate engines in order of preference. All requests of a chat have the same order while the
	// available engines stay the same.
	Engines []engine.ID
	// Deadline is when the answer must be complete.
	Deadline time.Time
	// Retryable is false for a request with an idempotency key, since it must not reach an endpoint twice.
	Retryable bool
}

// Try is one attempt to run the request on an engine.
type Try struct {
	Engine engine.ID
	// Resume requests the rest of an answer that the engine may have started.
	Resume bool
	// MayQueue, FollowOverflow and MustDecide are passed to the keeper, see keeper.RequestArrived.
	MayQueue       bool
	FollowOverflow bool
	MustDecide     bool
	// Standby sends the try to the host that is second in line as the engine's keeper. It is used when the first one declined
	// with reason NotKeeper, since its view of the fleet differs.
	Standby bool
}

// Event is the result of the last try.
type Event interface{ routeEvent() }

// Declined means that the keeper did not start the try; another engine may.
type Declined struct{ Reason keeper.RedirectReason }

// Refused ends the request: no other engine is tried.
type Refused struct{ Refusal *outcome.Refusal }

// PeerLost means that the connection to the keeper failed, or that part of the answer is missing.
type PeerLost struct {
	// MayHaveStarted is true when the try may have reached the engine.
	MayHaveStarted bool
	// Peer is the host of the keeper, if known.
	Peer string
}

// EngineLost means that the engine failed while it ran the request.
type EngineLost struct {
	// Delivered is true when the caller has received part of the answer.
	Delivered bool
	// RetryAllowed is true when a retry was taken from the workspace's retry budget. It has no effect with Delivered.
	RetryAllowed bool
}

func (Declined) routeEvent()   {}
func (Refused) routeEvent()    {}
func (PeerLost) routeEvent()   {}
func (EngineLost) routeEvent() {}

// maxRetries limits the tries of one request after the first, including resumes and tries after a redirect.
const maxRetries = 24

// defaultRetryAfter is the retry-after time of refusals that originate here.
const defaultRetryAfter = time.Second

// Plan is the routing state of one request. It is not safe for concurrent use.
type Plan struct {
	cfg Config
	// position is the index of the current engine in cfg.Engines.
	position int
	retries  int
	lastTry  Try
	// queuePass is set for the second pass through the engines, in which the request may be queued. With a single engine
	// it is the only pass.
	queuePass bool
	// excluded holds engines that are leaving or failed.
	excluded map[engine.ID]bool
	// mayHaveRun is true once the result of a try leaves open whether an engine ran the request.
	mayHaveRun bool
}

// New returns a plan and its first try, or a refusal when there is no engine to try.
func New(cfg Config) (*Plan, Try, *outcome.Refusal) {
	p := &Plan{cfg: cfg, excluded: make(map[engine.ID]bool)}
	if len(cfg.Engines) == 0 {
		return p, Try{}, p.refuse(outcome.CodeNoEndpoint, "no endpoint of the pool takes work")
	}
	single := len(cfg.Engines) == 1
	p.queuePass = single
	p.lastTry = Try{Engine: cfg.Engines[0], MayQueue: single, MustDecide: single}
	return p, p.lastTry, nil
}

// Update applies the result of the last try at time now and returns the next try, or the refusal that ends the request. The refusal says what is
// known of all tries: after one that an engine may have run it is never NotRun.
func (p *Plan) Update(now time.Time, event Event) (Try, *outcome.Refusal) {
	p.mayHaveRun = p.mayHaveRun || mayHaveRun(event)
	try, refusal := p.next(now, event)
	if refusal != nil && p.mayHaveRun {
		refusal = unknown(refusal)
	}
	return try, refusal
}

// mayHaveRun reports whether an engine may have run the request in a try with this result.
func mayHaveRun(event Event) bool {
	switch e := event.(type) {
	case PeerLost:
		return e.MayHaveStarted
	case EngineLost:
		return true
	case Refused:
		return e.Refusal.Outcome != outcome.NotRun
	}
	return false
}

// unknown returns a refusal with outcome Unknown in place of NotRun, with a status that does not promise it either.
func unknown(refusal *outcome.Refusal) *outcome.Refusal {
	if refusal.Outcome != outcome.NotRun {
		return refusal
	}
	r := *refusal
	r.Outcome, r.Status = outcome.Unknown, statusBadGateway
	if r.Code == outcome.CodeDeadline {
		r.Status = statusGatewayTimeout
	}
	return &r
}

// next returns the next try, or the refusal that follows from the last event.
func (p *Plan) next(now time.Time, event Event) (Try, *outcome.Refusal) {
	p.retries++
	if p.retries > maxRetries || !now.Before(p.cfg.Deadline) {
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
		if !p.lastTry.Standby {
			try := p.lastTry
			try.Standby = true
			return p.startTry(try)
		}
	case keeper.Overflowed:
		if p.position == 0 && len(p.cfg.Engines) > 1 {
			p.position = 1
			return p.startTry(Try{Engine: p.cfg.Engines[1], FollowOverflow: true})
		}
	case keeper.NotHere:
		p.position = 0
		return p.startTry(Try{Engine: p.cfg.Engines[0], MustDecide: true})
	case keeper.Leaving:
		p.excluded[p.lastTry.Engine] = true
	case keeper.OverBound:
	}
	return p.nextEngine()
}

// nextEngine tries the next engine that is not excluded. After the last one it starts a second pass, in which the request may
// be queued, and after that the request is refused.
func (p *Plan) nextEngine() (Try, *outcome.Refusal) {
	for p.position++; p.position < len(p.cfg.Engines); p.position++ {
		if id := p.cfg.Engines[p.position]; !p.excluded[id] {
			return p.startTry(Try{Engine: id, MayQueue: p.queuePass, MustDecide: true})
		}
	}
	if p.queuePass {
		return Try{}, p.refuse(outcome.CodeOverloaded, "every endpoint in reach declined the request")
	}
	p.queuePass = true
	p.position = -1
	return p.nextEngine()
}

// peerLost sends the request to the engine's current keeper, which may be another host by now. If the engine may have started
// the request, the try resumes it; a request that is not retryable is refused in that case.
func (p *Plan) peerLost(e PeerLost) (Try, *outcome.Refusal) {
	if e.MayHaveStarted && !p.cfg.Retryable {
		return Try{}, &outcome.Refusal{
			Code: outcome.CodePeerUnreachable, Outcome: outcome.Unknown, Status: statusBadGateway,
			Detail: "the way to the endpoint broke after the request was handed over", Step: "route", Peer: e.Peer,
		}
	}
	try := p.lastTry
	try.Resume = e.MayHaveStarted
	try.Standby = false
	return p.startTry(try)
}

func (p *Plan) engineLost(e EngineLost) (Try, *outcome.Refusal) {
	switch {
	case !p.cfg.Retryable:
		return Try{}, &outcome.Refusal{
			Code: outcome.CodeEndpointLost, Outcome: outcome.Unknown, Status: statusBadGateway,
			Detail: "the endpoint was lost while it ran the request", Step: "route", Peer: string(p.lastTry.Engine),
		}
	case e.Delivered:
		return Try{}, &outcome.Refusal{
			Code: outcome.CodeAnswerInterrupted, Outcome: outcome.Unknown, Status: statusBadGateway, RetryAfter: defaultRetryAfter,
			Detail: "the engine was lost in mid-answer", Step: "route", Peer: string(p.lastTry.Engine),
		}
	case !e.RetryAllowed:
		return Try{}, p.refuse(outcome.CodeRetryBudgetSpent, "the workspace's retry budget is spent")
	}
	p.excluded[p.lastTry.Engine] = true
	return p.nextEngine()
}

func (p *Plan) startTry(try Try) (Try, *outcome.Refusal) {
	p.lastTry = try
	return try, nil
}

// exhausted returns the refusal of a request whose deadline has passed or that has no retries left.
func (p *Plan) exhausted(event Event) *outcome.Refusal {
	if lost, ok := event.(PeerLost); ok && lost.MayHaveStarted && !p.cfg.Retryable {
		_, refusal := p.peerLost(lost)
		return refusal
	}
	return p.refuse(outcome.CodeDeadline, "the deadline passed before an endpoint took the request")
}

// HTTP statuses of refusals.
const (
	statusUnavailable    = 503
	statusBadGateway     = 502
	statusGatewayTimeout = 504
)

func (p *Plan) refuse(code outcome.Code, detail string) *outcome.Refusal {
	return &outcome.Refusal{
		Code: code, Outcome: outcome.NotRun, Status: statusUnavailable, RetryAfter: defaultRetryAfter, Detail: detail, Step: "route",
	}
}
