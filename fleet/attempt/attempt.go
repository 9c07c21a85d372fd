// Package attempt decides how one caller's request continues after each result: whether it is sent to another endpoint, and
// which response ends it. It guarantees that a non-idempotent request is not sent again once an endpoint may have run it, and
// that status 503, which means "not run", is returned only when no endpoint can have run the request. Hosts of the command
// entry use it; package route is the counterpart for the hosts of balsamknot.
package attempt

import (
	"net/http"
	"time"

	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/site"
)

// Config holds the parameters of a request. They do not change after its start.
type Config struct {
	// RetryMode determines whether the request may be run again, and whether its answer can be resumed.
	RetryMode site.RetryMode
	// MaxEndpoints limits how many endpoints the request is sent to.
	MaxEndpoints int
	// Deadline is the earlier of the caller's deadline and the route's time-out.
	Deadline time.Time
	// MinTimeLeft is the time that must be left before the deadline for another endpoint to be tried.
	MinTimeLeft time.Duration
}

// Attempt is the state of one request. It is not safe for concurrent use.
type Attempt struct {
	cfg Config
	// tried lists the endpoints that the request was sent to or that were unreachable.
	tried []endpoint.ID
	// sends is the number of endpoints that the request was sent to.
	sends int
	// unsentCount is the number of slots with which nothing was sent.
	unsentCount int
	// pending is true from Sent until the next event.
	pending bool
	// mayHaveRun is true once the request was sent to an endpoint and the result was not NotExecuted.
	mayHaveRun bool
	// delivering is true once the caller has received the first bytes of an answer.
	delivering bool
	// positionLost is true while it is not known after which event another endpoint would have to go on.
	positionLost bool
}

// New returns an attempt that has not been sent to any endpoint.
func New(cfg Config) *Attempt { return &Attempt{cfg: cfg} }

// maxUnsent is the number of slots with which nothing was sent, after which a request is refused.
const maxUnsent = 3

// Event is the result of the last command.
type Event interface{ event() }

// SlotRefused means that the keeper refused a slot.
type SlotRefused struct {
	Reason     pool.Reason
	RetryAfter time.Duration
}

// Unreachable means that nothing was sent to the endpoint, since it accepts no connection, is leaving or was removed.
type Unreachable struct{ ID endpoint.ID }

// SlotExpired means that nothing was sent to the slot's endpoint, since the slot was granted too long ago.
type SlotExpired struct{}

// NotExecuted means that the endpoint answered that it did not run the request.
type NotExecuted struct{ ID endpoint.ID }

// Failed means that the endpoint answered with a status of 500 or above.
type Failed struct{ ID endpoint.ID }

// Interrupted means that the request was sent but the answer is missing or incomplete.
type Interrupted struct{ ID endpoint.ID }

// DeadlineExceeded means that the deadline passed, or that the keeper did not answer in time.
type DeadlineExceeded struct{}

// NotAllowed means that the caller's key is no longer valid for the request, that the local copy of the configuration set is too
// old to check it, or that the request is blocked because it crashed endpoints.
type NotAllowed struct{ RetryAfter time.Duration }

func (SlotRefused) event()      {}
func (Unreachable) event()      {}
func (SlotExpired) event()      {}
func (NotExecuted) event()      {}
func (Failed) event()           {}
func (Interrupted) event()      {}
func (DeadlineExceeded) event() {}
func (NotAllowed) event()       {}

// Command is the next step of the request. Update returns exactly one for each event.
type Command interface{ command() }

// AcquireSlot requests a slot from the keeper and sends the request to the endpoint of the slot.
type AcquireSlot struct {
	// Tried lists the endpoints to avoid.
	Tried []endpoint.ID
	// Retry is true when the request was sent to an endpoint before, so that the retry budget is charged.
	Retry bool
}

// Respond ends the request with a response that the entry generates, without an answer from an endpoint.
type Respond struct {
	// Status is the HTTP status. 503 guarantees that the request was not run.
	Status int
	// RetryAfter is the retry-after time for the caller; 0 omits it.
	RetryAfter time.Duration
}

// RelayFailure ends the request with the endpoint's own error response.
type RelayFailure struct{}

// Abort closes the caller's connection in the middle of the answer, so that the answer does not look complete.
type Abort struct{}

func (AcquireSlot) command()  {}
func (Respond) command()      {}
func (RelayFailure) command() {}
func (Abort) command()        {}

// Sent records that the request was sent to an endpoint. It must be called before the event with the result.
func (a *Attempt) Sent(id endpoint.ID) {
	a.sends++
	a.tried = append(a.tried, id)
	a.pending = true
}

// Delivering records that the caller has received the first bytes of an answer.
func (a *Attempt) Delivering() { a.delivering = true }

// NotePosition records whether it is known after which event of the answer another endpoint would have to go on.
func (a *Attempt) NotePosition(known bool) { a.positionLost = !known }

// Sends returns how many endpoints the request was sent to, not including unreachable ones.
func (a *Attempt) Sends() int { return a.sends }

// MayHaveRun reports whether an endpoint may have run the request.
func (a *Attempt) MayHaveRun() bool { return a.mayHaveRun || a.pending }

// LastSend reports whether the request can't be sent to a further endpoint after the next one.
func (a *Attempt) LastSend() bool { return a.sends+1 >= a.cfg.MaxEndpoints }

// Update applies one event at time now and returns the next step.
func (a *Attempt) Update(now time.Time, event Event) Command {
	if _, notExecuted := event.(NotExecuted); !notExecuted && a.pending {
		a.mayHaveRun = true
	}
	a.pending = false
	switch e := event.(type) {
	case SlotRefused:
		return a.slotRefused(e)
	case Unreachable:
		a.tried = append(a.tried, e.ID)
		return a.notSent(now)
	case SlotExpired:
		return a.notSent(now)
	case NotExecuted:
		return a.notExecuted(now)
	case Failed:
		if a.mayRetry(now) {
			return a.tryAnother()
		}
		if a.delivering {
			return Abort{}
		}
		return RelayFailure{}
	case Interrupted:
		if a.mayRetry(now) {
			return a.tryAnother()
		}
		return a.fail(http.StatusBadGateway)
	case DeadlineExceeded:
		return a.fail(http.StatusGatewayTimeout)
	case NotAllowed:
		return a.notRun(e.RetryAfter)
	}
	return a.fail(http.StatusBadGateway)
}

func (a *Attempt) tryAnother() Command { return AcquireSlot{Tried: a.tried, Retry: a.sends > 0} }

// mayRetry reports whether a request that an endpoint may have run may be sent to another one. Once part of the answer was
// delivered, only a resumable request may.
func (a *Attempt) mayRetry(now time.Time) bool {
	switch {
	case a.cfg.RetryMode == site.NonIdempotent, a.delivering && (a.cfg.RetryMode != site.Resumable || a.positionLost):
		return false
	}
	return a.canTryAnother(now)
}

func (a *Attempt) canTryAnother(now time.Time) bool {
	return a.sends < a.cfg.MaxEndpoints && a.cfg.Deadline.Sub(now) >= a.cfg.MinTimeLeft
}

func (a *Attempt) notExecuted(now time.Time) Command {
	if a.canTryAnother(now) {
		return a.tryAnother()
	}
	return a.notRun(defaultRetryAfter)
}

// defaultRetryAfter is the retry-after time when no endpoint ran the request and the keeper gave no other time.
const defaultRetryAfter = 100 * time.Millisecond

func (a *Attempt) notSent(now time.Time) Command {
	a.unsentCount++
	if a.unsentCount < maxUnsent && a.cfg.Deadline.Sub(now) >= a.cfg.MinTimeLeft {
		return a.tryAnother()
	}
	return a.notRun(defaultRetryAfter)
}

func (a *Attempt) slotRefused(e SlotRefused) Command { return a.notRun(e.RetryAfter) }

// notRun responds with 503 if no endpoint can have run the request, and otherwise as fail does with 502.
func (a *Attempt) notRun(retryAfter time.Duration) Command {
	if a.mayHaveRun || a.delivering {
		return a.fail(http.StatusBadGateway)
	}
	return Respond{Status: http.StatusServiceUnavailable, RetryAfter: retryAfter}
}

// fail responds with a status, or aborts the answer if part of it was delivered. An exceeded deadline becomes 503 if no
// endpoint can have run the request.
func (a *Attempt) fail(status int) Command {
	if a.delivering {
		return Abort{}
	}
	if status == http.StatusGatewayTimeout && !a.mayHaveRun {
		return Respond{Status: http.StatusServiceUnavailable, RetryAfter: defaultRetryAfter}
	}
	return Respond{Status: status}
}
